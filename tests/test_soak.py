"""A short run of the soak with a fixed seed, and every seed that ever failed."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak.run import run_seed

SHORT_RUN = 1

EARLIER_FAILURES = (
    2,  # An adapter was evicted while a request for it was on its way.
    6,  # A look-up that is sent all the time was refused as one that crashes endpoints.
)
"""Both were found by an earlier generator of faults; the causes have tests of their own."""


class TestSoak(unittest.TestCase):
    """The promises hold while processes, connections and the store misbehave."""

    def test_seeds(self) -> None:
        for seed in (SHORT_RUN, *EARLIER_FAILURES):
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                violations, played = asyncio.run(run_seed(seed, Path(folder)))
                self.assertEqual(violations, [], played)
