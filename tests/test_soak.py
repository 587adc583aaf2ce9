"""A short run of the soak with a fixed seed, and every seed that ever failed."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak.run import play

SEEDS = (1,)
"""The short run. A seed that failed is added below it with a line on its cause."""


class TestSoak(unittest.TestCase):
    """The promises hold while processes, connections and the store misbehave."""

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                broken, played = asyncio.run(play(seed, Path(folder)))
                self.assertEqual(broken, [], played)
