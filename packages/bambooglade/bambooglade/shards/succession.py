"""Who serves a place next: a proposal that the document then arbitrates."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.shards import assignments

COPYLESS_START_DELAY_MS = 5_000
"""How long both copies have to be suspected before a start without a copy.

A start without a copy strands the zone's rights, so it waits for a primary that
is only slow; a promotion of the named backup does not.
"""


class Step(enum.Enum):
    """What an instance that is not the primary does about a place."""

    ASSUME = "assume"
    PROMOTE = "promote"
    REDIRECT = "redirect"
    WAIT = "wait"


class Proposal(NamedTuple):
    """The next step, and whom to ask instead when it is a redirect."""

    step: Step
    primary: identifiers.InstanceId | None = None


def propose(
    zone_shard: assignments.ZoneShard,
    current: assignments.Assignment | None,
    *,
    instance_id: identifiers.InstanceId,
    copy_epoch: identifiers.Epoch,
    fleet: view.FleetView,
    suspected_for_ms: int,
) -> Proposal:
    """Proposes the next step of an instance for a place it does not serve.

    Args:
        zone_shard: The shard and zone.
        current: The assignment in the document; None if never served.
        instance_id: The instance that asks.
        copy_epoch: Epoch of which it holds a full copy; 0 for none.
        fleet: Whom it believes to be alive.
        suspected_for_ms: How long it has suspected the whole pair.
    """
    order = zone_shard.ranked(fleet.live_in_zone(zone_shard.availability_zone))
    first = order[0] if order else instance_id
    if current is None:
        return _assume_if_first(instance_id, first)
    if not fleet.is_suspected(current.primary):
        return Proposal(Step.REDIRECT, current.primary)
    if current.backup == instance_id and copy_epoch == current.epoch:
        return Proposal(Step.PROMOTE)
    if current.backup is not None and not fleet.is_suspected(current.backup):
        return Proposal(Step.REDIRECT, current.backup)
    if suspected_for_ms < COPYLESS_START_DELAY_MS:
        return Proposal(Step.WAIT)
    return _assume_if_first(instance_id, first)


def _assume_if_first(
    instance_id: identifiers.InstanceId, first: identifiers.InstanceId
) -> Proposal:
    if first == instance_id:
        return Proposal(Step.ASSUME)
    return Proposal(Step.REDIRECT, first)
