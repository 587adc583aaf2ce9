"""The entry: takes callers' requests, decides who may run what, and relays the answers."""

from skylarkrack.entry._entry import Entry

__all__ = ["Entry"]
