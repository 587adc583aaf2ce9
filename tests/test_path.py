"""The whole path through separate processes."""

import asyncio
import unittest

from standins.fleet import Fleet
from standins.run import demonstrate


class TestWholePath(unittest.TestCase):
    """One request of each kind through separate processes is answered right."""

    def test_each_kind_of_request(self) -> None:
        async def run() -> bool:
            fleet = Fleet()
            try:
                await fleet.start()
                return await demonstrate(fleet)
            finally:
                fleet.close()

        self.assertTrue(asyncio.run(run()))
