"""The agent process: its links to entries, its configuration, and its endpoint driver."""

import asyncio
from functools import singledispatchmethod
from random import Random

from skylarkrack._burn import BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._config_keeper import ConfigKeeper
from skylarkrack._events import Event, log
from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack._settings import EndpointSettings, Settings
from skylarkrack._status import StatusServer, StatusSources
from skylarkrack._traces import Traces
from skylarkrack.agent._endpoint_driver import EndpointDriver
from skylarkrack.agent._engine_driver import EngineDriver
from skylarkrack.agent._service_driver import ServiceDriver
from skylarkrack.messages import (
    PROTOCOL_VERSION,
    Hello,
    Ping,
    Pong,
    Value,
    ValuesEnd,
    ValuesRequest,
)
from skylarkrack.ports import EnginePort, PlatformPort, ServicePort
from skylarkrack.wire import Link, accept_links

DRAIN_NOTICE_MS = 500
"""How long a stopping agent stays up after its last answer, so that entries can read it."""


class Agent:
    """One agent process; it drives the endpoint that the settings name."""

    __slots__ = (
        "_driver",
        "_incarnation",
        "_is_leaving",
        "_keeper",
        "_links",
        "_server",
        "_settings",
        "_status",
    )

    def __init__(
        self, settings: Settings, *, platform: PlatformPort, incarnation: str, random: Random
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._is_leaving = False
        self._server: asyncio.Server | None = None
        self._links = Links(self)
        self._keeper = ConfigKeeper(
            vm=settings.vm, platform=platform, random=random, on_change=self._update
        )
        metrics = Metrics()
        self._driver = self._build_driver(settings.endpoint, metrics)
        sources = StatusSources(
            describe=self._describe, metrics=metrics, burn=BurnMeter(), traces=Traces()
        )
        self._status = StatusServer(sources, limits=settings.limits.to_server_limits())

    def _build_driver(self, endpoint: EndpointSettings, metrics: Metrics) -> EndpointDriver:
        vm, links = self._settings.vm, self._links
        if endpoint.kind == "engine":
            engine = EnginePort(endpoint.address)
            return EngineDriver(vm=vm, engine=engine, links=links, metrics=metrics)
        return ServiceDriver(
            name=endpoint.service or "",
            vm=vm,
            incarnation=self._incarnation,
            port=ServicePort(endpoint.address),
            links=links,
            metrics=metrics,
        )

    async def start(self) -> None:
        """Open the sockets and start watching the platform and the endpoint."""
        self._server = await accept_links(self, self._settings.listen)
        await self._status.start(self._settings.status)
        await self._keeper.start()
        await self._driver.start()

    async def drain(self) -> None:
        """Refuse new work, finish the work in progress, and wait `DRAIN_NOTICE_MS`."""
        log(Event.DRAIN_STARTED)
        self._is_leaving = True
        await self._driver.drain()
        await asyncio.sleep(DRAIN_NOTICE_MS / 1000)

    async def close(self) -> None:
        """Close the endpoint driver, the sockets and the links at once."""
        await self._driver.close()
        await self._status.close()
        await self._keeper.close()
        self._links.close()
        if self._server is not None:
            self._server.close()

    # Callbacks of links

    def hello(self) -> Hello:
        """Return the first message on each link, which identifies this process."""
        return Hello(
            protocol=PROTOCOL_VERSION,
            role="agent",
            vm=self._settings.vm,
            domain=self._settings.domain,
            incarnation=self._incarnation,
        )

    def pong(self, ping: Ping) -> Pong:
        """Return the reply to a heartbeat."""
        return self._keeper.pong(ping, leaving=self._is_leaving)

    def pong_received(self, link: Link, pong: Pong, asked_ms: float) -> None:
        """Process an entry's reply to a heartbeat that was sent at *asked_ms* (monotonic)."""
        self._keeper.pong_received(link, pong, asked_ms)

    def link_up(self, link: Link) -> None:
        """Register a link and send the current report of the endpoint over it."""
        log(Event.LINK_UP, vm=link.vm)
        self._links.add(link)
        link.send(self._driver.report())

    def link_down(self, link: Link) -> None:
        """Remove a link that has ended and the work that was received over it."""
        log(Event.LINK_DOWN, vm=link.vm)
        self._links.remove(link)
        self._driver.link_down(link)
        if self._links.link_to(link.vm) is None:
            self._keeper.link_down(link.vm)

    @singledispatchmethod
    def _dispatch_message(self, message: object, link: Link) -> None:
        self._driver.handle_message(link, message)

    def message_received(self, link: Link, message: object) -> None:
        """Process a message; those that do not concern the configuration go to the driver."""
        self._dispatch_message(message, link)

    @_dispatch_message.register
    def _(self, message: ValuesRequest, link: Link) -> None:
        self._keeper.send_values(link, message)

    @_dispatch_message.register
    def _(self, message: Value, link: Link) -> None:
        self._keeper.value_received(message)

    @_dispatch_message.register
    def _(self, message: ValuesEnd, link: Link) -> None:
        self._keeper.values_end_received(message)

    def _update(self) -> None:
        self._driver.update(self._keeper.catalogue)

    def _describe(self) -> dict[str, object]:
        return {
            "vm": self._settings.vm,
            "role": "agent",
            "incarnation": self._incarnation,
            "leaving": self._is_leaving,
            "configuration": self._keeper.describe(monotonic_ms()),
            "links": self._links.describe(),
            "endpoint": self._driver.describe(),
        }
