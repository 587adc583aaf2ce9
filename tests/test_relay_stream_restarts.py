"""Callers take streams up after entries were killed; only the engines' agents remember them.

Guards against answers whose events come from two versions, and against take-ups that are refused
although their version serves.
"""

import asyncio

from skylarkrack.messages import BegunStreams
from skylarkrack.relay._peers import AGENT, ENTRY, Peers
from standins.platform_worker import resumable, stream
from tests.platform_builders import as_bytes, config, model_request
from tests.registration_history_builders import StubHistory
from tests.stream_fleet import AGENTS, EVENTS, RestartCase, keepers_of
from tests.test_relay_fleet import settings, until
from tests.test_relay_path import is_whole, status_of


class TestAllEntriesKilled(RestartCase):
    """New entries know no stream and have seen no version leave."""

    async def test_streams_go_on_at_their_versions_while_two_serve(self) -> None:
        """Guards against the refusal of every take-up, also where its version serves."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old, "r1")
        await self.begin(before, self.new, "r2")
        await self.kill_entries()
        old, new, _ = self.served()
        after = await self.start_entry("entry-2", self.old, self.new)
        self.assertTrue(is_whole(await self.take_up(after, "r1")))
        self.assertEqual(self.served(), [old + 1, new, 0])
        self.assertTrue(is_whole(await self.take_up(after, "r2")))
        self.assertEqual(self.served(), [old + 1, new + 1, 0])

    async def test_streams_go_on_at_their_versions_while_three_serve(self) -> None:
        """Guards against a second release that begins before the first has ended."""
        workers = list(self.workers.values())
        before = await self.start_entry("entry-1", *workers)
        for number, worker in enumerate(workers):
            await self.begin(before, worker, f"r{number}")
        await self.kill_entries()
        after = await self.start_entry("entry-2", *workers)
        for number in range(len(workers)):
            expected = self.served()
            expected[number] += 1
            self.assertTrue(is_whole(await self.take_up(after, f"r{number}")))
            self.assertEqual(self.served(), expected)

    async def test_a_stream_of_a_version_that_has_just_left_does_not_go_on(self) -> None:
        """Guards against a stream of v1 that goes on at v1.1, which no entry saw beside v1."""
        before = await self.start_entry("entry-1", self.old)
        await self.begin(before, self.old)
        await self.kill_entries()
        after = await self.start_entry("entry-2", self.new)
        self.assertEqual(status_of(await self.take_up(after)), 503)
        self.assertEqual(self.new.received, [])

    async def test_an_unknown_stream_is_refused_while_all_endpoints_are_young(self) -> None:
        """Guards against a stream of an endpoint that has left, of which nothing is left."""
        after = await self.start_entry("entry-2", self.new, age_s=5.0)
        self.assertEqual(status_of(await self.take_up(after, "other")), 503)
        self.assertEqual(self.new.received, [])

    async def test_an_unknown_stream_goes_on_where_one_version_served(self) -> None:
        """Guards against refusals where one version served for as long as callers wait."""
        history = StubHistory(("i-0", "v1.1"), remembered_ms=40_000.0)
        after = await self.start_entry("entry-2", self.new, age_s=40.0, history=history)
        self.assertTrue(is_whole(await self.take_up(after, "other")))

    async def test_a_caller_that_waits_on_came_a_short_time_ago(self) -> None:
        """Guards against refusals because a registry remembers less than callers may wait."""
        history = StubHistory(("i-0", "v1.1"), remembered_ms=18_000.0)
        after = await self.start_entry("entry-2", self.new, age_s=40.0, history=history)
        headers = "Resumes: other\r\nLast-Event-Id: 1\r\nX-Deadline-Ms: {}\r\n"
        for deadline_ms, status in ((11_000, 503), (60_000, 503), (14_000, 200)):
            with self.subTest(deadline_ms=deadline_ms):
                attempt = model_request("/draft/1", headers=headers.format(deadline_ms))
                self.assertEqual(status_of(await after.send_raw(attempt)), status)

    async def test_a_stream_of_an_endpoint_that_left_before_all_were_killed(self) -> None:
        # Today's endpoints are older than any caller waits: they were taken for all that served.
        before = await self.start_entry("entry-1", self.old)
        await self.begin(before, self.old)
        await self.kill_entries()
        for number in range(AGENTS):
            await self.restart_agent(number)
        registry = StubHistory(("i-0", "v1.1"), ("i-9", "v1"), remembered_ms=40_000.0)
        for number, history in enumerate((None, registry)):
            with self.subTest(history=history):
                after = await self.start_entry(f"entry-2{number}", self.new, history=history)
                self.assertEqual(status_of(await self.take_up(after)), 503)
        self.assertEqual(self.new.received, [])
        self.assertEqual(registry.readings, 1)

    async def test_two_kills_within_three_seconds(self) -> None:
        """Guards against a stream that was taken up once and whose second entry dies as well."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old)
        await self.kill_entries()
        self.old.script[:] = [stream(EVENTS[1], b"id: 9\nda", ends=False)]
        between = await self.start_entry("entry-1", self.old, self.new)
        await self.take_up(between)
        await asyncio.sleep(3)
        await self.kill_entries()
        self.old.script[:] = [resumable(EVENTS, breaks_after=1)]
        after = await self.start_entry("entry-1", self.old, self.new)
        self.assertTrue(is_whole(await self.take_up(after)))
        self.assertEqual(self.new.received, [])

    async def test_an_answer_that_breaks_after_the_take_up(self) -> None:
        """Guards against an entry that resumes a taken-up stream itself, at another version."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old)
        await self.kill_entries()
        self.old.script[:] = [stream(EVENTS[1], b"id: 9\nda", ends=False)]
        after = await self.start_entry("entry-2", self.old, self.new)
        self.assertFalse(is_whole(await self.take_up(after)))
        self.assertEqual(self.new.received, [])

    async def test_a_take_up_before_the_agents_are_known(self) -> None:
        """Guards against a refusal because a new entry has nobody to ask yet."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old)
        await self.kill_entries()
        seeds, self.seeds = tuple(self.seeds), []
        after = await self.start_entry("entry-2", self.old, self.new, waits=False)
        response = asyncio.create_task(self.take_up(after))
        await asyncio.sleep(0.15)
        self.assertEqual(self.known_to(after, AGENT), 0)
        after.entry._gossip.set_seeds(seeds)
        self.assertTrue(is_whole(await response))

    async def test_another_organisation_names_the_attempt(self) -> None:
        """Guards against a caller that learns or uses where somebody else's stream began."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old)
        await self.kill_entries()
        after = await self.start_entry("entry-2", self.old, self.new)
        document = config(2)
        document["tenants"].append({**document["tenants"][0], "name": "dancers", "api-keys": ["d"]})
        after.entry.registry.table_published(as_bytes(document))
        headers = "Resumes: r1\r\nLast-Event-Id: 1\r\n"
        attempt = model_request("/draft/1", request_id="t9", headers=headers)
        served = self.served()
        foreign = attempt.replace(b"Token key-of-singers", b"Token d")
        self.assertEqual(status_of(await after.send_raw(foreign)), 503)
        self.assertEqual(self.served(), served)
        self.assertTrue(is_whole(await after.send_raw(attempt)))


class TestTakeUpsWithoutAttempt(RestartCase):
    """Callers name the last event that they have, but not the attempt that brought the first."""

    async def test_they_are_not_taken_for_one_stream(self) -> None:
        """Guards against streams of several versions that share one origin."""
        await self.new.start()
        entry = await self.start_entry("entry-1", self.old)
        headers = "Last-Event-Id: 1\r\n"
        attempt = model_request("/draft/1", request_id="t1", headers=headers)
        self.assertTrue(is_whole(await entry.send_raw(attempt)))
        entry._software_by_address[self.new.address] = "v1.1"
        entry.entry.registry.endpoint_put(entry._endpoint("i-other", self.new.address))
        served = self.served()
        self.assertEqual(status_of(await entry.send_raw(attempt)), 503)
        self.assertEqual(self.served(), served)
        await self.new.close()


class TestHalfOfTheEntriesKilled(RestartCase):
    """The entries that are left did not see the streams begin."""

    async def test_streams_go_on_at_their_versions(self) -> None:
        """Guards against take-ups that work at the entry that relayed the stream only."""
        entries = [await self.start_entry(f"entry-{n}", self.old, self.new) for n in range(4)]
        for number, harness in enumerate(entries):
            await self.begin(harness, (self.old, self.new)[number % 2], f"r{number}")
        for harness in entries[:2]:
            await harness.entry.close()
        for number in range(4):
            expected = self.served()
            expected[number % 2] += 1
            # Each is taken up at an entry that did not begin it.
            self.assertTrue(is_whole(await self.take_up(entries[3 - number % 2], f"r{number}")))
            self.assertEqual(self.served(), expected)

    async def test_the_version_has_changed_since(self) -> None:
        """Guards against an entry that kept an origin to itself while there was one version."""
        await self.new.start()
        left = await self.start_entry("entry-2", self.old)
        before = await self.start_entry("entry-1", self.old)
        await self.begin(before, self.old)
        await before.entry.close()
        left._software_by_address[self.new.address] = "v1.1"
        left.list_address(self.new.address)
        self.assertEqual(status_of(await self.take_up(left)), 503)
        self.assertEqual(self.new.received, [])
        await self.new.close()


class TestAgentsGone(RestartCase):
    """Agents are killed as well."""

    async def test_one_keeper_is_killed_with_the_entries(self) -> None:
        """Guards against an origin that only one agent holds."""
        for number, killed in enumerate(keepers_of("r1")):
            with self.subTest(killed=killed):
                before = await self.start_entry(f"entry-{number}", self.old, self.new)
                await self.begin(before, self.old)
                await until(lambda: self.keeping() >= 2)
                await self.kill_entries()
                await self.restart_agent(killed)
                after = await self.start_entry(f"entry-9{number}", self.old, self.new)
                self.assertTrue(is_whole(await self.take_up(after)))
                self.assertEqual(self.new.received, [])
                await self.kill_entries()

    async def test_both_keepers_are_killed_with_the_entries(self) -> None:
        """Guards against a stream that nobody knows any more and that goes on anywhere."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old)
        served = self.served()
        await self.kill_entries()
        await self.kill_agents(*keepers_of("r1"))
        after = await self.start_entry("entry-2", self.old, self.new)
        self.assertEqual(status_of(await self.take_up(after)), 503)
        self.assertEqual(self.served(), served)

    async def test_both_keepers_leave_before_the_entries_are_killed(self) -> None:
        """Guards against origins that are sent once and leave with their keepers."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old)
        await self.kill_agents(*keepers_of("r1"))
        await until(lambda: self.keeping() == 2, seconds=8.0)
        await self.kill_entries()
        after = await self.start_entry("entry-2", self.old, self.new)
        self.assertTrue(is_whole(await self.take_up(after)))
        self.assertEqual(self.new.received, [])

    async def test_both_keepers_are_restarted_before_the_entries_are_killed(self) -> None:
        """Guards against keepers that are never missed, but have lost what they kept."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await self.begin(before, self.old)
        await until(lambda: self.keeping() == 2)
        # By then the reports have named the incarnations, and nothing is left to be sent again.
        await asyncio.sleep(1.5)
        for number in keepers_of("r1"):
            await self.restart_agent(number)
        await until(lambda: self.keeping() == 2)
        await self.kill_entries()
        after = await self.start_entry("entry-2", self.old, self.new)
        self.assertTrue(is_whole(await self.take_up(after)))

    async def test_all_are_killed_and_endpoints_are_young(self) -> None:
        """Guards against streams that go on at another version when nothing is remembered."""
        before = await self.start_entry("entry-1", self.old)
        await self.begin(before, self.old)
        await self.kill_entries()
        for number in range(AGENTS):
            await self.restart_agent(number)
        after = await self.start_entry("entry-2", self.new, age_s=2.0)
        self.assertEqual(status_of(await self.take_up(after)), 503)
        self.assertEqual(self.new.received, [])

    async def test_sending_does_not_delay_the_stream(self) -> None:
        """Guards against a stream that waits for agents that have just died."""
        entry = await self.start_entry("entry-1", self.old, self.new)
        await self.kill_agents(*range(AGENTS))
        self.old.script[:] = [stream(*EVENTS)]
        entry.list_workers(self.old)
        async with asyncio.timeout(1.0):
            response = await entry.send_raw(model_request("/draft/1"))
        self.assertTrue(is_whole(response))


class TestOlderAgents(RestartCase):
    """Agents of the previous build take what they are sent for a message to an entry."""

    def count_agents(self) -> int:
        """Return 0: each test starts its own."""
        return 0

    async def begin_and_kill(self) -> None:
        """Begin a stream at v1, and kill all entries."""
        before = await self.start_entry("entry-1", self.old, self.new)
        await until(lambda: self.known_to(before, AGENT) == AGENTS)
        await self.begin(before, self.old)
        await self.kill_entries()

    async def test_all_agents_are_older(self) -> None:
        """Guards against a take-up that waits for them beyond its time, or goes on anywhere."""
        for number in range(AGENTS):
            await self.start_peer(f"s{number}", AGENT)
        await self.begin_and_kill()
        served = self.served()
        after = await self.start_entry("entry-2", self.old, self.new)
        await until(lambda: self.known_to(after, AGENT) == AGENTS)
        async with asyncio.timeout(1.5):
            self.assertEqual(status_of(await self.take_up(after)), 503)
        self.assertEqual(self.served(), served)

    async def test_one_keeper_is_older(self) -> None:
        """Guards against a silent agent that hides what the other keeper knows."""
        silent = keepers_of("r1")[0]
        for number in range(AGENTS):
            if number == silent:
                await self.start_peer(f"s{number}", AGENT)
            else:
                await self.start_agent(number)
        await self.begin_and_kill()
        after = await self.start_entry("entry-2", self.old, self.new)
        self.assertTrue(is_whole(await self.take_up(after)))
        self.assertEqual(self.new.received, [])


class TestOlderEntries(RestartCase):
    """Entries of the previous build answer with a boolean, and know nothing of certainty."""

    async def take_up_beside(self, answers: list, *, age_s: float) -> int:
        """Return the status of a take-up of an unknown stream beside an older entry."""
        await self.start_peer("entry-0", ENTRY, answers)
        after = await self.start_entry("entry-2", self.new, age_s=age_s)
        await until(lambda: self.known_to(after) == 1)
        return status_of(await self.take_up(after, "other"))

    async def test_it_knows_of_one_version(self) -> None:
        """Guards against an older entry that has just started, too, and says so of any service."""
        self.assertEqual(await self.take_up_beside([None, None, False], age_s=5.0), 503)
        self.assertEqual(self.new.received, [])

    async def test_it_knows_of_several_versions(self) -> None:
        """Guards against the birth rule where somebody saw another version."""
        self.assertEqual(await self.take_up_beside([None, None, True], age_s=60.0), 503)
        self.assertEqual(self.new.received, [])

    async def test_it_knows_the_stream(self) -> None:
        """Guards against an answer that is lost because it is an older build's."""
        self.assertEqual(await self.take_up_beside(["llm", "v1.1", True], age_s=5.0), 200)

    async def test_it_asks_an_entry_that_is_not_certain(self) -> None:
        """Guards against an older entry that goes on because a new one denies several versions."""
        got = []
        young = await self.start_entry("entry-2", self.new, age_s=5.0)
        own = settings("entry-0")
        older = Peers(own, ENTRY, on_message=lambda m, _: got.append(m), on_join=lambda _: None)
        await older.start()
        self.addCleanup(older.close)
        question = BegunStreams(
            **older.sender_fields, begun=[], asked=[[b"key", "llm"]], answers=[]
        )
        older.send(question, young.peers)
        await until(lambda: any(isinstance(message, BegunStreams) for message in got))
        (message,) = (message for message in got if isinstance(message, BegunStreams))
        ((key, service, version, is_mixed),) = message.answers
        self.assertEqual((key, service, version), (b"key", None, None))
        self.assertTrue(is_mixed)
