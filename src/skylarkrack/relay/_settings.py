"""Settings of the relaying processes; whoever knows the file's format fills them in."""

from dataclasses import dataclass

from skylarkrack.core.relay import Policy


@dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings:
    """What a relaying entry or an engine's agent has to know at its start.

    Addresses are `IP:port`; those that a role does not listen on are None. *seeds* are peers'
    addresses. *grace_ms* is the time from a planned stop's signal to the kill; *retry_slack* the
    fleet's retries beyond its ratio in ten seconds. With *cuts_withdrawn* a request that runs is
    cut when its key is withdrawn; without it the answer under way ends. *policy* is what an entry
    decides by. With *passes_on* an entry hands on to its failure domain what comes from others.
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
    cuts_withdrawn: bool = False
    policy: Policy = Policy()
    passes_on: bool = True
