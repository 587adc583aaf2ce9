"""Which endpoints may get work: incarnations, leaving, and a registry that is away."""

import unittest

from skylarkrack.core.relay import REREGISTRATION_GRACE_MS, EndpointDirectory
from tests.relay_builders import endpoint


class TestDirectory(unittest.TestCase):
    """Registrations in any order, with the registry there or away."""

    def setUp(self) -> None:
        self.directory = EndpointDirectory()
        self.directory.set_services({"engines", "desk"})
        self.directory.put(endpoint("e1"))

    def ids(self) -> list[str]:
        """Return the ids that may get work."""
        return [item.endpoint_id for item in self.directory.of_service("engines")]

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

    def test_an_address_that_another_service_has_now(self) -> None:
        self.directory.put(endpoint("e2", service="desk", address="10.0.0.1:8001", started_ms=2000))
        self.assertEqual(self.ids(), [])

    def test_a_registration_of_an_unknown_service_takes_no_address(self) -> None:
        stray = endpoint("e2", service="stray", address="10.0.0.1:8001", started_ms=2000)
        self.directory.put(stray)
        self.assertEqual(self.ids(), ["e1"])
        self.directory.set_services({"engines", "desk", "stray"})
        self.assertEqual(self.ids(), [])

    def test_the_start_before_serves_again_if_the_later_one_is_gone(self) -> None:
        self.directory.put(endpoint("e2", address="10.0.0.1:8001", started_ms=2000))
        self.directory.remove("e2", 10.0)
        self.assertEqual(self.ids(), ["e1"])

    def test_the_end_of_a_registration_counts_at_once_in_calm(self) -> None:
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

    def test_nothing_lapses_while_the_registry_is_away(self) -> None:
        self.directory.registry_lost()
        self.directory.remove("e1", 0.0)
        self.assertEqual(self.directory.expire_missing(99_000.0), [])
        self.assertEqual(self.ids(), ["e1"])
