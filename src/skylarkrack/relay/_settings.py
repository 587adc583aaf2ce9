"""Settings of the relaying processes, independent of the file format that they are read from."""

import math
from dataclasses import dataclass

from skylarkrack.core.relay import ColdMargin, Policy


@dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings:
    """Settings of a relaying entry or an engine's agent.

    Addresses are `IP:port`, and None where the role does not listen. *seeds* are the addresses of
    peers to contact first. *grace_ms* is the time between the signal of a planned stop and the
    kill. *retry_slack* is the number of retries that all entries together may make in ten seconds
    in addition to a fixed fraction of the traffic. With *cancels_on_revocation* a running request
    is cut when its key is withdrawn; otherwise it runs to its end. *policy* holds the policies that
    an entry uses. With *passes_on* an entry forwards messages from other failure domains to the
    entries of its own. *cold_margin* is what all entries together may send a cold endpoint beyond
    its bound. *memory_bytes* is the memory of the VM.
    """

    vm: str
    domain: str
    peers: str
    seeds: tuple[str, ...]
    grace_ms: float
    retry_slack: float
    callers: str | None = None
    readiness: str | None = None
    status: str | None = None
    engine: str | None = None
    cancels_on_revocation: bool = False
    policy: Policy = Policy()
    cold_margin: ColdMargin = ColdMargin()
    memory_bytes: float = math.inf
    passes_on: bool = True
