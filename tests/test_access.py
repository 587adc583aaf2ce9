"""Tests of access decisions, the access lease, and the order of configuration revisions."""

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
    """A key grants what its organisation's plan contains, and nothing else."""

    def test_refusals(self) -> None:
        """Rows of the digest of the key, the calendar time and the expected code."""
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
                refused_code = code_of(
                    access_of, catalogue(**lapsed), digest, calendar_s=calendar_s
                )
                self.assertIs(refused_code, code)
        access = access_of(catalogue(**lapsed), "d1", calendar_s=15)
        self.assertEqual(access.organisation.name, "singers")

    def test_adapter_and_version(self) -> None:
        """The requested version is served, or else the current one; unknown ones are refused."""
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
        """A route needs a key whose plan contains it, unless it is open to all."""
        lists = catalogue()
        self.assertIsNone(route_access_of(lists, "hours", None, calendar_s=0)[1])
        rows = ((None, Code.NO_KEY), ("d2", Code.ROUTE_NOT_IN_PLAN))
        for digest, code in rows:
            with self.subTest(digest=digest):
                refused_code = code_of(route_access_of, lists, "orders", digest, calendar_s=0)
                self.assertIs(refused_code, code)

    def test_a_running_request_loses_access(self) -> None:
        """A key can be withdrawn or moved to another organisation, and a plan be removed or end."""
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
    """A process that can't prove that its configuration is current stops within the lease.

    Otherwise a process that is partitioned or suspended would serve a withdrawn key.
    """

    def _lease(self, *domains: str) -> AccessLease:
        lease = AccessLease()
        lease.observe_roster(set(domains))
        lease.observe_read(0)
        return lease

    def _observe_answer(
        self, lease: AccessLease, domain: str, at_ms: float, **changes: object
    ) -> None:
        options = {"evidence_age_ms": -1, "is_newer": False, **changes}
        lease.observe_peer(f"vm-{domain}", domain=domain, ping_sent_ms=at_ms, **options)

    def test_lease_ends_without_new_evidence(self) -> None:
        lease = self._lease("x", "y")
        self.assertTrue(lease.is_held(ACCESS_LEASE_MS))
        self.assertFalse(lease.is_held(ACCESS_LEASE_MS + 1))

    def test_lease_is_not_held_without_any_evidence(self) -> None:
        self.assertFalse(AccessLease().is_held(0))

    def test_a_peer_with_evidence_renews_the_lease(self) -> None:
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 10_000, evidence_age_ms=500)
        self.assertTrue(lease.is_held(9500 + ACCESS_LEASE_MS))
        self.assertFalse(lease.is_held(9501 + ACCESS_LEASE_MS))

    def test_a_peer_with_newer_configuration_renews_nothing(self) -> None:
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 10_000, evidence_age_ms=0, is_newer=True)
        self.assertFalse(lease.is_held(10_000))

    def test_lease_is_held_while_the_platform_is_down_for_all(self) -> None:
        """A member of every domain answers and none has newer evidence, so service continues."""
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 60_000)
        self._observe_answer(lease, "y", 60_000)
        self.assertTrue(lease.is_held(60_100))

    def test_a_silent_domain_ends_the_lease(self) -> None:
        """Its members may still read the platform, on the other side of a partition."""
        lease = self._lease("x", "y")
        self._observe_answer(lease, "x", 60_000)
        self._observe_answer(lease, "y", 50_000)
        self.assertFalse(lease.is_held(60_100))

    def test_answers_before_a_suspension_do_not_count_after_it(self) -> None:
        """A resumed process must not take old answers for a present outage of the platform."""
        lease = self._lease("x")
        self._observe_answer(lease, "x", 100)
        self.assertFalse(lease.is_held(60_000))


class TestConfiguration(unittest.TestCase):
    """A value is never replaced by an older revision, nor a valid one by an invalid one."""

    def test_an_older_value_is_ignored(self) -> None:
        configuration = Configuration(parse=parse_value)
        digest = "a" * 64
        configuration.adopt("keys", 5, f"[keys.{digest}]\norganisation = 'x'\n".encode())
        self.assertIsNone(configuration.adopt("keys", 4, GOOD_KEYS))
        self.assertEqual(list(configuration.parsed_by_name()["keys"].keys), [digest])

    def test_a_bad_value_leaves_the_last_good_one(self) -> None:
        configuration = Configuration(parse=parse_value)
        configuration.adopt("keys", 1, GOOD_KEYS)
        adopted = configuration.adopt("keys", 2, BAD_KEYS)
        self.assertTrue(adopted.problems)
        self.assertEqual(configuration.good_revisions(), {"keys": 1})
        self.assertEqual(configuration.newer_names({"keys": 2}), [])
        self.assertEqual([v.revision for v in configuration.values_newer_than({})], [1])

    def test_a_new_process_gets_the_last_good_value_from_a_peer(self) -> None:
        """It has read a newer, invalid revision from the platform before."""
        configuration = Configuration(parse=parse_value)
        configuration.adopt("keys", 2, BAD_KEYS)
        self.assertFalse(configuration.parsed_by_name())
        configuration.adopt("keys", 1, GOOD_KEYS)
        self.assertEqual(configuration.good_revisions(), {"keys": 1})

    def test_a_good_value_between_the_last_good_one_and_a_bad_one(self) -> None:
        """This process missed that revision, and its peers have it."""
        configuration = Configuration(parse=parse_value)
        configuration.adopt("keys", 1, GOOD_KEYS)
        configuration.adopt("keys", 3, BAD_KEYS)
        configuration.adopt("keys", 2, GOOD_KEYS)
        self.assertEqual(configuration.good_revisions(), {"keys": 2})

    def test_revision_only_grows(self) -> None:
        configuration = Configuration(parse=parse_value)
        configuration.advance_revision(7)
        configuration.advance_revision(3)
        self.assertEqual(configuration.revision, 7)

    def test_every_problem_of_a_list_is_reported(self) -> None:
        text = b"""
[plans.street]
adapters = ["*"]
tokens_per_secnd = 4
burst_tokens = -1
"""
        with self.assertRaises(FileRejected) as caught:
            parse_value("plans", text)
        problems = "\n".join(str(problem) for problem in caught.exception.problems)
        self.assertIn("did you mean 'tokens_per_second'?", problems)
        self.assertIn("burst_tokens: found -1", problems)
        self.assertIn("tokens_per_second: found nothing", problems)
