"""How soon a caller's close reaches the endpoint that works on its request."""

import asyncio
import socket
import struct

from skylarkrack._clock import monotonic_ms
from standins.platform_worker import PlatformWorker, answer, once_set, silence
from tests.platform_builders import EntryHarness, model_request, request
from tests.test_relay_path import PathTest, status_of

MAX_ROUNDS = 3
"""Rounds of the event loop from a caller's close to the end of the endpoint's connection. Rounds of
100 to 150 ms were seen, and the endpoint has to stop within 500 ms."""

_RESET = struct.pack("ii", 1, 0)


class ManualEndpoint:
    """An endpoint whose connection is read and written by hand, outside the event loop."""

    def __init__(self) -> None:
        self._server = socket.create_server(("127.0.0.1", 0))
        self._server.setblocking(False)
        self._connection: socket.socket | None = None
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"

    async def receive_request(self) -> None:
        """Wait for the first bytes of a request."""
        async with asyncio.timeout(5):
            while not self._try_receive():  # noqa: ASYNC110 - the socket is outside the event loop
                await asyncio.sleep(0.001)

    def send(self, data: bytes) -> None:
        """Write bytes of a response."""
        self._connection.sendall(data)

    async def rounds_until_closed(self, *, at_most: int = 200) -> int:
        """Return the rounds of the event loop until the connection ends."""
        for rounds in range(at_most):
            if self._is_closed():
                return rounds
            await asyncio.sleep(0)
        return at_most

    def close(self) -> None:
        """Close all sockets."""
        self._server.close()
        if self._connection is not None:
            self._connection.close()

    def _try_receive(self) -> bool:
        try:
            if self._connection is None:
                self._connection, _ = self._server.accept()
                self._connection.setblocking(False)
            return bool(self._connection.recv(65536))
        except BlockingIOError:
            return False

    def _is_closed(self) -> bool:
        try:
            return not self._connection.recv(65536)
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True


class TestCallerClose(PathTest):
    """The connection to the endpoint ends with the caller's, in a few rounds of the event loop."""

    async def rounds(self, data: bytes, *, service: str, reset: bool) -> int:
        """Return the rounds until an endpoint's connection ends after its caller left."""
        endpoint = ManualEndpoint()
        try:
            async with EntryHarness(service=service) as harness:
                harness.list_address(endpoint.address)
                with socket.create_connection(harness.entry.callers_address) as caller:
                    caller.sendall(data)
                    await endpoint.receive_request()
                    if reset:
                        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                return await endpoint.rounds_until_closed()
        finally:
            endpoint.close()

    async def test_a_close_reaches_the_endpoint_within_few_rounds(self) -> None:
        # Each round of an overloaded entry takes long: a close that took eight came too late.
        for service, data in (("llm", model_request()), ("desk", request())):
            for reset in (False, True):
                with self.subTest(service=service, reset=reset):
                    rounds = await self.rounds(data, service=service, reset=reset)
                    self.assertLessEqual(rounds, MAX_ROUNDS)

    async def test_an_endpoint_whose_caller_left_has_not_failed(self) -> None:
        worker = PlatformWorker([silence()])
        async with self.left_by_caller(worker, model_request(), service="llm") as harness:
            context, key = harness.entry._context, (worker.address, 1000)
            self.assertEqual(context.dispatcher.health.failure_ratio(key, monotonic_ms()), 0)
            self.assertEqual(context.metrics.counter("callers_left_total"), 1)

    async def test_a_connection_that_is_in_use_again_stays_open(self) -> None:
        # The caller leaves once it has its answer, while its request's connection serves another.
        worker = PlatformWorker([answer(), once_set(may_answer := asyncio.Event(), answer())])
        async with EntryHarness(worker) as harness:
            reader, writer = await harness.connect()
            writer.write(request(keep_alive=True))
            await reader.readuntil(b"done")
            second = asyncio.ensure_future(harness.send_raw(request(request_id="r2")))
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            may_answer.set()
            self.assertEqual(status_of(await second), 200)
        self.assertEqual(worker.connections, 1)

    async def test_a_connection_that_the_entry_closed_is_not_counted_as_left(self) -> None:
        # A planned stop that cut off its callers was logged as if they had closed.
        worker = PlatformWorker([silence()])
        async with EntryHarness(worker, service="llm") as harness:
            _, writer = await harness.connect()
            self.addCleanup(writer.close)
            writer.write(model_request())
            await asyncio.wait_for(worker.first_received.wait(), 5)
            (connection,) = harness.entry._caller_server._connections
            connection.abort()
            await asyncio.sleep(0.05)
            metrics = harness.entry._context.metrics
            self.assertEqual(metrics.counter("callers_left_total"), 0)
            self.assertEqual(metrics.counter("callers_cut_off_total"), 1)
