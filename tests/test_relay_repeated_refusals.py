"""Refusals that an endpoint writes once more on a connection that is in use again.

A caller must not be told that a request did not run, nor may another endpoint run it, because of a
refusal that belongs to an earlier send.
"""

import asyncio
import unittest

from standins.platform_worker import PlatformWorker, Reply, answer, refusal, refused_again
from tests.platform_builders import EntryHarness, request

REFUSALS = {
    "full": refusal(),
    "full, without an id": refusal(has_id=False),
    "too many": refusal("429 Too Many Requests"),
    "too many, without an id": refusal("429 Too Many Requests", has_id=False),
    "not here": refusal("421 Misdirected Request"),
    "not here, without an id": refusal("421 Misdirected Request", has_id=False),
    "with a body": answer(b"full", status="503 Full", sealed=False, extra="X-Not-Executed: 1\r\n"),
}


def payment(request_id: str) -> bytes:
    """Return a request that may run only once."""
    return request("/pay/1", method="POST", body=b"fee", request_id=request_id)


class TestRepeatedRefusals(unittest.IsolatedAsyncioTestCase):
    """An endpoint refuses a request, and writes the refusal again before its next answer."""

    async def responses(self, refused: Reply, *request_ids: str) -> list[bytes]:
        """Send requests one after another to one endpoint; return the answers."""
        worker = PlatformWorker([refused_again(refused, answer(b"paid"))])
        async with EntryHarness(worker) as harness:
            responses = [await harness.send_raw(payment(name)) for name in request_ids]
        received = [seen.headers["x-attempt-id"] for seen in worker.received]
        # The endpoint runs all requests but the first that it receives.
        self.assertEqual(len(received[1:]), len(set(received[1:])), "a request ran twice")
        return responses

    async def test_a_request_that_is_sent_again_gets_its_own_answer(self) -> None:
        for name, refused in REFUSALS.items():
            with self.subTest(name):
                responses = await self.responses(refused, "r1", "r2")
                for response in responses:
                    self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
                    self.assertTrue(response.endswith(b"paid"), response)

    async def test_no_other_endpoint_runs_a_request_that_was_sent_again(self) -> None:
        for name, refused in REFUSALS.items():
            with self.subTest(name):
                workers = [PlatformWorker([refused_again(refused, answer())]) for _ in range(2)]
                async with EntryHarness(*workers) as harness:
                    for number in range(6):
                        await harness.send_raw(payment(f"r{number}"))
                runs = [
                    seen.headers["x-attempt-id"]
                    for worker in workers
                    for seen in worker.received[1:]
                ]
                self.assertEqual(len(runs), len(set(runs)))

    async def test_another_request_does_not_take_an_earlier_refusal_for_its_own(self) -> None:
        for name, refused in REFUSALS.items():
            with self.subTest(name):
                worker = PlatformWorker([refused_again(refused, answer(b"paid"))])
                async with EntryHarness(worker) as harness:
                    await harness.send_raw(payment("r1"))
                    # Two at once use the connection of the refusal too.
                    responses = await asyncio.gather(
                        *(harness.send_raw(payment(name)) for name in ("r2", "r3"))
                    )
                received = [seen.headers["x-attempt-id"] for seen in worker.received]
                self.assertEqual(sorted(received), ["r1", "r1", "r2", "r3"])
                for response in responses:
                    self.assertTrue(response.endswith(b"paid"), response)
