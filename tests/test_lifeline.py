"""Processes that a test, a benchmark or `make run` starts end when their parent process ends.

Otherwise a killed test run leaves processes behind.
"""

import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path

PARENT_SOURCE = """
import os, subprocess, sys, time
from functools import partial
from standins._lifeline import kill_on_parent_exit

child = subprocess.Popen(
    [sys.executable, "-c", "import time; time.sleep(600)"],
    start_new_session=True,
    preexec_fn=partial(kill_on_parent_exit, os.getpid()),
)
print(child.pid, flush=True)
time.sleep(600)
"""
CHILD_EXIT_LIMIT_S = 10.0


def is_running(process_id: int) -> bool:
    """Return whether a process exists and is not a zombie."""
    try:
        state = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


class TestLifeline(unittest.TestCase):
    """A process that is started ends with its parent, by whichever signal the parent ended."""

    def test_child_ends_when_a_signal_ends_its_parent(self) -> None:
        for number in (signal.SIGTERM, signal.SIGKILL):
            with self.subTest(signal=number):
                command = [sys.executable, "-c", PARENT_SOURCE]
                with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as parent:
                    child = int(parent.stdout.readline())
                    self.assertTrue(is_running(child))
                    parent.send_signal(number)
                deadline_s = time.monotonic() + CHILD_EXIT_LIMIT_S
                while is_running(child) and time.monotonic() < deadline_s:
                    time.sleep(0.01)
                self.assertFalse(is_running(child))
