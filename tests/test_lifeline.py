"""Processes that a test, a bench or `make run` starts end when their starter is gone."""

import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path

STARTER = """
import os, subprocess, sys, time
from functools import partial
from standins._lifeline import end_with_starter

child = subprocess.Popen(
    [sys.executable, "-c", "import time; time.sleep(600)"],
    start_new_session=True,
    preexec_fn=partial(end_with_starter, os.getpid()),
)
print(child.pid, flush=True)
time.sleep(600)
"""
GONE_LIMIT_S = 10.0


def is_running(process_id: int) -> bool:
    """Tell whether a process exists and is no zombie."""
    try:
        state = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


class TestLifeline(unittest.TestCase):
    """Whatever ends the starter ends what it started."""

    def test_each_end_of_the_starter(self) -> None:
        for number in (signal.SIGTERM, signal.SIGKILL):
            with self.subTest(signal=number):
                command = [sys.executable, "-c", STARTER]
                with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as starter:
                    child = int(starter.stdout.readline())
                    self.assertTrue(is_running(child))
                    starter.send_signal(number)
                limit_s = time.monotonic() + GONE_LIMIT_S
                while is_running(child) and time.monotonic() < limit_s:
                    time.sleep(0.01)
                self.assertFalse(is_running(child))
