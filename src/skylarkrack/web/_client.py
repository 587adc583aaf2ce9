"""A small HTTP/1.1 client on `h11`: pooled connections, streamed answers, bounded waits."""

import asyncio
from collections.abc import AsyncIterator

import h11

from skylarkrack._errors import LinkLost
from skylarkrack._settings import split_address

READ_BYTES = 65_536
MAX_IDLE = 8
"""Connections kept open without a request."""

MAX_WHOLE_BYTES = 4_194_304
"""Bound on an answer that is read whole."""

Headers = list[tuple[bytes, bytes]]


class ClientResponse:
    """An answer whose body is still coming. Close it if it is not read to its end."""

    __slots__ = ("_client", "_connection", "_is_done", "headers", "status")

    def __init__(self, client: "HttpClient", connection: "_Connection", head: h11.Response) -> None:
        self._client = client
        self._connection = connection
        self._is_done = False
        self.status = head.status_code
        self.headers: Headers = [(bytes(name), bytes(value)) for name, value in head.headers]

    def header(self, name: bytes) -> str | None:
        """Return the value of the header *name* (lower case), or None."""
        return next((v.decode("latin-1") for k, v in self.headers if k == name), None)

    async def parts(self, *, timeout_ms: float) -> AsyncIterator[bytes]:
        """Yield the body; each part has to come within *timeout_ms*.

        Raises `LinkLost` where the connection breaks, or stays silent, before the body's end.
        """
        while True:
            event = await self._connection.next_event(timeout_ms)
            if isinstance(event, h11.EndOfMessage):
                break
            yield bytes(event.data)
        self._is_done = True
        self._client.put_back(self._connection)

    async def whole(self, *, timeout_ms: float) -> bytes:
        """Return the whole body; raises as `parts` does."""
        body = bytearray()
        async for part in self.parts(timeout_ms=timeout_ms):
            body += part
            if len(body) > MAX_WHOLE_BYTES:
                self.close()
                raise LinkLost("the answer is too large", sent=True)
        return bytes(body)

    def close(self) -> None:
        """Drop the connection if the body was not read to its end."""
        if not self._is_done:
            self._connection.close()


class HttpClient:
    """Requests to one address."""

    __slots__ = ("_host", "_idle", "_port")

    def __init__(self, address: str) -> None:
        self._host, self._port = split_address(address)
        self._idle: list[_Connection] = []

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_ms: float,
        fresh: bool = False,
    ) -> ClientResponse:
        """Send a request and return its answer once the head is there.

        *fresh* takes a new connection, so that a refusal to connect proves that nothing was sent.
        Raises `LinkLost`.
        """
        connection = await self._connect(timeout_ms, fresh=fresh)
        try:
            connection.send(self._head(method, target, headers, body), body)
            head = await connection.next_head(timeout_ms)
        except BaseException:
            connection.close()
            raise
        return ClientResponse(self, connection, head)

    def put_back(self, connection: "_Connection") -> None:
        """Keep a connection whose answer was read to its end."""
        if len(self._idle) < MAX_IDLE and connection.renew():
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _connect(self, timeout_ms: float, *, fresh: bool) -> "_Connection":
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                reader, writer = await asyncio.open_connection(self._host, self._port)
        except (OSError, TimeoutError) as error:
            raise LinkLost(f"no connection: {error!r}", sent=False) from error
        return _Connection(reader, writer)

    def _head(self, method: str, target: str, headers: Headers, body: bytes) -> h11.Request:
        fixed = [
            (b"host", f"{self._host}:{self._port}".encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        return h11.Request(method=method, target=target, headers=[*fixed, *headers])


class _Connection:
    """One connection, with one timer that drops it when a read waits too long.

    A time-out of its own for each read would cost more than the read: there is one a token.
    """

    __slots__ = ("_h11", "_limit_s", "_reader", "_timer", "_waiting_since_s", "_writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._h11 = h11.Connection(h11.CLIENT)
        self._reader = reader
        self._writer = writer
        self._limit_s = 0.0
        self._waiting_since_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the other end still seems to be there."""
        return not self._reader.at_eof() and not self._writer.transport.is_closing()

    def send(self, head: h11.Request, body: bytes) -> None:
        """Write a whole request."""
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        self._writer.write(data + (self._h11.send(h11.EndOfMessage()) or b""))

    async def next_head(self, timeout_ms: float) -> h11.Response:
        """Return the head of the answer, interim ones left out."""
        while True:
            event = await self.next_event(timeout_ms)
            if isinstance(event, h11.Response):
                return event

    async def next_event(self, timeout_ms: float) -> object:
        """Return the parser's next event, or raise `LinkLost`."""
        try:
            event = self._h11.next_event()
            while event is h11.NEED_DATA:
                self._h11.receive_data(await self._read(timeout_ms / 1000))
                event = self._h11.next_event()
        except (OSError, h11.RemoteProtocolError) as error:
            self.close()
            raise LinkLost(f"broken answer: {error!r}", sent=True) from error
        if isinstance(event, h11.ConnectionClosed):
            self.close()
            raise LinkLost("closed before the end", sent=True)
        return event

    async def _read(self, limit_s: float) -> bytes:
        """Return the next bytes; empty at the end, also where the timer has made it."""
        loop = asyncio.get_running_loop()
        self._waiting_since_s = loop.time()
        if self._timer is None or limit_s < self._limit_s:
            self._arm(loop, limit_s)
        self._limit_s = limit_s
        try:
            return await self._reader.read(READ_BYTES)
        finally:
            self._waiting_since_s = None

    def _arm(self, loop: asyncio.AbstractEventLoop, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._check, loop)

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        """Drop the connection if the read under way has reached its limit, else look again."""
        self._timer = None
        if self._waiting_since_s is None or self._writer.transport.is_closing():
            return
        left_s = self._waiting_since_s + self._limit_s - loop.time()
        if left_s > 0:
            self._arm(loop, left_s)
        else:
            self._writer.transport.abort()

    def renew(self) -> bool:
        """Make the connection ready for another request; tell whether it can be."""
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return self.is_usable

    def close(self) -> None:
        """Close the connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._writer.close()
