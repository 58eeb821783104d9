"""Simulated fleet that spends the budgets of many teams, on virtual time.

It has homes, loans between instances and copies of ledgers as in operation, and
counts the calls to the store and the messages between instances. The load is
spread over all instances; few teams cause most of it.
"""

from __future__ import annotations

import collections
from concurrent import futures
import random

import msgspec

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import registration as registration_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import tasks
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import ledger_copies
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib
from bambooglade.store import dependency_monitor
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import store_call_counts
from bambooglade_standins.users_platform import virtual_loop

ZONES = 4
TICK_INTERVAL_MS = 500
"""Interval of the maintenance of an instance."""

RUN_MS = 1_200
"""Time for which a request runs."""

ONE_WAY_LATENCY_MS = 1

_EXHAUSTED = manager_lib.ReservationOutcome.EXHAUSTED
_RESERVED = manager_lib.ReservationOutcome.RESERVED


class InProcessHttpClient:
    """HTTP client that calls other instances directly."""

    def __init__(self, fleet: SimulatedSpendingFleet) -> None:
        self._fleet = fleet

    def call(
        self, address, *, method: str, target: str, body: bytes, timeout_ms: int
    ) -> futures.Future:
        """Calls an instance, as `HttpClient` does."""
        del method
        fleet = self._fleet
        fleet.message_count_by_path[target] += 1
        response: futures.Future = futures.Future()
        fleet.loop.call_later(timeout_ms, tasks.complete, response, None)

        def deliver() -> None:
            instance = fleet.instance_by_address.get(address)
            if instance is not None and not fleet.are_peers_partitioned:
                instance.handle(target, body).add_done_callback(respond)

        def respond(done: futures.Future) -> None:
            fleet.loop.call_later(
                ONE_WAY_LATENCY_MS,
                tasks.complete,
                response,
                http_client.Response(200, done.result()),
            )

        fleet.loop.call_later(ONE_WAY_LATENCY_MS, deliver)
        return response


class SpendingInstance:
    """One instance: its rights, and its registration in the store."""

    def __init__(
        self, fleet: SimulatedSpendingFleet, peer: peers_lib.Peer
    ) -> None:
        self.peer = peer
        self.is_running = True
        self._fleet = fleet
        log = event_log.EventLog(fleet.loop.clock)
        random_source = random.Random(f"{fleet.seed} {peer.name}")
        self.store_monitor = dependency_monitor.DependencyMonitor(
            "store", log=log
        )
        self.store = store_call_counts.CountingStore(
            memory_store.StoreClient(fleet.store, log), fleet.counts
        )
        self.peers = peers_lib.PeerList(peer.name)
        self.registration = registration_lib.Registration(
            fleet.loop,
            self.store,
            local_instance=peer,
            peers=self.peers,
            contact=self.store_monitor,
            must_probe=lambda: False,
            random_source=random_source,
        )
        client = InProcessHttpClient(fleet)

        def recent_peers() -> list[peers_lib.Peer]:
            return self.peers.recent(now_ms=fleet.loop.now_ms())

        homes = homes_lib.HomeSelector(
            peer, peers=recent_peers, team_count=lambda: len(fleet.teams)
        )
        self.rights = manager_lib.RightsManager(
            fleet.loop,
            self.store,
            lending.LendingClient(
                fleet.loop,
                client,
                peers=recent_peers,
                homes=homes,
                local_instance=peer,
                random_source=random_source,
            ),
            instance_address=f"{peer.name}@{peer.host}",
            incarnation=peer.incarnation,
            prepaid_of=fleet.prepaid_by_team.get,
            homes=homes,
            contact=self.store_monitor,
            copy_ledgers=ledger_copies.LedgerCopier(
                client,
                peers=recent_peers,
                local_instance=peer,
                homes_of=homes.of,
            ).send,
            log=log,
        )
        self._has_drawn = False
        self.registration.start()
        delay_ms = random_source.random() * TICK_INTERVAL_MS
        fleet.loop.call_later(delay_ms, self._tick)

    def _tick(self) -> None:
        if not self.is_running:
            return
        self._fleet.loop.call_later(TICK_INTERVAL_MS, self._tick)
        if self.registration.has_initial_peers:
            if not self._has_drawn:
                self._has_drawn = True
                self.rights.refresh_teams(self._fleet.teams)
            self.rights.tick()

    def handle(self, path: str, body: bytes) -> futures.Future:
        """Returns a future with the body of the response to a peer."""
        if path == lending.LOAN_PATH:
            return tasks.spawn(self._lend(body))
        if path == lending.REPAYMENT_PATH:
            repayment = msgspec.json.decode(body, type=lending.Repayment)
            self.rights.apply_repayment(repayment.tokens_by_team)
        elif path == ledger_copies.PATH:
            message = msgspec.json.decode(
                body, type=ledger_copies.CopiesMessage
            )
            self.rights.record_ledger_copies(message.copies)
        done: futures.Future = futures.Future()
        done.set_result(b"{}")
        return done

    def _lend(self, body: bytes) -> tasks.Task:
        request = msgspec.json.decode(body, type=lending.LoanRequest)
        tokens = yield self.rights.lend(
            request.team, request.tokens, ahead_tokens=request.ahead_tokens
        )
        return msgspec.json.encode(
            lending.LoanResponse(
                tokens=tokens,
                available_tokens=self.rights.available_tokens(request.team),
                is_exhausted=self.rights.is_exhausted(request.team),
                may_draw=self.rights.can_draw_for_peers(request.team),
            )
        )


class SimulatedSpendingFleet:
    """Instances, their store and their callers.

    Args:
        size: Number of instances.
        teams: Number of teams.
        requests_per_s: Requests of each instance and second.
        prepaid_s: Seconds for which each budget lasts at that load.
        seed: Seed of the load and of the jitter in all intervals.

    Attributes:
        counts: Calls to the store.
        message_count_by_path: Messages between instances.
        used_tokens_by_team: Tokens used; open requests count with their bound.
        outcome_counts: Requests by outcome; `false_refusals` were refused
            although a tenth of the budget was not used.
        waits_ms: Time that each reserved request waited for its rights.
        are_peers_partitioned: Whether messages between instances are lost.
    """

    def __init__(
        self,
        size: int,
        *,
        teams: int = 24,
        requests_per_s: float = 4.7,
        prepaid_s: float = 100_000,
        seed: int = 0,
    ) -> None:
        self.seed = seed
        self.loop = virtual_loop.VirtualLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self.counts = store_call_counts.StoreCallCounts()
        self.message_count_by_path: collections.Counter[str] = (
            collections.Counter()
        )
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        self.waits_ms: list[int] = []
        self.are_peers_partitioned = False
        self.teams = [f"t{number:02}" for number in range(teams)]
        self._random = random.Random(seed)
        self._requests_per_s = requests_per_s
        # The first teams cause most of the load, as in operation.
        weights = [1 / (number + 3) for number in range(teams)]
        self._weight_by_team = {
            team: weight / sum(weights)
            for team, weight in zip(self.teams, weights, strict=True)
        }
        mean_tokens = 300
        self.prepaid_by_team = {
            team: round(
                weight * size * requests_per_s * mean_tokens * prepaid_s
            )
            for team, weight in self._weight_by_team.items()
        }
        self.used_tokens_by_team: collections.Counter[str] = (
            collections.Counter()
        )
        self._request_count = 0
        self.instance_by_address: dict[tuple[str, int], SpendingInstance] = {}
        for number in range(size):
            self.start(number)
        self.loop.advance(4_000)

    @property
    def instances(self) -> list[SpendingInstance]:
        """The running instances."""
        return list(self.instance_by_address.values())

    def start(self, number: int, *, incarnation: str = "1") -> None:
        """Starts an instance."""
        peer = peers_lib.Peer(
            name=f"i{number:03}",
            incarnation=incarnation,
            host="10.0.0.1",
            port=number + 1,
            availability_zone=f"z{number % ZONES}",
        )
        self.instance_by_address[peer.address] = SpendingInstance(self, peer)

    def kill(self, instance: SpendingInstance) -> None:
        """Kills an instance."""
        instance.is_running = False
        del self.instance_by_address[instance.peer.address]

    def run(self, duration_ms: int) -> None:
        """Serves requests for a time, and counts from its start."""
        self.counts.clear()
        self.message_count_by_path.clear()
        self.outcome_counts.clear()
        self.waits_ms.clear()
        end_ms = self.loop.now_ms() + duration_ms
        self._schedule_request(end_ms)
        self.loop.advance(duration_ms)
        self.assert_not_overspent()

    def top_up(self, team: str, tokens: int) -> None:
        """Raises a budget; all instances learn of it at once."""
        self.prepaid_by_team[team] += tokens
        for instance in self.instances:
            instance.rights.refresh_teams([team])

    def available_tokens(self, team: str) -> int:
        """Returns the rights that all instances hold for a team."""
        return sum(
            instance.rights.available_tokens(team)
            for instance in self.instances
        )

    def assert_not_overspent(self) -> None:
        """Asserts that no team used more tokens than it prepaid."""
        for team, prepaid in self.prepaid_by_team.items():
            assert self.used_tokens_by_team[team] <= prepaid, team

    def _schedule_request(self, end_ms: int) -> None:
        rate = len(self.instance_by_address) * self._requests_per_s / 1_000
        delay_ms = self._random.expovariate(rate)
        if self.loop.now_ms() + delay_ms < end_ms:
            self.loop.call_later(delay_ms, self._send_request, end_ms)

    def _send_request(self, end_ms: int) -> None:
        instances = self.instances
        (team,) = self._random.choices(
            self.teams, list(self._weight_by_team.values())
        )
        self.request(
            self._random.choice(instances),
            team,
            round(self._random.uniform(100, 700)),
        )
        self._schedule_request(end_ms)

    def request(
        self, instance: SpendingInstance, team: str, tokens: int
    ) -> futures.Future:
        """Sends a request; returns a future with the outcome."""
        began_at_ms = self.loop.now_ms()
        self._request_count += 1
        request_id = f"r{self._request_count}"
        finished: futures.Future = futures.Future()

        def finish(done: futures.Future) -> None:
            outcome = done.result()
            self.outcome_counts[outcome.value] += 1
            if outcome is _RESERVED:
                self.used_tokens_by_team[team] += tokens
                self.waits_ms.append(self.loop.now_ms() - began_at_ms)
                self.loop.call_later(
                    RUN_MS, self._settle, instance, team, request_id, tokens
                )
            elif (
                self.prepaid_by_team[team] - self.used_tokens_by_team[team]
                > self.prepaid_by_team[team] / 10
            ):
                self.outcome_counts["false_refusals"] += 1
            finished.set_result(outcome)

        reserved = instance.rights.reserve(team, request_id, tokens)
        if not isinstance(reserved, futures.Future):
            reserved, outcome = futures.Future(), reserved
            reserved.set_result(outcome)
        reserved.add_done_callback(finish)
        return finished

    def _settle(
        self,
        instance: SpendingInstance,
        team: str,
        request_id: str,
        tokens: int,
    ) -> None:
        if instance.is_running:
            spent_tokens = round(tokens * 0.75)
            instance.rights.settle(team, request_id, spent_tokens)
            self.used_tokens_by_team[team] -= tokens - spent_tokens

    def __repr__(self) -> str:
        return f"SimulatedSpendingFleet(size={len(self.instances)})"
