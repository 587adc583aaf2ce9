"""Typed messages between the processes of the system.

Each is sent as one `msgpack` frame (see `skylarkrack.wire`). Durations are in milliseconds. Ages
are durations up to the time of sending, so that the clocks of two VMs are never compared.
"""

from dataclasses import dataclass

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message in each direction on a link. *incarnation* differs at each process start."""

    protocol: int
    role: str
    vm: str
    domain: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Heartbeat; the peer answers with a `Pong` of the same *sequence*."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Pong:
    """Answer to a `Ping`, with the state of the sender's configuration.

    *evidence_age_ms* is the age of the newest evidence that a process read the platform at
    *revision*, or -1 without evidence. *calendar_s* is the platform's calendar time in seconds, or
    0 if it is unknown.
    """

    sequence: int
    revision: int
    evidence_age_ms: int
    calendar_s: float
    leaving: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ValuesRequest:
    """Requests every value that is newer than in *known*, a dict of revisions by value name."""

    known: dict


@dataclass(frozen=True, slots=True, kw_only=True)
class Value:
    """A published value with its revision; only bodies that passed the checks are forwarded."""

    name: str
    revision: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ValuesEnd:
    """Follows the values sent for a `ValuesRequest`; with them the receiver is at *revision*."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PledgeRequest:
    """Sent by the home of some budgets: requests a member to pledge its shares for a lease."""

    sequence: int
    budgets: list


@dataclass(frozen=True, slots=True, kw_only=True)
class Pledge:
    """A member's pledge: rows of `[budget, rate, capacity, tokens]`."""

    sequence: int
    rows: list


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveRequest:
    """Requests *tokens* from the home of a budget."""

    sequence: int
    budget: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Reserved:
    """The home granted a `ReserveRequest`; *pool* and *stamp* identify the grant in a `Refund`."""

    sequence: int
    pool: int
    stamp: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NotReserved:
    """The home refused a `ReserveRequest`; *retry_after_ms* is -1 if it is not the home."""

    sequence: int
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Refund:
    """Returns tokens of the grant *stamp* of *pool* that were not used."""

    budget: str
    pool: int
    stamp: int
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPermitRequest:
    """Sent by an agent: requests one load from the weight store's budget."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPermit:
    """Answer to a `LoadPermitRequest`."""

    sequence: int
    granted: bool
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRequest:
    """Requests an agent to run a model request.

    *request_id* contains the entry's incarnation. *patience_ms* is how long the request may wait
    to start. *fingerprint* identifies the prompt independently of its encoding. With *suspect*
    the request runs with no other request in the batch.
    """

    request_id: str
    organisation: str
    adapter: str
    version: int
    path: str
    body: bytes
    tokens: int
    priority: int
    patience_ms: int
    fingerprint: bytes
    suspect: bool = False
    stream: bool = True
    with_usage: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Requests an agent to call its plain service.

    *idempotency_key* is empty for a repeatable call. *ticket* is the agent incarnation that the
    key is bound to, or empty. *body_digest* covers method, path and body.
    """

    request_id: str
    organisation: str
    service: str
    method: str
    path: str
    headers: list
    body: bytes
    idempotency_key: str
    ticket: str
    body_digest: bytes
    repeat_window_ms: int
    patience_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Sent by an entry: it no longer needs the answer to *request_id*."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of an answer, sent after the agent has verified the endpoint's identity.

    *waited_ms* is how long the request was queued at the agent, loads included.
    """

    request_id: str
    status: int
    headers: list
    waited_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseChunk:
    """Bytes of an answer; *offset* is the number of bytes sent before."""

    request_id: str
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseEnd:
    """Ends an answer of *size* bytes; the token counts are the engine's."""

    request_id: str
    size: int
    prompt_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFailed:
    """Ends a request without a complete answer; for *code* and *outcome* see `_errors`."""

    request_id: str
    code: int
    outcome: str
    retry_after_ms: int = -1
    detail: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReport:
    """State of an agent's endpoint, sent to entries on change, at most every 50 ms."""

    model: str
    service: str
    ready: bool
    running: int
    waiting: int
    capacity: int
    resident: list
    leaving: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Suspects:
    """Fingerprints that were running when an endpoint may have crashed; see `BroadcastSuspects`."""

    crash_id: str
    fingerprints: list
    is_confirmed: bool
    was_alone: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectsCleared:
    """Fingerprints that were suspected and whose requests have since run to completion."""

    fingerprints: list


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmRequest:
    """Sent by an agent just before a non-repeatable call: is *request_id* still open?"""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Confirmed:
    """Answer to a `ConfirmRequest`: *request_id* is open, and its caller still has access."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TicketRequest:
    """Requests a ticket for `CallRequest.ticket` from a service's agent."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Answer to a `TicketRequest`."""

    request_id: str
    ticket: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Roster:
    """Known members of the fleet, sent in a datagram; the sender comes first.

    *members* holds rows of [VM, address, role, failure domain, whether it forwards].
    """

    members: list


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayState:
    """State of a relaying entry, broadcast to the other entries in datagrams.

    *granted* holds the tokens granted since the start by organisation: of all organisations where
    *is_complete*, otherwise only those that changed since the last complete state.

    *loads* holds rows of [endpoint's digest, runs, tokens, prompt tokens sent recently, prompt
    tokens reserved, requests answered, requests failed].

    *table_version* is the version of the configuration in force and *announced* the sum of the
    adapters' versions. An entry with a lower one fetches the difference from *status*, an `IP:port`
    or empty.

    With *passes_on* the entry forwards messages from other failure domains within its own.

    *suspects* holds rows of [request's fingerprint, crashes of endpoints that it ran at].
    """

    vm: str
    address: str
    incarnation: str
    sequence: int
    domain: str
    passes_on: bool
    status: str
    table_version: int
    announced: int
    granted: dict
    is_complete: bool
    loads: list
    suspects: list


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterDemand:
    """Adapters that an entry needs of the engine beside an agent, sent in a datagram.

    *wanted* holds rows of [model, adapter, urgency, requests, minimum version], *in_use* rows of
    [model, adapter, runs], and *models* rows of [model, MB of weights].

    *places* is the number of adapters and *memory_mb* the MB of model weights that the engine can
    hold according to the configuration.

    *heard* is the sequence number of the agent's last message that the entry received, and
    *heard_of* the incarnation of the agent that sent it.
    """

    vm: str
    address: str
    incarnation: str
    sequence: int
    domain: str
    passes_on: bool
    endpoint_id: str
    started_ms: int
    wanted: list
    in_use: list
    places: int
    memory_mb: float
    models: list
    heard_of: str
    heard: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSnapshot:
    """Complete state of an engine, sent by its agent to the entries in a datagram.

    *resident* and *on_the_way* hold rows of [adapter, version] by model; the model itself has a row
    with an empty adapter. *spare_places* is the number of places that are empty or hold an unused
    adapter. With *is_retiring* the agent waits with an eviction until the entries have confirmed in
    `AdapterDemand.heard` that they received this snapshot.
    """

    vm: str
    address: str
    incarnation: str
    sequence: int
    domain: str
    endpoint: str
    started_ms: int
    resident: dict
    on_the_way: dict
    spare_places: int
    is_retiring: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineHeartbeat:
    """Sent by an agent between two snapshots of its engine, in a datagram.

    The `EngineSnapshot` with sequence number *base* still holds, except for *spare_places*.
    """

    vm: str
    address: str
    incarnation: str
    sequence: int
    domain: str
    endpoint: str
    base: int
    spare_places: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingEndpoints:
    """Endpoints whose responses to an entry stated that they are about to stop, in a datagram.

    *endpoints* holds rows of [address, start in ms].
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    endpoints: list


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreStep:
    """What an entry read from the store, for the entries of its failure domain, in a datagram.

    It holds the changes of one *era* after the revision *base* up to *revision*. *kind* is
    `registrations` or `publications`. Without *is_complete* there were further changes. *endpoints*
    holds rows of [id, service, address, domain, slots, start in ms, is leaving, warm-up left in
    ms, rows of [adapter, version] by model or None, software version], *removed* the ids of
    registrations that ended, and *versions* rows of [model, adapter, version]. *restored_ago_ms* is
    the time since the store came back after an outage, or -1.
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    kind: str
    era: int
    base: int
    revision: int
    is_complete: bool
    endpoints: list
    removed: list
    versions: list
    restored_ago_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectSegments:
    """Prompt segments that may crash engines, as an entry knows them, in a datagram.

    *losses* holds rows of [crash id, segments of a request that was lost at that crash],
    *quarantines* rows of [segments that are refused together, ms left], and *sound* segments that
    did not crash an engine.
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    losses: list
    quarantines: list
    sound: list


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRateLimits:
    """Limits of requests a second that endpoints name in their answers, in a datagram.

    *limits* holds rows of [address, start in ms, requests a second or None for no limit any more,
    age in ms of the answer that showed it, requests that the entry sent shortly before it].
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    limits: list


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointBounds:
    """Endpoints to which all entries together send few requests, in a datagram.

    *cold* holds rows of [address, start in ms, failure domain, requests a second that it tolerates,
    ms for which it is certainly cold, ms for which it is assumed to be cold]. *paced* holds rows of
    [address, start in ms, requests that may be in flight or 0 at the end of the pace, number in
    flight at which the last answers came in time].
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    cold: list
    paced: list


@dataclass(frozen=True, slots=True, kw_only=True)
class HomeNotice:
    """What an entry tells the home of endpoints, in a datagram.

    *cold* holds rows as in `EndpointBounds`: the home may not know yet that an endpoint is cold.
    *paced* holds rows of [address, start in ms, the entry's requests in flight, answers in time
    since the last notice, late answers and failures since then].
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    cold: list
    paced: list


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPermits:
    """Questions for permits to send to rate-limited endpoints, and answers, in a datagram.

    *asked* holds rows of [address, start in ms, requests that wait], *answers* rows of [address,
    start in ms, whether a request may be sent, ms until the next one is due, requests that wait
    elsewhere].
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    asked: list
    answers: list


@dataclass(frozen=True, slots=True, kw_only=True)
class BegunStreams:
    """Origins of streams, and questions for them with their answers, in a datagram.

    *begun* holds rows of [stream's key, service, software version], *asked* rows of [stream's key,
    service], and *answers* rows of [stream's key, service and software version or None twice, what
    is known of the service's versions]. The last is the number of a `VersionView`; older builds
    send whether they know of several versions, as a boolean.

    Sent to entries and to agents; agents answer with `StreamOriginAnswers`.
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    begun: list
    asked: list
    answers: list


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointConditions:
    """Endpoints that are slower or faster than is usual for their service, in a datagram.

    *conditions* holds rows of [endpoint's digest, hundredths of the usual time, age in ms].
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    conditions: list


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryStopped:
    """Sent by an entry to an agent at the end of a planned stop, in a datagram.

    The process *incarnation* wants nothing of the engine any more. *in_use* holds rows of [model,
    adapter, runs] of the runs that its end aborted; the engine may run them for a moment.
    """

    vm: str
    address: str
    incarnation: str
    domain: str
    passes_on: bool
    in_use: list


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOriginAnswers:
    """Origins of streams that an entry asked an agent for, in a datagram.

    *answers* holds rows of [stream's key, service and software version or None twice, versions].
    For a stream that is unknown, *versions* lists the software versions of the service that was
    asked for of which the agent holds other origins.
    """

    vm: str
    address: str
    domain: str
    answers: list


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationNotice:
    """Evacuations of failure domains that an entry knows of, in a datagram.

    *evacuations* holds rows of [failure domain, whether it is evacuated, era and revision of the
    store as of which that holds].
    """

    vm: str
    address: str
    domain: str
    passes_on: bool
    evacuations: list


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequests:
    """All requests that wait at an entry for one engine, for the engine's agent, in a datagram.

    It replaces the entry's previous list. *waiting* holds rows of [number, model, adapter, least
    version, prompt tokens, all tokens, priority, digest of the organisation, ms left], *sent* rows
    of [number, prompt tokens, all tokens] of requests sent without a grant. *slots* and
    *cache_tokens* are what the engine can hold, *max_gap_ms* is the longest pause of its service's
    streams, and *slowness* its time for a piece of work in hundredths of the usual one.
    """

    vm: str
    address: str
    incarnation: str
    sequence: int
    domain: str
    passes_on: bool
    started_ms: int
    slots: int
    cache_tokens: int
    max_gap_ms: float
    slowness: int
    waiting: list
    sent: list


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionGrants:
    """Requests that an entry may send to an engine, from the engine's agent, in a datagram.

    *granted* holds rows of [number, version of the adapter]. *heard* is the sequence number of the
    entry's last list, or 0 in a broadcast, which shows that the agent admits prompts. *unread* and
    *waiting* are prompt tokens at the engine and in all lists, *runs* the runs at the engine, and
    *cache_tokens* what these may claim of its KV cache.
    """

    vm: str
    address: str
    incarnation: str
    sequence: int
    domain: str
    endpoint: str
    started_ms: int
    heard: int
    granted: list
    unread: int
    waiting: int
    runs: int
    cache_tokens: int
