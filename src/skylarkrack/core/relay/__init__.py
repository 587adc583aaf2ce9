"""Decisions of the relaying entry and of the agent that orders an engine's adapters."""

from skylarkrack.core.relay._attempts import Attempts, GiveUp
from skylarkrack.core.relay._call import Call, ModelNeed
from skylarkrack.core.relay._crashes import Crashes
from skylarkrack.core.relay._directory import (
    REREGISTRATION_GRACE_MS,
    Directory,
    Endpoint,
    digest_of_endpoint,
)
from skylarkrack.core.relay._dispatch import (
    AdapterPublished,
    Decision,
    Dispatcher,
    EngineHeard,
    SendTo,
    TablePublished,
    Ticket,
    TurnAway,
    WaitFor,
)
from skylarkrack.core.relay._health import Health, Outcomes
from skylarkrack.core.relay._load import EngineState, Load, Work
from skylarkrack.core.relay._membership import AGENT, Contact, Membership, recipients
from skylarkrack.core.relay._names import Key, Name
from skylarkrack.core.relay._places import (
    EngineOrder,
    EngineReport,
    OrderKind,
    OrderResult,
    PlaceLimits,
    Places,
    Want,
)
from skylarkrack.core.relay._policy import Policy
from skylarkrack.core.relay._table import (
    CallerLimits,
    EngineShape,
    Member,
    ModelShape,
    Quota,
    Route,
    RoutingTable,
    Service,
    by_host,
    digest_of_key,
)
from skylarkrack.core.relay._usage import Usage

__all__ = [
    "AGENT",
    "REREGISTRATION_GRACE_MS",
    "AdapterPublished",
    "Attempts",
    "Call",
    "CallerLimits",
    "Contact",
    "Crashes",
    "Decision",
    "Directory",
    "Dispatcher",
    "Endpoint",
    "EngineHeard",
    "EngineOrder",
    "EngineReport",
    "EngineShape",
    "EngineState",
    "GiveUp",
    "Health",
    "Key",
    "Load",
    "Member",
    "Membership",
    "ModelNeed",
    "ModelShape",
    "Name",
    "OrderKind",
    "OrderResult",
    "Outcomes",
    "PlaceLimits",
    "Places",
    "Policy",
    "Quota",
    "Route",
    "RoutingTable",
    "SendTo",
    "Service",
    "TablePublished",
    "Ticket",
    "TurnAway",
    "Usage",
    "WaitFor",
    "Want",
    "Work",
    "by_host",
    "digest_of_endpoint",
    "digest_of_key",
    "recipients",
]
