"""Which incarnation of each entry a process listens to.

Datagrams overtake each other. One that a process sent before it stopped, or before the next process
of the same VM started, must not be taken for the demand of a live entry.
"""

from collections import OrderedDict

MAX_ENDED = 4000
"""Ended incarnations that are remembered; beyond it the oldest are dropped. It is above the number
of entries, so that a restart of all of them at once is covered."""


class EntryIncarnations:
    """The live incarnation of each entry, and those that have ended."""

    __slots__ = ("_ended", "_live_by_vm")

    def __init__(self) -> None:
        self._live_by_vm: dict[str, str] = {}
        # Insertion order is the order of age; the values are unused.
        self._ended: OrderedDict[tuple[str, str], None] = OrderedDict()

    def accepts(self, vm: str, incarnation: str) -> bool:
        """Return whether a message of this incarnation counts; a new one ends the one before."""
        if (vm, incarnation) in self._ended:
            return False
        live = self._live_by_vm.get(vm)
        if live != incarnation:
            if live is not None:
                self._end(vm, live)
            self._live_by_vm[vm] = incarnation
        return True

    def is_restart(self, vm: str, incarnation: str) -> bool:
        """Return whether another incarnation of the entry was live, and record this one."""
        before = self._live_by_vm.get(vm, incarnation)
        return self.accepts(vm, incarnation) and before != incarnation

    def stop(self, vm: str, incarnation: str) -> bool:
        """Record that an incarnation stopped; return whether it was the live one, or unknown.

        It is False if the stop was recorded before, or a later process of the VM was seen.
        """
        if (vm, incarnation) in self._ended:
            return False
        self._end(vm, incarnation)
        if self._live_by_vm.get(vm, incarnation) != incarnation:
            return False
        self._live_by_vm.pop(vm, None)
        return True

    def _end(self, vm: str, incarnation: str) -> None:
        self._ended[vm, incarnation] = None
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
