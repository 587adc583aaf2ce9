"""Which endpoints may get work: incarnations, leaving endpoints, and outages of the registry.

Guards against requests to endpoints that have left or restarted, which happen when registrations
arrive late or out of order, and against losing live endpoints whose registrations lapsed during an
outage of the registry.
"""

import unittest

from skylarkrack.core.relay import REREGISTRATION_GRACE_MS, Endpoint, EndpointDirectory
from skylarkrack.core.relay._directory import REGISTRATION_LEASE_MS
from tests.relay_builders import endpoint


class TestDirectory(unittest.TestCase):
    """Registrations in any order, with the registry reachable or not."""

    def setUp(self) -> None:
        self.directory = EndpointDirectory()
        self.directory.set_services({"engines", "desk"})
        self.directory.put(endpoint("e1"))

    def ids(self) -> list[str]:
        """Return the ids of the endpoints that may get work."""
        return [listed.endpoint_id for listed in self.directory.of_service("engines")]

    def test_a_leaving_endpoint_gets_no_new_work(self) -> None:
        self.directory.put(endpoint("e1", is_leaving=True))
        self.assertEqual(self.ids(), [])
        self.assertIsNotNone(self.directory.find("e1"))

    def test_an_old_heartbeat_does_not_bring_a_leaving_endpoint_back(self) -> None:
        self.directory.put(endpoint("e1", is_leaving=True))
        self.directory.put(endpoint("e1"))
        self.assertEqual(self.ids(), [])

    def test_the_same_id_with_a_later_start_is_another_endpoint(self) -> None:
        self.directory.put(endpoint("e1", is_leaving=True))
        self.directory.put(endpoint("e1", started_ms=2000))
        self.assertEqual(self.ids(), ["e1"])
        self.directory.put(endpoint("e1", started_ms=1000, is_leaving=True))
        self.assertEqual(self.directory.find("e1").started_ms, 2000)

    def test_an_address_is_its_latest_starts(self) -> None:
        self.directory.put(endpoint("e2", address="10.0.0.1:8001", started_ms=2000))
        self.assertEqual(self.ids(), ["e2"])
        self.directory.put(endpoint("e1"))
        self.assertEqual(self.ids(), ["e2"])

    def test_an_address_with_a_later_start_in_another_service(self) -> None:
        self.directory.put(endpoint("e2", service="desk", address="10.0.0.1:8001", started_ms=2000))
        self.assertEqual(self.ids(), [])

    def test_a_registration_of_an_unknown_service_takes_no_address(self) -> None:
        stray = endpoint("e2", service="stray", address="10.0.0.1:8001", started_ms=2000)
        self.directory.put(stray)
        self.assertEqual(self.ids(), ["e1"])
        self.directory.set_services({"engines", "desk", "stray"})
        self.assertEqual(self.ids(), [])

    def test_the_earlier_start_serves_again_after_the_later_one_is_removed(self) -> None:
        self.directory.put(endpoint("e2", address="10.0.0.1:8001", started_ms=2000))
        self.directory.remove("e2", 10.0)
        self.assertEqual(self.ids(), ["e1"])

    def test_a_registration_that_ends_without_an_outage_removes_the_endpoint(self) -> None:
        self.assertTrue(self.directory.remove("e1", 10.0))
        self.assertEqual(self.ids(), [])

    def test_a_lapse_while_the_registry_was_away_is_waited_for(self) -> None:
        self.directory.registry_lost()
        self.directory.registry_restored(1000.0)
        self.assertEqual(self.directory.apply_listing(set(), 1000.0), [])
        self.assertEqual(self.directory.expire_missing(1000.0 + REREGISTRATION_GRACE_MS - 1), [])
        self.assertEqual(self.ids(), ["e1"])
        self.assertEqual(self.directory.expire_missing(1000.0 + REREGISTRATION_GRACE_MS), ["e1"])
        self.assertEqual(self.ids(), [])

    def test_an_endpoint_that_registers_again_in_time_stays(self) -> None:
        self.directory.registry_lost()
        self.directory.registry_restored(1000.0)
        self.directory.remove("e1", 1000.0)
        self.directory.put(endpoint("e1"))
        self.assertEqual(self.directory.expire_missing(99_000.0), [])
        self.assertEqual(self.ids(), ["e1"])

    def test_no_endpoint_is_removed_while_the_registry_is_unreachable(self) -> None:
        self.directory.registry_lost()
        self.directory.remove("e1", 0.0)
        self.assertEqual(self.directory.expire_missing(99_000.0), [])
        self.assertEqual(self.ids(), ["e1"])


class TestRestoredRegistry(unittest.TestCase):
    """The registry comes back from a copy some seconds old."""

    def setUp(self) -> None:
        self.directory = EndpointDirectory()
        self.directory.set_services({"engines"})
        for endpoint_id in ("e1", "e2"):
            self.directory.put(endpoint(endpoint_id))

    def ids(self) -> list[str]:
        """Return the ids of the endpoints that may get work."""
        return sorted(listed.endpoint_id for listed in self.directory.of_service("engines"))

    def list_copy(self, *endpoints: Endpoint, now_ms: float) -> None:
        """Apply the listing of a restored copy."""
        self.directory.registry_rewound(now_ms)
        for listed in endpoints:
            if not self.directory.hold_if_removed(listed, now_ms):
                self.directory.put(listed)
        self.directory.apply_listing({listed.endpoint_id for listed in endpoints}, now_ms)

    def test_an_endpoint_that_had_left_is_not_used_again(self) -> None:
        self.directory.put(endpoint("e1", is_leaving=True))
        self.directory.remove("e1", 1000.0)
        self.list_copy(endpoint("e1"), endpoint("e2"), now_ms=2000.0)
        self.assertEqual(self.ids(), ["e2"])
        self.directory.expire_missing(2000.0 + REGISTRATION_LEASE_MS)
        self.directory.put(endpoint("e1"))
        self.assertEqual(self.ids(), ["e2"])

    def test_a_removed_endpoint_is_held_back_until_its_registration_would_have_lapsed(self) -> None:
        self.directory.remove("e1", 1000.0)
        self.list_copy(endpoint("e1"), endpoint("e2"), now_ms=2000.0)
        self.directory.expire_missing(1999.0 + REGISTRATION_LEASE_MS)
        self.assertEqual(self.ids(), ["e2"])
        self.directory.expire_missing(2000.0 + REGISTRATION_LEASE_MS)
        self.assertEqual(self.ids(), ["e1", "e2"])

    def test_a_registration_ends_the_hold_and_so_does_a_removal(self) -> None:
        for endpoint_id in ("e1", "e2"):
            self.directory.remove(endpoint_id, 1000.0)
        self.list_copy(endpoint("e1"), endpoint("e2"), now_ms=2000.0)
        self.directory.put(endpoint("e1"))
        self.directory.remove("e2", 2100.0)
        self.directory.expire_missing(9000.0)
        self.assertEqual(self.ids(), ["e1"])

    def test_an_endpoint_that_the_copy_lacks_has_time_to_register_again(self) -> None:
        self.list_copy(endpoint("e2"), now_ms=2000.0)
        self.assertEqual(self.ids(), ["e1", "e2"])
        self.directory.expire_missing(2000.0 + REREGISTRATION_GRACE_MS)
        self.assertEqual(self.ids(), ["e2"])

    def test_two_copies_in_a_row(self) -> None:
        self.directory.remove("e1", 1000.0)
        self.list_copy(endpoint("e1"), endpoint("e2"), now_ms=2000.0)
        self.list_copy(endpoint("e1"), endpoint("e2"), now_ms=3000.0)
        self.directory.expire_missing(2999.0 + REGISTRATION_LEASE_MS)
        self.assertEqual(self.ids(), ["e2"])


class TestLeavingEndpoint(unittest.TestCase):
    """An endpoint's answers state that it is about to stop; its registration says otherwise."""

    def setUp(self) -> None:
        self.directory = EndpointDirectory()
        self.directory.set_services({"engines"})

    def ids(self) -> list[str]:
        """Return the ids of the endpoints that may get work."""
        return [listed.endpoint_id for listed in self.directory.of_service("engines")]

    def test_it_gets_no_work_whatever_its_registration_says(self) -> None:
        self.directory.put(endpoint("e1"))
        self.assertTrue(self.directory.mark_leaving(endpoint("e1").key))
        self.directory.put(endpoint("e1"))
        self.assertEqual(self.ids(), [])
        self.directory.remove("e1", 0.0)
        self.directory.put(endpoint("e1"))
        self.assertEqual(self.ids(), [])

    def test_it_may_become_known_later(self) -> None:
        self.assertTrue(self.directory.mark_leaving(endpoint("e1").key))
        self.assertFalse(self.directory.mark_leaving(endpoint("e1").key))
        self.directory.put(endpoint("e1"))
        self.assertEqual(self.ids(), [])

    def test_a_new_start_at_its_address_gets_work(self) -> None:
        self.directory.mark_leaving(endpoint("e1").key)
        self.directory.put(endpoint("e1", started_ms=2000))
        self.assertEqual(self.ids(), ["e1"])
