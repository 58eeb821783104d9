"""The steps of a planned stop of a router process."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.fleet import drain
from bambooglade.fleet import membership as memberships
from bambooglade.router import assembly

NOT_READY_SHARE = 0.1
"""Share of the time that the load balancer has to detect that the instance is
not ready."""

HAND_OVER_SHARE = 0.15
SETTLE_SHARE = 0.15
LEAVE_MS = 50


def build_steps(
    components: assembly.InstanceComponents,
    membership: memberships.Membership,
    *,
    bound_ms: int,
) -> Iterator[drain.Step]:
    """Yields the steps in the order in which they run.

    Args:
        components: Components of the instance.
        membership: Announces to the other instances that this one leaves.
        bound_ms: Maximum duration of the whole stop, in milliseconds.

    See Also:
        bambooglade.fleet.drain.Drain: runs the steps.
    """
    notice_ms = int(bound_ms * NOT_READY_SHARE)
    yield drain.Step(
        stage=drain.Stage.NOT_READY,
        reserved_ms=notice_ms,
        min_ms=notice_ms,
        begin=membership.start_leaving,
    )
    yield drain.Step(
        stage=drain.Stage.FINISH_STREAMS,
        reserved_ms=0,
        remaining=components.coordinator.active_call_count,
    )
    yield drain.Step(
        stage=drain.Stage.SETTLE,
        reserved_ms=int(bound_ms * SETTLE_SHARE),
        remaining=components.coordinator.pending_settlement_count,
    )
    yield drain.Step(
        stage=drain.Stage.HAND_OVER,
        reserved_ms=int(bound_ms * HAND_OVER_SHARE),
        begin=components.host.begin_drain,
        remaining=lambda: int(not components.host.is_drained),
    )
    yield drain.Step(
        stage=drain.Stage.LEAVE,
        reserved_ms=LEAVE_MS,
        min_ms=LEAVE_MS,
        begin=membership.leave,
    )
