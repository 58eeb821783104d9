"""Simulated fleet that shares one budget, on virtual time, with an oracle.

The oracle counts token usage independently of all accounts. An admitted
request counts with its whole bound until it is settled.
"""

from __future__ import annotations

from concurrent import futures
import itertools

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import ledger_copies
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib
from bambooglade.store import dependency_monitor
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import virtual_loop

TEAM = "artists"


class InProcessLendingClient:
    """Lending client that calls other instances directly, with faults.

    Args:
        fleet: The fleet that contains the lenders.
        name: Name of the borrowing instance.
    """

    def __init__(self, fleet: SimulatedRightsFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def borrow(
        self,
        team: str,
        tokens: int,
        received,
        *,
        only_homes: bool = False,
        ahead_tokens: int = 0,
    ) -> futures.Future:
        """Requests a loan from peers, as `LendingClient` does."""
        return tasks.spawn(
            self._borrow(team, tokens, received, only_homes, ahead_tokens)
        )

    def repayment_home(self, team: str) -> peers_lib.Peer | None:
        """Returns the home that receives repayments, as `LendingClient` does.

        None if that home is this instance or is not running.
        """
        home = self._fleet.homes(self._name).of(team)[0]
        is_running = self._fleet.instance_by_name[home.name] is not None
        return home if home.name != self._name and is_running else None

    def successor(self, team: str) -> peers_lib.Peer | None:
        """Returns the home that receives the rights of a stopping instance."""
        for home in self._fleet.homes(self._name).of(team):
            is_running = self._fleet.instance_by_name[home.name] is not None
            if home.name != self._name and is_running:
                return home
        return None

    def repay(self, home: peers_lib.Peer, tokens_by_team) -> None:
        """Repays rights; the message is lost while peers are partitioned."""
        instance = self._fleet.instance_by_name[home.name]
        if not self._fleet.are_peers_partitioned:
            instance.rights_manager.apply_repayment(tokens_by_team)

    def _borrow(
        self,
        team: str,
        tokens: int,
        received,
        only_homes: bool,
        ahead_tokens: int,
    ) -> tasks.Task:
        loan = lending.BorrowResult()
        loan.includes_all_homes = not only_homes
        homes = {home.name for home in self._fleet.homes(self._name).of(team)}
        for name, instance in self._fleet.instance_by_name.items():
            if name == self._name or instance is None:
                continue
            if only_homes and name not in homes:
                continue
            loan.request_count += 1
            if self._fleet.are_peers_partitioned:
                continue
            lent = yield instance.rights_manager.lend(
                team, tokens - loan.tokens, ahead_tokens=ahead_tokens
            )
            if self._fleet.are_loan_responses_lost:
                continue
            if not loan.response_count:
                loan.is_exhausted = instance.rights_manager.is_exhausted(team)
                loan.may_draw = instance.rights_manager.can_draw_for_peers(team)
            loan.response_count += 1
            loan.tokens += lent
            received(lent)
        return loan


class SimulatedInstance:
    """One running instance with its rights manager and open requests."""

    def __init__(
        self, fleet: SimulatedRightsFleet, name: str, incarnation: int
    ) -> None:
        log = event_log.EventLog(fleet.loop.clock)
        self.store_monitor = dependency_monitor.DependencyMonitor(
            "store", log=log
        )
        self.store = memory_store.StoreClient(fleet.store, log)
        self.rights_manager = manager_lib.RightsManager(
            fleet.loop,
            self.store,
            InProcessLendingClient(fleet, name),
            instance_address=f"{name}@10.0.0.1",
            incarnation=str(incarnation),
            prepaid_of=lambda team: (
                fleet.prepaid_tokens if team == TEAM else None
            ),
            homes=fleet.homes(name),
            contact=self.store_monitor,
            copy_ledgers=lambda copies: fleet.copy_ledgers(name, copies),
            log=log,
        )
        self.open_requests: dict[str, int] = {}


class SimulatedRightsFleet:
    """Store, instances and the usage oracle.

    Args:
        names: Names of the instances.
        prepaid_tokens: Prepaid tokens of the only team.

    Attributes:
        used_tokens: Tokens used; open requests count with their whole bound.
        are_peers_partitioned: Whether instances cannot reach each other.
        are_loan_responses_lost: Whether the responses of lenders are lost.
    """

    def __init__(
        self, names=("a", "b", "c"), *, prepaid_tokens: int = 1_000
    ) -> None:
        self.loop = virtual_loop.VirtualLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self.prepaid_tokens = prepaid_tokens
        self.used_tokens = 0
        self.are_peers_partitioned = False
        self.are_loan_responses_lost = False
        self._sequence = itertools.count()
        self.instance_by_name: dict[str, SimulatedInstance | None] = (
            dict.fromkeys(names)
        )
        for name in names:
            self.start(name)

    def homes(self, name: str) -> homes_lib.HomeSelector:
        """Returns the homes for an instance; `a` and `b` share a zone."""
        peers = {
            other: peers_lib.Peer(
                name=other,
                incarnation="1",
                host="10.0.0.1",
                port=1,
                availability_zone="z1" if other in ("a", "b") else "z2",
            )
            for other in self.instance_by_name
        }
        others = [peer for other, peer in peers.items() if other != name]
        return homes_lib.HomeSelector(
            peers[name], peers=lambda: others, team_count=lambda: 1
        )

    def copy_ledgers(self, name: str, copies) -> None:
        """Sends ledgers that an instance wrote to others, as `LedgerCopier`."""
        if self.are_peers_partitioned:
            return
        others = [
            instance
            for other, instance in self.instance_by_name.items()
            if other != name and instance is not None
        ]
        for instance in others[: ledger_copies.COPIES]:
            instance.rights_manager.record_ledger_copies(copies)

    def start(self, name: str) -> None:
        """Starts an instance, replacing any earlier one of the same name."""
        instance = SimulatedInstance(self, name, next(self._sequence))
        self.instance_by_name[name] = instance
        self.update_store_monitors()
        instance.rights_manager.refresh_teams([TEAM])

    def kill(self, name: str) -> None:
        """Kills an instance; its open requests count with their whole bound."""
        self.instance_by_name[name] = None

    def update_store_monitors(self) -> None:
        """Reports to every instance whether the store is available.

        Other components call the store, and notice its era with the outage.
        """
        is_unavailable = self.store.fault in (
            memory_store.Fault.UNRESPONSIVE,
            memory_store.Fault.BUSY,
        )
        for instance in self.instance_by_name.values():
            if instance is None:
                continue
            if is_unavailable:
                instance.store_monitor.record_failure(
                    now_ms=self.loop.now_ms(), reason="test"
                )
            else:
                instance.store_monitor.record_success(now_ms=self.loop.now_ms())
                instance.store.era.observe(
                    self.store.era_number, source="store"
                )

    def advance(self, delta_ms: int) -> None:
        """Advances virtual time, running every manager each 500 ms."""
        self.update_store_monitors()
        for _ in range(delta_ms // 500):
            for instance in self.instance_by_name.values():
                if instance is not None:
                    instance.rights_manager.tick()
            self.loop.advance(500)

    def request(
        self, name: str, tokens: int
    ) -> manager_lib.ReservationOutcome | None:
        """Reserves rights; returns the outcome, or None if still pending."""
        instance = self.instance_by_name[name]
        request_id = f"r{next(self._sequence)}"
        outcome = instance.rights_manager.reserve(TEAM, request_id, tokens)
        if not isinstance(outcome, futures.Future):
            self._record_outcome(instance, request_id, tokens, outcome)
            return outcome
        outcome.add_done_callback(
            lambda done: self._record_outcome(
                instance, request_id, tokens, done.result()
            )
        )
        self.loop.advance(100)
        return outcome.result() if outcome.done() else None

    def _record_outcome(self, instance, request_id, tokens, outcome) -> None:
        if outcome is manager_lib.ReservationOutcome.RESERVED:
            self.used_tokens += tokens
            instance.open_requests[request_id] = tokens

    def settle(self, name: str, *, spent_share: float = 0.5) -> None:
        """Settles the oldest open request of an instance, if there is one."""
        instance = self.instance_by_name[name]
        if instance.open_requests:
            request_id = next(iter(instance.open_requests))
            bound = instance.open_requests.pop(request_id)
            spent = round(bound * spent_share)
            self.used_tokens -= bound - spent
            instance.rights_manager.settle(TEAM, request_id, spent)

    def stop(self, name: str) -> None:
        """Settles all requests of an instance and shuts it down gracefully."""
        while self.instance_by_name[name].open_requests:
            self.settle(name)
        instance = self.instance_by_name[name]
        instance.rights_manager.return_unused()
        self.loop.advance(2_000)
        self.instance_by_name[name] = None

    def assert_not_overspent(self) -> None:
        """Asserts that no more tokens were used than were prepaid."""
        assert self.used_tokens <= self.prepaid_tokens, (
            f"used {self.used_tokens} tokens of {self.prepaid_tokens} prepaid"
        )

    def __repr__(self) -> str:
        return (
            f"SimulatedRightsFleet(used={self.used_tokens}, "
            f"prepaid={self.prepaid_tokens})"
        )
