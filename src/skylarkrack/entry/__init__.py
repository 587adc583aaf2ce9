"""The entry: accepts requests of callers, checks their access, and relays the responses."""

from skylarkrack.entry._entry import Entry

__all__ = ["Entry"]
