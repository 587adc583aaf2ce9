"""Burn rates of the service-level objectives.

The burn rate over a window is the fraction of bad requests divided by the fraction that the
objective allows. At a rate of 1 the error budget lasts exactly for the period of the objective.
Each objective is reported over two windows, as the SRE workbook advises: the long window shows that
a problem is significant, the short one that it is still going on.
"""

from collections import deque
from dataclasses import dataclass

SLOT_MS = 10_000
WINDOWS_MS = (300_000, 3_600_000)

FIRST_TOKEN_OBJECTIVE_MS = 370.0
"""Limit of the time to the first token; 95 % of the requests are to stay within it."""

OBJECTIVE_BY_NAME = {"answered": 0.999, "first_token": 0.95}


@dataclass(slots=True)
class _Slot:
    start_ms: float
    total: int = 0
    bad: int = 0


class BurnMeter:
    """Counts good and bad requests by objective, in slots of ten seconds over the last hour."""

    __slots__ = ("_slots_by_name",)

    def __init__(self) -> None:
        self._slots_by_name: dict[str, deque[_Slot]] = {n: deque() for n in OBJECTIVE_BY_NAME}

    def observe(self, name: str, *, is_good: bool, now_ms: float) -> None:
        """Count one request under the objective *name*."""
        slots = self._slots_by_name[name]
        if not slots or now_ms >= slots[-1].start_ms + SLOT_MS:
            slots.append(_Slot(now_ms))
        slots[-1].total += 1
        slots[-1].bad += not is_good
        while slots[0].start_ms < now_ms - WINDOWS_MS[-1]:
            slots.popleft()

    def report(self, now_ms: float) -> list[dict[str, object]]:
        """Return one row per objective and window, with the counts and the burn rate."""
        return [
            self._row(name, window_ms, now_ms)
            for name in OBJECTIVE_BY_NAME
            for window_ms in WINDOWS_MS
        ]

    def _row(self, name: str, window_ms: int, now_ms: float) -> dict[str, object]:
        slots = [s for s in self._slots_by_name[name] if s.start_ms >= now_ms - window_ms]
        total, bad = sum(s.total for s in slots), sum(s.bad for s in slots)
        allowed = 1 - OBJECTIVE_BY_NAME[name]
        burn_rate = bad / total / allowed if total else 0.0
        return {
            "objective": name,
            "target": OBJECTIVE_BY_NAME[name],
            "window_s": window_ms // 1000,
            "requests": total,
            "bad": bad,
            "burn_rate": round(burn_rate, 2),
        }
