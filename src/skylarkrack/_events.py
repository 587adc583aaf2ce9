"""Numbered log events and the logger that writes them.

docs/EVENTS.md is the catalogue; a test compares the two. Fields are written as JSON. Only fields
that the code passes explicitly are logged, and never a caller's key: keys are replaced by their
digests where they enter the process.
"""

import json
import sys
from enum import IntEnum

from loguru import logger


class Event(IntEnum):
    """Names and numbers of the log events."""

    PROCESS_STARTED = 100
    PROCESS_STOPPING = 101
    PROCESS_STOPPED = 102

    LINK_UP = 200
    LINK_DOWN = 201
    FRAME_REJECTED = 202

    VALUE_ADOPTED = 300
    VALUE_REJECTED = 301
    PLATFORM_LOST = 302
    PLATFORM_BACK = 303
    STALE_VALUE_IGNORED = 304
    ACCESS_LEASE_LOST = 305
    ACCESS_LEASE_HELD = 306

    REQUEST_ENDED = 400
    REQUEST_REFUSED = 401
    REQUEST_REROUTED = 402
    STREAM_CUT = 403
    BAD_CALLER = 404
    HANDLER_FAILED = 405

    ENGINE_UP = 500
    ENGINE_DOWN = 501
    LOAD_ORDERED = 502
    LOAD_ENDED = 503
    EVICTED = 504
    WRONG_ECHO = 505
    CRASH_SUSPECTS = 506

    DRAIN_STARTED = 601

    RELAY_ENDED = 700
    RELAY_REFUSED = 701
    RELAY_RETRIED = 702
    RELAY_WAITED = 703
    RELAY_BROKEN = 704
    CALLER_LEFT = 705
    ENDPOINT_OVERDUE = 706
    CALLER_CUT_OFF = 707

    TABLE_ADOPTED = 710
    TABLE_REJECTED = 711
    ENDPOINT_SEEN = 712
    ENDPOINT_GONE = 713
    ENTRY_REJECTED = 714
    VERSION_ANNOUNCED = 715
    REGISTRY_LOST = 716
    REGISTRY_BACK = 717
    HISTORY_LOST = 718

    ENDPOINT_DEAD = 719

    MEMBER_SEEN = 720
    DATAGRAM_REJECTED = 721
    ORDER_ANSWERED = 723
    REPORT_FAILED = 724
    SETTINGS_RELOADED = 725
    LINES_DROPPED = 726
    TABLE_FETCHED = 727
    ENDPOINT_LEAVING = 728
    ENDPOINT_PAUSED = 729
    STORE_REWOUND = 730
    SEGMENTS_QUARANTINED = 731
    SEGMENTS_RELEASED = 732
    RATE_LIMIT_CHANGED = 733
    STREAM_RESUMED = 734
    ORIGIN_LOOKED_UP = 740
    ORIGINS_RESENT = 741
    VERSIONS_RECALLED = 742
    ENDPOINT_COLD = 745
    ENDPOINT_WARM = 746
    PACE_BEGAN = 747
    PACE_ENDED = 748
    EVACUATION_STARTED = 752
    EVACUATION_ENDED = 753
    EVACUATION_IGNORED = 754
    EVACUATION_KEPT = 755
    ADMISSION_BEGUN = 757
    ADMISSION_BOUND = 758
    ADMISSION_VOID = 759
    ADMISSION_SILENT = 760
    ENTRY_STOPPED = 762
    ENDPOINT_SPEED_CHANGED = 763
    REPORTED_LOAD_REJECTED = 764
    HEALTH_PROBED = 767
    WATCH_FAILED = 768
    STEP_TOO_LARGE = 769
    TASK_FAILED = 770
    EVENT_LOOP_BEHIND = 771
    MESSAGE_GIVEN_UP = 772


def log(event: Event, **fields: object) -> None:
    """Write one event with its fields."""
    body = json.dumps(fields, default=str)
    logger.bind(event=int(event)).info("{} {} {}", int(event), event.name, body)


def open_log(*, vm: str, level: str = "INFO", sink: object = sys.stderr) -> None:
    """Write the process's log to *sink*, one event per line."""
    logger.remove()
    pattern = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} " + vm + " {message}"
    logger.add(sink, level=level, format=pattern, diagnose=False, backtrace=False, catch=False)
