"""Tracks the load at each endpoint: this entry's runs and what the other entries report."""

from collections import Counter, deque
from dataclasses import dataclass, replace

from skylarkrack.core.relay._health import NO_OUTCOMES, OutcomeCounts
from skylarkrack.core.relay._names import AdapterId, EndpointKey

PREFILL_WINDOW_MS = 300.0
"""Window over which the prompt tokens sent to one engine are summed, where no route of its service
states the longest pause that its streams may have between events."""

MIN_PREFILL_WINDOW_MS, MAX_PREFILL_WINDOW_MS = 100.0, 1000.0
"""Bounds of the window. In a shorter one an engine hardly reads a prompt; a longer one would
outlast the reports of other entries (`LOAD_TTL_MS`)."""

LOAD_TTL_MS = 1500.0
"""Age from which another entry's report is ignored; entries report at least every 400 ms."""


ABORT_MS = 500.0
"""Time in which an engine notices that a run's connection was closed, and ends the run."""


def prefill_window_ms(max_gap_ms: float | None) -> float:
    """Return the prefill window of a service whose routes state this longest pause, or none."""
    if max_gap_ms is None:
        return PREFILL_WINDOW_MS
    return min(MAX_PREFILL_WINDOW_MS, max(MIN_PREFILL_WINDOW_MS, max_gap_ms))


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine's agent reports; *received_ms* is on the receiver's clock.

    *resident* maps (model, adapter) to the version held, *loading* to the version of a load in
    progress. A base model is listed with the adapter "". *spare_slots* counts the adapter slots
    that are empty or can be emptied.
    """

    received_ms: float
    resident: dict[AdapterId, int]
    loading: dict[AdapterId, int]
    spare_slots: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """One entry's load at one endpoint.

    *tokens* is the KV cache capacity, in tokens, that its *runs* may occupy. *prefill_tokens* are
    the prompt tokens sent within the prefill window; *reserved_tokens* those of a queued request
    that waits for prefill capacity. *outcomes* counts how its requests there ended.
    """

    runs: int = 0
    tokens: int = 0
    prefill_tokens: int = 0
    reserved_tokens: int = 0
    outcomes: OutcomeCounts = NO_OUTCOMES

    def plus(self, other: "EndpointLoad") -> "EndpointLoad":
        """Return the load with the runs and tokens of another one added."""
        return replace(
            self,
            runs=self.runs + other.runs,
            tokens=self.tokens + other.tokens,
            prefill_tokens=self.prefill_tokens + other.prefill_tokens,
        )


@dataclass(slots=True)
class _Sum:
    """What other entries have at one endpoint, and how many *reports* name it.

    Prefill and reserved tokens cover one prefill window.
    """

    reports: int = 0
    runs: int = 0
    tokens: int = 0
    prefill_tokens: int = 0
    reserved_tokens: int = 0


class _PeerLoads:
    """The loads that other entries report, summed by endpoint.

    Sums are kept up to date with each report, since a decision needs them for every endpoint and
    would otherwise look at every entry's report for each.
    """

    __slots__ = ("_recent_by_entry", "_report_by_entry", "_sum_by_key", "window_ms")

    def __init__(self) -> None:
        self.window_ms = PREFILL_WINDOW_MS
        # In order of their times: (received in ms, load by endpoint).
        self._report_by_entry: dict[str, tuple[float, dict[EndpointKey, EndpointLoad]]] = {}
        self._recent_by_entry: dict[str, tuple[float, dict[EndpointKey, EndpointLoad]]] = {}
        self._sum_by_key: dict[EndpointKey, _Sum] = {}

    def get(self, key: EndpointKey, now_ms: float) -> _Sum | None:
        """Return the sum for an endpoint, or None if no entry has a load there."""
        self._expire(now_ms)
        return self._sum_by_key.get(key)

    def replace(
        self, entry: str, load_by_key: dict[EndpointKey, EndpointLoad], now_ms: float
    ) -> None:
        """Replace an entry's report."""
        self._drop_recent(entry)
        self._drop(entry)
        self._report_by_entry[entry] = self._recent_by_entry[entry] = (now_ms, load_by_key)
        for key, load in load_by_key.items():
            total = self._sum_by_key.get(key)
            if total is None:
                total = self._sum_by_key[key] = _Sum()
            total.reports += 1
            total.runs += load.runs
            total.tokens += load.tokens
            total.prefill_tokens += load.prefill_tokens
            total.reserved_tokens += load.reserved_tokens

    def _expire(self, now_ms: float) -> None:
        while self._recent_by_entry:
            entry, (received_ms, _) = next(iter(self._recent_by_entry.items()))
            if now_ms - received_ms < self.window_ms:
                break
            self._drop_recent(entry)
        while self._report_by_entry:
            entry, (received_ms, _) = next(iter(self._report_by_entry.items()))
            if now_ms - received_ms < LOAD_TTL_MS:
                break
            self._drop(entry)

    def _drop_recent(self, entry: str) -> None:
        _, load_by_key = self._recent_by_entry.pop(entry, (0.0, {}))
        for key, load in load_by_key.items():
            total = self._sum_by_key[key]
            total.prefill_tokens -= load.prefill_tokens
            total.reserved_tokens -= load.reserved_tokens

    def _drop(self, entry: str) -> None:
        _, load_by_key = self._report_by_entry.pop(entry, (0.0, {}))
        for key, load in load_by_key.items():
            total = self._sum_by_key[key]
            total.reports -= 1
            total.runs -= load.runs
            total.tokens -= load.tokens
            if not total.reports:
                del self._sum_by_key[key]


_NO_SUM = _Sum()
_NO_LOAD = EndpointLoad()


class LoadTracker:
    """Runs and tokens in progress by endpoint incarnation, over all entries. Times are ms."""

    __slots__ = (
        "_aborted_by_key",
        "_peers",
        "_prompts_by_key",
        "_runs",
        "_runs_by_adapter",
        "_tokens",
    )

    def __init__(self) -> None:
        self._runs: Counter[EndpointKey] = Counter()
        self._tokens: Counter[EndpointKey] = Counter()
        # In the order of their times: (end of the prefill window, tokens).
        self._prompts_by_key: dict[EndpointKey, deque[tuple[float, int]]] = {}
        self._runs_by_adapter: dict[EndpointKey, Counter[AdapterId]] = {}
        # In the order of their times: (end of `ABORT_MS`, adapter).
        self._aborted_by_key: dict[EndpointKey, deque[tuple[float, AdapterId]]] = {}
        self._peers = _PeerLoads()

    # Queries

    def total(self, key: EndpointKey, now_ms: float) -> EndpointLoad:
        """Return all entries' load at an endpoint; *reserved_tokens* is that of the others."""
        peers = self._peers.get(key, now_ms)
        if peers is None and key not in self._runs and key not in self._prompts_by_key:
            return _NO_LOAD
        peers = peers or _NO_SUM
        return EndpointLoad(
            runs=self._runs.get(key, 0) + peers.runs,
            tokens=self._tokens.get(key, 0) + peers.tokens,
            prefill_tokens=self._own_prompts(key, now_ms) + peers.prefill_tokens,
            reserved_tokens=peers.reserved_tokens,
        )

    def own(self, now_ms: float) -> dict[EndpointKey, EndpointLoad]:
        """Return this entry's load by endpoint, without reserved tokens and outcomes."""
        return {
            key: EndpointLoad(
                runs=runs, tokens=self._tokens[key], prefill_tokens=self._own_prompts(key, now_ms)
            )
            for key, runs in self._runs.items()
        }

    def own_runs(self, key: EndpointKey) -> int:
        """Return this entry's runs at an endpoint."""
        return self._runs.get(key, 0)

    def own_runs_by_adapter(self, key: EndpointKey, now_ms: float) -> dict[AdapterId, int]:
        """Return this entry's runs at an endpoint by model and adapter.

        Aborted runs are included for as long as the endpoint may still run them.
        """
        runs = Counter(self._runs_by_adapter.get(key, {}))
        aborted = self._aborted_by_key.get(key)
        if aborted is not None:
            while aborted and aborted[0][0] <= now_ms:
                aborted.popleft()
            runs.update(adapter_id for _, adapter_id in aborted)
            if not aborted:
                del self._aborted_by_key[key]
        return dict(runs)

    # Commands

    def start_run(
        self, key: EndpointKey, *, tokens: int, adapter_id: AdapterId | None = None
    ) -> None:
        """Count a run sent to an endpoint; *tokens* is the KV cache that it may occupy."""
        self._runs[key] += 1
        self._tokens[key] += tokens
        if adapter_id is not None:
            self._runs_by_adapter.setdefault(key, Counter())[adapter_id] += 1

    def set_prefill_windows(self, window_ms_by_service: dict[str, float]) -> None:
        """Set the prefill windows of the services.

        What another entry has sent counts for the longest of them, since its report doesn't tell
        when it was sent.
        """
        self._peers.window_ms = max(window_ms_by_service.values(), default=PREFILL_WINDOW_MS)

    def add_prompt(
        self,
        key: EndpointKey,
        tokens: int,
        now_ms: float,
        *,
        window_ms: float = PREFILL_WINDOW_MS,
    ) -> None:
        """Record that a prompt of *tokens* is sent to an engine; it counts for *window_ms*."""
        sent = self._prompts_by_key.setdefault(key, deque())
        sent.append((now_ms + window_ms, tokens))

    def end_run(
        self,
        key: EndpointKey,
        *,
        tokens: int,
        adapter_id: AdapterId | None = None,
        aborted_ms: float | None = None,
    ) -> None:
        """Count the end of a run, with the *tokens* of its start.

        *aborted_ms* is the time if this entry gave it up without its end from the endpoint.
        """
        self._subtract(self._runs, key, 1)
        self._subtract(self._tokens, key, tokens)
        if adapter_id is not None:
            self._subtract(self._runs_by_adapter[key], adapter_id, 1)
            if not self._runs_by_adapter[key]:
                del self._runs_by_adapter[key]
            if aborted_ms is not None:
                aborted = self._aborted_by_key.setdefault(key, deque())
                aborted.append((aborted_ms + ABORT_MS, adapter_id))

    def receive_peer_loads(
        self, entry: str, load_by_key: dict[EndpointKey, EndpointLoad], *, now_ms: float
    ) -> None:
        """Replace what is known of another entry's load."""
        self._peers.replace(entry, load_by_key, now_ms)

    def _own_prompts(self, key: EndpointKey, now_ms: float) -> int:
        sent = self._prompts_by_key.get(key)
        if sent is None:
            return 0
        while sent and sent[0][0] <= now_ms:
            sent.popleft()
        if not sent:
            del self._prompts_by_key[key]
        return sum(tokens for _, tokens in sent)

    @staticmethod
    def _subtract(counter: Counter, key: object, amount: int) -> None:
        counter[key] -= amount
        if counter[key] <= 0:
            del counter[key]
