"""Bad input gets its numbered error or a closed connection, and does not affect others."""

import asyncio
import json
import struct
import unittest

import msgpack

from skylarkrack._addresses import split_address
from standins.fleet import Fleet, key_of
from standins.run import bearer
from tests.shared_fleet import shared_fleet, wait_for

READ_TIMEOUT_S = 20
KEY = f"authorization: Bearer {key_of('singers')}\r\n"
CHAT = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
ORDER = "POST /services/orders/new HTTP/1.1\r\nhost: x\r\n"


def chat(body: bytes, head: str = KEY) -> bytes:
    """Return a chat request with *body* and the header lines *head*."""
    return f"{CHAT}{head}content-length: {len(body)}\r\n\r\n".encode() + body


def chat_body(**changes: object) -> bytes:
    """Return the body of a valid chat request with *changes* to its fields."""
    document = {"model": "adapter-0", "messages": [{"role": "user", "content": "Hi"}]}
    return json.dumps({**document, **changes}).encode()


DEEP = b'{"model":"adapter-0","messages":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
CHUNKED = (f"{CHAT}{KEY}transfer-encoding: chunked\r\n\r\n").encode()
BIG_CHUNK = b"200000\r\n" + b"x" * 0x200000 + b"\r\n"

# name, bytes, status, code
BAD_REQUESTS = (
    ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400, "1001"),
    ("two lengths", f"{CHAT}{KEY}content-length: 2\r\ncontent-length: 3\r\n\r\n{{}}", 400, "1001"),
    (
        "a length and chunks",
        f"{CHAT}{KEY}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n{{}}",
        400,
        "1001",
    ),
    ("two keys", f"{CHAT}{KEY}{KEY}content-length: 2\r\n\r\n{{}}", 400, "1001"),
    ("a space before the colon", f"{CHAT}content-length : 2\r\n\r\n{{}}", 400, "1001"),
    ("a negative length", f"{CHAT}{KEY}content-length: -5\r\n\r\n", 400, "1001"),
    ("a target that is no path", "GET http://x/ HTTP/1.1\r\nhost: x\r\n\r\n", 400, "1001"),
    ("a large head", f"{CHAT}x: {'y' * 100_000}\r\n\r\n", 431, "1002"),
    ("a large length", f"{CHAT}{KEY}content-length: 99999999999\r\n\r\n", 413, "1003"),
    ("large chunks", CHUNKED + BIG_CHUNK + b"1\r\nx\r\n", 413, "1003"),
    ("no JSON", chat(b"{"), 400, "1004"),
    ("no UTF-8", chat(b'{"model":"\xff"}'), 400, "1004"),
    ("deep JSON", chat(DEEP), 400, "1004"),
    ("JSON of another type", chat(b"[]"), 400, "1005"),
    ("no fields", chat(b"{}"), 400, "1005"),
    ("a model that is no text", chat(chat_body(model=5)), 400, "1005"),
    ("messages that are no list", chat(chat_body(messages="Hi")), 400, "1005"),
    ("no messages", chat(chat_body(messages=[])), 400, "1005"),
    ("fewer than one token", chat(chat_body(max_tokens=-1)), 400, "1005"),
    ("several answers", chat(chat_body(n=3)), 400, "1005"),
    ("a model that is no Unicode", chat(chat_body(model="adapter-0\ud800")), 400, "1005"),
    ("no key", chat(chat_body(), head=""), 401, "2001"),
    (
        "a key in the query",
        f"GET /v1/models?key={key_of('singers')} HTTP/1.1\r\nhost: x\r\n\r\n",
        401,
        "2001",
    ),
    ("an unknown key", chat(chat_body(), head="authorization: Bearer sk-x\r\n"), 401, "2002"),
    ("an unknown adapter", chat(chat_body(model="other")), 404, "4001"),
    ("an unknown version", chat(chat_body(model="adapter-0@9")), 404, "4001"),
    ("more tokens than the burst", chat(chat_body(max_tokens=900_000)), 400, "3002"),
    ("no such path", "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n", 404, "1006"),
    ("no such route", f"GET /services/none/x HTTP/1.1\r\nhost: x\r\n{KEY}\r\n", 404, "1006"),
    ("another method", f"GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{KEY}\r\n", 405, "1007"),
    ("an order without its key", f"{ORDER}{KEY}content-length: 0\r\n\r\n", 428, "1010"),
    (
        "a long idempotency key",
        f"{ORDER}{KEY}idempotency-key: {'k' * 300}\r\ncontent-length: 0\r\n\r\n",
        400,
        "1011",
    ),
    ("a slow head", "POST /v1/chat", 408, "1008"),
    ("a slow body", f"{CHAT}{KEY}content-length: 9\r\n\r\n{{", 408, "1008"),
)


async def exchange(address: str, data: bytes) -> bytes:
    """Send *data* and return what is received up to an error body or the end of the connection."""
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    received = b""
    async with asyncio.timeout(READ_TIMEOUT_S):
        while True:
            try:
                chunk = await reader.read(65_536)
            except ConnectionError:
                break
            received += chunk
            if not chunk or b"request_id" in received:
                break
    writer.close()
    return received


async def run_counts(fleet: Fleet) -> list:
    """Return the number of runs that each endpoint has received."""
    return [(await fleet.stats(name))["runs"] for name in ("engine-0", "engine-1", "desk-0")]


class TestBadInput(unittest.TestCase):
    """Requests that a caller builds wrongly, or does not finish.

    Such a request must neither reach an endpoint nor disturb the requests of others.
    """

    def test_each_gets_its_error_and_nothing_is_forwarded(self) -> None:
        fleet = shared_fleet()
        address = fleet.address("entry-0", "callers")
        before = wait_for(run_counts(fleet))
        for name, data, status, code in BAD_REQUESTS:
            with self.subTest(name):
                data = data if isinstance(data, bytes) else data.encode()
                answer = wait_for(exchange(address, data)).decode()
                self.assertTrue(answer.startswith(f"HTTP/1.1 {status} "), answer[:300])
                self.assertIn(f'"code": "{code}"', answer)
                self.assertIn('"outcome": "not_run"', answer)
                self._next_request_works(fleet)
        self.assertEqual(wait_for(run_counts(fleet)), before)
        self.assertNotIn(key_of("singers"), fleet.log_text())

    def test_a_close_within_a_body_does_not_affect_the_next_request(self) -> None:
        """The caller closes the connection before it has sent the whole body."""
        fleet = shared_fleet()
        wait_for(self._close_early(fleet))
        self._next_request_works(fleet)

    async def _close_early(self, fleet: Fleet) -> None:
        host, port = split_address(fleet.address("entry-0", "callers"))
        _, writer = await asyncio.open_connection(host, port)
        writer.write(f"{CHAT}{KEY}content-length: 900\r\n\r\n{{".encode())
        await writer.drain()
        writer.close()

    def _next_request_works(self, fleet: Fleet) -> None:
        call = fleet.call("entry-0", "callers", "GET", "/v1/models", b"", [bearer("singers")])
        self.assertEqual(wait_for(call)[0], 200)


class TestBadFrames(unittest.TestCase):
    """Frames that are too large or not valid messages, as from another program or version.

    Each ends its own connection; the links between processes stay.
    """

    def test_each_bad_frame_ends_its_connection(self) -> None:
        hello = ["entry", "entry-9", "domain-0", "abc"]
        bad_frames = (
            ("too large", struct.pack(">I", 2**31)),
            ("no msgpack", frame(b"\xc1")),
            ("no array", frame(msgpack.packb({"a": 1}))),
            ("an unknown type", frame(msgpack.packb([999]))),
            ("a message before Hello", frame(msgpack.packb([3, 1, 1, 1, 0.0, False]))),
            ("another protocol", frame(msgpack.packb([1, 99, *hello]))),
            ("too few fields", frame(msgpack.packb([1, 1]))),
            ("a field of another type", frame(msgpack.packb([1, "1", *hello]))),
        )
        fleet = shared_fleet()
        for role in ("entry-0", "agent-engine-0"):
            for name, data in bad_frames:
                with self.subTest(name, role=role):
                    wait_for(exchange(fleet.address(role, "listen"), data))
        for role in ("entry-0", "agent-engine-0"):
            self.assertIn("entry-1", wait_for(fleet.state(role))["links"])


def frame(body: bytes) -> bytes:
    """Return a frame of the link protocol with *body*."""
    return struct.pack(">I", len(body)) + body
