"""`make run`: a deployment in separate processes, one request of each kind, and what came back."""

import asyncio
import json
import signal
import sys

from skylarkrack._addresses import split_address
from standins.fleet import Fleet, key_of

LONG_ANSWER_TOKENS = 2000


def bearer(organisation: str) -> tuple[bytes, bytes]:
    """Return the header that shows the test key of an organisation."""
    return (b"authorization", f"Bearer {key_of(organisation)}".encode())


def chat(model: str, **more: object) -> bytes:
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": "How do I renew my badge?"}]
    return json.dumps({"model": model, "messages": messages, **more}).encode()


async def ask_whole(fleet: Fleet) -> bool:
    """A whole answer of the adapter and version that was asked for."""
    status, _, body = await fleet.call(
        "entry-0",
        "callers",
        "POST",
        "/v1/chat/completions",
        chat("adapter-1@1"),
        [bearer("singers")],
    )
    print(f"whole answer: {status} {body.decode()}")
    return status == 200 and "adapter-1@1" in json.loads(body)["choices"][0]["message"]["content"]


async def ask_stream(fleet: Fleet) -> bool:
    """A streamed answer with its end mark."""
    status, _, body = await fleet.call(
        "entry-1",
        "callers",
        "POST",
        "/v1/chat/completions",
        chat("adapter-0", stream=True),
        [bearer("bursars")],
    )
    print(f"streamed answer: {status}, {body.count(b'data: ')} events")
    return status == 200 and b"adapter-0@2" in body and body.endswith(b"data: [DONE]\n\n")


async def order_once(fleet: Fleet) -> bool:
    """An order, sent again through the other entry, runs once."""
    headers = [bearer("bursars"), (b"idempotency-key", b"order-17")]
    ticket = await request_ticket(fleet, headers)
    headers.append((b"idempotency-ticket", ticket))
    answers = [
        await fleet.call(entry, "callers", "POST", "/services/orders/new", b"40 desks", headers)
        for entry in ("entry-0", "entry-1")
    ]
    runs = (await fleet.stats("desk-0"))["runs"]
    statuses = " and ".join(str(status) for status, _, _ in answers)
    print(f"an order sent twice: answered {statuses}; the desk ran it {runs['40 desks']} time(s)")
    return [status for status, _, _ in answers] == [200, 200] and runs["40 desks"] == 1


async def request_ticket(fleet: Fleet, headers: list) -> bytes:
    """Return a ticket for calls that may not be repeated."""
    status, found, body = await fleet.call(
        "entry-0", "callers", "POST", "/v1/idempotency-tickets/orders", b"", headers
    )
    print(f"ticket: {status} {body.decode()}")
    return dict(found)[b"idempotency-ticket"]


async def open_route(fleet: Fleet) -> bool:
    """A route that is open to all needs no key."""
    status, _, _ = await fleet.call("entry-0", "callers", "GET", "/services/hours/today")
    print(f"open route without a key: {status}")
    return status == 200


async def withdraw_mid_stream(fleet: Fleet) -> bool:
    """A key is withdrawn while its stream is open: the stream ends, and is not whole."""
    host, port = split_address(fleet.address("entry-0", "callers"))
    reader, writer = await asyncio.open_connection(host, port)
    body = chat(
        "adapter-0", stream=True, max_tokens=LONG_ANSWER_TOKENS, min_tokens=LONG_ANSWER_TOKENS
    )
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: {host}\r\n"
        f"authorization: Bearer {key_of('bursars')}\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    first = await reader.readuntil(b"adapter-0@2")
    await fleet.publish_keys("singers")
    rest = await reader.read(-1)
    writer.close()
    await fleet.publish_keys("singers", "bursars")
    print(f"withdrawn mid-stream: {len(first) + len(rest)} bytes, then {rest[-240:].decode()!r}")
    return b"access_withdrawn" in rest and b"[DONE]" not in rest


async def demonstrate(fleet: Fleet) -> bool:
    """Send one request of each kind; tell whether all were answered right."""
    kinds = (ask_whole, ask_stream, order_once, open_route, withdraw_mid_stream)
    verdicts = {kind.__name__: await kind(fleet) for kind in kinds}
    for name, is_right in verdicts.items():
        print(f"{'right' if is_right else 'WRONG'}: {name}")
    return all(verdicts.values())


def print_example_commands(fleet: Fleet) -> None:
    """Print lines to try by hand."""
    callers, status = fleet.address("entry-0", "callers"), fleet.address("entry-0", "status")
    print("\nto try by hand:")
    print(
        f"  curl -N http://{callers}/v1/chat/completions "
        f"-H 'Authorization: Bearer {key_of('singers')}' "
        '-d \'{"model":"adapter-0","stream":true,"messages":[{"role":"user","content":"Hi"}]}\''
    )
    print(f"  curl http://{callers}/v1/models -H 'Authorization: Bearer {key_of('singers')}'")
    print(f"  skylarkctl state {status}")
    print(f"  skylarkctl burn {status}")


async def main(*, keep: bool) -> int:
    """Run the demonstration; with *keep* stay up until a signal."""
    fleet = Fleet()
    stopping = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    try:
        await fleet.start()
        is_right = await demonstrate(fleet)
        print_example_commands(fleet)
        if keep:
            print("\nstaying up until Ctrl-C")
            await stopping.wait()
            daemons = list(fleet.vms)
            codes = await asyncio.gather(*(fleet.stop_planned(name) for name in daemons))
            print(f"planned stop of {len(codes)} processes: exit codes {sorted(set(codes))}")
        return 0 if is_right else 1
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main(keep="keep" in sys.argv[1:])))
