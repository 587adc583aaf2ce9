"""What the registry's recent history shows of the software versions that a service had.

A process that has just started knows the endpoints that are registered now, but not those that left
a moment ago. The registry remembers for some seconds what was written, which a fleet needs whose
processes were all killed at once: nobody else is left who saw an endpoint leave.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median_low

from skylarkrack.core.relay._directory import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class RegistrationHistory:
    """Registrations that were written lately; *writes* has each of them, *heartbeat_ms* apart."""

    writes: tuple[Endpoint, ...]
    heartbeat_ms: float

    def versions_of(self, service: str) -> set[str]:
        """Return the software versions of the service's endpoints."""
        return {each.software_version for each in self.writes if each.service == service}

    def covered_ms(self, service: str, registered: Iterable[Endpoint]) -> float:
        """Return the time that the history covers, by the heartbeats of *registered* endpoints.

        Writes bear no time. It is that of the median endpoint of the service, since an endpoint
        writes less if it is cut off, and more if its state changes.
        """
        count_by_id = Counter(each.endpoint_id for each in self.writes)
        counts = [count_by_id[each.endpoint_id] for each in registered if each.service == service]
        return max(0, median_low(counts) - 1) * self.heartbeat_ms if counts else 0.0
