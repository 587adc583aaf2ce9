"""Ends a started process when its starter is gone, however that ended."""

import ctypes
import os
import signal

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def kill_on_parent_exit(parent_id: int) -> None:
    """Have the kernel kill this process when its parent ends; runs in the child before its program.

    A parent that ended in between is noticed here.
    """
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent_id:
        os.kill(os.getpid(), signal.SIGKILL)
