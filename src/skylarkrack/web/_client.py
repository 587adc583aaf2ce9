"""An HTTP/1.1 client on `h11` with pooled connections, streamed responses and bounded waits."""

import asyncio
from collections.abc import AsyncIterator, Callable, Collection

import h11

from skylarkrack._addresses import split_address
from skylarkrack._errors import LinkLost
from skylarkrack.web._buffer_budget import BufferBudget, HeldBytes
from skylarkrack.web._connection import ClientConnection

MAX_IDLE_CONNECTIONS = 8
"""Default bound on the idle connections of a client; further ones are closed."""

KEEP_ALIVE_USED_FRACTION = 0.7
"""Fraction of the server's keep-alive time during which an idle connection is reused.

It is less than one, since either end may be late.
"""

MAX_RESPONSE_BODY_BYTES = 4_194_304
"""Bound on a body read by `ClientResponse.read_body`; a larger one raises `LinkLost`."""

BODY_TIMEOUT_FACTOR = 10
"""Default bound on the time to read a body, as a multiple of the longest wait for a piece. A server
that sends a byte now and then would otherwise be read for ever."""

MAX_BODY_PIECES = 20_000
"""Bound on the pieces of a body; beyond it `LinkLost` is raised. Each piece costs the same whatever
its size, so that a body of tiny pieces without end would cost the processor until its deadline."""

MAX_SKIPPED_BYTES = 1_048_576
"""Bound on the bodies of the responses that are skipped; beyond it `LinkLost` is raised."""

MAX_SKIPPED_ANSWERS = 4
"""Bound on the responses to earlier requests that are skipped; beyond it `LinkLost` is raised."""

Headers = list[tuple[bytes, bytes]]


class ClientResponse:
    """A response whose body is still being received; close it unless it is read to its end.

    *connection* is the connection on which it arrived.
    """

    __slots__ = ("_client", "_is_done", "connection", "headers", "status")

    def __init__(
        self, client: "HttpClient", connection: ClientConnection, head: h11.Response
    ) -> None:
        self._client = client
        self.connection = connection
        self._is_done = False
        self.status = head.status_code
        self.headers: Headers = [(bytes(name), bytes(value)) for name, value in head.headers]

    def header(self, name: bytes) -> str | None:
        """Return the value of the header *name* (lower case), or None."""
        return next((v.decode("latin-1") for k, v in self.headers if k == name), None)

    async def iter_body(self, *, timeout_ms: float) -> AsyncIterator[bytes]:
        """Yield the body in pieces, waiting at most *timeout_ms* for each.

        Raises `LinkLost` if the connection fails or a wait times out before the end of the body,
        and for a body of more than `MAX_BODY_PIECES`.
        """
        for _ in range(MAX_BODY_PIECES + 1):
            event = await self.connection.next_event(timeout_ms)
            if isinstance(event, h11.EndOfMessage):
                self._is_done = True
                self._client.put_back(self.connection)
                return
            yield bytes(event.data)
        raise LinkLost("an answer in too many pieces", sent=True)

    async def read_body(self, *, timeout_ms: float, total_ms: float | None = None) -> bytes:
        """Return the complete body, waiting at most *timeout_ms* for each piece.

        *total_ms* bounds the time for the whole body; it is `BODY_TIMEOUT_FACTOR` times
        *timeout_ms* if not given. Raises `LinkLost` as `iter_body` does, and for a body that takes
        longer or is larger than `MAX_RESPONSE_BODY_BYTES`.
        """
        body = bytearray()
        held = self._client.hold(self._give_up)
        if total_ms is None:
            total_ms = BODY_TIMEOUT_FACTOR * timeout_ms
        try:
            async with asyncio.timeout(total_ms / 1000):
                async for data in self.iter_body(timeout_ms=timeout_ms):
                    body += data
                    if len(body) > MAX_RESPONSE_BODY_BYTES:
                        raise LinkLost("the answer is too large", sent=True)
                    held.resize(len(body))
        except TimeoutError as error:
            self.close()
            raise LinkLost("the answer has no end in time", sent=True) from error
        except LinkLost:
            self.close()
            raise
        finally:
            held.close()
        return bytes(body)

    def _give_up(self) -> None:
        self.connection.give_up("the answers take too much memory")

    def close(self) -> None:
        """Close the connection if the body was not read to its end."""
        if not self._is_done:
            self.connection.close()


class HttpClient:
    """Sends requests to one address; up to *max_idle* idle connections are kept for reuse.

    A lower *max_idle* takes effect as connections become idle. *budget* bounds the bodies that are
    being read together with what else shares it.
    """

    __slots__ = ("_budget", "_host", "_idle", "_port", "max_idle")

    def __init__(
        self,
        address: str,
        *,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        budget: BufferBudget | None = None,
    ) -> None:
        self._host, self._port = split_address(address)
        self._budget = budget or BufferBudget()
        self._idle: list[ClientConnection] = []
        self.max_idle = max_idle

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_ms: float,
        connect_timeout_ms: float | None = None,
        fresh: bool = False,
        max_idle_ms: float | None = None,
        excluded: Collection[ClientConnection] = (),
        is_own: Callable[[Headers], bool] | None = None,
        before_send: Callable[[ClientConnection], None] | None = None,
    ) -> ClientResponse:
        """Send a request and return its response once the head has been received.

        *timeout_ms* bounds the time to the end of the head, and the time to connect unless
        *connect_timeout_ms* is given. *fresh* uses a new connection, so that a failure to connect
        proves that nothing was sent; *max_idle_ms* bounds how long a reused connection may have
        been idle, and *excluded* holds connections that are not reused. *is_own* returns whether
        the headers are of a response to this request; other responses are skipped. *before_send*
        is called with the connection once there is one; if it raises, nothing is sent.

        Raises `LinkLost` if the connection fails, a wait times out, or too many responses were
        skipped.
        """
        connection = None if fresh else self._take_idle(max_idle_ms, excluded)
        if connection is None:
            connection = await self._connect(connect_timeout_ms or timeout_ms)
        try:
            if before_send is not None:
                before_send(connection)
            connection.send(self._head(method, target, headers, body), body)
            head = await _read_own_head(connection, timeout_ms, is_own)
        except BaseException:
            connection.close()
            raise
        return ClientResponse(self, connection, head)

    async def open_spare(self, timeout_ms: float) -> None:
        """Open a connection and keep it for a later request if fewer than *max_idle* are idle.

        Raises `LinkLost` if there is no connection within *timeout_ms*.
        """
        connection = await self._connect(timeout_ms)
        connection.idle_since_s = asyncio.get_running_loop().time()
        if len(self._idle) < self.max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    def hold(self, give_up: Callable[[], None]) -> HeldBytes:
        """Return the bytes of a body that is being read, and that *give_up* drops."""
        return self._budget.hold((self._host, self._port), give_up=give_up)

    def put_back(self, connection: ClientConnection) -> None:
        """Keep a connection whose response was read to its end, or close it if not reusable.

        With *max_idle* idle ones already, the one idle for longest is closed.
        """
        now_s = asyncio.get_running_loop().time()
        if not connection.prepare_reuse(now_s):
            connection.close()
            return
        self._idle.append(connection)
        while len(self._idle) > self.max_idle:
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(
        self, max_idle_ms: float | None, excluded: Collection[ClientConnection]
    ) -> ClientConnection | None:
        """Return the usable connection that became idle last and is not *excluded*, or None.

        Connections that have been idle for longer than *max_idle_ms* are kept for requests that
        may use them.
        """
        now_s = asyncio.get_running_loop().time()
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if max_idle_ms is not None and (now_s - connection.idle_since_s) * 1000 >= max_idle_ms:
                return None
            if connection in excluded:
                continue
            del self._idle[index]
            if connection.is_usable and connection.is_within_keep_alive(
                now_s, fraction=KEEP_ALIVE_USED_FRACTION
            ):
                return connection
            connection.close()
        return None

    async def _connect(self, timeout_ms: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    ClientConnection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise LinkLost(f"no connection: {error!r}", sent=False) from error
        return connection

    def _head(self, method: str, target: str, headers: Headers, body: bytes) -> h11.Request:
        default_headers = [(b"content-length", str(len(body)).encode())]
        if not any(name == b"host" for name, _ in headers):
            default_headers.append((b"host", f"{self._host}:{self._port}".encode()))
        return h11.Request(method=method, target=target, headers=[*default_headers, *headers])


async def _read_own_head(
    connection: ClientConnection, timeout_ms: float, is_own: Callable[[Headers], bool] | None
) -> h11.Response:
    """Return the head of the response to this request; responses to earlier ones are skipped."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            skipped_bytes = 0
            for _ in range(MAX_SKIPPED_ANSWERS):
                head = await connection.next_head(timeout_ms)
                if is_own is None or is_own(head.headers):
                    return head
                event = await connection.next_event(timeout_ms)
                while not isinstance(event, h11.EndOfMessage):
                    skipped_bytes += len(event.data)
                    if skipped_bytes > MAX_SKIPPED_BYTES:
                        raise LinkLost("an answer to another request is too large", sent=True)
                    event = await connection.next_event(timeout_ms)
                connection.skip_answer()
    except TimeoutError as error:
        raise LinkLost("no head of an answer in time", sent=True) from error
    raise LinkLost("answers to other requests only", sent=True)
