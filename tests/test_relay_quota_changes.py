"""Requests that are refused, and given back to their quota, after the quota has changed."""

import itertools
import unittest

from skylarkrack.core.relay import QuotaLimiter
from standins.platform_worker import PlatformWorker, refusal
from tests.platform_builders import EntryHarness, as_bytes, config, request
from tests.relay_builders import quota
from tests.test_relay_path import PathTest, status_of

COST = 200.0
QUOTAS = {
    "none": quota(rate_per_s=0.0, burst=0.0),
    "low": quota(rate_per_s=10.0, burst=300.0),
    "high": quota(rate_per_s=1000.0, burst=5000.0),
    "requests": quota(rate_per_s=10.0, burst=300.0, counts_tokens=False),
    "removed": None,
}


class TestEveryChange(unittest.TestCase):
    """A quota appears, goes up or down, changes its unit, is lifted or removed, and comes back."""

    def level(self, *names: str, takes: bool) -> tuple[float, float]:
        """Return what a bucket holds at the end, and what is reported as granted.

        Quotas follow each other a second apart. With *takes* a request is granted under the first
        and given back under the next one.
        """
        limiter, grant, now_ms = QuotaLimiter(), None, 0.0
        for name in names:
            in_force = QUOTAS[name]
            limiter.set_quotas({} if in_force is None else {"singers": in_force}, now_ms)
            if grant is not None:
                limiter.refund(grant)
                grant = None
            elif takes and now_ms == 0.0:
                grant = limiter.try_acquire("singers", COST, in_force, now_ms)
                self.assertIsNotNone(grant)
            now_ms += 1000.0
        return limiter.level("singers"), limiter.granted().get("singers", 0.0)

    def test_a_request_that_is_given_back_leaves_no_trace(self) -> None:
        # An organisation without a grant since the start had no total to give it back to.
        for names in itertools.product(QUOTAS, repeat=3):
            if QUOTAS[names[0]] is None:
                continue
            with self.subTest(names=names):
                level, granted = self.level(*names, takes=True)
                without, _ = self.level(*names, takes=False)
                # A request that took nothing must not add to the bucket either.
                self.assertLessEqual(level, without)
                self.assertEqual(granted, 0.0)


class TestRefusals(PathTest):
    """A full endpoint refuses while quotas change; the caller has to be told."""

    async def test_a_refusal_after_a_limit_was_lifted_reaches_the_caller(self) -> None:
        # Each such refusal ended as a closed connection, as giving the cost back failed.
        worker = PlatformWorker([refusal()])
        async with EntryHarness(worker) as harness:
            document = config(2)
            document["tenants"][0] |= {"rate-per-s": 0, "burst": 0}
            harness.entry.registry.table_published(as_bytes(document))
            for number in range(3):
                data = request("/pay/1", method="POST", body=b"fee", request_id=f"r{number}")
                response = await harness.send_raw(data)
                self.assertEqual(status_of(response), 503)
                self.assertIn(b"not_run", response)


if __name__ == "__main__":
    unittest.main()
