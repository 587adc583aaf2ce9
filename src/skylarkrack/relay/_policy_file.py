"""The file that names an entry's policies, where others than those in use are to be measured.

Only a daemon that is given such a file loads this module: checking settings takes several MB.
"""

import tomllib
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, ValidationError

from skylarkrack._errors import Code, FileRejected
from skylarkrack._problems import Problem, problems_of
from skylarkrack._settings import PolicySettings
from skylarkrack.core import HashOnly, LeastCost, LeastLoaded
from skylarkrack.core.relay import Policy

_ROUTING_BY_NAME = {
    "least_cost": LeastCost(),
    "least_loaded": LeastLoaded(),
    "hash_only": HashOnly(),
}


class _RelayPolicySettings(PolicySettings):
    queue: Literal["urgent_first", "arrival"] = "urgent_first"


class _PolicyDocument(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    policy: _RelayPolicySettings


def read_policy(path: str) -> Policy:
    """Read and check the file at *path*; raises `FileRejected` or `OSError`."""
    return parse_policy(Path(path).read_text(encoding="utf-8"), file=path)


def parse_policy(text: str, *, file: str) -> Policy:
    """Return the policies in *text*, or raise `FileRejected` with every problem."""
    try:
        found = _PolicyDocument.model_validate(tomllib.loads(text)).policy
    except tomllib.TOMLDecodeError as error:
        problem = Problem(file=file, key="-", found=str(error), allowed="a TOML document")
        raise FileRejected((problem,), code=Code.BAD_SETTINGS) from error
    except ValidationError as error:
        problems = problems_of(error, file=file, model=_PolicyDocument)
        raise FileRejected(problems, code=Code.BAD_SETTINGS) from error
    return Policy(
        routing=_ROUTING_BY_NAME[found.routing],
        is_quota_shared=found.budgets == "pooled",
        is_urgent_first=found.queue == "urgent_first",
    )
