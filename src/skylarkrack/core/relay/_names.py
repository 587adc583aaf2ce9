"""Identifiers of endpoints and adapters."""

EndpointKey = tuple[str, int]
"""Address and start in ms, which distinguish the incarnations of an endpoint at one address."""

AdapterId = tuple[str, str]
"""Model and adapter; the adapter is "" for the base model itself."""
