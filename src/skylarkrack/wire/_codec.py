"""Encoding of messages as frames.

A frame is the length of its body in four bytes (big-endian), then the body: a msgpack array
`[type number, *fields]`.
"""

import struct
from dataclasses import fields

import msgpack

from skylarkrack import messages
from skylarkrack._errors import FrameRejected

MAX_FRAME_BYTES = 4_194_304
"""Largest body of a frame that is accepted; a longer one raises `FrameRejected`.

The longest bodies hold a platform value of 1 MB or the body of a request, and both fit with room
to spare.
"""

_LENGTH = struct.Struct(">I")

# The numbers are part of the protocol. The number of a removed type is never reused for another.
_TYPE_BY_NUMBER = {
    1: messages.Hello,
    2: messages.Ping,
    3: messages.Pong,
    4: messages.ValuesRequest,
    5: messages.Value,
    6: messages.ValuesEnd,
    7: messages.PledgeRequest,
    8: messages.Pledge,
    9: messages.ReserveRequest,
    10: messages.Reserved,
    11: messages.NotReserved,
    12: messages.Refund,
    13: messages.LoadPermitRequest,
    14: messages.LoadPermit,
    15: messages.RunRequest,
    16: messages.CallRequest,
    17: messages.Cancel,
    18: messages.ResponseHead,
    19: messages.ResponseChunk,
    20: messages.ResponseEnd,
    21: messages.RequestFailed,
    22: messages.EndpointReport,
    23: messages.Suspects,
    24: messages.SuspectsCleared,
    25: messages.ConfirmRequest,
    26: messages.Confirmed,
    27: messages.TicketRequest,
    28: messages.Ticket,
    29: messages.Roster,
    30: messages.RelayState,
    31: messages.AdapterDemand,
    32: messages.EngineSnapshot,
    33: messages.EngineHeartbeat,
    34: messages.LeavingEndpoints,
    35: messages.StoreStep,
    36: messages.SuspectSegments,
    37: messages.EndpointRateLimits,
    38: messages.SendPermits,
    39: messages.BegunStreams,
    40: messages.StreamOriginAnswers,
    41: messages.EvacuationNotice,
    42: messages.EndpointConditions,
    43: messages.EndpointBounds,
    44: messages.HomeNotice,
    45: messages.AdmissionRequests,
    46: messages.AdmissionGrants,
    47: messages.EntryStopped,
}
_NUMBER_BY_TYPE = {kind: number for number, kind in _TYPE_BY_NUMBER.items()}
_FIELD_NAMES_BY_TYPE = {kind: tuple(f.name for f in fields(kind)) for kind in _NUMBER_BY_TYPE}
_FIELD_TYPES_BY_TYPE = {kind: tuple(f.type for f in fields(kind)) for kind in _NUMBER_BY_TYPE}


def encode(message: object) -> bytes:
    """Return *message* as a frame."""
    body = encode_body(message)
    return _LENGTH.pack(len(body)) + body


def encode_body(message: object) -> bytes:
    """Return *message* as the body of a frame, without the length; datagrams hold this."""
    message_type = type(message)
    row = [
        _NUMBER_BY_TYPE[message_type],
        *(getattr(message, name) for name in _FIELD_NAMES_BY_TYPE[message_type]),
    ]
    return msgpack.packb(row)


def decode(body: bytes) -> object:
    """Return the message in the body of a frame, or raise `FrameRejected`."""
    try:
        row = msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameRejected(f"not valid msgpack: {error}") from error
    if not isinstance(row, list) or not row:
        raise FrameRejected("not a non-empty array")
    message_type = _TYPE_BY_NUMBER.get(row[0]) if isinstance(row[0], int) else None
    if message_type is None:
        raise FrameRejected(f"unknown type number {row[0]!r}")
    return _build(message_type, row[1:])


def _build(message_type: type, values: list) -> object:
    """Return the message with these fields; an int is accepted for a float."""
    names, types = _FIELD_NAMES_BY_TYPE[message_type], _FIELD_TYPES_BY_TYPE[message_type]
    if len(values) != len(names):
        raise FrameRejected(f"{message_type.__name__} has {len(values)} fields, not {len(names)}")
    for name, expected, value in zip(names, types, values, strict=True):
        if not isinstance(value, expected) and not (expected is float and type(value) is int):
            raise FrameRejected(f"{message_type.__name__}.{name} is of type {type(value).__name__}")
    return message_type(**dict(zip(names, values, strict=True)))


class FrameDecoder:
    """Decodes a byte stream into messages; buffers at most one incomplete frame."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list:
        """Return the messages that *data* completes, or raise `FrameRejected`."""
        self._buffer += data
        decoded, start = [], 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise FrameRejected(f"a frame of {length} bytes is too large")
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            decoded.append(decode(bytes(self._buffer[start + _LENGTH.size : end])))
            start = end
        del self._buffer[:start]
        return decoded
