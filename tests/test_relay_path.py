"""Requests sent as raw bytes through an entry to endpoints that fail in different ways."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator

from skylarkrack._clock import monotonic_ms
from skylarkrack.relay._endpoint_clients import max_idle_of
from skylarkrack.relay._exchange import CONNECT_TIMEOUT_MS, MAX_IDLE_NOT_REPEATABLE_MS
from standins.platform_worker import (
    PlatformWorker,
    Reply,
    answer,
    both,
    once_set,
    refusal,
    resumable,
    silence,
    stream,
    without_length,
)
from tests.platform_builders import (
    EntryHarness,
    as_bytes,
    config,
    model_request,
    request,
    unresponsive_address,
)
from tests.relay_builders import MODEL

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


def status_of(data: bytes) -> int:
    """Return the status of a response."""
    return int(data.split(b" ", 2)[1])


def is_whole(data: bytes) -> bool:
    """Return whether a chunked response has its last chunk."""
    return data.endswith(b"0\r\n\r\n")


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Base class of the tests that run an entry."""

    async def ask(self, worker: PlatformWorker, data: bytes, *, service: str = "desk") -> bytes:
        """Send one request through an entry to one endpoint."""
        async with EntryHarness(worker, service=service) as harness:
            return await harness.send_raw(data)

    @contextlib.asynccontextmanager
    async def left_by_caller(
        self, worker: PlatformWorker, data: bytes, *, service: str
    ) -> AsyncIterator[EntryHarness]:
        """Run an entry whose caller left once the endpoint had its request, which has ended."""
        async with EntryHarness(worker, service=service) as harness:
            _, writer = await harness.connect()
            writer.write(data)
            await asyncio.wait_for(worker.first_received.wait(), 2)
            writer.close()
            await asyncio.wait_for(worker.closed.wait(), 2)
            yield harness


class TestForwarding(PathTest):
    """What an entry forwards to an endpoint, and what it returns to the caller."""

    async def test_the_endpoint_gets_the_request_without_the_key(self) -> None:
        worker = PlatformWorker([answer()])
        system = "X-Tenant: other\r\nX-Hold: h\r\nX-Pin-Ms: 9\r\nX-Kv-Backup: 1.1.1.1:1\r\n"
        system += "Kv-From: 1.1.1.1:1/x\r\nKv-Fetch: 1.1.1.1:1\r\nX-Expect-Instance: i-9\r\n"
        system += "X-Other: kept\r\nX-Hop: dropped\r\nConnection: x-hop, close\r\n"
        response = await self.ask(
            worker,
            request("/pay/1?q=%20", method="POST", body=b"fee", headers=system, keep_alive=True),
        )
        self.assertEqual(status_of(response), 200)
        self.assertIn(b"seal-of-r1", response)
        self.assertTrue(response.endswith(b"done"))
        seen = worker.received[0]
        self.assertEqual((seen.method, seen.target, seen.body), ("POST", "/pay/1?q=%20", b"fee"))
        self.assertEqual(seen.headers["x-tenant"], "singers")
        self.assertEqual(seen.headers["x-expect-instance"], "i-0")
        self.assertEqual(seen.headers["x-other"], "kept")
        self.assertLessEqual(int(seen.headers["x-deadline-ms"]), 800)
        for name in ("authorization", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "kv-fetch"):
            self.assertNotIn(name, seen.headers)
        self.assertNotIn("x-hop", seen.headers)

    async def test_the_forwarded_deadline_is_the_remaining_time(self) -> None:
        worker = PlatformWorker([answer()])
        await self.ask(worker, request(headers="X-Deadline-Ms: 300\r\n"))
        self.assertLessEqual(int(worker.received[0].headers["x-deadline-ms"]), 300)

    async def test_a_stream_is_forwarded_with_all_its_events(self) -> None:
        worker = PlatformWorker([stream(*EVENTS)])
        response = await self.ask(worker, model_request(), service="llm")
        self.assertTrue(is_whole(response))
        self.assertIn(EVENTS[0], response)
        self.assertIn(EVENTS[1], response)
        self.assertEqual(worker.received[0].headers["x-expect-version"], "1")

    async def test_invalid_requests_are_refused_by_the_entry(self) -> None:
        """Each row holds a request and the status of the refusal; no endpoint receives it."""
        rows = (
            (request(key=None), 401),
            (request(key="other"), 401),
            (request("/nowhere/"), 404),
            (request().replace(b"X-Attempt-Id: r1\r\n", b""), 400),
            (request("/pay/1", method="POST", body=b"x" * 20_001), 413),
            (request(headers="X-Long: " + "x" * 5000 + "\r\n"), 431),
            (request(headers="Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400),
            (request(headers="Content-Length: 3\r\nContent-Length: 4\r\n"), 400),
        )
        for data, status in rows:
            with self.subTest(data=data[:40], status=status):
                worker = PlatformWorker([answer()])
                response = await self.ask(worker, data)
                self.assertEqual(status_of(response), status)
                self.assertEqual(worker.received, [])

    async def test_a_public_route_needs_no_key(self) -> None:
        worker = PlatformWorker([answer()])
        self.assertEqual(status_of(await self.ask(worker, request("/open/1", key=None))), 200)
        self.assertNotIn("x-tenant", worker.received[0].headers)

    async def test_a_slow_request_head_times_out(self) -> None:
        worker = PlatformWorker([answer()])
        response = await self.ask(worker, b"GET /look/1 HTTP/1.1\r\nHost: a")
        self.assertEqual(status_of(response), 408)


class TestAtMostOnce(PathTest):
    """A request that may not be repeated is sent again only if it certainly did not run.

    Otherwise it could run twice, at two endpoints.
    """

    async def test_a_request_whose_response_was_lost_is_not_sent_again(self) -> None:
        rows = (
            answer(b"half", length=99, keep=False),
            without_length(b"half", resets=True),
            answer(sealed=False),
            answer(extra="Content-Encoding: gzip\r\n"),
        )
        for reply in rows:
            with self.subTest(reply=reply):
                one, two = PlatformWorker([reply]), PlatformWorker([reply])
                async with EntryHarness(one, two) as harness:
                    response = await harness.send_raw(request("/pay/1", method="POST", body=b"fee"))
                self.assertEqual(status_of(response), 502)
                self.assertEqual(len(one.received) + len(two.received), 1)

    async def test_a_refused_request_is_sent_to_another_endpoint(self) -> None:
        for count, status in ((1, 200), (2, 503)):
            with self.subTest(refusing=count):
                replies = [refusal()] * count + [answer()] * (2 - count)
                workers = [PlatformWorker([reply]) for reply in replies]
                async with EntryHarness(*workers) as harness:
                    response = await harness.send_raw(request("/pay/1", method="POST", body=b"fee"))
                self.assertEqual(status_of(response), status)
                self.assertEqual(b"retry-after" in response, status == 503)

    async def test_an_endpoint_whose_address_was_reassigned_is_avoided(self) -> None:
        other = "HTTP/1.1 421 Misdirected\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n"

        async def misdirected(seen: object, writer: asyncio.StreamWriter) -> bool:
            writer.write(other.encode())
            return True

        gone, there = PlatformWorker([misdirected]), PlatformWorker([answer()])
        async with EntryHarness(gone, there) as harness:
            statuses = [
                status_of(
                    await harness.send_raw(
                        request("/pay/1", method="POST", body=b"f", request_id=f"r{n}")
                    )
                )
                for n in range(5)
            ]
        self.assertEqual(statuses, [200] * 5)
        self.assertLessEqual(len(gone.received), 1)

    async def test_an_unreachable_endpoint_is_avoided(self) -> None:
        gone, there = PlatformWorker([answer()]), PlatformWorker([answer()])
        async with EntryHarness(gone, there) as harness:
            await gone.close()
            statuses = [
                status_of(
                    await harness.send_raw(
                        request("/pay/1", method="POST", body=b"f", request_id=f"r{n}")
                    )
                )
                for n in range(4)
            ]
        self.assertEqual(statuses, [200] * 4)
        self.assertEqual(len(there.received), 4)

    async def test_a_server_error_is_forwarded(self) -> None:
        one, two = (PlatformWorker([answer(b"no", status="500 No")]) for _ in range(2))
        async with EntryHarness(one, two) as harness:
            response = await harness.send_raw(request("/pay/1", method="POST", body=b"fee"))
        self.assertEqual(status_of(response), 500)
        self.assertIn(b"seal-of-r1", response)
        self.assertEqual(len(one.received) + len(two.received), 1)

    async def test_a_silent_endpoint_leads_to_a_timeout(self) -> None:
        worker = PlatformWorker([silence()])
        response = await self.ask(worker, request("/pay/1", method="POST", body=b"fee"))
        self.assertEqual(status_of(response), 504)
        self.assertEqual(len(worker.received), 1)

    async def test_a_broken_stream_is_not_continued_by_another_run(self) -> None:
        one, two = (PlatformWorker([stream(EVENTS[0], ends=False)]) for _ in range(2))
        async with EntryHarness(one, two, service="llm") as harness:
            response = await harness.send_raw(model_request("/chat/1"))
        self.assertFalse(is_whole(response))
        self.assertEqual(len(one.received) + len(two.received), 1)


class TestRetries(PathTest):
    """A request that may run again is sent to another endpoint after a failure."""

    async def test_a_request_whose_response_was_lost_is_retried(self) -> None:
        rows = (
            answer(b"half", length=99, keep=False),
            without_length(b"half", resets=True),
            answer(sealed=False),
            answer(status="500 No"),
        )
        for reply in rows:
            with self.subTest(reply=reply):
                one, two = PlatformWorker([reply, answer()]), PlatformWorker([reply, answer()])
                async with EntryHarness(one, two) as harness:
                    first = await harness.send_raw(request())
                    second = await harness.send_raw(request(request_id="r2"))
                self.assertIn(200, (status_of(first), status_of(second)))

    async def test_a_silent_endpoint_is_avoided(self) -> None:
        silent_worker, healthy_worker = PlatformWorker([silence()]), PlatformWorker([answer()])
        async with EntryHarness(silent_worker, healthy_worker) as harness:
            statuses = [
                status_of(await harness.send_raw(request(request_id=f"r{n}"))) for n in range(3)
            ]
        self.assertEqual(statuses, [504, 200, 200])

    async def test_a_resumable_stream_resumes_after_the_last_complete_event(self) -> None:
        one, two = (PlatformWorker([resumable(EVENTS, breaks_after=1)]) for _ in range(2))
        async with EntryHarness(one, two, service="llm") as harness:
            response = await harness.send_raw(model_request("/draft/1"))
        resumed = [r for r in one.received + two.received if "last-event-id" in r.headers]
        self.assertEqual([r.headers["last-event-id"] for r in resumed], ["1"])
        self.assertTrue(is_whole(response))
        self.assertEqual((response.count(b"data: a"), response.count(b"data: b")), (1, 1))

    async def test_a_response_without_length_is_complete_at_a_clean_close(self) -> None:
        worker = PlatformWorker([without_length(b"whole", resets=False)])
        response = await self.ask(worker, request())
        self.assertTrue(response.endswith(b"whole"))

    async def test_a_stream_without_length_is_complete_only_after_a_whole_event(self) -> None:
        for body, whole in ((b"".join(EVENTS), True), (EVENTS[0] + b"id: 2\ndat", False)):
            with self.subTest(body=body):
                worker = PlatformWorker([without_length(body, resets=False)])
                response = await self.ask(worker, model_request(), service="llm")
                self.assertEqual(is_whole(response), whole)
                self.assertIn(EVENTS[0], response)
                self.assertNotIn(b"dat\r\n", response)


class TestConnections(PathTest):
    """Responses that belong to no request, and the reuse of connections.

    A response that arrives late or twice on a reused connection could be taken for the next one.
    """

    async def test_few_idle_connections_are_kept_to_an_endpoint_that_accepts_few(self) -> None:
        services = [{"name": "desk", "max-conns": 4}]
        routes = [route for route in config()["routes"] if route.get("service") == "desk"]
        worker = PlatformWorker([answer()])
        async with EntryHarness(worker) as harness:
            table = config(version=2, services=services, routes=routes)
            harness.entry.registry.table_published(as_bytes(table))
            await asyncio.sleep(0.1)
            await asyncio.gather(*(harness.send_raw(request()) for _ in range(8)))
            context = harness.entry._context
            (endpoint,) = context.dispatcher.directory.all()
            self.assertEqual(len(context.clients.client_of(endpoint)._idle), 2)

    def test_all_entries_together_stay_below_what_an_endpoint_accepts(self) -> None:
        for entries in (1, 5, 22, 68):
            for max_connections in (96, 250, 390):
                with self.subTest(entries=entries, max_connections=max_connections):
                    kept = entries * max_idle_of(max_connections, entries)
                    self.assertLessEqual(kept, max_connections)

    async def test_an_extra_response_is_ignored(self) -> None:
        rows = (
            both(answer(b"first"), answer(b"first again")),
            both(answer(b"first"), answer(b"other", request_id="r0")),
        )
        for reply in rows:
            with self.subTest(reply=reply):
                worker = PlatformWorker([reply, answer(b"second")])
                async with EntryHarness(worker) as harness:
                    first = await harness.send_raw(request(request_id="r1"))
                    second = await harness.send_raw(request(request_id="r2"))
                self.assertTrue(first.endswith(b"first"))
                self.assertTrue(second.endswith(b"second"))

    async def test_a_late_response_on_a_reused_connection_is_ignored(self) -> None:
        late = both(answer(b"late", request_id="r0"), answer(b"own"))
        worker = PlatformWorker([late])
        response = await self.ask(worker, request())
        self.assertEqual(status_of(response), 200)
        self.assertTrue(response.endswith(b"own"))

    async def test_connections_are_reused(self) -> None:
        worker = PlatformWorker([answer()])
        async with EntryHarness(worker) as harness:
            for number in range(3):
                await harness.send_raw(request(request_id=f"r{number}"))
        self.assertEqual(worker.connections, 1)

    async def test_a_request_that_may_run_once_leaves_older_connections_to_others(self) -> None:
        worker = PlatformWorker([answer()])
        async with EntryHarness(worker) as harness:
            await harness.send_raw(request(request_id="r0"))
            client = next(iter(harness.entry._context.clients._client_by_key.values()))
            client._idle[0].idle_since_s -= MAX_IDLE_NOT_REPEATABLE_MS / 1000
            await harness.send_raw(request("/pay/1", method="POST", request_id="r1"))
            self.assertEqual((worker.connections, len(client._idle)), (2, 2))
            safe = (harness.send_raw(request(request_id=f"s{number}")) for number in range(2))
            await asyncio.gather(*safe)
        self.assertEqual(worker.connections, 2)

    async def test_the_connection_that_was_idle_for_longest_is_closed_first(self) -> None:
        worker = PlatformWorker([answer()])
        async with EntryHarness(worker) as harness:
            await harness.send_raw(request(request_id="r0"))
            client = next(iter(harness.entry._context.clients._client_by_key.values()))
            client.max_idle = 1
            (older,) = client._idle
            older.idle_since_s -= MAX_IDLE_NOT_REPEATABLE_MS / 1000
            response = await client.request(
                "GET", "/look/1", timeout_ms=1000, max_idle_ms=MAX_IDLE_NOT_REPEATABLE_MS
            )
            await response.read_body(timeout_ms=1000)
            self.assertEqual(len(client._idle), 1)
            self.assertIsNot(client._idle[0], older)

    async def test_a_connection_past_its_keep_alive_timeout_is_not_reused(self) -> None:
        worker = PlatformWorker([answer(extra="Keep-Alive: timeout=0\r\n")])
        async with EntryHarness(worker) as harness:
            for number in range(2):
                await harness.send_raw(request(request_id=f"r{number}"))
        self.assertEqual(worker.connections, 2)

    async def test_a_caller_sends_several_requests_on_one_connection(self) -> None:
        worker = PlatformWorker([answer()])
        async with EntryHarness(worker) as harness:
            reader, writer = await harness.connect()
            for number in range(3):
                writer.write(request(request_id=f"r{number}", keep_alive=True))
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertEqual(status_of(head), 200)
                await reader.readexactly(4)
            writer.close()
        self.assertEqual(len(worker.received), 3)


class TestCallerDisconnects(PathTest):
    """A request whose caller disconnects is cancelled, unless it may run only once."""

    async def leave(self, worker: PlatformWorker, data: bytes, *, service: str) -> None:
        """Send a request and disconnect once an endpoint has received it."""
        async with self.left_by_caller(worker, data, service=service):
            pass

    async def test_a_stream_is_cancelled(self) -> None:
        worker = PlatformWorker([silence()])
        await self.leave(worker, model_request(), service="llm")
        self.assertTrue(worker.closed.is_set())

    async def test_the_adapter_of_a_cancelled_stream_stays_in_use_for_a_time(self) -> None:
        worker = PlatformWorker([silence()])
        async with self.left_by_caller(worker, model_request(), service="llm") as harness:
            load, key = harness.entry._context.dispatcher.load, (worker.address, 1000)
            self.assertEqual(load.total(key, monotonic_ms()).runs, 0)
            self.assertEqual(load.own_runs_by_adapter(key, monotonic_ms()), {(MODEL, "a1"): 1})

    async def test_the_adapter_of_a_whole_stream_is_not_in_use_any_more(self) -> None:
        worker = PlatformWorker([stream(*EVENTS)])
        async with EntryHarness(worker, service="llm") as harness:
            await harness.send_raw(model_request())
            load = harness.entry._context.dispatcher.load
            self.assertEqual(load.own_runs_by_adapter((worker.address, 1000), monotonic_ms()), {})

    async def test_a_request_that_may_run_only_once_continues(self) -> None:
        done = asyncio.Event()

        async def slow(seen: object, writer: asyncio.StreamWriter) -> bool:
            await asyncio.sleep(0.1)
            if not writer.transport.is_closing():
                done.set()
            return False

        worker = PlatformWorker([slow])
        await self.leave(worker, request("/pay/1", method="POST", body=b"x"), service="desk")
        self.assertTrue(done.is_set())

    async def test_a_request_whose_caller_left_is_not_sent_to_another_endpoint(self) -> None:
        # The endpoint refuses the request after its caller has left.
        may_refuse = asyncio.Event()

        workers = [PlatformWorker([once_set(may_refuse, refusal())]) for _ in range(2)]
        async with EntryHarness(*workers) as harness:
            _, writer = await harness.connect()
            writer.write(request("/pay/1", method="POST", body=b"x"))
            events = [asyncio.ensure_future(w.first_received.wait()) for w in workers]
            await asyncio.wait(events, timeout=2, return_when=asyncio.FIRST_COMPLETED)
            writer.close()
            await asyncio.sleep(0.1)
            may_refuse.set()
            await asyncio.sleep(0.2)
            for event in events:
                event.cancel()
        self.assertEqual(sum(len(worker.received) for worker in workers), 1)

    async def test_a_request_whose_caller_left_before_it_was_read_is_not_sent(self) -> None:
        worker = PlatformWorker([answer()])
        async with EntryHarness(worker) as harness:
            # Its connection is reused, so that the next request could be sent without a delay.
            self.assertEqual(status_of(await harness.send_raw(request())), 200)
            # The event loop doesn't run between these calls, as at an entry that is overloaded.
            with socket.create_connection(harness.entry.callers_address) as connection:
                connection.sendall(request("/pay/1", method="POST", body=b"x", request_id="r2"))
            await asyncio.sleep(0.2)
        self.assertEqual([seen.target for seen in worker.received], ["/look/1"])

    async def test_a_request_whose_caller_left_during_a_connect_is_not_sent(self) -> None:
        worker = PlatformWorker([answer()])
        with unresponsive_address() as address:
            async with EntryHarness(worker) as harness:
                harness.list_address(address)
                _, writer = await harness.connect()
                writer.write(request("/pay/1", method="POST", body=b"x"))
                await asyncio.sleep(0.1)
                writer.close()
                harness.list_workers()
                await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000 + 0.2)
        self.assertEqual(worker.received, [])

    async def test_a_caller_that_leaves_after_pipelined_bytes_is_noticed(self) -> None:
        for pipelined in (b"x" * 5_000, b"x" * 100_000):
            with self.subTest(bytes=len(pipelined)):
                worker = PlatformWorker([silence()])
                await self.leave(worker, model_request() + pipelined, service="llm")
                self.assertTrue(worker.closed.is_set())

    async def test_a_pipelined_request_with_a_large_body_is_answered(self) -> None:
        may_continue = asyncio.Event()
        worker = PlatformWorker([once_set(may_continue, answer()), answer()])
        async with EntryHarness(worker) as harness:
            reader, writer = await harness.connect()
            writer.write(request(keep_alive=True))
            writer.write(request("/pay/1", method="POST", body=b"x" * 15_000, request_id="r2"))
            await asyncio.wait_for(worker.first_received.wait(), 2)
            await asyncio.sleep(0.1)
            may_continue.set()
            async with asyncio.timeout(2):
                data = await reader.read(-1)
            writer.close()
        self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(len(worker.received[1].body), 15_000)


class TestPlannedStop(PathTest):
    """A planned stop interrupts no request that has been read, and closes connections after them.

    A connection that stayed open after the announcement could bring a request too late.
    """

    async def test_a_connection_closes_after_a_request_that_was_running(self) -> None:
        may_continue = asyncio.Event()
        worker = PlatformWorker([once_set(may_continue, answer()), answer()])
        async with EntryHarness(worker) as harness:
            reader, writer = await harness.connect()
            writer.write(request(request_id="r1", keep_alive=True))
            await asyncio.wait_for(worker.first_received.wait(), 2)
            harness.entry.announce_close()
            may_continue.set()
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"connection: close", head.lower())
            writer.write(request(request_id="r2", keep_alive=True))
            remaining = await asyncio.wait_for(reader.read(-1), 2)
            writer.close()
        self.assertEqual(remaining, b"done")
        self.assertEqual(len(worker.received), 1)

    async def test_a_connection_closes_after_a_stream_that_was_running(self) -> None:
        async with self.announced_during_a_stream() as (worker, reader, _):
            # Sooner than by the idle time-out of the configuration.
            self.assertEqual(await asyncio.wait_for(reader.read(-1), 0.5), b"")
            self.assertEqual(len(worker.received), 1)

    async def test_a_connection_closes_after_the_request_behind_a_running_stream(self) -> None:
        # The stream couldn't announce the close any more, and what had been read got no answer.
        async with self.announced_during_a_stream() as (worker, reader, writer):
            for request_id in (b"r2", b"r3"):
                again = model_request().replace(b"Connection: close\r\n", b"")
                writer.write(again.replace(b"r1", request_id))
            after = await asyncio.wait_for(reader.read(-1), 2)
            self.assertIn(b"connection: close", after.lower())
            self.assertTrue(is_whole(after))
            self.assertEqual(len(worker.received), 2)

    @contextlib.asynccontextmanager
    async def announced_during_a_stream(
        self,
    ) -> AsyncIterator[tuple[PlatformWorker, asyncio.StreamReader, asyncio.StreamWriter]]:
        """Announce the close while a stream runs, and yield once all of the stream is read."""
        may_continue = asyncio.Event()
        worker = PlatformWorker([two_event_stream(may_continue), stream(*EVENTS)])
        async with EntryHarness(worker, service="llm") as harness:
            reader, writer = await harness.connect()
            writer.write(model_request().replace(b"Connection: close\r\n", b""))
            await reader.readuntil(EVENTS[0])
            harness.entry.announce_close()
            may_continue.set()
            self.assertTrue(is_whole(await reader.readuntil(b"0\r\n\r\n")))
            yield worker, reader, writer
            writer.close()


def two_event_stream(may_continue: asyncio.Event) -> Reply:
    """Return a stream that sends its second event and its end once *may_continue* is set."""

    async def reply(seen: object, writer: asyncio.StreamWriter) -> bool:
        await stream(EVENTS[0], ends=False)(seen, writer)
        await may_continue.wait()
        writer.write(f"{len(EVENTS[1]):x}\r\n".encode() + EVENTS[1] + b"\r\n0\r\n\r\n")
        return True

    return reply


class TestRevokedKeys(PathTest):
    """A withdrawn key stops working also for a caller that stays connected."""

    async def withdraw(self, *, cancels: bool) -> tuple[bytes, bytes]:
        """Withdraw the key while a stream runs; return the stream and the next response."""
        may_continue = asyncio.Event()

        worker = PlatformWorker([two_event_stream(may_continue)])
        async with EntryHarness(worker, service="llm", cancels_on_revocation=cancels) as harness:
            reader, writer = await harness.connect()
            writer.write(model_request())
            response = await reader.readuntil(EVENTS[0])
            harness.entry.registry.table_published(as_bytes(config(2, tenants=[])))
            may_continue.set()
            response += await asyncio.wait_for(reader.read(-1), 2)
            writer.close()
            return response, await harness.send_raw(model_request().replace(b"r1", b"r2"))

    async def test_the_next_request_is_refused(self) -> None:
        response, after = await self.withdraw(cancels=False)
        self.assertTrue(is_whole(response))
        self.assertEqual(status_of(after), 401)

    async def test_a_running_stream_is_cancelled_where_configured(self) -> None:
        response, after = await self.withdraw(cancels=True)
        self.assertFalse(is_whole(response))
        self.assertEqual(status_of(after), 401)


class TestQuota(PathTest):
    """A request that certainly did not run is not charged to the quota."""

    async def test_a_request_that_did_not_run_is_refunded(self) -> None:
        worker = PlatformWorker([refusal()])
        async with EntryHarness(worker) as harness:
            for number in range(3):
                await harness.send_raw(request(request_id=f"r{number}"))
            self.assertEqual(harness.entry.granted(), {"singers": 0.0})


class TestLeavingAndPausedEndpoints(PathTest):
    """Endpoints that say that they are about to stop, or that they want no requests for a time."""

    async def test_no_request_follows_an_answer_of_a_leaving_endpoint(self) -> None:
        leaving = "Server-Leaving: 1\r\n"
        for first in (
            answer(extra=leaving),
            answer(status="404 Not Found", extra=leaving),
            answer(status="500 Failed", extra=leaving),
        ):
            worker, other = PlatformWorker([first, answer()]), PlatformWorker([answer()])
            async with EntryHarness(worker, other) as harness:
                while not worker.received:
                    await harness.send_raw(request("/pay/1", method="POST"))
                for _ in range(5):
                    await harness.send_raw(request("/pay/1", method="POST"))
            self.assertEqual(len(worker.received), 1)
            self.assertGreaterEqual(len(other.received), 5)

    async def test_a_stream_of_a_leaving_endpoint_goes_on(self) -> None:
        worker = PlatformWorker([stream(*EVENTS, extra="Server-Leaving: 1\r\n")])
        async with EntryHarness(worker, service="llm") as harness:
            self.assertTrue(is_whole(await harness.send_raw(model_request())))
            self.assertEqual(status_of(await harness.send_raw(model_request())), 503)
        self.assertEqual(len(worker.received), 1)

    async def test_a_paused_endpoint_gets_no_request_until_its_pause_ends(self) -> None:
        worker = PlatformWorker([refusal(extra="Retry-After: 0.4\r\n"), answer()])
        async with EntryHarness(worker) as harness:
            started_ms = monotonic_ms()
            response = await harness.send_raw(request("/pay/1", method="POST"))
            self.assertEqual(status_of(response), 200)
            self.assertGreaterEqual(monotonic_ms() - started_ms, 400)
        self.assertEqual(len(worker.received), 2)

    async def test_a_pause_beyond_the_deadline_refuses_at_once_until_it_ends(self) -> None:
        worker = PlatformWorker([refusal(extra="Retry-After: 5\r\n")])
        async with EntryHarness(worker) as harness:
            for _ in range(3):
                response = await harness.send_raw(request("/pay/1", method="POST"))
                self.assertEqual(status_of(response), 503)
                self.assertIn(b"retry-after", response.lower())
        self.assertEqual(len(worker.received), 1)

    async def test_a_pause_is_no_failure_of_the_endpoint(self) -> None:
        worker = PlatformWorker([refusal(extra="Retry-After: 0.1\r\n"), answer()])
        async with EntryHarness(worker) as harness:
            await harness.send_raw(request("/pay/1", method="POST"))
            health = harness.entry._context.dispatcher.health
            self.assertEqual(health.failure_ratio((worker.address, 1000), monotonic_ms()), 0.0)
