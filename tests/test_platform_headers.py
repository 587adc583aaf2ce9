"""Heads of endpoints' responses: leaving endpoints, and pauses of every form."""

import math
import unittest

from skylarkrack.platform._headers import MAX_PAUSE_MS, PlatformCodec


class TestHeads(unittest.TestCase):
    """What the headers of a response say about its endpoint."""

    def pause_ms(self, value: bytes, *, status: int = 503) -> float | None:
        """Return the pause in a response with this `Retry-After`."""
        headers = [(b"retry-after", value), (b"x-not-executed", b"1")]
        return PlatformCodec().classify_response(status, headers, "i-1").pause_ms

    def test_pauses_in_seconds(self) -> None:
        self.assertEqual(self.pause_ms(b"2"), 2000.0)
        self.assertEqual(self.pause_ms(b" 0.25 "), 250.0)

    def test_values_that_ask_for_no_pause(self) -> None:
        for value in (b"", b"0", b"-1", b"+1", b"soon", b"nan", b"inf", b"1e9", b"1,2", b"\xb2",
                      b"Fri, 04 Dec 2026 11:00:00 GMT"):  # fmt: skip
            with self.subTest(value):
                self.assertIsNone(self.pause_ms(value))

    def test_a_pause_of_a_year_is_shortened(self) -> None:
        self.assertEqual(self.pause_ms(b"31536000"), MAX_PAUSE_MS)

    def test_other_refusals_ask_for_no_pause(self) -> None:
        self.assertIsNone(self.pause_ms(b"2", status=429))

    def test_leaving_endpoints(self) -> None:
        for value, is_leaving in ((b"1", True), (b"0", False), (b"yes", False)):
            head = PlatformCodec().classify_response(200, [(b"server-leaving", value)], "i-1")
            self.assertEqual(head.is_leaving, is_leaving)


class TestRateLimits(unittest.TestCase):
    """Limits of requests a second, of every form."""

    def limit_per_s(self, *values: bytes) -> float | None:
        """Return the limit in a response with these `Server-Limit` headers."""
        headers = [(b"server-limit", value) for value in values]
        return PlatformCodec().classify_response(200, headers, "i-1").limit_per_s

    def test_decimal_numbers(self) -> None:
        for value, limit in ((b"0", 0.0), (b"0.25", 0.25), (b" 1.6 ", 1.6), (b"50", 50.0)):
            with self.subTest(value=value):
                self.assertEqual(self.limit_per_s(value), limit)

    def test_no_limit(self) -> None:
        self.assertEqual(self.limit_per_s(), math.inf)

    def test_an_invalid_limit_says_nothing(self) -> None:
        for value in (b"", b"-1", b"1e9", b"nan", b"inf", b"two", b"1,2"):
            with self.subTest(value=value):
                self.assertIsNone(self.limit_per_s(value))

    def test_the_lowest_of_several_counts(self) -> None:
        self.assertEqual(self.limit_per_s(b"3", b"x", b"2"), 2.0)
