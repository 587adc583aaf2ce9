"""Randomized soak test.

Entries and agents run as separate processes, as in production. Faults are injected from outside:
signals to the processes, proxies on their connections, restarts of engines and changes of keys.
"""
