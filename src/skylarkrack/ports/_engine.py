"""HTTP client of a model engine: requests in the usual protocol of language models, and orders.

POST /v1/chat/completions, /v1/completions
    with X-Request-Id and X-Priority; the head of the answer has X-Engine-Incarnation and
    X-Adapter, the name of the adapter or base model that runs
POST /v1/cancel                 {"request_id"}; answered when the run has ended
POST /v1/load_lora_adapter      {"lora_name", "fence"}
POST /v1/unload_lora_adapter    {"lora_name", "fence"}
GET  /v1/engine                 the report that becomes an `EngineReported`
"""

import json
from dataclasses import dataclass
from enum import Enum

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import LinkLost
from skylarkrack.core import EngineReported
from skylarkrack.messages import RunRequest
from skylarkrack.web import ClientResponse, HttpClient

STATUS_TIMEOUT_MS = 1000
"""Timeout of each step of a report: connection, head, and each part of the body."""

ORDER_TIMEOUT_MS = 10_000
"""Timeout of an order; longer than a load takes while the weight store is overloaded."""

STREAM_HEAD_TIMEOUT_MS = 30_000
"""Timeout of the head of a streamed answer."""

UNSTREAMED_HEAD_TIMEOUT_MS = 120_000
"""Timeout of the head of an answer that is not streamed, which comes only with its last token."""

CANCEL_TIMEOUT_MS = 2000
"""Timeout of a cancellation; beyond it the end of the run counts as unconfirmed."""

_JSON = (b"content-type", b"application/json")


class OrderAnswer(Enum):
    """How an order ended; with NO_ANSWER the engine may still carry it out."""

    DONE = "done"
    REFUSED = "refused"
    NO_ANSWER = "no answer"


def order_answer(status: int) -> OrderAnswer:
    """Return how an order with the HTTP *status* ended.

    After a server error the order may still take effect, so it counts as unanswered.
    """
    if status == 200:
        return OrderAnswer.DONE
    return OrderAnswer.REFUSED if status < 500 else OrderAnswer.NO_ANSWER


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineAnswer:
    """The head of an answer; its body can be read from *response*.

    *incarnation* and *served* are the incarnation and the adapter's name as the engine gives them,
    or None where it gives none.
    """

    response: ClientResponse
    incarnation: str | None
    served: str | None


class EnginePort:
    """Client of the engine at one address; raises `LinkLost` for a broken or silent connection."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def status(self) -> EngineReported:
        """Return the engine's report of its state; raises `LinkLost` also for an invalid report."""
        asked_ms = monotonic_ms()
        response = await self._client.request("GET", "/v1/engine", timeout_ms=STATUS_TIMEOUT_MS)
        body = await response.read_body(timeout_ms=STATUS_TIMEOUT_MS)
        try:
            document = json.loads(body)
            return EngineReported(
                incarnation=str(document["incarnation"]),
                slots=int(document["slots"]),
                batch=int(document["batch"]),
                resident=frozenset(document["resident"]),
                running=dict(document["running"]),
                fence=int(document["fence"]),
                busy=bool(document["busy"]),
                asked_ms=asked_ms,
            )
        except (ValueError, KeyError, TypeError) as error:
            raise LinkLost(f"the engine's report is invalid: {error!r}", sent=True) from error

    async def run(self, run: RunRequest) -> EngineAnswer:
        """Start a run and return the head of its answer; raises `LinkLost`.

        The head of an answer that is not streamed comes only with its last token.
        """
        headers = [
            _JSON,
            (b"x-request-id", run.request_id.encode()),
            (b"x-priority", str(run.priority).encode()),
        ]
        response = await self._client.request(
            "POST",
            run.path,
            headers=headers,
            body=run.body,
            timeout_ms=STREAM_HEAD_TIMEOUT_MS if run.stream else UNSTREAMED_HEAD_TIMEOUT_MS,
        )
        return EngineAnswer(
            response=response,
            incarnation=response.header(b"x-engine-incarnation"),
            served=response.header(b"x-adapter"),
        )

    async def cancel(self, request_id: str) -> bool:
        """Cancel a run; return whether the engine confirmed that the run has ended."""
        body = json.dumps({"request_id": request_id}).encode()
        try:
            status = await self._post("/v1/cancel", body, timeout_ms=CANCEL_TIMEOUT_MS)
        except LinkLost:
            return False
        return status == 200

    async def load(self, served: str, *, fence: int) -> OrderAnswer:
        """Order the engine to load the adapter *served* from the weight store."""
        return await self._order("/v1/load_lora_adapter", served, fence)

    async def unload(self, served: str, *, fence: int) -> OrderAnswer:
        """Order the engine to unload the adapter *served*."""
        return await self._order("/v1/unload_lora_adapter", served, fence)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def _order(self, path: str, served: str, fence: int) -> OrderAnswer:
        body = json.dumps({"lora_name": served, "fence": fence}).encode()
        try:
            status = await self._post(path, body, timeout_ms=ORDER_TIMEOUT_MS)
        except LinkLost as error:
            return OrderAnswer.NO_ANSWER if error.sent else OrderAnswer.REFUSED
        return order_answer(status)

    async def _post(self, path: str, body: bytes, *, timeout_ms: float) -> int:
        response = await self._client.request(
            "POST", path, headers=[_JSON], body=body, timeout_ms=timeout_ms, fresh=True
        )
        await response.read_body(timeout_ms=timeout_ms)
        return response.status
