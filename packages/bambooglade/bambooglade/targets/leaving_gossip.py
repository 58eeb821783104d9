"""Gossip about leaving targets between instances."""

from __future__ import annotations

from collections.abc import Iterator
import random

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.targets import leaving

FANOUT = 2
PERIOD_MS = 500
"""Interval between two rounds of gossip.

A notice reaches all instances of a zone of 60 in about log(60)/log(3) = 4
rounds. Of the 3 s within which all must stop using the target, this leaves one
second for the poll that detects it.
"""

MAX_NOTICES_PER_MESSAGE = 64
ROUNDS_PER_NOTICE = 8
"""Number of rounds in which an instance sends a notice; bounds the traffic."""


class TargetsLeaving(effects.Message, frozen=True, kw_only=True):
    """Notices of leaving targets.

    Attributes:
        signs: The notices.
    """

    signs: tuple[leaving.LeavingNotice, ...]


class LeavingGossip:
    """Component that sends notices of leaving targets to random peers.

    Args:
        instance_id: Id of this instance.
        availability_zones: Zones of the peers; the zone of this instance first.
        fleet: View of the instances of the fleet.
        registry: The leaving targets; shared with the routing policy.
        seed: Seed of the random choice of peers.

    Examples:
        >>> zone = identifiers.AvailabilityZone("z")
        >>> gossip = LeavingGossip(instance_id="i1", availability_zones=(zone,),
        ...     fleet=view.FixedFleet({"i1": zone, "i2": zone}),
        ...     registry=leaving.LeavingTargets(), seed=0)
        >>> list(gossip.tick(0))
        []
    """

    message_types = (TargetsLeaving,)
    document_prefixes: tuple[str, ...] = ()

    __slots__ = (
        "_availability_zones",
        "_fleet",
        "_instance_id",
        "_next_round_ms",
        "_random",
        "_registry",
        "_rounds_by_target",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zones: tuple[identifiers.AvailabilityZone, ...],
        fleet: view.FleetView,
        registry: leaving.LeavingTargets,
        seed: int,
    ) -> None:
        self._instance_id = instance_id
        self._availability_zones = availability_zones
        self._fleet = fleet
        self._registry = registry
        self._random = random.Random(seed)
        self._next_round_ms = 0
        self._rounds_by_target: dict[tuple[str, str], int] = {}

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Records the notices of another instance."""
        del sender
        if isinstance(message, TargetsLeaving):
            for notice in message.signs:
                self._registry.record(notice, leaving.Source.GOSSIP, now_ms)
        yield from ()

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Does nothing; this component reads no documents."""
        del answer, now_ms
        yield from ()

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Sends notices to `FANOUT` peers once per `PERIOD_MS`.

        Each notice is sent in at most `ROUNDS_PER_NOTICE` rounds.
        """
        if now_ms < self._next_round_ms:
            return
        self._next_round_ms = now_ms + PERIOD_MS
        notices = tuple(self._notices_to_send(now_ms))
        if not notices:
            return
        message = TargetsLeaving(signs=notices)
        for peer in self._peers():
            yield effects.Send(recipient=peer, message=message)

    def _notices_to_send(self, now_ms: int) -> Iterator[leaving.LeavingNotice]:
        keys = set()
        count = 0
        for notice in self._registry.active_notices(now_ms):
            key = (notice.target_id, notice.url)
            keys.add(key)
            rounds = self._rounds_by_target.get(key, 0)
            if rounds < ROUNDS_PER_NOTICE and count < MAX_NOTICES_PER_MESSAGE:
                self._rounds_by_target[key] = rounds + 1
                count += 1
                yield notice
        for key in self._rounds_by_target.keys() - keys:
            del self._rounds_by_target[key]

    def _peers(self) -> list[identifiers.InstanceId]:
        peers = [
            instance_id
            for zone in self._availability_zones
            for instance_id in self._fleet.live_in_zone(zone)
            if instance_id != self._instance_id
        ]
        return self._random.sample(peers, min(FANOUT, len(peers)))

    def __repr__(self) -> str:
        return f"LeavingGossip({self._registry!r})"
