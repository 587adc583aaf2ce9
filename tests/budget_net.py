"""A simulation of several budget cores and a network with faults chosen by the test.

Each entry reads the roster at every step while it can reach the platform. As in the daemon, the
read extends its access lease. Time advances in steps of `STEP_MS`; a message is handled when its
receiver runs its next step.
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
    """One entry: its core, the messages in transit to it, and its faults."""

    core: BudgetCore
    inbox: list[tuple[str, object]] = field(default_factory=list)
    paused: bool = False
    reads_platform: bool = True
    woken: bool = False


class BudgetNet:
    """Simulated entries by VM name, the published roster, and all grants with their use.

    Times are simulated milliseconds; *used* holds the time and the used tokens of each grant.
    """

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
        """Start a new process on *vm*; it replaces an existing one."""
        self._incarnation += 1
        core = BudgetCore(vm=vm, incarnation=self._incarnation)
        node = self.node_by_vm[vm] = Node(core=core)
        limits = {BUDGET: Limit(rate=RATE, burst=BURST)}
        self._handle(vm, node, LimitsChanged(limit_by_budget=limits))
        self._read_roster(vm, node)

    def kill(self, vm: str) -> None:
        """End the process on *vm*, if there is one."""
        self.node_by_vm.pop(vm, None)

    def publish(self, *names: str) -> None:
        """Publish another roster; each entry reads it at its next step with a working platform."""
        self.roster = frozenset(names)

    def cut(self, first: str, second: str) -> None:
        """Cut the network between two entries until `heal`."""
        self.cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all cuts, and let every entry read the platform again."""
        self.cuts.clear()
        for node in self.node_by_vm.values():
            node.reads_platform = True

    # Time and requests

    def advance(self, elapsed_ms: float) -> None:
        """Advance the time in steps of `STEP_MS`."""
        ends_ms = self.now_ms + elapsed_ms
        while self.now_ms < ends_ms:
            self.now_ms += STEP_MS
            self._step()

    def request_tokens(self, vm: str, tokens: int) -> None:
        """Request *tokens* at *vm*; does nothing if it is paused or has no process."""
        node = self.node_by_vm.get(vm)
        if node is None or node.paused:
            return
        self._last_ticket += 1
        request = TokensRequested(ticket=self._last_ticket, budget=BUDGET, tokens=tokens)
        self._handle(vm, node, request)

    def request_all_tokens(self) -> None:
        """Request the whole burst at every entry, twice, in small requests."""
        for _ in range(2):
            for _ in range(int(BURST) // OVERLOAD_REQUEST_TOKENS):
                for vm in list(self.node_by_vm):
                    self.request_tokens(vm, OVERLOAD_REQUEST_TOKENS)
            self.advance(3 * STEP_MS)

    def refund(self, index: int, used_fraction: float) -> None:
        """Refund a grant once, of which only *used_fraction* was used."""
        if not self.grants:
            return
        vm, grant = self.grants[index % len(self.grants)]
        use = self.used[index % len(self.grants)]
        unused = int(grant.tokens * (1 - used_fraction))
        node = self.node_by_vm.get(vm)
        if use[1] != grant.tokens or node is None or node.paused or unused == 0:
            return
        use[1] -= unused
        self._handle(vm, node, TokensUnused(grant=grant, tokens=unused))

    def uses(self) -> list[tuple[float, float]]:
        """Return pairs of the time of a grant and the tokens that were used of it."""
        return [(at_ms, tokens) for at_ms, tokens in self.used]

    def _step(self) -> None:
        for vm, node in list(self.node_by_vm.items()):
            if not node.paused:
                self._run(vm, node)

    def _run(self, vm: str, node: Node) -> None:
        inbox, node.inbox = node.inbox, []
        # A process that resumes after a pause first handles the messages queued in its sockets.
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
        """Record a grant at the time when its tokens were taken from the bucket."""
        at_ms = self.now_ms
        if isinstance(event, BudgetMessageReceived) and isinstance(event.message, Reserved):
            at_ms = self._debited_ms[vm, event.message.sequence]
        self.grants.append((vm, action))
        self.used.append([at_ms, action.tokens])
