"""One offer of a request to an agent, from the request to the end of its response."""

import asyncio
from functools import singledispatchmethod

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, Outcome, RequestRefused
from skylarkrack.messages import (
    Confirmed,
    ConfirmRequest,
    RequestFailed,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
)
from skylarkrack.web import Responder
from skylarkrack.wire import Link

# Response headers that apply to one connection only, or that the server writes itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"content-length", b"transfer-encoding", b"keep-alive", b"date", b"server")
)


EXCHANGE_TIMEOUT_MS = 140_000
"""Maximum duration of an exchange; beyond it the request fails with the outcome "unknown".

Agents end every run and call earlier. This bounds how long a faulty agent can block a caller.
"""


class Exchange:
    """Relays one response from an agent to the caller.

    Offsets and the final size are checked: a gap, or an end before all bytes, fails the exchange
    as truncated. *first_chunk_ms* is the time of the first bytes and *waited_ms* the time that the
    request waited at the endpoint; both are None before that. Once *is_wanted* is false, the agent
    gets no confirmation that it may run the request.
    """

    __slots__ = (
        "_link",
        "_received",
        "_responder",
        "_result",
        "first_chunk_ms",
        "waited_ms",
        "is_wanted",
        "request_id",
    )

    def __init__(self, *, request_id: str, link: Link, responder: Responder) -> None:
        self.request_id = request_id
        self.first_chunk_ms: float | None = None
        self.waited_ms: int | None = None
        self.is_wanted = True
        self._link = link
        self._responder = responder
        self._received = 0
        self._result: asyncio.Future[ResponseEnd] = asyncio.get_running_loop().create_future()

    async def result(self) -> ResponseEnd:
        """Wait for the end of the response and return it.

        Raises `RequestRefused` if the exchange fails or exceeds `EXCHANGE_TIMEOUT_MS`.
        """
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_MS / 1000):
                return await self._result
        except TimeoutError:
            raise RequestRefused(
                "the answer took too long", code=Code.DEADLINE, outcome=Outcome.UNKNOWN
            ) from None

    def fail(self, refusal: RequestRefused) -> None:
        """Fail the exchange with *refusal*, unless it has already ended."""
        if not self._result.done():
            self._result.set_exception(refusal)

    def link_lost(self, link: Link) -> None:
        """Fail the exchange if *link* carried it; how far the request got is unknown."""
        if link is self._link:
            self.fail(
                RequestRefused(
                    "the endpoint was lost", code=Code.ENDPOINT_LOST, outcome=Outcome.UNKNOWN
                )
            )

    def receive_message(self, link: Link, message: object) -> None:
        """Handle a message of the agent.

        Messages from another link belong to an earlier offer and are ignored.
        """
        if link is self._link and not self._result.done():
            self._apply_message(message)

    @singledispatchmethod
    def _apply_message(self, message: object) -> None:
        raise TypeError(f"not a message of a response: {type(message).__name__}")

    @_apply_message.register
    def _(self, message: ResponseHead) -> None:
        if self._responder.has_started:
            self._fail_truncated("a second head")
            return
        self.waited_ms = message.waited_ms
        received = [(bytes(name), bytes(value)) for name, value in message.headers]
        headers = [(name, value) for name, value in received if name not in _HOP_BY_HOP_HEADERS]
        headers.append((b"x-request-id", self.request_id.encode()))
        self._responder.start(message.status, headers)

    @_apply_message.register
    def _(self, message: ResponseChunk) -> None:
        if message.offset != self._received or not self._responder.has_started:
            self._fail_truncated(f"bytes at {message.offset} after {self._received}")
            return
        if self.first_chunk_ms is None:
            self.first_chunk_ms = monotonic_ms()
        self._received += len(message.data)
        self._responder.send(message.data)

    @_apply_message.register
    def _(self, message: ResponseEnd) -> None:
        if message.size != self._received or not self._responder.has_started:
            self._fail_truncated(f"{self._received} bytes of {message.size}")
            return
        self._result.set_result(message)

    @_apply_message.register
    def _(self, message: RequestFailed) -> None:
        retry_after_ms = message.retry_after_ms if message.retry_after_ms >= 0 else None
        code = Code(message.code)
        self.fail(
            RequestRefused(
                message.detail or code.name.lower().replace("_", " "),
                code=code,
                outcome=Outcome(message.outcome),
                retry_after_ms=retry_after_ms,
                ticket=message.ticket or None,
                by_agent=True,
            )
        )

    @_apply_message.register
    def _(self, message: ConfirmRequest) -> None:
        if self.is_wanted:
            self._link.send(Confirmed(request_id=message.request_id))

    def _fail_truncated(self, detail: str) -> None:
        self.fail(
            RequestRefused(
                f"the answer is not whole: {detail}", code=Code.TRUNCATED, outcome=Outcome.RAN
            )
        )
