"""Kills a child process when its parent exits, including when the parent is killed."""

import ctypes
import os
import signal

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def kill_on_parent_exit(parent_id: int) -> None:
    """Have the kernel kill this process when its parent, *parent_id*, exits.

    Call it in the child before its program starts (`preexec_fn`). A parent that exits before the
    kernel is asked sends no signal, so the parent's id is compared afterwards.
    """
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent_id:
        os.kill(os.getpid(), signal.SIGKILL)
