"""The entry process: its components, its links and the dispatch of messages."""

import asyncio
import itertools
from functools import singledispatchmethod
from random import Random

from skylarkrack import messages
from skylarkrack._burn import BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._config_keeper import ConfigKeeper
from skylarkrack._events import Event, log
from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack._settings import Settings
from skylarkrack._status import StatusServer, StatusSources
from skylarkrack._traces import Traces
from skylarkrack.core import ROUTING_BY_NAME, RetryBudget, Router, SuspectTracker
from skylarkrack.entry._budgets import Budgets
from skylarkrack.entry._context import Context
from skylarkrack.entry._http_api import HttpApi
from skylarkrack.entry._open_exchanges import OpenExchanges
from skylarkrack.entry._responses import refuse
from skylarkrack.entry._tickets import TicketClient
from skylarkrack.messages import PROTOCOL_VERSION, Hello, Ping, Pong
from skylarkrack.ports import PlatformPort
from skylarkrack.web import HttpServer
from skylarkrack.wire import Link, accept_links

TICK_MS = 50
"""Interval at which budgets are advanced and the access of open exchanges is checked."""

DRAIN_NOTICE_MS = 1500
"""How long a stopping entry still accepts connections once it reports that it is not ready.

It gives the balancer time to stop sending callers to this entry.
"""


class Entry:
    """An entry process: serves callers, and keeps links to agents and other entries."""

    __slots__ = (
        "_caller_server",
        "_context",
        "_api",
        "_is_lease_held",
        "_incarnation",
        "_link_server",
        "_settings",
        "_status_server",
        "_tick_task",
    )

    def __init__(
        self, settings: Settings, *, platform: PlatformPort, incarnation: str, random: Random
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._is_lease_held = False
        self._link_server: asyncio.Server | None = None
        self._tick_task: asyncio.Task | None = None
        links = Links(self)
        request_numbers = itertools.count(1)
        self._context = Context(
            keeper=ConfigKeeper(
                vm=settings.vm, platform=platform, random=random, on_change=self._update
            ),
            links=links,
            router=Router(policy=ROUTING_BY_NAME[settings.policy.routing]),
            budgets=Budgets(
                vm=settings.vm,
                incarnation=incarnation,
                links=links,
                is_pooled=settings.policy.budgets == "pooled",
            ),
            exchanges=OpenExchanges(),
            tickets=TicketClient(),
            suspect_tracker=SuspectTracker(),
            retry_budget=RetryBudget(),
            metrics=Metrics(),
            burn=BurnMeter(),
            traces=Traces(),
            next_request_id=lambda: f"{settings.vm}-{incarnation}-{next(request_numbers)}",
        )
        self._api = HttpApi(self._context)
        limits = settings.limits.to_server_limits()
        self._caller_server = HttpServer(
            self._api.handle, refuse=refuse, limits=limits, name="callers"
        )
        sources = StatusSources(
            describe=self._describe,
            metrics=self._context.metrics,
            burn=self._context.burn,
            traces=self._context.traces,
        )
        self._status_server = StatusServer(sources, limits=limits)

    async def start(self) -> None:
        """Open the listeners, and start to watch the platform and to tick."""
        self._link_server = await accept_links(self, self._settings.listen)
        await self._status_server.start(self._settings.status)
        await self._caller_server.start(self._settings.callers)
        await self._context.keeper.start()
        self._tick_task = asyncio.create_task(self._tick())

    async def drain(self) -> None:
        """Report that the entry is not ready, then close the listener and finish open requests."""
        log(Event.DRAIN_STARTED, open=len(self._context.exchanges))
        self._api.is_draining = True
        await asyncio.sleep(DRAIN_NOTICE_MS / 1000)
        await self._caller_server.drain()

    async def close(self) -> None:
        """Close all servers, links and background tasks."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        await self._caller_server.close()
        await self._status_server.close()
        await self._context.keeper.close()
        self._context.links.close()
        if self._link_server is not None:
            self._link_server.close()

    # Link handler

    def hello(self) -> Hello:
        """Return the first message of this process on a new link."""
        return Hello(
            protocol=PROTOCOL_VERSION,
            role="entry",
            vm=self._settings.vm,
            domain=self._settings.domain,
            incarnation=self._incarnation,
        )

    def pong(self, ping: Ping) -> Pong:
        """Return the response to a heartbeat; it also reports whether this entry is draining."""
        return self._context.keeper.pong(ping, leaving=self._api.is_draining)

    def pong_received(self, link: Link, pong: Pong, asked_ms: float) -> None:
        """Handle the response of a peer to a heartbeat sent at *asked_ms*."""
        self._context.keeper.pong_received(link, pong, asked_ms)

    def link_up(self, link: Link) -> None:
        """Register a new link."""
        log(Event.LINK_UP, vm=link.vm)
        self._context.links.add(link)
        self._context.budgets.update_links()

    def link_down(self, link: Link) -> None:
        """Remove a closed link, and fail the exchanges that were sent over it.

        The state of a VM is dropped only when no other link to it is open.
        """
        log(Event.LINK_DOWN, vm=link.vm)
        context = self._context
        context.links.remove(link)
        context.exchanges.link_lost(link)
        if context.links.link_to(link.vm) is None:
            context.router.forget(link.vm)
            context.keeper.link_down(link.vm)
        context.budgets.update_links()

    @singledispatchmethod
    def _dispatch_message(self, message: object, link: Link) -> None:
        """Handle messages without a method of their own: they belong to open exchanges."""
        self._context.exchanges.receive_message(link, message)

    def message_received(self, link: Link, message: object) -> None:
        """Dispatch a message by its type."""
        self._dispatch_message(message, link)

    @_dispatch_message.register
    def _(self, message: messages.EndpointReport, link: Link) -> None:
        self._context.router.observe_report(link.vm, message)

    @_dispatch_message.register
    def _(self, message: messages.Suspects, link: Link) -> None:
        now_ms = monotonic_ms()
        for fingerprint in message.fingerprints:
            self._context.suspect_tracker.observe_crash(
                message.crash_id,
                fingerprint,
                is_confirmed=message.is_confirmed,
                was_alone=message.was_alone,
                now_ms=now_ms,
            )
        log(Event.CRASH_SUSPECTS, vm=link.vm, suspects=len(message.fingerprints))

    @_dispatch_message.register
    def _(self, message: messages.SuspectsCleared, link: Link) -> None:
        for fingerprint in message.fingerprints:
            self._context.suspect_tracker.observe_cleared(fingerprint, now_ms=monotonic_ms())

    @_dispatch_message.register(messages.PledgeRequest)
    @_dispatch_message.register(messages.Pledge)
    @_dispatch_message.register(messages.ReserveRequest)
    @_dispatch_message.register(messages.Reserved)
    @_dispatch_message.register(messages.NotReserved)
    @_dispatch_message.register(messages.Refund)
    def _(self, message: object, link: Link) -> None:
        self._context.budgets.receive_message(link.vm, message)

    @_dispatch_message.register
    def _(self, message: messages.Ticket, link: Link) -> None:
        self._context.tickets.receive_message(message)

    @_dispatch_message.register
    def _(self, message: messages.LoadPermitRequest, link: Link) -> None:
        self._context.budgets.permit_load(link, message)

    @_dispatch_message.register
    def _(self, message: messages.ValuesRequest, link: Link) -> None:
        self._context.keeper.send_values(link, message)

    @_dispatch_message.register
    def _(self, message: messages.Value, link: Link) -> None:
        self._context.keeper.value_received(message)

    @_dispatch_message.register
    def _(self, message: messages.ValuesEnd, link: Link) -> None:
        self._context.keeper.values_end_received(message)

    # Configuration and time

    def _update(self) -> None:
        """Apply a newer configuration."""
        context = self._context
        vms = context.keeper.catalogue.vm_by_name.values()
        context.router.observe_leaving({vm.name for vm in vms if vm.leaving})
        address_by_peer = {vm.name: vm.address for vm in vms if vm.name != self._settings.vm}
        context.links.dial_only(address_by_peer)
        context.budgets.update_catalogue(context.keeper.catalogue)
        self._end_withdrawn()

    async def _tick(self) -> None:
        while True:
            self._context.budgets.update_lease(self._context.keeper.lease.ends_ms())
            self._context.budgets.tick()
            self._log_lease_change()
            self._end_withdrawn()
            await asyncio.sleep(TICK_MS / 1000)

    def _end_withdrawn(self) -> None:
        count = self._context.exchanges.end_withdrawn()
        if count:
            log(Event.STREAM_CUT, count=count)

    def _log_lease_change(self) -> None:
        is_held = self._context.may_act()
        if is_held == self._is_lease_held:
            return
        self._is_lease_held = is_held
        log(Event.ACCESS_LEASE_HELD if is_held else Event.ACCESS_LEASE_LOST)

    def _describe(self) -> dict[str, object]:
        context = self._context
        return {
            "vm": self._settings.vm,
            "role": "entry",
            "incarnation": self._incarnation,
            "ready": self._api.is_ready(),
            "open_requests": len(context.exchanges),
            "configuration": context.keeper.describe(monotonic_ms()),
            "links": context.links.describe(),
            "endpoints": context.router.describe(),
            "shares": context.budgets.describe(),
        }
