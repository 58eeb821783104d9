"""Passes signs of leaving targets on to other instances."""

from __future__ import annotations

from collections.abc import Iterator
import random

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.targets import leaving

FANOUT = 2
PERIOD_MS = 500
"""Pause between two rounds of gossip.

A sign crosses a zone of 60 instances in about log(60)/log(3) = 4 rounds, which
leaves a second of the 3 s for the poll that found it.
"""

MAX_NOTICES_PER_MESSAGE = 64
ROUNDS_PER_NOTICE = 8
"""How often one instance repeats a sign; it keeps the traffic constant."""


class TargetsLeaving(effects.Message, frozen=True, kw_only=True):
    """The targets that the sender knows to be leaving."""

    signs: tuple[leaving.LeavingNotice, ...]


class LeavingGossip:
    """Component that spreads the signs within the fleet.

    Args:
        instance_id: The own instance.
        availability_zones: Zones to spread to; the own one first.
        fleet: The instances, as far as known.
        registry: The signs; shared with the routing.
        seed: Seed of the choice of peers.

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
        "_next_ms",
        "_random",
        "_registry",
        "_rounds_by_place",
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
        self._next_ms = 0
        self._rounds_by_place: dict[tuple[str, str], int] = {}

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Takes the signs of another instance."""
        del sender
        if isinstance(message, TargetsLeaving):
            for sign in message.signs:
                self._registry.record(sign, leaving.Source.GOSSIP, now_ms)
        yield from ()

    def document_answered(
        self, answer: effects.DocumentAnswer, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Does nothing: no document is read here."""
        del answer, now_ms
        yield from ()

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Sends fresh signs to a few peers, each sign for a few rounds."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + PERIOD_MS
        signs = tuple(self._fresh(now_ms))
        if not signs:
            return
        message = TargetsLeaving(signs=signs)
        for peer in self._peers():
            yield effects.Send(recipient=peer, message=message)

    def _fresh(self, now_ms: int) -> Iterator[leaving.LeavingNotice]:
        places = set()
        count = 0
        for sign in self._registry.active_notices(now_ms):
            place = (sign.target_id, sign.url)
            places.add(place)
            rounds = self._rounds_by_place.get(place, 0)
            if rounds < ROUNDS_PER_NOTICE and count < MAX_NOTICES_PER_MESSAGE:
                self._rounds_by_place[place] = rounds + 1
                count += 1
                yield sign
        for place in self._rounds_by_place.keys() - places:
            del self._rounds_by_place[place]

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
