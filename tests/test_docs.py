"""Tests that the tables and names in docs/ match the code."""

import importlib
import re
import unittest
from pathlib import Path

from skylarkrack._errors import HTTP_STATUS_BY_CODE, Code
from skylarkrack._events import Event
from tools.guards import GUARDS

ROW = re.compile(r"^\| (\d+) \| (\w+) \| ([^|]+) \|", re.MULTILINE)
NAMED_TEST = re.compile(r"`(tests\.\w+\.\w+\.\w+)`")


def exists(name: str) -> bool:
    """Return whether the test *name* exists."""
    module, kind, test = name.rsplit(".", 2)
    return hasattr(getattr(importlib.import_module(module), kind, None), test)


class TestTables(unittest.TestCase):
    """Codes, events, tests and guards would go out of date in docs after a change of the code."""

    def test_every_code_is_in_the_table(self) -> None:
        rows = ROW.findall(Path("docs/ERRORS.md").read_text())
        documented = {(int(n), name, status.strip()) for n, name, status in rows}
        expected = {
            (int(code), code.name.lower(), str(HTTP_STATUS_BY_CODE.get(code, "-"))) for code in Code
        }
        self.assertEqual(documented, expected)

    def test_every_event_is_in_the_catalogue(self) -> None:
        rows = ROW.findall(Path("docs/EVENTS.md").read_text())
        documented = {(int(n), name) for n, name, _ in rows}
        self.assertEqual(documented, {(int(event), event.name) for event in Event})

    def test_every_test_named_exists(self) -> None:
        names = NAMED_TEST.findall(Path("docs/PROOFS.md").read_text())
        self.assertGreater(len(names), 20)
        for name in [*names, *(guard.test for guard in GUARDS)]:
            with self.subTest(name):
                self.assertTrue(exists(name))

    def test_every_guard_is_in_the_code(self) -> None:
        for guard in GUARDS:
            with self.subTest(guard.name):
                text = (Path("src/skylarkrack") / guard.file).read_text()
                self.assertEqual(text.count(guard.code), 1)

    def test_every_guard_named_exists(self) -> None:
        text = Path("docs/PROOFS.md").read_text()
        named = set()
        for group in re.findall(r"guards? ([a-z][a-z, -]+?)[);]", text):
            named |= {name.strip() for name in group.split(",")}
        self.assertLessEqual(named, {guard.name for guard in GUARDS})
