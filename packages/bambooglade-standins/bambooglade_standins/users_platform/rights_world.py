"""Instances that share budgets, on virtual time, with an oracle.

The oracle counts what targets would have seen, apart from all accounts: a
request that was admitted may use its whole bound.
"""

from __future__ import annotations

from concurrent import futures
import itertools

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib
from bambooglade.store import dependency_monitor
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import virtual_loop

TEAM = "artists"


class LocalLenders:
    """Lends between keepers directly, with answers that get lost.

    Args:
        world: Knows the other instances.
        name: The borrower.
    """

    def __init__(self, world: RightsWorld, name: str) -> None:
        self._world = world
        self._name = name

    def borrow(
        self, team: str, tokens: int, received, *, only_homes: bool = False
    ) -> futures.Future:
        """Asks the peers, as `rights.lending.LendingClient` does."""
        return tasks.spawn(self._borrow(team, tokens, received, only_homes))

    def repayment_home(self, team: str) -> peers_lib.Peer | None:
        """Returns the home of the own zone, as `LendingClient` does."""
        home = self._world.homes(self._name).of(team)[0]
        is_running = self._world.node_by_name[home.name] is not None
        return home if home.name != self._name and is_running else None

    def successor(self, team: str) -> peers_lib.Peer | None:
        """Returns who takes the rights of an instance that stops."""
        for home in self._world.homes(self._name).of(team):
            is_running = self._world.node_by_name[home.name] is not None
            if home.name != self._name and is_running:
                return home
        return None

    def repay(self, home: peers_lib.Peer, tokens_by_team) -> None:
        """Gives rights back, unless the message is lost."""
        node = self._world.node_by_name[home.name]
        if not self._world.are_peers_cut:
            node.keeper.apply_repayment(tokens_by_team)

    def _borrow(
        self, team: str, tokens: int, received, only_homes: bool
    ) -> tasks.Task:
        loan = lending.BorrowResult()
        loan.includes_all_homes = not only_homes
        homes = {home.name for home in self._world.homes(self._name).of(team)}
        for name, node in self._world.node_by_name.items():
            if name == self._name or node is None:
                continue
            if only_homes and name not in homes:
                continue
            loan.request_count += 1
            if self._world.are_peers_cut:
                continue
            lent = yield node.keeper.lend(team, tokens - loan.tokens)
            if self._world.are_loans_lost:
                continue
            if not loan.response_count:
                loan.is_exhausted = node.keeper.is_exhausted(team)
                loan.may_draw = node.keeper.can_draw_for_peers(team)
            loan.response_count += 1
            loan.tokens += lent
            received(lent)
        return loan


class Node:
    """One running instance."""

    def __init__(self, world: RightsWorld, name: str, incarnation: int) -> None:
        log = event_log.EventLog(world.loop.clock)
        self.contact = dependency_monitor.DependencyMonitor("store", log=log)
        self.keeper = manager_lib.RightsManager(
            world.loop,
            world.store,
            LocalLenders(world, name),
            instance_address=f"{name}@10.0.0.1",
            incarnation=str(incarnation),
            prepaid_of=lambda team: world.prepaid if team == TEAM else None,
            homes=world.homes(name),
            contact=self.contact,
            log=log,
        )
        self.open: dict[str, int] = {}


class RightsWorld:
    """Store, instances and the oracle.

    Args:
        names: Names of the instances.
        prepaid: Tokens of the one team.

    Attributes:
        used: Tokens that were used, open requests at their most.
        are_peers_cut: Whether instances can't reach each other.
        are_loans_lost: Whether the answers of lenders are lost.
    """

    def __init__(self, names=("a", "b", "c"), *, prepaid: int = 1_000) -> None:
        self.loop = virtual_loop.VirtualLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self.prepaid = prepaid
        self.used = 0
        self.are_peers_cut = False
        self.are_loans_lost = False
        self._numbers = itertools.count()
        self.node_by_name: dict[str, Node | None] = dict.fromkeys(names)
        for name in names:
            self.start(name)

    def homes(self, name: str) -> homes_lib.HomeSelector:
        """Returns the homes as an instance sees them: two share a zone."""
        peers = {
            other: peers_lib.Peer(
                name=other,
                incarnation="1",
                host="10.0.0.1",
                port=1,
                availability_zone="z1" if other in ("a", "b") else "z2",
            )
            for other in self.node_by_name
        }
        others = [peer for other, peer in peers.items() if other != name]
        return homes_lib.HomeSelector(
            peers[name], peers=lambda: others, team_count=lambda: 1
        )

    def start(self, name: str) -> None:
        """Starts an instance that does not run."""
        node = Node(self, name, next(self._numbers))
        self.node_by_name[name] = node
        self.note_store()
        node.keeper.refresh_teams([TEAM])

    def kill(self, name: str) -> None:
        """Kills an instance; its open requests count at their most."""
        self.node_by_name[name] = None

    def note_store(self) -> None:
        """Lets every instance notice whether the store answers."""
        is_lost = self.store.fault in (
            memory_store.Fault.SILENT,
            memory_store.Fault.BUSY,
        )
        for node in self.node_by_name.values():
            if node is None:
                continue
            if is_lost:
                node.contact.record_failure(
                    now_ms=self.loop.now_ms(), reason="test"
                )
            else:
                node.contact.record_success(now_ms=self.loop.now_ms())

    def advance(self, delta_ms: int) -> None:
        """Moves the time on."""
        self.note_store()
        for _ in range(delta_ms // 500):
            for node in self.node_by_name.values():
                if node is not None:
                    node.keeper.tick()
            self.loop.advance(500)

    def request(
        self, name: str, tokens: int
    ) -> manager_lib.ReservationOutcome | None:
        """Asks for rights; returns how it ended, None if it has not yet."""
        node = self.node_by_name[name]
        request_id = f"r{next(self._numbers)}"
        outcome = node.keeper.reserve(TEAM, request_id, tokens)
        if not isinstance(outcome, futures.Future):
            self._admitted(node, request_id, tokens, outcome)
            return outcome
        outcome.add_done_callback(
            lambda done: self._admitted(node, request_id, tokens, done.result())
        )
        self.loop.advance(100)
        return outcome.result() if outcome.done() else None

    def _admitted(self, node, request_id, tokens, outcome) -> None:
        if outcome is manager_lib.ReservationOutcome.RESERVED:
            self.used += tokens
            node.open[request_id] = tokens

    def settle(self, name: str, *, spent_share: float = 0.5) -> None:
        """Ends the oldest open request of an instance."""
        node = self.node_by_name[name]
        if node.open:
            request_id = next(iter(node.open))
            bound = node.open.pop(request_id)
            spent = round(bound * spent_share)
            self.used -= bound - spent
            node.keeper.settle(TEAM, request_id, spent)

    def stop(self, name: str) -> None:
        """Stops an instance as planned, once its requests have ended."""
        while self.node_by_name[name].open:
            self.settle(name)
        node = self.node_by_name[name]
        node.keeper.return_unused()
        self.loop.advance(2_000)
        self.node_by_name[name] = None

    def check(self) -> None:
        """Checks the promise: what is used never passes what was prepaid."""
        assert self.used <= self.prepaid, f"{self.used} of {self.prepaid}"

    def __repr__(self) -> str:
        return f"RightsWorld(used={self.used}, prepaid={self.prepaid})"
