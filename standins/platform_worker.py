"""A stand-in for an endpoint on the users' platform that sends scripted replies."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

Reply = Callable[["Received", asyncio.StreamWriter], Awaitable[bool]]
"""Writes the reply to a request and returns whether the connection stays open."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A request as received; *headers* maps lower-case names to values."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PlatformWorker:
    """A server that replies byte for byte as *script* says.

    Each request takes the next reply; the last reply is used for all further requests.
    *received* lists the requests and *connections* counts the connections. *first_received* is set
    by the first request, *closed* when the first connection ends. *address* is set by `start`.
    """

    script: list[Reply]
    received: list[Received] = field(default_factory=list)
    connections: int = 0
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""
    first_received: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def crash(self) -> None:
        """Close every connection and refuse new ones."""
        self._server.close()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    async def close(self) -> None:
        """Stop listening and cancel the replies in progress."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await _read_request(reader)) is not None:
                self.received.append(request)
                self.first_received.set()
                reply = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                if not await reply(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Without this the stream server logs a cancelled task as an unhandled error.
            pass
        finally:
            self._tasks.discard(task)
            self.closed.set()
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Received | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(method=method, target=target, headers=headers, body=body)


def answer(
    body: bytes = b"done",
    *,
    status: str = "200 OK",
    sealed: bool = True,
    request_id: str | None = None,
    extra: str = "",
    length: int | None = None,
    keep: bool = True,
) -> Reply:
    """Return a reply with a `Content-Length` header.

    *sealed* adds a response seal. *request_id* replaces the attempt id of the request. *extra*
    holds additional header lines, each with its line end. *length* replaces the length of *body*.
    *keep* is whether the connection stays open.
    """

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        attempt_id = request.headers.get("x-attempt-id", "") if request_id is None else request_id
        seal = "X-Response-Seal: seal-of-" + attempt_id + "\r\n" if sealed else ""
        size = len(body) if length is None else length
        head = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt_id}\r\n{seal}{extra}"
        writer.write(f"{head}Content-Length: {size}\r\n\r\n".encode() + body)
        await writer.drain()
        return keep

    return reply


def refusal(
    status: str = "503 Service Unavailable", *, extra: str = "", has_id: bool = True
) -> Reply:
    """Return a reply with `X-Not-Executed`: the endpoint did not run the request.

    *extra* holds additional header lines, each with its line end. *has_id* is whether the reply
    names the request.
    """

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        attempt_id = request.headers.get("x-attempt-id", "")
        named = f"X-Attempt-Id: {attempt_id}\r\n" if has_id else ""
        head = f"HTTP/1.1 {status}\r\n{named}X-Not-Executed: 1\r\n{extra}Content-Length: 0"
        writer.write(f"{head}\r\n\r\n".encode())
        await writer.drain()
        return True

    return reply


def refused_again(first: Reply, then: Reply) -> Reply:
    """Return a reply that refuses the first request and writes that refusal once more later.

    All requests after the first are answered by *then*. On the connection of the first request
    *first* is written before that, as if it answered the request in progress.
    """
    refused: list[tuple[Received, asyncio.StreamWriter]] = []

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        if not refused:
            refused.append((request, writer))
            return await first(request, writer)
        refused_request, refused_writer = refused[0]
        if writer is refused_writer:
            await first(refused_request, writer)
        return await then(request, writer)

    return reply


def stream(*events: bytes, ends: bool = True, extra: str = "") -> Reply:
    """Return a reply that streams *events*.

    *extra* holds additional header lines, each with its line end. Without *ends* the connection
    closes after the events without the final chunk.
    """

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        attempt_id = request.headers.get("x-attempt-id", "")
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Response-Seal: s\r\n"
            f"{extra}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for event in events:
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        if ends:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return ends

    return reply


def without_length(body: bytes, *, resets: bool) -> Reply:
    """Return a reply without a length: closing the connection ends it.

    With *resets* the connection ends by a reset, otherwise by a clean close.
    """

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        attempt_id = request.headers.get("x-attempt-id", "")
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Response-Seal: s\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        if resets:
            await asyncio.sleep(0.05)
            reset(writer)
        return False

    return reply


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the peer receives a reset instead of a clean close."""
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def resumable(events: tuple[bytes, ...], *, breaks_after: int) -> Reply:
    """Return a reply that streams *events* and can be resumed.

    A request with `Last-Event-ID` gets the events after that one. A request without it gets the
    first *breaks_after* events and part of another before the connection closes.
    """

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        seen = int(request.headers.get("last-event-id", "0"))
        if seen:
            return await stream(*events[seen:])(request, writer)
        return await stream(*events[:breaks_after], b"id: 9\nda", ends=False)(request, writer)

    return reply


def broken_head() -> Reply:
    """Return a reply whose head breaks off after its status."""

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        attempt_id = request.headers.get("x-attempt-id", "")
        writer.write(f"HTTP/1.1 500 Error\r\nX-Attempt-Id: {attempt_id}\r\nX-Resp".encode())
        await writer.drain()
        return False

    return reply


def silence() -> Reply:
    """Return a reply that sends nothing; the connection stays open until the peer closes it."""

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        return True

    return reply


def once_set(event: asyncio.Event, then: Reply) -> Reply:
    """Return a reply that sends *then* once *event* is set."""

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        await event.wait()
        return await then(request, writer)

    return reply


def both(first: Reply, second: Reply) -> Reply:
    """Return a reply that sends *first* and then *second* as an unsolicited response.

    *second* is sent only if *first* leaves the connection open.
    """

    async def reply(request: Received, writer: asyncio.StreamWriter) -> bool:
        return await first(request, writer) and await second(request, writer)

    return reply
