"""Processor time of control alone as the links of an entry grow."""

import asyncio

from bench.data_path import account
from standins.fleet import Fleet, FleetShape

SECONDS = 10
SERVICES = (2, 8, 16)


async def measure(services: int) -> None:
    """Print the idle entry's processor time beside so many agents."""
    fleet = Fleet(FleetShape(entries=2, engines=1, services=services, domains=3))
    try:
        await fleet.start()
        pid = fleet.by_name["entry-0"].process.pid
        before = account(pid).cpu_s
        await asyncio.sleep(SECONDS)
        used = (account(pid).cpu_s - before) / SECONDS * 100
        links = len((await fleet.state("entry-0"))["links"])
        resident = account(pid).resident / 2**20
        print(f"entry with {links} peers idle: {used:.2f}% of a core, {resident:.0f} MiB resident")
    finally:
        fleet.close()


async def main() -> None:
    """Print every row."""
    for services in SERVICES:
        await measure(services)


if __name__ == "__main__":
    asyncio.run(main())
