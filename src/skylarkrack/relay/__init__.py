"""The relay: entries that forward callers' requests, and agents that load engines' adapters."""

from skylarkrack.relay._codec import (
    ForwardParameters,
    HealthResponse,
    IncomingRequest,
    RelayCodec,
    ResponseClassification,
)
from skylarkrack.relay._engine_agent import EngineAgent
from skylarkrack.relay._entry import RelayEntry
from skylarkrack.relay._log_sink import LogSink
from skylarkrack.relay._registry import (
    EnginePort,
    RegistryHistory,
    RegistryListener,
    StepExchange,
    Watcher,
)
from skylarkrack.relay._settings import RelaySettings

__all__ = [
    "EngineAgent",
    "EnginePort",
    "ForwardParameters",
    "HealthResponse",
    "IncomingRequest",
    "LogSink",
    "RegistryHistory",
    "RegistryListener",
    "RelayCodec",
    "RelayEntry",
    "RelaySettings",
    "ResponseClassification",
    "StepExchange",
    "Watcher",
]
