"""HTTP client of the model engine on an agent's VM."""

import json
from dataclasses import replace

from skylarkrack._errors import LinkLost
from skylarkrack.core.relay import EngineOrder, EngineReport, OrderResult
from skylarkrack.platform._documents import DocumentRejected, decode_report
from skylarkrack.platform._headers import decode_rate_limit
from skylarkrack.web import HttpClient

REPORT_TIMEOUT_MS = 1000.0
"""Timeout of each step of a report (connection, head, each part of the body); `LinkLost` beyond."""

REPORT_TOTAL_MS = 2000.0
"""Timeout of the whole body of a report."""

ORDER_TIMEOUT_MS = 1000.0
"""Timeout of each step of an order (connection, head, each part of the body).

Beyond it the result of an order that was sent is unknown. An engine on the same VM answers within a
millisecond, so a later answer is taken for lost.
"""

_RESULT_BY_STATUS = {
    200: OrderResult.ALREADY_SO,
    202: OrderResult.ACCEPTED,
    400: OrderResult.REJECTED,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    421: OrderResult.CONFLICT,
}


class PlatformEngineClient:
    """Reads an engine's reports and sends it orders; implements `EnginePort`."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def report(self) -> EngineReport:
        """Return the engine's report of its own state; raises `LinkLost` without a valid one."""
        response = await self._client.request("GET", "/report", timeout_ms=REPORT_TIMEOUT_MS)
        body = await response.read_body(timeout_ms=REPORT_TIMEOUT_MS, total_ms=REPORT_TOTAL_MS)
        if response.status != 200:
            raise LinkLost(f"the engine's report has status {response.status}", sent=True)
        try:
            report = decode_report(body)
        except DocumentRejected as error:
            raise LinkLost(f"the engine's report is invalid: {error}", sent=True) from error
        limit_per_s = decode_rate_limit(response.headers)
        return report if limit_per_s is None else replace(report, limit_per_s=limit_per_s)

    async def order(
        self, order: EngineOrder, *, endpoint_id: str, holder: str, fence: int
    ) -> OrderResult:
        """Send an order and return its result.

        The result is UNKNOWN where the order was sent and no answer came, as the engine may have
        accepted it, and CONFLICT where the order was not sent. *endpoint_id* names the incarnation
        that the order is meant for, *holder* and *fence* the agent that sends it.
        """
        document = {
            "op": order.kind.value,
            "model": order.model,
            "expected": order.expected_sequence,
            "holder": holder,
            "fence": fence,
        }
        if order.adapter:
            document["adapter"] = order.adapter
        if order.version is not None:
            document["version"] = order.version
        headers = [
            (b"content-type", b"application/json"),
            (b"x-expect-instance", endpoint_id.encode()),
        ]
        try:
            response = await self._client.request(
                "POST",
                "/order",
                headers=headers,
                body=json.dumps(document).encode(),
                timeout_ms=ORDER_TIMEOUT_MS,
            )
            await response.read_body(timeout_ms=ORDER_TIMEOUT_MS, total_ms=ORDER_TIMEOUT_MS)
        except LinkLost as error:
            return OrderResult.UNKNOWN if error.sent else OrderResult.CONFLICT
        return _RESULT_BY_STATUS.get(response.status, OrderResult.UNKNOWN)
