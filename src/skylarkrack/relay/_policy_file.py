"""The optional file that overrides an entry's policies, to measure others than the defaults.

Only a daemon that is given such a file imports this module: validation takes several MB of memory.
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
    """Return the policies of the file at *path*; raises `FileRejected` or `OSError`."""
    return parse_policy(Path(path).read_text(encoding="utf-8"), file=path)


def parse_policy(text: str, *, file: str) -> Policy:
    """Return the policies in *text* (TOML); raises `FileRejected` with every problem.

    *file* is the name shown in the problems.
    """
    settings = parse_document(text, _PolicyDocument, file=file).policy
    return Policy(
        routing=ROUTING_BY_NAME[settings.routing],
        is_quota_shared=settings.budgets == "pooled",
        is_urgent_first=settings.queue == "urgent_first",
    )
