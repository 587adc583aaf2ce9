"""The policy file, the baseline files in `deploy/baselines`, and what each baseline does."""

import unittest
from pathlib import Path

from skylarkrack._errors import FileRejected
from skylarkrack.core import HashOnly, LeastLoaded
from skylarkrack.core.relay import (
    Dispatcher,
    EngineStateReceived,
    Policy,
    QuotaLimiter,
    SendTo,
    TablePublished,
    WaitFor,
)
from skylarkrack.relay._policy_file import parse_policy, read_policy
from tests.relay_builders import endpoint, pending_request, quota, state, table

BASELINES = Path(__file__).parent.parent / "deploy" / "baselines"


def fleet(policy: Policy) -> Dispatcher:
    """Return a dispatcher with two engines; only the first holds `a1`, and it has a run."""
    dispatcher = Dispatcher(domain="east", policy=policy)
    dispatcher.observe(TablePublished(table=table()))
    for number, adapters in ((1, ("a1",)), (2, ())):
        engine = endpoint(f"e{number}")
        dispatcher.directory.put(engine)
        dispatcher.observe(EngineStateReceived(key=engine.key, state=state(0.0, *adapters)))
    dispatcher.load.start_run(endpoint("e1").key, tokens=100)
    return dispatcher


class TestPolicyFile(unittest.TestCase):
    """Valid files are read, and invalid ones are rejected."""

    def test_the_baseline_files(self) -> None:
        rows = {
            "least-loaded": Policy(routing=LeastLoaded()),
            "hash-only": Policy(routing=HashOnly()),
            "even-split": Policy(is_quota_shared=False),
            "first-come": Policy(is_urgent_first=False),
        }
        policies = {path.stem: read_policy(str(path)) for path in BASELINES.glob("*.toml")}
        self.assertEqual(policies, rows)

    def test_invalid_files_are_rejected(self) -> None:
        for text in ("", "[policy", "[policy]\nrouting = 'best'", "[policy]\nother = 1"):
            with self.subTest(text=text), self.assertRaises(FileRejected):
                parse_policy(text, file="x")


class TestPolicies(unittest.TestCase):
    """Each baseline decides otherwise than the default policy."""

    def test_least_loaded_chooses_an_engine_without_the_adapter(self) -> None:
        self.assertIsInstance(fleet(Policy()).decide(pending_request(), 0.0), SendTo)
        self.assertIsInstance(
            fleet(Policy(routing=LeastLoaded())).decide(pending_request(), 0.0), WaitFor
        )

    def test_hash_only_keeps_choosing_a_full_engine(self) -> None:
        for policy, moves in ((Policy(), True), (Policy(routing=HashOnly()), False)):
            dispatcher = fleet(policy)
            home = fleet(Policy(routing=HashOnly())).decide(pending_request(), 0.0)
            key = home.endpoint.key if isinstance(home, SendTo) else home.key
            for _ in range(40):
                dispatcher.load.start_run(key, tokens=1)
            decision = dispatcher.decide(pending_request(), 0.0)
            at = decision.endpoint.key if isinstance(decision, SendTo) else decision.key
            self.assertEqual(at != key, moves)

    def test_an_even_split_limits_an_entry_to_its_equal_share(self) -> None:
        for is_shared in (True, False):
            usage = QuotaLimiter(is_shared=is_shared)
            for name in ("n2", "n3"):
                usage.receive_grants(name, "i", {}, now_ms=0.0)
            limit = quota(rate_per_s=300.0, burst=600.0)
            grants = [usage.try_acquire("singers", 100.0, limit, 0.0) for _ in range(9)]
            self.assertEqual(9 - grants.count(None), 3 if is_shared else 1)


if __name__ == "__main__":
    unittest.main()
