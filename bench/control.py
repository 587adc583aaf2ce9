"""CPU time and memory of an idle entry as its number of peer links grows."""

import asyncio

from bench.data_path import read_process_usage
from standins.fleet import Fleet, FleetShape

SECONDS = 10
"""Length of each measurement."""

SERVICES = (2, 8, 16)
"""Numbers of service agents to measure with."""


async def measure_idle_entry(services: int) -> None:
    """Print the CPU use and resident memory of an idle entry with *services* service agents."""
    fleet = Fleet(FleetShape(entries=2, engines=1, services=services, domains=3))
    try:
        await fleet.start()
        pid = fleet.by_name["entry-0"].process.pid
        before = read_process_usage(pid).cpu_s
        await asyncio.sleep(SECONDS)
        used = (read_process_usage(pid).cpu_s - before) / SECONDS * 100
        links = len((await fleet.state("entry-0"))["links"])
        resident = read_process_usage(pid).resident_bytes / 2**20
        print(f"entry with {links} peers idle: {used:.2f}% of a core, {resident:.0f} MiB resident")
    finally:
        fleet.close()


async def main() -> None:
    """Measure with each number of service agents."""
    for services in SERVICES:
        await measure_idle_entry(services)


if __name__ == "__main__":
    asyncio.run(main())
