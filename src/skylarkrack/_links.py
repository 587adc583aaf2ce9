"""Links of a process by the VM of the peer."""

import asyncio
from collections.abc import Mapping

from skylarkrack.wire import Link, LinkOwner, dial


class Links:
    """Holds the open links by VM name, and dials the VMs that a link is required to."""

    __slots__ = ("_address_by_vm", "_dialling_by_vm", "_links_by_vm", "_owner")

    def __init__(self, owner: LinkOwner) -> None:
        self._owner = owner
        self._links_by_vm: dict[str, list[Link]] = {}
        self._address_by_vm: dict[str, str] = {}
        self._dialling_by_vm: dict[str, asyncio.Task] = {}

    # Queries

    def linked_vms(self, role: str) -> frozenset[str]:
        """Return the names of the VMs of *role* that have an open link."""
        return frozenset(
            vm for vm, links in self._links_by_vm.items() if links[-1].peer.role == role
        )

    def with_role(self, role: str) -> list[Link]:
        """Return the newest open link to each VM of *role*."""
        return [links[-1] for links in self._links_by_vm.values() if links[-1].peer.role == role]

    def link_to(self, vm: str) -> Link | None:
        """Return the newest open link to *vm*, or None."""
        links = self._links_by_vm.get(vm)
        return links[-1] if links else None

    def describe(self) -> dict[str, object]:
        """Return the state for `skylarkctl state`."""
        return {
            vm: {
                "role": links[-1].peer.role,
                "domain": links[-1].peer.domain,
                "incarnation": links[-1].peer.incarnation,
            }
            for vm, links in sorted(self._links_by_vm.items())
        }

    # Commands

    def send(self, vm: str, message: object) -> bool:
        """Send *message* to *vm*, and return whether there was a link to it."""
        link = self.link_to(vm)
        if link is not None:
            link.send(message)
        return link is not None

    def add(self, link: Link) -> None:
        """Add a link that has been opened."""
        self._links_by_vm.setdefault(link.vm, []).append(link)

    def remove(self, link: Link) -> None:
        """Remove a link that has ended."""
        links = self._links_by_vm.get(link.vm, [])
        if link in links:
            links.remove(link)
        if not links:
            self._links_by_vm.pop(link.vm, None)

    def dial_only(self, address_by_vm: Mapping[str, str]) -> None:
        """Dial these VMs and stop dialling all others."""
        self._address_by_vm = dict(address_by_vm)
        for vm, address in self._address_by_vm.items():
            task = self._dialling_by_vm.get(vm)
            if task is None or task.done():
                self._dialling_by_vm[vm] = asyncio.create_task(self._dial(vm, address))

    def close(self) -> None:
        """Close every link and stop all dialling."""
        self._address_by_vm.clear()
        for task in self._dialling_by_vm.values():
            task.cancel()
        for links in list(self._links_by_vm.values()):
            for link in list(links):
                link.close()

    async def _dial(self, vm: str, address: str) -> None:
        await dial(self._owner, address, lambda: self._address_by_vm.get(vm) == address)
        # The VM may have got another address before the old link ended.
        new_address = self._address_by_vm.get(vm)
        if new_address is not None:
            await self._dial(vm, new_address)
