"""Runs every test with nose2, and tells passed from failed from known to fail.

KNOWN-RED.txt lists tests that fail for a known fault, one a line: the test's id comes first.
Their failure is printed and does not fail the run.
"""

import sys
from pathlib import Path

import nose2

from tools.outcomes import PASSED_BY_ID

KNOWN_RED_FILE = Path("KNOWN-RED.txt")


def known_to_fail() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


def main() -> int:
    """Run the tests and return the exit code."""
    arguments = ["nose2", "--start-dir", "tests", "--top-level-directory", ".", *sys.argv[1:]]
    nose2.discover(argv=arguments, exit=False, plugins=["tools.outcomes"])
    failed, known = {name for name, passed in PASSED_BY_ID.items() if not passed}, known_to_fail()
    for name in sorted(failed & known):
        print(f"known to fail: {name}")
    for name in sorted(failed - known):
        print(f"FAILED: {name}")
    print(f"{len(PASSED_BY_ID) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed - known or not PASSED_BY_ID else 0


if __name__ == "__main__":
    sys.exit(main())
