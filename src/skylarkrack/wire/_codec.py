"""Frames: four bytes of length (big-endian), then a msgpack array `[type number, *fields]`."""

import struct
from dataclasses import fields

import msgpack

from skylarkrack import messages
from skylarkrack._errors import FrameRejected

MAX_FRAME_BYTES = 4_194_304
"""Bound on a frame: a platform value of a megabyte, or a request body, with room to spare."""

_LENGTH = struct.Struct(">I")

# A type's number is part of the protocol: numbers are never used again for another type.
_TYPE_BY_NUMBER = {
    1: messages.Hello,
    2: messages.Ping,
    3: messages.Pong,
    4: messages.ValuesRequest,
    5: messages.Value,
    6: messages.ValuesEnd,
    7: messages.PledgeRequest,
    8: messages.Pledge,
    9: messages.Reserve,
    10: messages.Reserved,
    11: messages.NotReserved,
    12: messages.Refund,
    13: messages.LoadPermitRequest,
    14: messages.LoadPermit,
    15: messages.Run,
    16: messages.Call,
    17: messages.Cancel,
    18: messages.Head,
    19: messages.Chunk,
    20: messages.End,
    21: messages.Failed,
    22: messages.EndpointReport,
    23: messages.Suspects,
    24: messages.Cleared,
    25: messages.Confirm,
    26: messages.Confirmed,
    27: messages.TicketRequest,
    28: messages.Ticket,
    29: messages.Roster,
    30: messages.RelayState,
    31: messages.AdapterDemand,
    32: messages.EngineSnapshot,
    33: messages.EngineHeartbeat,
}
_NUMBER_BY_TYPE = {kind: number for number, kind in _TYPE_BY_NUMBER.items()}
_FIELD_NAMES_BY_TYPE = {kind: tuple(f.name for f in fields(kind)) for kind in _NUMBER_BY_TYPE}
_FIELD_TYPES_BY_TYPE = {kind: tuple(f.type for f in fields(kind)) for kind in _NUMBER_BY_TYPE}


def encode(message: object) -> bytes:
    """Return the frame of *message*."""
    body = encode_body(message)
    return _LENGTH.pack(len(body)) + body


def encode_body(message: object) -> bytes:
    """Return *message* without the length, as it goes into a datagram."""
    kind = type(message)
    row = [_NUMBER_BY_TYPE[kind], *(getattr(message, name) for name in _FIELD_NAMES_BY_TYPE[kind])]
    return msgpack.packb(row)


def decode(body: bytes) -> object:
    """Return the message in a frame's body, or raise `FrameRejected`."""
    try:
        row = msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameRejected(f"no msgpack: {error}") from error
    if not isinstance(row, list) or not row:
        raise FrameRejected("no array")
    kind = _TYPE_BY_NUMBER.get(row[0]) if isinstance(row[0], int) else None
    if kind is None:
        raise FrameRejected(f"unknown type {row[0]!r}")
    return _build(kind, row[1:])


def _build(kind: type, values: list) -> object:
    names, kinds = _FIELD_NAMES_BY_TYPE[kind], _FIELD_TYPES_BY_TYPE[kind]
    if len(values) != len(names):
        raise FrameRejected(f"{kind.__name__}: {len(values)} fields, not {len(names)}")
    for name, expected, value in zip(names, kinds, values, strict=True):
        if not isinstance(value, expected) and not (expected is float and type(value) is int):
            raise FrameRejected(f"{kind.__name__}.{name}: {type(value).__name__}")
    return kind(**dict(zip(names, values, strict=True)))


class FrameDecoder:
    """Cuts a byte stream into messages; holds one unfinished frame at the most."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list:
        """Return the messages completed by *data*."""
        self._buffer += data
        found, start = [], 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise FrameRejected(f"a frame of {length} bytes")
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            found.append(decode(bytes(self._buffer[start + _LENGTH.size : end])))
            start = end
        del self._buffer[:start]
        return found
