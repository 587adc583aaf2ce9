"""Several budget cores and a network between them whose faults a test chooses.

Each entry reads the roster when it can; as in the daemon, its lease then holds for the time of
the access lease from the read. Time moves in small steps; messages take a step to arrive.
"""

from dataclasses import dataclass, field

from skylarkrack.core import (
    ACCESS_LEASE_MS,
    BudgetCore,
    BudgetMessageReceived,
    DenyTokens,
    EntriesChanged,
    GrantTokens,
    LeaseChanged,
    Limit,
    LimitsChanged,
    LinksChanged,
    Send,
    Ticked,
    TokensRequested,
    TokensUnused,
)
from skylarkrack.messages import Reserved
from tests.builders import BUDGET

STEP_MS = 50.0
RATE = 100.0
BURST = 300.0
OVERLOAD_REQUEST_TOKENS = 30


@dataclass(slots=True)
class Node:
    """One entry: its core, what is on its way to it, and its faults."""

    core: BudgetCore
    inbox: list[tuple[str, object]] = field(default_factory=list)
    paused: bool = False
    reads_platform: bool = True
    woken: bool = False


class BudgetNet:
    """Entries by VM name, a published roster, and the grants that were used."""

    def __init__(self, *names: str) -> None:
        self.now_ms = 0.0
        self.roster = frozenset(names)
        self.cuts: set[frozenset[str]] = set()
        self.node_by_vm: dict[str, Node] = {}
        self.grants: list[tuple[float, GrantTokens]] = []
        self.used: list[list[float]] = []
        self.denied: list[DenyTokens] = []
        self._debited_ms: dict[tuple[str, int], float] = {}
        self._last_ticket = 0
        self._incarnation = 0
        for name in names:
            self.start(name)

    # Faults

    def start(self, vm: str) -> None:
        """Start a new process on *vm*, in place of any that was there."""
        self._incarnation += 1
        core = BudgetCore(vm=vm, incarnation=self._incarnation)
        node = self.node_by_vm[vm] = Node(core=core)
        limits = {BUDGET: Limit(rate=RATE, burst=BURST)}
        self._handle(vm, node, LimitsChanged(limit_by_budget=limits))
        self._read_roster(vm, node)

    def kill(self, vm: str) -> None:
        """End the process on *vm*."""
        self.node_by_vm.pop(vm, None)

    def publish(self, *names: str) -> None:
        """Publish another roster; each entry sees it at its next read."""
        self.roster = frozenset(names)

    def cut(self, first: str, second: str) -> None:
        """Cut the network between two entries."""
        self.cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all cuts; everybody reads the platform again."""
        self.cuts.clear()
        for node in self.node_by_vm.values():
            node.reads_platform = True

    # Time and work

    def advance(self, elapsed_ms: float) -> None:
        """Let time pass in steps."""
        ends_ms = self.now_ms + elapsed_ms
        while self.now_ms < ends_ms:
            self.now_ms += STEP_MS
            self._step()

    def request_tokens(self, vm: str, tokens: int) -> None:
        """A request at *vm* wants tokens."""
        node = self.node_by_vm.get(vm)
        if node is None or node.paused:
            return
        self._last_ticket += 1
        wanted = TokensRequested(ticket=self._last_ticket, budget=BUDGET, tokens=tokens)
        self._handle(vm, node, wanted)

    def request_all_tokens(self) -> None:
        """Every entry asks for all tokens there can be, twice."""
        for _ in range(2):
            for _ in range(int(BURST) // OVERLOAD_REQUEST_TOKENS):
                for vm in list(self.node_by_vm):
                    self.request_tokens(vm, OVERLOAD_REQUEST_TOKENS)
            self.advance(3 * STEP_MS)

    def refund(self, index: int, part: float) -> None:
        """The request of a grant has ended and used only *part* of it."""
        if not self.grants:
            return
        vm, grant = self.grants[index % len(self.grants)]
        use = self.used[index % len(self.grants)]
        unused = int(grant.tokens * (1 - part))
        node = self.node_by_vm.get(vm)
        if use[1] != grant.tokens or node is None or node.paused or unused == 0:
            return
        use[1] -= unused
        self._handle(vm, node, TokensUnused(grant=grant, tokens=unused))

    def uses(self) -> list[tuple[float, float]]:
        """Return when tokens were granted, and how many were used in the end."""
        return [(at_ms, tokens) for at_ms, tokens in self.used]

    def _step(self) -> None:
        for vm, node in list(self.node_by_vm.items()):
            if not node.paused:
                self._run(vm, node)

    def _run(self, vm: str, node: Node) -> None:
        inbox, node.inbox = node.inbox, []
        # A process that wakes takes what waits in its sockets before anything else.
        for sender, message in inbox:
            self._handle(vm, node, BudgetMessageReceived(vm=sender, message=message))
        if node.reads_platform:
            self._read_roster(vm, node)
        linked = {
            other for other in self.node_by_vm if other != vm and self._is_connected(vm, other)
        }
        self._handle(vm, node, LinksChanged(linked=linked))
        self._handle(vm, node, Ticked())

    def _read_roster(self, vm: str, node: Node) -> None:
        self._handle(vm, node, EntriesChanged(entries=self.roster))
        self._handle(vm, node, LeaseChanged(until_ms=self.now_ms + ACCESS_LEASE_MS))

    def _is_connected(self, first: str, second: str) -> bool:
        return frozenset((first, second)) not in self.cuts

    def _handle(self, vm: str, node: Node, event: object) -> None:
        for action in node.core.handle(event, self.now_ms):
            self._apply_action(vm, action, event)

    def _apply_action(self, vm: str, action: object, event: object) -> None:
        if isinstance(action, Send):
            self._send(vm, action)
        elif isinstance(action, GrantTokens):
            self._record_grant(vm, action, event)
        else:
            self.denied.append(action)

    def _send(self, vm: str, action: Send) -> None:
        if isinstance(action.message, Reserved):
            self._debited_ms[action.vm, action.message.sequence] = self.now_ms
        receiver = self.node_by_vm.get(action.vm)
        if receiver is not None and self._is_connected(vm, action.vm):
            receiver.inbox.append((vm, action.message))

    def _record_grant(self, vm: str, action: GrantTokens, event: object) -> None:
        """Count a grant at the moment when its tokens left the bucket."""
        at_ms = self.now_ms
        if isinstance(event, BudgetMessageReceived) and isinstance(event.message, Reserved):
            at_ms = self._debited_ms[vm, event.message.sequence]
        self.grants.append((vm, action))
        self.used.append([at_ms, action.tokens])
