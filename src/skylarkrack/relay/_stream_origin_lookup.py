"""Finds out at which software version a stream that a caller takes up began."""

import asyncio
from collections.abc import Callable

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, RequestRefused
from skylarkrack.core.relay import (
    Endpoint,
    PendingRequest,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)

LOOKUP_TIMEOUT_MS = 150.0
"""Time to wait for the answers of other entries; round trips take a few milliseconds."""


class _Question:
    """A stream whose origin was asked for, and the answers that are still due."""

    __slots__ = ("is_mixed", "origin", "unanswered")

    def __init__(self, unanswered: int) -> None:
        self.unanswered = unanswered
        self.is_mixed = False
        self.origin = asyncio.get_running_loop().create_future()


class StreamOriginLookup:
    """Looks origins up here and at other entries.

    *on_ask* is called with a stream's key and service to ask other entries, and returns how many
    were asked.
    """

    __slots__ = ("_question_by_key", "on_ask", "origins")

    def __init__(self) -> None:
        self.origins = StreamOrigins()
        self._question_by_key: dict[bytes, _Question] = {}
        self.on_ask: Callable[[bytes, str], int] = lambda key, service: 0

    async def bind(self, pending: PendingRequest) -> None:
        """Bind a stream that a caller takes up to the software version that began it.

        Raises `RequestRefused` as `find` does.
        """
        if pending.call.resume_after is None:
            return
        origin = await self.find(_key_of(pending), pending.service_name)
        if origin is None:
            return
        pending.software_version = origin.software_version
        if any(service == origin.service for service, _ in pending.route.shares):
            pending.service_name = origin.service

    def record_begin(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Bind a stream to the endpoint's version, as it wrote the first event of this answer."""
        pending.software_version = endpoint.software_version
        if pending.route.is_idempotent:
            origin = StreamOrigin(
                service=pending.service_name, software_version=endpoint.software_version
            )
            self.origins.record(_key_of(pending), origin, monotonic_ms())

    async def find(self, key: bytes, service: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is unknown, but the service has one version.

        Raises `RequestRefused` if it is unknown and the service has, or recently had, several.
        """
        origin, is_mixed = self.origins.find(key, monotonic_ms()), False
        if origin is None:
            origin, is_mixed = await self._ask(key, service)
        if origin is None and (is_mixed or self.origins.is_mixed(service)):
            raise RequestRefused(
                "the software version that began the stream is unknown", code=Code.UNKNOWN_ORIGIN
            )
        return origin

    def receive_answer(self, key: bytes, origin: StreamOrigin | None, *, is_mixed: bool) -> None:
        """Apply the answer of another entry."""
        question = self._question_by_key.get(key)
        if question is None or question.origin.done():
            return
        question.unanswered -= 1
        question.is_mixed |= is_mixed
        if origin is not None or not question.unanswered:
            question.origin.set_result(origin)

    async def _ask(self, key: bytes, service: str) -> tuple[StreamOrigin | None, bool]:
        """Return what other entries know: the origin, and whether the service has versions."""
        question = self._question_by_key.get(key)
        if question is None:
            question = self._question_by_key[key] = _Question(self.on_ask(key, service))
            if not question.unanswered:
                question.origin.set_result(None)
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_MS / 1000):
                return await asyncio.shield(question.origin), question.is_mixed
        except TimeoutError:
            return None, question.is_mixed
        finally:
            self._question_by_key.pop(key, None)


def _key_of(pending: PendingRequest) -> bytes:
    """Return the key of a request's stream, which an earlier request may have begun."""
    call = pending.call
    first_attempt = call.request_id if call.resume_after is None else call.first_attempt
    return stream_key(pending.organisation, first_attempt or "")
