"""What the decisions call an endpoint and an adapter by."""

EndpointKey = tuple[str, int]
"""Address and start, which tell one incarnation of an endpoint from another at its address."""

AdapterId = tuple[str, str]
"""Model and adapter; the adapter is "" for the model itself."""
