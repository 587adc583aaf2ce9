"""The interface between an agent and the driver of its endpoint."""

from typing import Protocol

from skylarkrack.core import Catalogue
from skylarkrack.messages import EndpointReport
from skylarkrack.wire import Link


class EndpointDriver(Protocol):
    """Sends work to one endpoint, a model engine or a plain service, and watches its state."""

    async def start(self) -> None:
        """Start watching the endpoint."""

    async def close(self) -> None:
        """Cancel all work and close the connections to the endpoint."""

    async def drain(self) -> None:
        """Refuse new work and wait until the work in progress has ended."""

    def update(self, catalogue: Catalogue) -> None:
        """Apply the configuration in force."""

    def handle_message(self, link: Link, message: object) -> None:
        """Process a message of an entry; unknown ones are ignored."""

    def link_down(self, link: Link) -> None:
        """Handle the end of *link*: the answers to its requests can no longer be delivered."""

    def report(self) -> EndpointReport:
        """Return the current report of the endpoint, as sent to entries."""

    def describe(self) -> dict[str, object]:
        """Return the state shown by `skylarkctl state`, as a JSON document."""
