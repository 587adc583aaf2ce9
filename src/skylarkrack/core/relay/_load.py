"""Tracks the load at each endpoint: this entry's runs and what the other entries report."""

from collections import Counter, deque
from dataclasses import dataclass

from skylarkrack.core.relay._health import OutcomeCounts
from skylarkrack.core.relay._names import AdapterId, EndpointKey

PREFILL_WINDOW_MS = 300.0
"""Window over which the prompt tokens sent to one engine are summed. It equals the longest pause
that streams may have between events."""

LOAD_TTL_MS = 1500.0
"""Age from which another entry's report is ignored; entries report at least every 400 ms."""


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
    outcomes: OutcomeCounts = OutcomeCounts()


@dataclass(frozen=True, slots=True)
class _ReceivedLoads:
    received_ms: float
    load_by_key: dict[EndpointKey, EndpointLoad]


class LoadTracker:
    """Runs and tokens in progress by endpoint incarnation, over all entries. Times are ms."""

    __slots__ = ("_runs_by_adapter", "_prompts_by_key", "_runs", "_tokens", "_loads_by_entry")

    def __init__(self) -> None:
        self._runs: Counter[EndpointKey] = Counter()
        self._tokens: Counter[EndpointKey] = Counter()
        self._prompts_by_key: dict[EndpointKey, deque[tuple[float, int]]] = {}
        self._runs_by_adapter: dict[EndpointKey, Counter[AdapterId]] = {}
        self._loads_by_entry: dict[str, _ReceivedLoads] = {}

    # Queries

    def total(self, key: EndpointKey, now_ms: float) -> EndpointLoad:
        """Return all entries' load at an endpoint; *reserved_tokens* is that of the others."""
        runs, tokens, reserved = self._runs[key], self._tokens[key], 0
        prompts = self._own_prompts(key, now_ms)
        for received in self._loads_by_entry.values():
            load, age_ms = received.load_by_key.get(key), now_ms - received.received_ms
            if load is None or age_ms >= LOAD_TTL_MS:
                continue
            runs += load.runs
            tokens += load.tokens
            if age_ms < PREFILL_WINDOW_MS:
                prompts += load.prefill_tokens
                reserved += load.reserved_tokens
        return EndpointLoad(
            runs=runs, tokens=tokens, prefill_tokens=prompts, reserved_tokens=reserved
        )

    def own(self, now_ms: float) -> dict[EndpointKey, EndpointLoad]:
        """Return this entry's load by endpoint, without reserved tokens and outcomes."""
        return {
            key: EndpointLoad(
                runs=runs, tokens=self._tokens[key], prefill_tokens=self._own_prompts(key, now_ms)
            )
            for key, runs in self._runs.items()
        }

    def own_runs_by_adapter(self, key: EndpointKey) -> dict[AdapterId, int]:
        """Return this entry's runs at an endpoint by model and adapter."""
        return dict(self._runs_by_adapter.get(key, {}))

    # Commands

    def start_run(
        self, key: EndpointKey, *, tokens: int, adapter_id: AdapterId | None = None
    ) -> None:
        """Count a run sent to an endpoint; *tokens* is the KV cache that it may occupy."""
        self._runs[key] += 1
        self._tokens[key] += tokens
        if adapter_id is not None:
            self._runs_by_adapter.setdefault(key, Counter())[adapter_id] += 1

    def add_prompt(self, key: EndpointKey, tokens: int, now_ms: float) -> None:
        """Record that a prompt of *tokens* is sent to an engine."""
        self._prompts_by_key.setdefault(key, deque()).append((now_ms, tokens))

    def end_run(
        self, key: EndpointKey, *, tokens: int, adapter_id: AdapterId | None = None
    ) -> None:
        """Count the end of a run, with the *tokens* of its start."""
        self._subtract(self._runs, key, 1)
        self._subtract(self._tokens, key, tokens)
        if adapter_id is not None:
            self._subtract(self._runs_by_adapter[key], adapter_id, 1)
            if not self._runs_by_adapter[key]:
                del self._runs_by_adapter[key]

    def receive_peer_loads(
        self, entry: str, load_by_key: dict[EndpointKey, EndpointLoad], *, now_ms: float
    ) -> None:
        """Replace what is known of another entry's load."""
        self._loads_by_entry[entry] = _ReceivedLoads(now_ms, load_by_key)

    def _own_prompts(self, key: EndpointKey, now_ms: float) -> int:
        sent = self._prompts_by_key.get(key)
        if sent is None:
            return 0
        while sent and sent[0][0] <= now_ms - PREFILL_WINDOW_MS:
            sent.popleft()
        return sum(tokens for _, tokens in sent)

    @staticmethod
    def _subtract(counter: Counter, key: object, amount: int) -> None:
        counter[key] -= amount
        if counter[key] <= 0:
            del counter[key]
