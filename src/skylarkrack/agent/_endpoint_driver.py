"""What an agent needs of the side that deals with its endpoint."""

from typing import Protocol

from skylarkrack.core import Catalogue
from skylarkrack.messages import EndpointReport
from skylarkrack.wire import Link


class EndpointDriver(Protocol):
    """The endpoint side of an agent: a model engine or a plain service."""

    async def start(self) -> None:
        """Begin to watch the endpoint."""

    async def close(self) -> None:
        """End everything at once."""

    async def drain(self) -> None:
        """Take no new work, and wait for the end of what was taken."""

    def update(self, catalogue: Catalogue) -> None:
        """Take in the lists in force."""

    def handle_message(self, link: Link, message: object) -> None:
        """Take a message of an entry."""

    def link_down(self, link: Link) -> None:
        """Nobody waits any more for what came over this link."""

    def report(self) -> EndpointReport:
        """Return what entries are told of the endpoint."""

    def describe(self) -> dict[str, object]:
        """Return the state for `skylarkctl state`."""
