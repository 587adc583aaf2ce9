"""The file that names an entry's policies, where others than those in use are to be measured.

Only a daemon that is given such a file loads this module: checking settings takes several MB.
"""

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict

from skylarkrack._settings import PolicySettings, parse_document
from skylarkrack.core import ROUTING_BY_NAME
from skylarkrack.core.relay import Policy


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
    found = parse_document(text, _PolicyDocument, file=file).policy
    return Policy(
        routing=ROUTING_BY_NAME[found.routing],
        is_quota_shared=found.budgets == "pooled",
        is_urgent_first=found.queue == "urgent_first",
    )
