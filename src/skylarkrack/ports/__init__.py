"""Clients of the external systems: configuration service, model engine and plain service."""

from skylarkrack.ports._engine import EngineAnswer, EnginePort, OrderAnswer, order_answer
from skylarkrack.ports._platform import Changes, PlatformPort, PublishedValue
from skylarkrack.ports._service import SERVICE_TIMEOUT_MS, ServicePort

__all__ = [
    "Changes",
    "EngineAnswer",
    "EnginePort",
    "OrderAnswer",
    "PlatformPort",
    "PublishedValue",
    "SERVICE_TIMEOUT_MS",
    "ServicePort",
    "order_answer",
]
