"""How much work is under way at each endpoint: this entry's own, and what others received."""

from collections import Counter, deque
from dataclasses import dataclass

from skylarkrack.core.relay._health import OutcomeCounts
from skylarkrack.core.relay._names import AdapterId, EndpointKey

PREFILL_WINDOW_MS = 300.0
"""Time over which prompts sent to one engine are added up: the pause that streams may have."""

LOAD_TTL_MS = 1500.0
"""What an entry received is dropped after this; it tells ten times a second while it works."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What the agent beside an engine tells of it; *received_ms* is the hearer's clock.

    *resident* maps (model, adapter) to the version held; *loading* the same for loads. A model
    without an adapter stands under the adapter "". *spare_slots* are empty or can be emptied.
    """

    received_ms: float
    resident: dict[AdapterId, int]
    loading: dict[AdapterId, int]
    spare_slots: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """One entry's work at one endpoint.

    *tokens* is what its *runs* may take of the engine's memory. *prefill_tokens* are the prompt
    tokens sent within the window; *reserved_tokens* those of a request that waits until they can be
    read. *outcomes* is what came of its requests there.
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
    """Runs and tokens under way by endpoint incarnation, over all entries."""

    __slots__ = ("_runs_by_adapter", "_prompts", "_runs", "_tokens", "_loads_by_entry")

    def __init__(self) -> None:
        self._runs: Counter[EndpointKey] = Counter()
        self._tokens: Counter[EndpointKey] = Counter()
        self._prompts: dict[EndpointKey, deque[tuple[float, int]]] = {}
        self._runs_by_adapter: dict[EndpointKey, Counter[AdapterId]] = {}
        self._loads_by_entry: dict[str, _ReceivedLoads] = {}

    # Queries

    def total(self, key: EndpointKey, now_ms: float) -> EndpointLoad:
        """Return the work of all entries at an endpoint; what is reserved is that of others."""
        runs, tokens, reserved = self._runs[key], self._tokens[key], 0
        prompts = self._own_prompts(key, now_ms)
        for received in self._loads_by_entry.values():
            work, age_ms = received.load_by_key.get(key), now_ms - received.received_ms
            if work is None or age_ms >= LOAD_TTL_MS:
                continue
            runs += work.runs
            tokens += work.tokens
            if age_ms < PREFILL_WINDOW_MS:
                prompts += work.prefill_tokens
                reserved += work.reserved_tokens
        return EndpointLoad(
            runs=runs, tokens=tokens, prefill_tokens=prompts, reserved_tokens=reserved
        )

    def own(self, now_ms: float) -> dict[EndpointKey, EndpointLoad]:
        """Return this entry's work by endpoint, without what is reserved."""
        return {
            key: EndpointLoad(
                runs=runs, tokens=self._tokens[key], prefill_tokens=self._own_prompts(key, now_ms)
            )
            for key, runs in self._runs.items()
        }

    def own_runs_by_adapter(self, key: EndpointKey) -> dict[AdapterId, int]:
        """Return this entry's runs at an endpoint by (model, adapter)."""
        return dict(self._runs_by_adapter.get(key, {}))

    # Commands

    def start_run(
        self, key: EndpointKey, *, tokens: int, adapter_id: AdapterId | None = None
    ) -> None:
        """Count a run sent to an endpoint."""
        self._runs[key] += 1
        self._tokens[key] += tokens
        if adapter_id is not None:
            self._runs_by_adapter.setdefault(key, Counter())[adapter_id] += 1

    def add_prompt(self, key: EndpointKey, tokens: int, now_ms: float) -> None:
        """Note that an engine begins to read a prompt."""
        self._prompts.setdefault(key, deque()).append((now_ms, tokens))

    def end_run(
        self, key: EndpointKey, *, tokens: int, adapter_id: AdapterId | None = None
    ) -> None:
        """Count the end of a run."""
        self._lower(self._runs, key, 1)
        self._lower(self._tokens, key, tokens)
        if adapter_id is not None:
            self._lower(self._runs_by_adapter[key], adapter_id, 1)
            if not self._runs_by_adapter[key]:
                del self._runs_by_adapter[key]

    def receive_peer_loads(
        self, entry: str, load_by_key: dict[EndpointKey, EndpointLoad], *, now_ms: float
    ) -> None:
        """Take another entry's work under way."""
        self._loads_by_entry[entry] = _ReceivedLoads(now_ms, load_by_key)

    def _own_prompts(self, key: EndpointKey, now_ms: float) -> int:
        sent = self._prompts.get(key)
        if sent is None:
            return 0
        while sent and sent[0][0] <= now_ms - PREFILL_WINDOW_MS:
            sent.popleft()
        return sum(tokens for _, tokens in sent)

    @staticmethod
    def _lower(counter: Counter, key: object, amount: int) -> None:
        counter[key] -= amount
        if counter[key] <= 0:
            del counter[key]
