"""Who may run what, for how long the decision holds, and that configuration never goes back."""

import unittest

from skylarkrack._errors import Code, FileRejected, RequestRefused
from skylarkrack._lists import parse_value
from skylarkrack.core import (
    ACCESS_LEASE_MS,
    AccessLease,
    Configuration,
    Organisation,
    access_of,
    is_still_granted,
    route_access_of,
    served_name_of,
)
from tests.builders import catalogue

GOOD_KEYS = b"[keys]\n"
BAD_KEYS = b"[keys.short]\norganisation = 'x'\n"


def code_of(call: object, *arguments: object, **options: object) -> Code:
    """Return the code of the refusal that *call* raises."""
    try:
        call(*arguments, **options)
    except RequestRefused as refusal:
        return refusal.code
    raise AssertionError("nothing was refused")


class TestAccess(unittest.TestCase):
    """A key gives what its organisation's plan grants, and nothing else."""

    def test_refusals(self) -> None:
        """Each row: the digest shown, the calendar time, and the code."""
        lapsed = {
            "organisation_by_name": {
                "singers": Organisation(
                    name="singers", plan="street", plan_from_s=10, plan_until_s=20
                ),
                "bursars": Organisation(name="bursars", plan="gone"),
            }
        }
        rows = (
            (None, 15, Code.NO_KEY),
            ("unknown", 15, Code.UNKNOWN_KEY),
            ("d1", 9.9, Code.PLAN_LAPSED),
            ("d1", 20, Code.PLAN_LAPSED),
            ("d2", 15, Code.PLAN_LAPSED),
        )
        for digest, calendar_s, code in rows:
            with self.subTest(digest=digest, calendar_s=calendar_s):
                found = code_of(access_of, catalogue(**lapsed), digest, calendar_s=calendar_s)
                self.assertIs(found, code)
        access = access_of(catalogue(**lapsed), "d1", calendar_s=15)
        self.assertEqual(access.organisation.name, "singers")

    def test_adapter_and_version(self) -> None:
        """The version asked for is the one served; anything unknown is refused."""
        lists = catalogue()
        singers = access_of(lists, "d1", calendar_s=0)
        bursars = access_of(lists, "d2", calendar_s=0)
        self.assertEqual(str(served_name_of(lists, singers, "badge@1")), "badge@1")
        self.assertEqual(str(served_name_of(lists, singers, "badge")), "badge@2")
        rows = (
            (singers, "badge@3", Code.UNKNOWN_ADAPTER),
            (singers, "badge@", Code.UNKNOWN_ADAPTER),
            (singers, "badge@1@2", Code.UNKNOWN_ADAPTER),
            (singers, "badge@１", Code.UNKNOWN_ADAPTER),
            (singers, "none", Code.UNKNOWN_ADAPTER),
            (bursars, "tender", Code.ADAPTER_NOT_IN_PLAN),
        )
        for access, model, code in rows:
            with self.subTest(model=model):
                self.assertIs(code_of(served_name_of, lists, access, model), code)

    def test_routes(self) -> None:
        """A route needs a key whose plan has it, unless it is open to all."""
        lists = catalogue()
        self.assertIsNone(route_access_of(lists, "hours", None, calendar_s=0)[1])
        rows = ((None, Code.NO_KEY), ("d2", Code.ROUTE_NOT_IN_PLAN))
        for digest, code in rows:
            with self.subTest(digest=digest):
                found = code_of(route_access_of, lists, "orders", digest, calendar_s=0)
                self.assertIs(found, code)

    def test_a_running_request_loses_access(self) -> None:
        """By withdrawal, by the key's move to another organisation, by plan, and by date."""
        rows = (
            ({}, True),
            ({"organisation_by_digest": {}}, False),
            ({"organisation_by_digest": {"d1": "bursars"}}, False),
            ({"plan_by_name": {}}, False),
            (
                {
                    "organisation_by_name": {
                        "singers": Organisation(name="singers", plan="street", plan_until_s=5)
                    }
                },
                False,
            ),
        )
        for changes, expected in rows:
            with self.subTest(changes=changes):
                lists = catalogue(**changes)
                granted = is_still_granted(lists, "d1", "badge", "singers", calendar_s=6)
                self.assertIs(granted, expected)


class TestAccessLease(unittest.TestCase):
    """Who cannot prove that its configuration is current stops within the lease."""

    def _lease(self, *domains: str) -> AccessLease:
        lease = AccessLease()
        lease.observe_roster(set(domains))
        lease.observe_read(0)
        return lease

    def _observe_answer(
        self, lease: AccessLease, domain: str, at_ms: float, **more: object
    ) -> None:
        options = {"evidence_age_ms": -1, "is_newer": False, **more}
        lease.observe_peer(f"vm-{domain}", domain=domain, ping_sent_ms=at_ms, **options)

    def test_cut_off_from_everything(self) -> None:
        lease = self._lease("x", "y")
        self.assertTrue(lease.is_held(ACCESS_LEASE_MS))
        self.assertFalse(lease.is_held(ACCESS_LEASE_MS + 1))

    def test_a_process_that_never_read_or_heard_anything(self) -> None:
        self.assertFalse(AccessLease().is_held(0))

    def test_a_peer_that_reads_the_platform_renews_it(self) -> None:
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 10_000, evidence_age_ms=500)
        self.assertTrue(lease.is_held(9500 + ACCESS_LEASE_MS))
        self.assertFalse(lease.is_held(9501 + ACCESS_LEASE_MS))

    def test_a_peer_with_newer_configuration_renews_nothing(self) -> None:
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 10_000, evidence_age_ms=0, is_newer=True)
        self.assertFalse(lease.is_held(10_000))

    def test_platform_down_for_all(self) -> None:
        """Some member of every domain answers and none has read anything: service goes on."""
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 60_000)
        self._observe_answer(lease, "y", 60_000)
        self.assertTrue(lease.is_held(60_100))

    def test_a_silent_domain_may_hide_a_reader(self) -> None:
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 60_000)
        self._observe_answer(lease, "y", 50_000)
        self.assertFalse(lease.is_held(60_100))

    def test_woken_after_a_pause(self) -> None:
        """Nothing heard before the pause counts after it."""
        lease = self._lease("x")
        self._observe_answer(lease, "x", 100)
        self.assertFalse(lease.is_held(60_000))


class TestConfiguration(unittest.TestCase):
    """Values never go back to an older revision, and a bad one does not replace a good one."""

    def test_an_older_value_is_ignored(self) -> None:
        held = Configuration(parse=parse_value)
        digest = "a" * 64
        held.adopt("keys", 5, f"[keys.{digest}]\norganisation = 'x'\n".encode())
        self.assertIsNone(held.adopt("keys", 4, GOOD_KEYS))
        self.assertEqual(list(held.parsed_by_name()["keys"].keys), [digest])

    def test_a_bad_value_leaves_the_last_good_one(self) -> None:
        held = Configuration(parse=parse_value)
        held.adopt("keys", 1, GOOD_KEYS)
        adopted = held.adopt("keys", 2, BAD_KEYS)
        self.assertTrue(adopted.problems)
        self.assertEqual(held.good_revisions(), {"keys": 1})
        self.assertEqual(held.newer_names({"keys": 2}), [])
        self.assertEqual([v.revision for v in held.values_newer_than({})], [1])

    def test_a_new_process_gets_the_last_good_value_from_a_peer(self) -> None:
        """It met the bad revision at the platform first."""
        held = Configuration(parse=parse_value)
        held.adopt("keys", 2, BAD_KEYS)
        self.assertFalse(held.parsed_by_name())
        held.adopt("keys", 1, GOOD_KEYS)
        self.assertEqual(held.good_revisions(), {"keys": 1})

    def test_a_good_value_between_the_last_good_one_and_a_bad_one(self) -> None:
        """This process never saw it, and its peers hold it."""
        held = Configuration(parse=parse_value)
        held.adopt("keys", 1, GOOD_KEYS)
        held.adopt("keys", 3, BAD_KEYS)
        held.adopt("keys", 2, GOOD_KEYS)
        self.assertEqual(held.good_revisions(), {"keys": 2})

    def test_revision_only_grows(self) -> None:
        held = Configuration(parse=parse_value)
        held.advance_revision(7)
        held.advance_revision(3)
        self.assertEqual(held.revision, 7)

    def test_every_problem_of_a_list_is_told(self) -> None:
        text = b"""
[plans.street]
adapters = ["*"]
tokens_per_secnd = 4
burst_tokens = -1
"""
        with self.assertRaises(FileRejected) as caught:
            parse_value("plans", text)
        told = "\n".join(str(problem) for problem in caught.exception.problems)
        self.assertIn("did you mean 'tokens_per_second'?", told)
        self.assertIn("burst_tokens: found -1", told)
        self.assertIn("tokens_per_second: found nothing", told)
