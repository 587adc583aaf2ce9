"""Messages between the processes of the system, as `msgpack` frames over TCP links."""

from skylarkrack.wire._codec import MAX_FRAME_BYTES, FrameDecoder, decode, encode, encode_body
from skylarkrack.wire._link import Link, LinkOwner, accept_links, dial

__all__ = [
    "MAX_FRAME_BYTES",
    "FrameDecoder",
    "Link",
    "LinkOwner",
    "accept_links",
    "decode",
    "dial",
    "encode",
    "encode_body",
]
