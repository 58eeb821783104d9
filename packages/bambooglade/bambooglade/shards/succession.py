"""Proposal of the next primary of a shard; the document decides."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.shards import assignments

COPYLESS_START_DELAY_MS = 5_000
"""Time for which the copies must be suspected before a start without one.

A start without a copy strands the zone's rights, so it first waits for a
primary that may only be slow. The promotion of the backup does not wait.
"""


class Step(enum.Enum):
    """Next step of an instance that is not the primary of a shard."""

    ASSUME = "assume"
    PROMOTE = "promote"
    REDIRECT = "redirect"
    WAIT = "wait"


class Proposal(NamedTuple):
    """The next step, and the instance to redirect to."""

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
    """Proposes the next step of an instance that does not serve a shard.

    Args:
        zone_shard: The shard and zone.
        current: The assignment in the document; None if never served.
        instance_id: The instance that proposes.
        copy_epoch: Epoch of its full copy; 0 if it has none.
        fleet: Liveness of the instances as seen by this one.
        suspected_for_ms: How long the primary has been suspected.
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
