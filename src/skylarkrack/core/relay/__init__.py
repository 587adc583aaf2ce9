"""Decisions of the relaying entry, and of the agent that orders an engine's adapters.

Everything here is pure: events and the time go in, decisions come out.
"""

from skylarkrack.core.relay._adapter_scheduler import (
    ENTRY_LIVE_MS,
    IN_USE_TTL_MS,
    AdapterScheduler,
)
from skylarkrack.core.relay._admission import PromptAdmission
from skylarkrack.core.relay._admission_room import EngineLimits, Grant, ListedRequest, ReportedRun
from skylarkrack.core.relay._admission_view import request_number
from skylarkrack.core.relay._attempts import Attempts, FinalFailure
from skylarkrack.core.relay._call import Call, ModelNeed
from skylarkrack.core.relay._cold_endpoints import ColdEndpoints, ColdReport
from skylarkrack.core.relay._constraints import Constraint
from skylarkrack.core.relay._crashes import CrashTracker
from skylarkrack.core.relay._directory import (
    REREGISTRATION_GRACE_MS,
    Endpoint,
    EndpointDirectory,
    digest_of_endpoint,
)
from skylarkrack.core.relay._dispatch import (
    AdapterPublished,
    Decision,
    Dispatcher,
    EngineStateReceived,
    PendingRequest,
    Refuse,
    SendTo,
    TablePublished,
    WaitFor,
)
from skylarkrack.core.relay._endpoint_speed import EndpointSpeeds, SpeedReport, reading_speed
from skylarkrack.core.relay._engine_orders import (
    EngineCapacity,
    EngineOrder,
    EngineReport,
    OrderKind,
    OrderResult,
    WaitingRequests,
)
from skylarkrack.core.relay._entry_incarnations import EntryIncarnations
from skylarkrack.core.relay._evacuations import Evacuation, Evacuations, is_domain_name
from skylarkrack.core.relay._explanation import (
    ExplainedCandidate,
    ExplainedLimit,
    Explanation,
    explain_placement,
)
from skylarkrack.core.relay._grace import GracePeriod
from skylarkrack.core.relay._health import NO_OUTCOMES, Health, OutcomeCounts
from skylarkrack.core.relay._health_probes import (
    PROBE_TIMEOUT_MS,
    HealthProbe,
    HealthProbes,
    ProbeResult,
)
from skylarkrack.core.relay._homes import ColdMargin
from skylarkrack.core.relay._limit import RateLimitReport
from skylarkrack.core.relay._load import EndpointLoad, EngineState, LoadTracker
from skylarkrack.core.relay._membership import (
    AGENT,
    IDLE_BROADCAST_MS,
    Membership,
    ProcessContact,
    broadcast_interval_ms,
    broadcast_recipients,
    heartbeat_interval_ms,
    idle_demand_interval_ms,
)
from skylarkrack.core.relay._names import AdapterId, EndpointKey
from skylarkrack.core.relay._order_pace import OrderPace
from skylarkrack.core.relay._pace import Pace, PaceNotice, PaceReport
from skylarkrack.core.relay._policy import Policy
from skylarkrack.core.relay._quota_limiter import QuotaGrant, QuotaLimiter
from skylarkrack.core.relay._rate_limits import RateLimits
from skylarkrack.core.relay._registration_history import RegistrationHistory
from skylarkrack.core.relay._reported_load import ReportedLoad, ReportedLoads
from skylarkrack.core.relay._segments import SegmentReport, SegmentTracker
from skylarkrack.core.relay._store_feed import (
    FeedHistory,
    FeedKind,
    FeedStep,
    StepUse,
    is_reader,
    use_of,
)
from skylarkrack.core.relay._stream_keepers import KEEPERS, StreamKeepers
from skylarkrack.core.relay._stream_origins import (
    MAX_ASKED,
    ORIGIN_COPIES,
    ORIGIN_TTL_MS,
    StreamOrigin,
    StreamOrigins,
    VersionView,
    homes_of,
    stream_key,
)
from skylarkrack.core.relay._table import (
    CallerLimits,
    EngineShape,
    ModelShape,
    Quota,
    Route,
    RoutingTable,
    Service,
    TableOrganisation,
    digest_of_key,
    group_by_host,
)

__all__ = [
    "AGENT",
    "ENTRY_LIVE_MS",
    "IDLE_BROADCAST_MS",
    "KEEPERS",
    "IN_USE_TTL_MS",
    "MAX_ASKED",
    "ORIGIN_COPIES",
    "ORIGIN_TTL_MS",
    "REREGISTRATION_GRACE_MS",
    "AdapterPublished",
    "Attempts",
    "Call",
    "CallerLimits",
    "ColdEndpoints",
    "ColdMargin",
    "ColdReport",
    "Constraint",
    "ExplainedCandidate",
    "ExplainedLimit",
    "Explanation",
    "ProcessContact",
    "CrashTracker",
    "SegmentReport",
    "SegmentTracker",
    "Decision",
    "EndpointDirectory",
    "Dispatcher",
    "Endpoint",
    "EndpointSpeeds",
    "EngineStateReceived",
    "EntryIncarnations",
    "EngineOrder",
    "EngineReport",
    "EngineShape",
    "EngineState",
    "Evacuation",
    "Evacuations",
    "FeedHistory",
    "FeedKind",
    "FeedStep",
    "FinalFailure",
    "GracePeriod",
    "Health",
    "HealthProbe",
    "HealthProbes",
    "PROBE_TIMEOUT_MS",
    "ProbeResult",
    "EndpointKey",
    "LoadTracker",
    "TableOrganisation",
    "Membership",
    "NO_OUTCOMES",
    "ModelNeed",
    "ModelShape",
    "AdapterId",
    "OrderKind",
    "OrderPace",
    "OrderResult",
    "OutcomeCounts",
    "EngineCapacity",
    "EngineLimits",
    "Grant",
    "ListedRequest",
    "PromptAdmission",
    "ReportedRun",
    "AdapterScheduler",
    "Policy",
    "Quota",
    "Route",
    "RoutingTable",
    "SendTo",
    "Service",
    "SpeedReport",
    "StepUse",
    "StreamKeepers",
    "StreamOrigin",
    "StreamOrigins",
    "TablePublished",
    "Pace",
    "PaceNotice",
    "PaceReport",
    "PendingRequest",
    "RateLimitReport",
    "RateLimits",
    "Refuse",
    "RegistrationHistory",
    "ReportedLoad",
    "ReportedLoads",
    "QuotaGrant",
    "QuotaLimiter",
    "VersionView",
    "WaitFor",
    "WaitingRequests",
    "EndpointLoad",
    "explain_placement",
    "group_by_host",
    "digest_of_endpoint",
    "digest_of_key",
    "broadcast_interval_ms",
    "broadcast_recipients",
    "heartbeat_interval_ms",
    "idle_demand_interval_ms",
    "homes_of",
    "is_domain_name",
    "is_reader",
    "reading_speed",
    "request_number",
    "stream_key",
    "use_of",
]
