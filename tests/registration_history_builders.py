"""A registry that remembers which endpoints were registered lately."""

from skylarkrack.core.relay import RegistrationHistory
from tests.relay_builders import endpoint

HEARTBEAT_MS = 1200.0


class StubHistory:
    """Remembers endpoints of `llm` by id and version for *remembered_ms*; counts its readings."""

    def __init__(self, *versions_by_id: tuple[str, str], remembered_ms: float) -> None:
        self.readings = 0
        count = int(remembered_ms / HEARTBEAT_MS) + 1
        self._writes = [
            endpoint(endpoint_id, service="llm", software_version=version)
            for _ in range(count)
            for endpoint_id, version in versions_by_id
        ]

    async def recall(self, endpoints: int) -> RegistrationHistory:
        """Return what is remembered."""
        self.readings += 1
        return RegistrationHistory(writes=tuple(self._writes), heartbeat_ms=HEARTBEAT_MS)
