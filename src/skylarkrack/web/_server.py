"""An HTTP/1.1 server on `h11` with bounded input, for callers, the balancer and operators."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from skylarkrack._addresses import split_address
from skylarkrack._errors import Code, Outcome, RequestRefused, internal_error
from skylarkrack._events import Event, log
from skylarkrack.web._buffer_budget import BufferBudget

READ_BYTES = 65_536
"""Bound on the bytes that one read from a connection returns."""

DRAIN_POLL_MS = 20
"""Interval at which a closing server checks whether all connections have ended."""

LISTEN_BACKLOG = 1024
"""Bound on connections waiting to be accepted; beyond it a client retries only after seconds."""

MAX_UNSENT_BYTES = 4_194_304
"""Bound on bytes buffered for a caller that does not read; beyond it the connection is aborted."""

NO_ROOM_RETRY_AFTER_MS = 500
"""Retry-after of a request for whose body there is no memory; others end within that time."""

# A request that repeats one of these headers is refused as malformed.
_SINGLE_HEADERS = (b"host", b"content-length", b"transfer-encoding", b"authorization")
_SINGLE_HEADERS += (b"idempotency-key", b"idempotency-ticket", b"content-type")

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Bounds on requests and connections.

    *head_bytes* and *body_bytes* bound the sizes of a request's head and body. *read_timeout_ms*
    bounds each wait for further bytes of a request, and *idle_timeout_ms* the wait for its first
    byte. *connections* bounds the open connections; further ones are closed at once.
    """

    head_bytes: int = 16_384
    body_bytes: int = 2_097_152
    read_timeout_ms: float = 10_000
    idle_timeout_ms: float = 10_000
    connections: int = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: bytes) -> str | None:
        """Return the value of the header *name*, or None."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


def _ignore_end() -> None:
    """Stand in for the handler of a connection's end."""


class _CallerReader(asyncio.StreamReader):
    """The bytes of a caller's connection.

    *has_ended* is set, and *on_end* called, in the callback of the event loop that reads the
    connection's close or reset; bytes before it may still be buffered. *close_reason* says why this
    process closed the connection; it is empty if it didn't.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit, loop=asyncio.get_running_loop())
        self.has_ended = False
        self.close_reason = ""
        self.on_end: Callable[[], None] = _ignore_end

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that nobody has read from this reader."""
        return bool(self._buffer)

    def feed_eof(self) -> None:
        """Record a close."""
        super().feed_eof()
        self._end()

    def set_exception(self, error: Exception) -> None:
        """Record a reset."""
        super().set_exception(error)
        self._end()

    def _end(self) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.on_end()


class Responder:
    """Writes the response to one request; nothing may be written after `end` or `cut`.

    *on_caller_left* is called once as soon as the caller's close or reset is read, even if bytes
    before it are still to be handled.
    """

    __slots__ = (
        "_connection",
        "_has_ended",
        "_may_keep_alive",
        "_on_unsent",
        "_pending_chunks",
        "_reader",
        "_writer",
        "has_started",
        "on_caller_left",
    )

    def __init__(
        self,
        connection: h11.Connection,
        reader: _CallerReader,
        writer: asyncio.StreamWriter,
        *,
        may_keep_alive: Callable[[], bool],
        on_unsent: Callable[[int], None],
    ) -> None:
        self._on_unsent = on_unsent
        self._connection = connection
        self._reader = reader
        self._writer = writer
        self._may_keep_alive = may_keep_alive
        self._has_ended = False
        self._pending_chunks: list[bytes] = []
        self.has_started = False
        self.on_caller_left: Callable[[], None] | None = None

    @property
    def is_disconnected(self) -> bool:
        """Whether the connection is closed, so that nothing can be written."""
        return self._writer.transport.is_closing()

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller has closed its end of the connection, or the connection is closed."""
        return self.is_disconnected or self._reader.has_ended

    @property
    def close_reason(self) -> str:
        """Why this process closed the connection; empty if it is open or the caller closed it."""
        return self._reader.close_reason

    @property
    def has_ended(self) -> bool:
        """Whether the response is complete."""
        return self._has_ended

    def start(self, status: int, headers: Headers) -> None:
        """Write status and headers; without a content length the body is chunked."""
        self.has_started = True
        if not self._may_keep_alive():
            headers = [*headers, (b"connection", b"close")]
        self._queue(h11.Response(status_code=status, headers=headers))

    def send(self, data: bytes) -> None:
        """Write a piece of the body at the end of this iteration of the event loop."""
        if data:
            self._queue(h11.Data(data=data))

    def end(self) -> None:
        """Complete the response and write all that is pending."""
        self._queue(h11.EndOfMessage())
        self._has_ended = True
        self._flush()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        self.start(status, [*headers, (b"content-length", str(len(body)).encode())])
        self.send(body)
        self.end()

    def cut(self) -> None:
        """Close the connection, so that an incomplete response is not taken for complete."""
        self._flush()
        self._reader.close_reason = self._reader.close_reason or "the response broke off"
        self._writer.close()

    def _queue(self, event: object) -> None:
        if self.is_disconnected:
            return
        if not self._pending_chunks:
            asyncio.get_running_loop().call_soon(self._flush)
        data = self._connection.send(event)
        if data:
            self._pending_chunks.append(data)

    def _flush(self) -> None:
        if not self._pending_chunks or self.is_disconnected:
            return
        data, self._pending_chunks = b"".join(self._pending_chunks), []
        self._writer.write(data)
        unsent = self._writer.transport.get_write_buffer_size()
        self._on_unsent(unsent)
        if unsent > MAX_UNSENT_BYTES:
            self._reader.close_reason = "the caller does not read its response"
            self._writer.transport.abort()


Handler = Callable[[Request, Responder], Awaitable[None]]
RefusalWriter = Callable[[Responder, RequestRefused], None]


class HttpServer:
    """Passes each request to *handler*, within *limits*.

    *refuse* answers requests that the server or *handler* refuses. *name* identifies the server in
    the log. *budget* bounds the bodies of requests and the unsent parts of responses.
    """

    __slots__ = (
        "_budget",
        "_connections",
        "_handler",
        "_is_close_announced",
        "_is_closing",
        "_limits",
        "_name",
        "_refuse",
        "_server",
    )

    def __init__(
        self,
        handler: Handler,
        *,
        refuse: RefusalWriter,
        limits: ServerLimits,
        name: str,
        budget: BufferBudget | None = None,
    ) -> None:
        self._budget = budget or BufferBudget()
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._name = name
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._is_closing = False
        self._is_close_announced = False

    async def start(self, address: str) -> None:
        """Listen on *address*, as `host:port`; raises `OSError` if that fails."""
        host, port = split_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, port, backlog=LISTEN_BACKLOG
        )

    @property
    def bound_address(self) -> tuple[str, int]:
        """Host and port that the server listens on; the system may have chosen the port."""
        return self._server.sockets[0].getsockname()[:2]

    def set_limits(self, limits: ServerLimits) -> None:
        """Replace the limits, also for open connections."""
        self._limits = limits

    def announce_close(self) -> None:
        """Close each connection after its next response, but accept new ones meanwhile."""
        self._is_close_announced = True

    async def drain(self) -> None:
        """Stop accepting, close idle connections, and wait for the responses in progress."""
        self._is_closing = True
        if self._server is not None:
            self._server.close()
        # The event loop handles what has arrived after the tasks that are ready in the same round.
        for _ in range(2):
            await asyncio.sleep(0)
        for connection in list(self._connections):
            connection.close_if_idle()
        await self._wait_until_empty()

    async def close(self) -> None:
        """Abort all connections and wait until the task of each has ended."""
        self._is_closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()
        await self._wait_until_empty()

    async def _wait_until_sent(self, writer: asyncio.StreamWriter) -> None:
        """Wait until a closed connection has sent its bytes; abort it if its caller stops reading.

        The time-out begins anew with each piece that the caller takes.
        """
        transport, closed = writer.transport, None
        while unsent := transport.get_write_buffer_size():
            closed = closed or asyncio.ensure_future(writer.wait_closed())
            await asyncio.wait((closed,), timeout=self._limits.read_timeout_ms / 1000)
            if not closed.done() and transport.get_write_buffer_size() == unsent:
                transport.abort()
        if closed is not None:
            await asyncio.gather(closed, return_exceptions=True)

    async def _wait_until_empty(self) -> None:
        while self._connections:  # noqa: ASYNC110 - each connection ends by its own time-outs
            await asyncio.sleep(DRAIN_POLL_MS / 1000)

    @property
    def is_closing(self) -> bool:
        """Whether connections are closed after their current or next response."""
        return self._is_closing or self._is_close_announced

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = _CallerReader(limit=self._limits.head_bytes)
        return asyncio.StreamReaderProtocol(reader, self._serve)

    async def _serve(self, reader: _CallerReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self._limits.connections or self._is_closing:
            writer.close()
            return
        connection = _Connection(self, reader, writer)
        self._connections.add(connection)
        try:
            await connection.run()
        except (OSError, EOFError, TimeoutError, h11.ProtocolError):
            pass
        finally:
            reader.on_end = _ignore_end
            writer.close()
            # The connection counts until its last response is sent, also in a planned stop.
            await self._wait_until_sent(writer)
            self._connections.discard(connection)
            connection.release()


class _Connection:
    """One caller's connection; requests are read and answered one after another."""

    __slots__ = (
        "_h11",
        "_has_dropped_bytes",
        "_reader",
        "_request_held",
        "_responder",
        "_server",
        "_unsent_held",
        "_writer",
    )

    def __init__(
        self, server: HttpServer, reader: _CallerReader, writer: asyncio.StreamWriter
    ) -> None:
        self._server = server
        self._reader = reader
        reader.on_end = self._caller_left
        self._responder: Responder | None = None
        self._writer = writer
        self._h11 = self._new_parser()
        self._has_dropped_bytes = False
        self._request_held = server._budget.hold(self)
        self._unsent_held = server._budget.hold(
            self, give_up=self._give_up_unsent, measure=writer.transport.get_write_buffer_size
        )

    def _new_parser(self) -> h11.Connection:
        head_bytes = self._server._limits.head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)

    def _new_responder(self, *, may_keep_alive: Callable[[], bool]) -> Responder:
        return Responder(
            self._h11,
            self._reader,
            self._writer,
            may_keep_alive=may_keep_alive,
            on_unsent=self._unsent_held.resize,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived since the last response was complete."""
        return not self._has_request_begun and not self._reader.has_unread

    @property
    def _has_request_begun(self) -> bool:
        """Whether the parser holds a request or a part of one.

        Derived from the parser, whose state stays past `h11.IDLE` until the next cycle begins:
        bytes of a request may arrive before, while and after the handler of another one ends.
        """
        return self._h11.their_state is not h11.IDLE or bool(self._h11.trailing_data[0])

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle:
            self._reader.close_reason = "no request was in progress at a planned stop"
            self._writer.close()

    def release(self) -> None:
        """Record that the connection holds nothing any more."""
        self._request_held.close()
        self._unsent_held.close()

    def _give_up_unsent(self) -> None:
        self._reader.close_reason = "what callers do not read takes too much memory"
        self._writer.transport.abort()

    def abort(self) -> None:
        """Close the connection at once; pending bytes are discarded."""
        self._reader.close_reason = "the server closes"
        self._writer.transport.abort()

    async def run(self) -> None:
        """Serve requests until either end closes the connection."""
        while not self._writer.transport.is_closing():
            if not await self._serve_request():
                return

    async def _serve_request(self) -> bool:
        """Serve one request and return whether the connection can serve another."""
        try:
            request = await self._read_request()
        except RequestRefused as refusal:
            self._refuse(refusal)
            return False
        if request is None:
            return False
        responder = self._new_responder(may_keep_alive=lambda: not self._server.is_closing)
        self._responder = responder
        await self._handle(request, responder)
        self._request_held.resize(0)
        # Without this, responder and handler would refer to each other until a garbage collection.
        self._responder = responder.on_caller_left = None
        if not responder.has_ended or self._has_dropped_bytes or not self._start_next_cycle():
            return False
        # A response that began before the stop didn't announce the close, so that the caller may
        # have sent its next request, whose response announces it.
        return not (self._server.is_closing and self.is_idle)

    async def _handle(self, request: Request, responder: Responder) -> None:
        handler_task = asyncio.ensure_future(self._server._handler(request, responder))
        close_task = asyncio.ensure_future(self._wait_for_close())
        try:
            await asyncio.wait((handler_task, close_task), return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not handler_task.done():
                handler_task.cancel()
            # The next request must not be read before this task's read has ended.
            close_task.cancel()
            await asyncio.wait((close_task,))
        try:
            await handler_task
        except asyncio.CancelledError:
            pass
        except RequestRefused as refusal:
            self._server._refuse(responder, refusal)
        except Exception as error:  # noqa: BLE001 - one failed request must not end the process
            self._log_failure(error)
            self._answer_failure(responder)

    def _answer_failure(self, responder: Responder) -> None:
        """Answer a request whose handler failed, or cut a response that it had begun."""
        try:
            if not responder.has_started:
                self._server._refuse(responder, internal_error(Outcome.UNKNOWN))
        except Exception as error:  # noqa: BLE001 - the connection still has to end
            self._log_failure(error)
        if not responder.has_ended:
            responder.cut()

    def _log_failure(self, error: Exception) -> None:
        log(Event.HANDLER_FAILED, server=self._server._name, error=repr(error))

    def _caller_left(self) -> None:
        if self._responder is not None and self._responder.on_caller_left is not None:
            self._responder.on_caller_left()

    async def _wait_for_close(self) -> None:
        """Return when the caller has closed the connection.

        Bytes of the next request are kept in the parser. More than a request may have are dropped,
        and the connection then ends with the current response.
        """
        limits = self._server._limits
        while not self._h11.trailing_data[1]:
            data = await self._reader.read(READ_BYTES)
            self._has_dropped_bytes |= (
                len(self._h11.trailing_data[0]) > limits.head_bytes + limits.body_bytes
            )
            if data and self._has_dropped_bytes:
                continue
            try:
                self._h11.receive_data(data)
            except RuntimeError:
                return

    def _start_next_cycle(self) -> bool:
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    async def _read_request(self) -> Request | None:
        """Return the next complete request, or None if the caller has closed the connection.

        Raises `RequestRefused` if it is malformed, too large or too slow.
        """
        limits = self._server._limits
        head = await self._next_event()
        if head is None:
            return None
        self._check_head(head)
        self._check_room(_length_of(head))
        body = bytearray()
        while True:
            event = await self._next_event()
            if event is None:
                return None
            if isinstance(event, h11.EndOfMessage):
                break
            body += event.data
            if len(body) > limits.body_bytes:
                raise RequestRefused("the body is too large", code=Code.BODY_TOO_LARGE)
            self._check_room(len(body))
            self._request_held.resize(len(body))
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=[(bytes(name), bytes(value)) for name, value in head.headers],
            body=bytes(body),
        )

    def _check_room(self, size: int) -> None:
        """Raise `RequestRefused` if there is no memory for a body of *size* bytes."""
        if not self._request_held.has_room(size):
            raise RequestRefused(
                "the requests of others take the memory",
                code=Code.QUEUE_FULL,
                retry_after_ms=NO_ROOM_RETRY_AFTER_MS,
            )

    def _check_head(self, head: h11.Request) -> None:
        check_head(head, self._server._limits)
        if self._h11.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._h11.send(interim))

    async def _next_event(self) -> object | None:
        """Return the next event of the parser, or None at the end of the connection."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                code = Code.HEAD_TOO_LARGE if error.error_status_hint == 431 else None
                raise _malformed(str(error), code=code) from error
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None
            if event is not h11.NEED_DATA:
                return event
            await self._read_bytes()

    async def _read_bytes(self) -> None:
        limits = self._server._limits
        started = self._has_request_begun
        timeout_ms = limits.read_timeout_ms if started else limits.idle_timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            data = await self._take_arrived()
            if data is None and not started:
                raise
            if data is None:
                reason = "the request came too slowly"
                raise RequestRefused(reason, code=Code.REQUEST_TIMEOUT) from None
        self._h11.receive_data(data)

    async def _take_arrived(self) -> bytes | None:
        """Return what has arrived, or None if nothing has.

        A process that was frozen or starved handles its timers together with what arrived before
        they were due, or first if the freeze interrupted its wait for events. A time-out then
        cancels a read although its data is there, or is received in the next round of the loop.
        """
        await asyncio.sleep(0)
        try:
            async with asyncio.timeout(0):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            return None

    def _refuse(self, refusal: RequestRefused) -> None:
        log(Event.BAD_CALLER, server=self._server._name, code=int(refusal.code))
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._server._refuse(self._new_responder(may_keep_alive=lambda: False), refusal)


def _malformed(reason: str, *, code: Code | None = None) -> RequestRefused:
    return RequestRefused(reason, code=code or Code.MALFORMED_HTTP, outcome=Outcome.NOT_RUN)


def _length_of(head: h11.Request) -> int:
    """Return the length of the body that a head states, or 0."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


def check_head(head: h11.Request, limits: ServerLimits) -> None:
    """Raise `RequestRefused` for a head that two readers may understand differently, or that is
    above the limits."""
    names = [name for name, _ in head.headers]
    for name in _SINGLE_HEADERS:
        if names.count(name) > 1:
            raise _malformed(f"two headers {name.decode()}")
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _malformed("two lengths")
    size = len(head.target) + sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size > limits.head_bytes:
        raise _malformed("the head is too large", code=Code.HEAD_TOO_LARGE)
    if not head.target.startswith(b"/"):
        raise _malformed("the target is no path")
    if _length_of(head) > limits.body_bytes:
        raise RequestRefused("the body is too large", code=Code.BODY_TOO_LARGE)
