"""Adapter between the relay and the users' platform: settings file, store, headers and engines.

This package alone knows the platform's names for things, which appear here as string literals. The
platform calls a failure domain a zone, an organisation a tenant and an endpoint a server or worker.
"""
