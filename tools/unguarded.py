"""Checks that the test of each guard fails when the guard is removed from the code.

`python -m tools.unguarded [NAME ...]` tries the named guards of `tools.guards.GUARDS`, or all of
them without a name. Each guard is removed in a temporary copy of the code, where its test then
runs. A test that still passes is reported, and the exit code is then 1.
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
"""Tests that run at the same time, each in a copy of its own; further ones wait."""

TEST_TIMEOUT_S = 60
"""Time limit of a test without its guard; a test that runs longer counts as failed."""

COPIED_FOLDERS = ("src", "tests", "standins", "tools")
"""Folders that a test needs, relative to the current directory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """The result of a guard's test without the guard.

    *last_line* is the last line with an error, the end of the output if there is none, or the
    reason why the test did not run to its end.
    """

    guard: Guard
    has_failed: bool
    last_line: str


def run_without(guard: Guard) -> Finding:
    """Run a guard's test in a temporary copy of the code without the guard.

    If the guard's code does not occur exactly once in its file, the test is not run and counts as
    passed, so that the guard is reported.
    """
    with tempfile.TemporaryDirectory() as folder:
        for name in COPIED_FOLDERS:
            shutil.copytree(name, Path(folder) / name)
        path = Path(folder) / "src" / "skylarkrack" / guard.file
        text = path.read_text()
        if text.count(guard.code) != 1:
            return Finding(
                guard=guard, has_failed=False, last_line="the guard is not in its file exactly once"
            )
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
        completed = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=TEST_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return Finding(
            guard=guard, has_failed=True, last_line=f"timed out after {TEST_TIMEOUT_S} s"
        )
    lines = [line for line in (completed.stderr + completed.stdout).splitlines() if "Error" in line]
    last_line = lines[-1].strip()[:100] if lines else completed.stdout.strip()[-100:]
    return Finding(guard=guard, has_failed="FAILED: " in completed.stdout, last_line=last_line)


def main() -> int:
    """Try the named guards, or all; return 1 if a test passes without its guard, else 0."""
    names = set(sys.argv[1:])
    guards = [guard for guard in GUARDS if not names or guard.name in names]
    with ThreadPoolExecutor(MAX_PARALLEL_TESTS) as pool:
        findings = list(pool.map(run_without, guards))
    for finding in findings:
        verdict = "fails without" if finding.has_failed else "STILL PASSES without"
        print(f"{finding.guard.test} {verdict} {finding.guard.name}: {finding.last_line}")
    return 0 if all(finding.has_failed for finding in findings) else 1


if __name__ == "__main__":
    sys.exit(main())
