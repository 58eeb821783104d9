"""Orders to engines: desired state, fencing, and read-back.

The primary of the shard that a target's name hashes to gives the orders, and
its epoch is their fencing number. An engine that checks fencing numbers refuses
an older epoch by itself. One that does not is read back after each order, after
each change of owner and periodically, and corrected by whoever owns it then.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

import msgspec

from bambooglade.core import identifiers
from bambooglade.table import rows

RETRY_MS = 1_000
READ_BACK_MS = 2_000
"""Pause before an order is read back.

An owner that was paused may send an old order that arrives after the new one.
"""

CHECK_PERIOD_MS = 10_000


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """What is loaded on an engine, and by the order of which epoch."""

    epoch: int
    model: str
    adapter: str | None = None
    version: str = "1"
    role: str = "mixed"


class PlaceOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Sends an order to a target."""

    target_id: identifiers.TargetId
    order: EngineState


class ReadState(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a target for its state."""

    target_id: identifiers.TargetId


class OrderReconciler:
    """Keeps the targets that this instance owns in the desired state.

    Examples:
        >>> keeper = OrderReconciler()
        >>> keeper.set_desired(rows.OrderRow(target_id="e1", model="m"),
        ...     epoch=identifiers.Epoch(3), checks_fencing=True)
        >>> [type(step).__name__ for step in keeper.tick(0)]
        ['PlaceOrder']
        >>> keeper.record_state("e1", EngineState(epoch=3, model="m"), 5)
        >>> list(keeper.tick(10))
        []
    """

    __slots__ = ("_by_target",)

    def __init__(self) -> None:
        self._by_target: dict[identifiers.TargetId, _Desired] = {}

    def set_desired(
        self,
        row: rows.OrderRow,
        *,
        epoch: identifiers.Epoch,
        checks_fencing: bool,
    ) -> None:
        """Sets the desired state of a target that this instance owns."""
        target_id = identifiers.TargetId(row.target_id)
        order = EngineState(
            epoch=epoch,
            model=row.model,
            adapter=row.adapter,
            version=row.version,
            role=row.role,
        )
        known = self._by_target.get(target_id)
        if known is None or known.order != order:
            self._by_target[target_id] = _Desired(order, checks_fencing)

    def release(self, target_id: identifiers.TargetId) -> None:
        """Stops giving orders: another instance owns the target now."""
        self._by_target.pop(target_id, None)

    def owned_targets(self) -> tuple[identifiers.TargetId, ...]:
        """Returns the targets that this instance gives orders to."""
        return tuple(sorted(self._by_target))

    def record_state(
        self,
        target_id: identifiers.TargetId,
        state: EngineState,
        now_ms: int,
    ) -> None:
        """Takes the state that a target answered with."""
        desired = self._by_target.get(target_id)
        if desired is None:
            return
        if state.epoch > desired.order.epoch:
            desired.fenced = True
            return
        desired.is_met = state == desired.order
        if desired.is_met:
            needs_second_look = not (
                desired.checks_fencing or desired.read_back
            )
            desired.read_back = True
            pause_ms = READ_BACK_MS if needs_second_look else CHECK_PERIOD_MS
            desired.next_ms = now_ms + pause_ms
        else:
            desired.read_back = False
            desired.next_ms = now_ms

    def is_fenced(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether a newer owner has given the target orders."""
        desired = self._by_target.get(target_id)
        return desired is not None and desired.fenced

    def tick(self, now_ms: int) -> Iterator[PlaceOrder | ReadState]:
        """Yields what is due; unanswered steps are repeated."""
        for target_id, desired in sorted(self._by_target.items()):
            if desired.fenced or now_ms < desired.next_ms:
                continue
            desired.next_ms = now_ms + RETRY_MS
            if desired.is_met:
                yield ReadState(target_id=target_id)
            else:
                yield PlaceOrder(target_id=target_id, order=desired.order)

    def __repr__(self) -> str:
        return f"OrderReconciler(owned={len(self._by_target)})"


@dataclasses.dataclass(slots=True)
class _Desired:
    order: EngineState
    checks_fencing: bool
    is_met: bool = False
    read_back: bool = False
    fenced: bool = False
    next_ms: int = 0
