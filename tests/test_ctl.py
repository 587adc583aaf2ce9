"""Tests of `skylarkctl` and of the checks of settings and lists."""

import hashlib
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from skylarkrack._errors import FileRejected
from skylarkrack._settings import parse_settings
from skylarkrack.ctl import Ctl
from standins.run import bearer, chat
from tests.shared_fleet import shared_fleet, wait_for

EXAMPLES = Path("docs/examples")


def run_ctl(*arguments: str) -> tuple[int, str, str]:
    """Run `skylarkctl` as operators do; return exit code, output and errors."""
    command = [sys.executable, "-m", "skylarkrack.ctl", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.returncode, completed.stdout, completed.stderr


class TestFiles(unittest.TestCase):
    """A check that stops at the first problem would hide the others from the operator."""

    def test_the_example_files_pass_the_checks(self) -> None:
        for name in ("lahore", "kenya"):
            self.assertEqual(run_ctl("check_lists", str(EXAMPLES / name))[0], 0)
        settings = [str(EXAMPLES / name) for name in ("entry.toml", "agent.toml")]
        self.assertEqual(run_ctl("check_settings", *settings)[0], 0)

    def test_every_problem_of_settings_is_reported(self) -> None:
        text = (
            'role = "entri"\nvm = "a"\ndomian = "x"\nlisten = "host:1"\nplatform = "10.0.0.1:0"\n'
        )
        with self.assertRaises(FileRejected) as caught:
            parse_settings(text, file="entry.toml")
        report = "\n".join(str(problem) for problem in caught.exception.problems)
        for part in (
            "entry.toml: role: found 'entri'",
            "did you mean 'domain'?",
            "domain: found nothing",
            "listen: found 'host:1'",
            "platform: found '10.0.0.1:0'",
            "status: found nothing",
        ):
            self.assertIn(part, report)

    def test_invalid_settings_do_not_start_a_daemon(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.toml"
            path.write_text('role = "entry"\n')
            command = [sys.executable, "-m", "skylarkrack.daemon", str(path)]
            completed = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual(completed.returncode, 2)
        self.assertIn("vm: found nothing", completed.stderr)

    def test_dangling_references_between_lists_are_reported(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for path in (EXAMPLES / "lahore").iterdir():
                (Path(folder) / path.name).write_text(path.read_text())
            plans = Path(folder) / "plans.toml"
            plans.write_text(plans.read_text().replace("plans.office", "plans.offices"))
            code, _, errors = run_ctl("check_lists", folder)
        self.assertEqual(code, 1)
        self.assertIn("organisations.front-desk.plan: found 'office'", errors)

    def test_make_key_shows_the_key_and_its_digest(self) -> None:
        output = Ctl().make_key("inspectors")
        key = next(line for line in output.splitlines() if line.startswith("sk-"))
        self.assertIn(hashlib.sha256(key.encode()).hexdigest(), output)
        self.assertIn('organisation = "inspectors"', output)


class TestProcesses(unittest.TestCase):
    """Commands and paths by which operators read the state of running processes."""

    def test_state_explain_and_burn_show_a_request(self) -> None:
        fleet = shared_fleet()
        status = fleet.address("entry-0", "status")
        _, headers, _ = wait_for(
            fleet.call(
                "entry-0",
                "callers",
                "POST",
                "/v1/chat/completions",
                chat("adapter-0"),
                [bearer("singers")],
            )
        )
        request_id = dict(headers)[b"x-request-id"].decode().rpartition(".")[0]
        state = json.loads(run_ctl("state", status)[1])
        self.assertTrue(state["configuration"]["access_lease_held"])
        self.assertIn("agent-engine-0", state["endpoints"])
        self.assertIn("offered", run_ctl("explain", status, request_id)[1])
        self.assertIn("first_token", run_ctl("burn", status)[1])

    def test_metrics_are_in_the_text_format(self) -> None:
        fleet = shared_fleet()
        call = fleet.call("entry-0", "callers", "GET", "/v1/models", b"", [bearer("singers")])
        self.assertEqual(wait_for(call)[0], 200)
        _, _, body = wait_for(fleet.call("entry-0", "status", "GET", "/metrics"))
        self.assertRegex(body.decode(), r'skylarkrack_requests\{of="0"\} \d+')

    def test_an_unreachable_process_is_an_error(self) -> None:
        code, _, errors = run_ctl("state", "127.0.0.1:9")
        self.assertEqual(code, 1)
        self.assertIn("no connection", errors)


class TestExplainLog(unittest.TestCase):
    """`explain_log` shows what led to the outcome of a request, from log files alone."""

    LINES = (
        '2026-01-01T00:00:00.000Z n1 712 ENDPOINT_SEEN {"endpoint": "i-1", "leaving": false}',
        '2026-01-01T00:00:00.100Z n1 712 ENDPOINT_SEEN {"endpoint": "i-2", "leaving": false}',
        "no event at all",
        '2026-01-01T00:00:00.200Z n1 702 RELAY_RETRIED {"request": "r1", "endpoint": "i-1"}',
        '2026-01-01T00:00:00.250Z n2 700 RELAY_ENDED {"request": "r2", "endpoint": "i-1"}',
        '2026-01-01T00:00:00.300Z n1 719 ENDPOINT_DEAD {"endpoint": "i-1"}',
        '2026-01-01T00:00:00.400Z n1 701 RELAY_REFUSED {"request": "r1", "code": 3003}',
        '2026-01-01T00:00:00.500Z n1 713 ENDPOINT_GONE {"endpoint": "i-1"}',
    )

    def test_only_events_of_the_request_and_its_endpoints_are_shown(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.log"
            path.write_text("\n".join(self.LINES))
            code, output, _ = run_ctl("explain_log", "r1", str(path))
        self.assertEqual(code, 0)
        for part in ("RELAY_RETRIED", "RELAY_REFUSED", "ENDPOINT_DEAD endpoint=i-1", "believed"):
            self.assertIn(part, output)
        for part in ("i-2", "r2", "ENDPOINT_GONE"):
            self.assertNotIn(part, output)

    def test_an_unknown_request_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.log"
            path.write_text("\n".join(self.LINES))
            self.assertIn("no line of request r9", run_ctl("explain_log", "r9", str(path))[1])
