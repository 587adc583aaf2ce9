"""Runs the tests with nose2 and reports which passed, which failed and which are known to fail.

`python -m tools.run_tests [ARGUMENT ...]` hands its arguments to nose2; without any, all tests run.
KNOWN-RED.txt lists the tests that fail because of a known fault, one on each line that starts with
the test's id; empty lines and lines that start with ``#`` are skipped. A listed test that fails is
printed, but does not make the run fail.
"""

import sys
from pathlib import Path

import nose2

from tools.outcomes import PASSED_BY_ID

KNOWN_RED_FILE = Path("KNOWN-RED.txt")


def known_to_fail() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt; none if the file does not exist."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


def main() -> int:
    """Run the tests, print the result and return the exit code.

    The exit code is 1 if a test failed that is not known to fail, or if no test ran, else 0.
    """
    arguments = ["nose2", "--start-dir", "tests", "--top-level-directory", ".", *sys.argv[1:]]
    nose2.discover(argv=arguments, exit=False, plugins=["tools.outcomes"])
    failed, known = {test for test, passed in PASSED_BY_ID.items() if not passed}, known_to_fail()
    for test_id in sorted(failed & known):
        print(f"known to fail: {test_id}")
    for test_id in sorted(failed - known):
        print(f"FAILED: {test_id}")
    print(f"{len(PASSED_BY_ID) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed - known or not PASSED_BY_ID else 0


if __name__ == "__main__":
    sys.exit(main())
