"""A model engine: requests in the usual protocol of language models, and its orders.

POST /v1/chat/completions, /v1/completions
    with X-Request-Id and X-Priority; the answer's head carries X-Engine-Incarnation and
    X-Adapter, the name it runs under
POST /v1/cancel                 {"request_id"}; answers once the run has ended
POST /v1/load_lora_adapter      {"lora_name", "fence"}
POST /v1/unload_lora_adapter    {"lora_name", "fence"}
GET  /v1/engine                 the report that `EngineReported` holds
"""

import json
from dataclasses import dataclass
from enum import Enum

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import LinkLost
from skylarkrack.core import EngineReported
from skylarkrack.messages import Run
from skylarkrack.web import ClientResponse, HttpClient

STATUS_TIMEOUT_MS = 1000
ORDER_TIMEOUT_MS = 10_000
"""How long an order may take; longer than a load at a crowded store."""

STREAM_HEAD_TIMEOUT_MS = 30_000
UNSTREAMED_HEAD_TIMEOUT_MS = 120_000
CANCEL_TIMEOUT_MS = 2000

_JSON = (b"content-type", b"application/json")


class OrderAnswer(Enum):
    """How an order ended."""

    DONE = "done"
    REFUSED = "refused"
    NO_ANSWER = "no answer"


def order_answer(status: int) -> OrderAnswer:
    """Return how an order with the HTTP *status* ended; a server error may still act later."""
    if status == 200:
        return OrderAnswer.DONE
    return OrderAnswer.REFUSED if status < 500 else OrderAnswer.NO_ANSWER


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineAnswer:
    """The head of an answer with the engine's own word on what answers; the body follows."""

    response: ClientResponse
    incarnation: str | None
    served: str | None


class EnginePort:
    """The engine at one address; a broken or silent connection is `LinkLost`."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def status(self) -> EngineReported:
        """Return the engine's own report."""
        asked_ms = monotonic_ms()
        response = await self._client.request("GET", "/v1/engine", timeout_ms=STATUS_TIMEOUT_MS)
        body = await response.whole(timeout_ms=STATUS_TIMEOUT_MS)
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
            raise LinkLost(f"no engine report: {error!r}", sent=True) from error

    async def run(self, run: Run) -> EngineAnswer:
        """Start a run and return the head of its answer.

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
        """Cancel a run; tell whether the engine confirmed that it has ended."""
        body = json.dumps({"request_id": request_id}).encode()
        try:
            status = await self._post("/v1/cancel", body, timeout_ms=CANCEL_TIMEOUT_MS)
        except LinkLost:
            return False
        return status == 200

    async def load(self, served: str, *, fence: int) -> OrderAnswer:
        """Order a load out of the weight store."""
        return await self._order("/v1/load_lora_adapter", served, fence)

    async def unload(self, served: str, *, fence: int) -> OrderAnswer:
        """Order an eviction."""
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
        await response.whole(timeout_ms=timeout_ms)
        return response.status
