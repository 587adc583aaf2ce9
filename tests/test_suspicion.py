"""Tests of `SuspectTracker`: prompts that may crash endpoints."""

import unittest

from skylarkrack.core import SuspectTracker, fingerprint_of

PROMPT = b"p"


class TestSuspicion(unittest.TestCase):
    """Two counted crashes quarantine a prompt; a single one makes it run alone."""

    def setUp(self) -> None:
        self.suspicion = SuspectTracker()

    def crash(
        self,
        crash_id: str,
        *,
        is_confirmed: bool = True,
        was_alone: bool = False,
        now_ms: float = 0,
    ) -> None:
        self.suspicion.observe_crash(
            crash_id, PROMPT, is_confirmed=is_confirmed, was_alone=was_alone, now_ms=now_ms
        )

    def state(self, now_ms: float = 1) -> tuple[bool, bool]:
        is_suspect = self.suspicion.is_suspect(PROMPT, now_ms)
        return is_suspect, self.suspicion.is_quarantined(PROMPT, now_ms)

    def test_two_crashes_quarantine(self) -> None:
        self.crash("a")
        self.assertEqual(self.state(), (True, False))
        self.crash("b")
        self.assertEqual(self.state(), (False, True))

    def test_a_crash_reported_twice_counts_once(self) -> None:
        self.crash("a", is_confirmed=False)
        self.crash("a")
        self.crash("a")
        self.assertEqual(self.state(), (True, False))

    def test_lost_connections_do_not_quarantine(self) -> None:
        """They may be faults of the network, or of an engine that answers for another adapter."""
        for crash_id in ("a", "b", "c"):
            self.crash(crash_id, is_confirmed=False)
        self.assertEqual(self.state(), (True, False))

    def test_a_suspect_lost_alone_is_quarantined_at_once(self) -> None:
        """Confirmation is not awaited: an engine may take minutes to return.

        Before that, the caller may send the prompt again.
        """
        self.crash("a", is_confirmed=False)
        self.crash("b", is_confirmed=False, was_alone=True)
        self.assertEqual(self.state(), (False, True))

    def test_a_suspect_that_completes_is_cleared(self) -> None:
        self.crash("a")
        self.suspicion.observe_cleared(PROMPT, now_ms=1)
        self.assertEqual(self.state(), (False, False))

    def test_suspicion_and_quarantine_expire(self) -> None:
        """A suspicion expires after two minutes, a quarantine after ten."""
        self.crash("a")
        self.assertEqual(self.state(120_000), (False, False))
        self.crash("b", now_ms=130_000)
        self.crash("c", now_ms=130_000)
        self.assertEqual(self.state(130_000 + 599_999), (False, True))
        self.assertEqual(self.state(130_000 + 600_000), (False, False))

    def test_a_fingerprint_does_not_depend_on_encoding(self) -> None:
        plain = fingerprint_of("badge", [{"role": "user", "content": "caf\u00e9 now"}])
        other = fingerprint_of("badge", [{"content": "cafe\u0301  \n now ", "role": "user"}])
        self.assertEqual(plain, other)
        self.assertNotEqual(plain, fingerprint_of("badge", [{"role": "user", "content": "tea"}]))
