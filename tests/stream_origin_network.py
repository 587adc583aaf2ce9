"""A simulated network between the origin exchanges of entries and the keepers of agents.

Messages are encoded and decoded as on the wire, but pass through the event loop instead of sockets.
The loop's time is virtual, so that the load of the machine changes nothing.
"""

import asyncio
import functools
import random
import selectors
from collections.abc import Awaitable, Callable

from skylarkrack._metrics import Metrics
from skylarkrack._tasks import Tasks
from skylarkrack.core.relay import (
    AGENT,
    EndpointDirectory,
    ProcessContact,
    StreamOrigin,
)
from skylarkrack.messages import BegunStreams
from skylarkrack.relay._peers import ENTRY
from skylarkrack.relay._stream_origin_exchange import StreamOriginExchange
from skylarkrack.relay._stream_origin_keeper import StreamOriginKeeper
from skylarkrack.relay._stream_origin_lookup import StreamOriginLookup
from skylarkrack.wire import decode, encode_body
from tests.relay_builders import endpoint

MAX_DELAY_S = 0.004
LATE_SHARE, LATE_S = 0.05, 0.2
"""Fraction of the datagrams that are late, and by how much: longer than a lookup."""


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the time of its loop instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready; the loop waits for nothing but its own timers."""
        self.now_s += max(0.0, timeout or 0.0)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers are due as soon as nothing else is left to do."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping_selector.now_s


def in_virtual_time(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an asynchronous test to its end in virtual time."""

    @functools.wraps(test)
    def run(self: object) -> None:
        with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
            runner.run(test(self))

    return run


class Network:
    """Delivers messages to handlers by address; *loss* is the fraction that is lost.

    What is sent to an address in `frozen` is delivered once it is removed. With `loses_first` each
    message is lost unless it repeats one.
    """

    def __init__(self, rng: random.Random, *, loss: float = 0.0, has_late: bool = False) -> None:
        self.rng = rng
        self.frozen: set[str] = set()
        self.handler_by_address: dict[str, Callable[[object], None]] = {}
        self.contact_by_address: dict[str, ProcessContact] = {}
        self.sent = 0
        self.loses_first = False
        self._lost: set[tuple[bytes, str]] = set()
        self._loss = loss
        self._has_late = has_late

    def join(self, vm: str, role: str) -> "SimulatedPeers":
        """Add a process; its address is its VM."""
        contact = ProcessContact(vm=vm, address=vm, role=role, domain="east")
        self.contact_by_address[vm] = contact
        return SimulatedPeers(self, contact)

    def kill(self, vm: str) -> None:
        """Remove a process."""
        self.handler_by_address.pop(vm, None)
        self.contact_by_address.pop(vm, None)

    def send(self, message: object, addresses: tuple[str, ...]) -> None:
        """Send a message to several addresses."""
        data = encode_body(message)
        for address in addresses:
            self.sent += 1
            if self.loses_first and (data, address) not in self._lost:
                self._lost.add((data, address))
                continue
            if self.rng.random() >= self._loss:
                is_late = self._has_late and self.rng.random() < LATE_SHARE
                delay_s = LATE_S if is_late else self.rng.uniform(0, MAX_DELAY_S)
                asyncio.get_running_loop().call_later(delay_s, self._deliver, data, address)

    def _deliver(self, data: bytes, address: str) -> None:
        if address in self.frozen:
            asyncio.get_running_loop().call_later(0.02, self._deliver, data, address)
        elif address in self.handler_by_address:
            self.handler_by_address[address](decode(data))


class SimulatedPeers:
    """The peers of one process; *hidden* are the VMs that it doesn't know."""

    def __init__(self, network: Network, own: ProcessContact) -> None:
        self.own = own
        self.hidden: set[str] = set()
        self._network = network

    @property
    def sender_fields(self) -> dict[str, object]:
        """The fields by which an entry's messages name their sender."""
        own = self.own
        return {"vm": own.vm, "address": own.address, "domain": own.domain, "passes_on": False}

    def address_by_entry(self) -> dict[str, str]:
        """Return the addresses of the other entries by VM."""
        return self._addresses(ENTRY)

    def address_by_agent(self) -> dict[str, str]:
        """Return the addresses of the agents by VM."""
        return self._addresses(AGENT)

    def send(self, message: object, *addresses: str) -> None:
        """Send a message to several addresses."""
        self._network.send(message, addresses)

    def _addresses(self, role: str) -> dict[str, str]:
        return {
            contact.vm: contact.address
            for contact in self._network.contact_by_address.values()
            if contact.role == role and contact.vm not in self.hidden and contact is not self.own
        }


class SimulatedEntry:
    """The origins of an entry that knows an endpoint of each of *versions*, born at *born_ms*."""

    def __init__(
        self,
        network: Network,
        vm: str,
        *,
        versions: tuple[str, ...] = ("v1", "v1.1"),
        born_ms: int = 1000,
    ) -> None:
        self.peers = network.join(vm, ENTRY)
        self.tasks = Tasks()
        self.lookup = StreamOriginLookup(tasks=self.tasks, metrics=Metrics())
        self.directory = EndpointDirectory()
        for number, version in enumerate(versions):
            known = endpoint(
                f"e{number}", service="llm", software_version=version, started_ms=born_ms
            )
            self.directory.put(known)
        self.exchange = StreamOriginExchange(
            self.peers, lookup=self.lookup, directory=self.directory, metrics=Metrics()
        )
        network.handler_by_address[vm] = self._receive

    def look(self, now_ms: float) -> None:
        """Record that the registrations were read, and do what is due every 50 ms."""
        self.directory.confirm(now_ms)
        self.exchange.send_due(now_ms)

    def begin(self, key: bytes, version: str, now_ms: float) -> None:
        """Begin a stream at an endpoint of *version*."""
        origin = StreamOrigin(service="llm", software_version=version)
        self.lookup.origins.record(key, origin, now_ms)
        self.exchange.send_begun(key, origin)

    def _receive(self, message: object) -> None:
        if isinstance(message, BegunStreams):
            self.exchange.receive(message)
        else:
            self.exchange.receive_from_agent(message)


class SimulatedAgent:
    """The origins that an agent keeps."""

    def __init__(self, network: Network, vm: str, *, clock: Callable[[], float]) -> None:
        keeper = StreamOriginKeeper(network.join(vm, AGENT), metrics=Metrics())
        network.handler_by_address[vm] = lambda message: keeper.receive(message, clock())
