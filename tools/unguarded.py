"""Takes each guard out of a copy of the code and shows that its test then fails.

`python -m tools.unguarded [NAME ...]` works in a temporary copy; the table is GUARDS. A guard
whose test still passes without it is reported, and the exit code is 1.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tools.guards import GUARDS, Guard

MAX_PARALLEL_TESTS = 4

TEST_TIMEOUT_S = 60
"""Time after which a test that hangs without its guard has failed."""

COPIED_FOLDERS = ("src", "tests", "standins", "tools")


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """What a test did without its guard."""

    guard: Guard
    has_failed: bool
    last_line: str


def run_without(guard: Guard) -> Finding:
    """Run a guard's test in a copy of the code without the guard."""
    with tempfile.TemporaryDirectory() as folder:
        for name in COPIED_FOLDERS:
            shutil.copytree(name, Path(folder) / name)
        path = Path(folder) / "src" / "skylarkrack" / guard.file
        text = path.read_text()
        if text.count(guard.code) != 1:
            return Finding(guard=guard, has_failed=False, last_line="the guard was not found once")
        path.write_text(text.replace(guard.code, guard.without))
        return _run(guard, folder)


def _run(guard: Guard, folder: str) -> Finding:
    environment = {
        **os.environ,
        "PYTHONPATH": f"{folder}/src:{folder}",
        "SKYLARKRACK_TEST_PROFILE": "quick",
    }
    command = [sys.executable, "-m", "tools.run_tests", guard.test]
    try:
        done = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=TEST_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return Finding(guard=guard, has_failed=True, last_line=f"no end within {TEST_TIMEOUT_S} s")
    lines = [line for line in (done.stderr + done.stdout).splitlines() if "Error" in line]
    last_line = lines[-1].strip()[:100] if lines else done.stdout.strip()[-100:]
    return Finding(guard=guard, has_failed="FAILED: " in done.stdout, last_line=last_line)


def main() -> int:
    """Try every guard, or those named."""
    wanted = set(sys.argv[1:])
    chosen = [guard for guard in GUARDS if not wanted or guard.name in wanted]
    with ThreadPoolExecutor(MAX_PARALLEL_TESTS) as pool:
        findings = list(pool.map(run_without, chosen))
    for finding in findings:
        verdict = "fails without" if finding.has_failed else "STILL PASSES without"
        print(f"{finding.guard.test} {verdict} {finding.guard.name}: {finding.last_line}")
    return 0 if all(finding.has_failed for finding in findings) else 1


if __name__ == "__main__":
    sys.exit(main())
