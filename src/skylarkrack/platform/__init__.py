"""The users' platform: its settings file, store, headers and workers, translated for the relay.

Nothing outside this package knows the platform's names. It calls a failure domain a zone, an
organisation a tenant and an endpoint a server or worker.
"""
