"""Short runs of the soak: one fixed seed, and every seed that has failed before."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak.run import run_seed

SHORT_RUN_SEED = 1

FAILED_SEEDS = (
    2,  # An adapter was evicted while a request for it was in transit.
    6,  # A `/look/` request that is sent constantly was refused as one that crashes endpoints.
    511,  # A limit was counted across the restarts of an engine that named it; so did 516.
)
"""An earlier generator of faults found the first two; tests of their own cover the causes."""


class TestSoak(unittest.TestCase):
    """The guarantees hold during faults of processes, connections and the store."""

    def test_seeds(self) -> None:
        for seed in (SHORT_RUN_SEED, *FAILED_SEEDS):
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                violations, description = asyncio.run(run_seed(seed, Path(folder)))
                self.assertEqual(violations, [], description)
