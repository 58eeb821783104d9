"""The steps of a planned stop of this process."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.fleet import drain
from bambooglade.fleet import membership as memberships
from bambooglade.router import assembly

NOTICE_SHARE = 0.1
"""Share of the bound that the balancer gets to notice that it is not ready."""

HAND_OVER_SHARE = 0.15
SETTLE_SHARE = 0.15
LEAVE_MS = 50


def steps_of(
    parts: assembly.Parts,
    membership: memberships.Membership,
    *,
    bound_ms: int,
) -> Iterator[drain.Step]:
    """Yields the steps in their order.

    Args:
        parts: The decisions of the instance.
        membership: Tells the others that it leaves.
        bound_ms: How long the stop may take in all.

    See Also:
        bambooglade.fleet.drain.Drain: runs the steps.
    """
    notice_ms = int(bound_ms * NOTICE_SHARE)
    yield drain.Step(
        stage=drain.Stage.NOT_READY,
        reserved_ms=notice_ms,
        min_ms=notice_ms,
        begin=membership.start_leaving,
    )
    yield drain.Step(
        stage=drain.Stage.FINISH_STREAMS,
        reserved_ms=0,
        remaining=parts.coordinator.active_call_count,
    )
    yield drain.Step(
        stage=drain.Stage.SETTLE,
        reserved_ms=int(bound_ms * SETTLE_SHARE),
        remaining=parts.coordinator.pending_settlement_count,
    )
    yield drain.Step(
        stage=drain.Stage.HAND_OVER,
        reserved_ms=int(bound_ms * HAND_OVER_SHARE),
        begin=parts.host.begin_drain,
        remaining=lambda: int(not parts.host.is_drained),
    )
    yield drain.Step(
        stage=drain.Stage.LEAVE,
        reserved_ms=LEAVE_MS,
        min_ms=LEAVE_MS,
        begin=membership.leave,
    )
