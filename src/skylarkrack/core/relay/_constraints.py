"""What may keep a request from an endpoint, or make it wait there."""

from enum import StrEnum


class Constraint(StrEnum):
    """The constraints, in the order in which they apply."""

    EVACUATED = "evacuated"
    LEAVING = "leaving"
    REPLACED = "replaced"
    SOFTWARE_VERSION = "software_version"
    NOT_A_HOME = "not_a_home"
    POLICY = "policy"
    BACKOFF = "backoff"
    PAUSE = "pause"
    LIMIT = "limit"
    NAMED_LIMIT = "named_limit"
    COLD_LIMIT = "cold_limit"
    PACE = "pace"
    SLOTS = "slots"
    MEMORY = "memory"
    READING = "reading"
    ADAPTER = "adapter"
    ADMISSION = "admission"
