"""Demonstration for `make run`: starts a deployment and sends one request of each kind."""

import asyncio
import json
import signal
import sys

from skylarkrack._addresses import split_address
from standins.fleet import Fleet, key_of

LONG_ANSWER_TOKENS = 2000


def bearer(organisation: str) -> tuple[bytes, bytes]:
    """Return the authorization header with the test key of *organisation*."""
    return (b"authorization", f"Bearer {key_of(organisation)}".encode())


def chat(model: str, **more: object) -> bytes:
    """Return the JSON body of a chat request to *model*; *more* holds additional fields."""
    messages = [{"role": "user", "content": "How do I renew my badge?"}]
    return json.dumps({"model": model, "messages": messages, **more}).encode()


async def ask_whole(fleet: Fleet) -> bool:
    """Check that an unstreamed answer comes from the requested adapter and version."""
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
    """Check that a streamed answer is complete, up to its `[DONE]` event."""
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
    """Check that a call repeated through the other entry with the same key runs once."""
    headers = [bearer("bursars"), (b"idempotency-key", b"order-17")]
    ticket = await request_ticket(fleet, headers)
    headers.append((b"idempotency-ticket", ticket))
    answers = [
        await fleet.call(entry, "callers", "POST", "/services/orders/new", b"40 desks", headers)
        for entry in ("entry-0", "entry-1")
    ]
    runs = (await fleet.stats("desk-0"))["runs"]
    statuses = " and ".join(str(status) for status, _, _ in answers)
    print(f"order sent twice: statuses {statuses}; runs by the service: {runs['40 desks']}")
    return [status for status, _, _ in answers] == [200, 200] and runs["40 desks"] == 1


async def request_ticket(fleet: Fleet, headers: list) -> bytes:
    """Request and return an idempotency ticket, required for calls to unrepeatable routes."""
    status, response_headers, body = await fleet.call(
        "entry-0", "callers", "POST", "/v1/idempotency-tickets/orders", b"", headers
    )
    print(f"ticket: {status} {body.decode()}")
    return dict(response_headers)[b"idempotency-ticket"]


async def open_route(fleet: Fleet) -> bool:
    """Check that a route that is open to all answers a call without a key."""
    status, _, _ = await fleet.call("entry-0", "callers", "GET", "/services/hours/today")
    print(f"open route without a key: {status}")
    return status == 200


async def withdraw_mid_stream(fleet: Fleet) -> bool:
    """Check that withdrawing a key ends its open stream with an error and without `[DONE]`."""
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
    beginning = await reader.readuntil(b"adapter-0@2")
    await fleet.publish_keys("singers")
    remainder = await reader.read(-1)
    writer.close()
    await fleet.publish_keys("singers", "bursars")
    print(
        f"withdrawn mid-stream: {len(beginning) + len(remainder)} bytes, "
        f"ending in {remainder[-240:].decode()!r}"
    )
    return b"access_withdrawn" in remainder and b"[DONE]" not in remainder


async def demonstrate(fleet: Fleet) -> bool:
    """Send one request of each kind and return whether all checks passed.

    Prints the result of each check under the name of its function.
    """
    checks = (ask_whole, ask_stream, order_once, open_route, withdraw_mid_stream)
    passed_by_name = {check.__name__: await check(fleet) for check in checks}
    for name, has_passed in passed_by_name.items():
        print(f"{'right' if has_passed else 'WRONG'}: {name}")
    return all(passed_by_name.values())


def print_example_commands(fleet: Fleet) -> None:
    """Print commands that send requests to the running deployment."""
    callers, status = fleet.address("entry-0", "callers"), fleet.address("entry-0", "status")
    print("\ncommands to try:")
    print(
        f"  curl -N http://{callers}/v1/chat/completions "
        f"-H 'Authorization: Bearer {key_of('singers')}' "
        '-d \'{"model":"adapter-0","stream":true,"messages":[{"role":"user","content":"Hi"}]}\''
    )
    print(f"  curl http://{callers}/v1/models -H 'Authorization: Bearer {key_of('singers')}'")
    print(f"  skylarkctl state {status}")
    print(f"  skylarkctl burn {status}")


async def main(*, keep: bool) -> int:
    """Run the demonstration and return the exit code: 0 if all checks passed, else 1.

    With *keep* the deployment runs until SIGINT or SIGTERM, then its daemons are stopped.
    """
    fleet = Fleet()
    stopping = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopping.set)
    try:
        await fleet.start()
        has_passed = await demonstrate(fleet)
        print_example_commands(fleet)
        if keep:
            print("\nrunning until Ctrl-C")
            await stopping.wait()
            daemons = list(fleet.vms)
            exit_codes = await asyncio.gather(*(fleet.stop_planned(name) for name in daemons))
            print(
                f"planned stop of {len(exit_codes)} processes: exit codes {sorted(set(exit_codes))}"
            )
        return 0 if has_passed else 1
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main(keep="keep" in sys.argv[1:])))
