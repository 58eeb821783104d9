"""Orders to engines: desired state, fencing, and read-back.

An order sets the model that an engine serves. The owner of a target, which is
the primary of the shard that the target's name hashes to, sends the orders. The
epoch of the shard is the fencing number of the order. Engines that check
fencing numbers reject orders of an older epoch. The state of other engines is
read back after each order, after each change of owner and periodically, and
the current owner corrects it if it differs.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

import msgspec

from bambooglade.core import identifiers
from bambooglade.table import rows

RETRY_MS = 1_000
READ_BACK_MS = 2_000
"""Delay before an order is read back.

An order of a former owner whose process was paused can arrive after the order
of the new owner.
"""

CHECK_PERIOD_MS = 10_000


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """State of an engine: what is loaded, and the epoch of the order for it."""

    epoch: int
    model: str
    adapter: str | None = None
    version: str = "1"
    role: str = "mixed"


class PlaceOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Step: send an order to a target."""

    target_id: identifiers.TargetId
    order: EngineState


class ReadState(msgspec.Struct, frozen=True, kw_only=True):
    """Step: read the current state of a target."""

    target_id: identifiers.TargetId


class OrderReconciler:
    """Reconciles the targets that this instance owns with the desired state.

    Examples:
        >>> reconciler = OrderReconciler()
        >>> reconciler.set_desired(rows.OrderRow(target_id="e1", model="m"),
        ...     epoch=identifiers.Epoch(3), checks_fencing=True)
        >>> [type(step).__name__ for step in reconciler.tick(0)]
        ['PlaceOrder']
        >>> reconciler.record_state("e1", EngineState(epoch=3, model="m"), 5)
        >>> list(reconciler.tick(10))
        []
    """

    __slots__ = ("_by_target",)

    def __init__(self) -> None:
        self._by_target: dict[identifiers.TargetId, _TargetState] = {}

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
            self._by_target[target_id] = _TargetState(order, checks_fencing)

    def release(self, target_id: identifiers.TargetId) -> None:
        """Stops sending orders to a target that another instance now owns."""
        self._by_target.pop(target_id, None)

    def owned_targets(self) -> tuple[identifiers.TargetId, ...]:
        """Returns the targets that this instance sends orders to, sorted."""
        return tuple(sorted(self._by_target))

    def record_state(
        self,
        target_id: identifiers.TargetId,
        state: EngineState,
        now_ms: int,
    ) -> None:
        """Records the state that a target responded with."""
        desired = self._by_target.get(target_id)
        if desired is None:
            return
        if state.epoch > desired.order.epoch:
            desired.is_fenced = True
            return
        desired.is_met = state == desired.order
        if desired.is_met:
            needs_read_back = not (
                desired.checks_fencing or desired.was_read_back
            )
            desired.was_read_back = True
            pause_ms = READ_BACK_MS if needs_read_back else CHECK_PERIOD_MS
            desired.next_step_ms = now_ms + pause_ms
        else:
            desired.was_read_back = False
            desired.next_step_ms = now_ms

    def is_fenced(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether the target has an order of a newer owner."""
        desired = self._by_target.get(target_id)
        return desired is not None and desired.is_fenced

    def tick(self, now_ms: int) -> Iterator[PlaceOrder | ReadState]:
        """Yields the steps that are due; retries those without a response."""
        for target_id, desired in sorted(self._by_target.items()):
            if desired.is_fenced or now_ms < desired.next_step_ms:
                continue
            desired.next_step_ms = now_ms + RETRY_MS
            if desired.is_met:
                yield ReadState(target_id=target_id)
            else:
                yield PlaceOrder(target_id=target_id, order=desired.order)

    def __repr__(self) -> str:
        return f"OrderReconciler(owned={len(self._by_target)})"


@dataclasses.dataclass(slots=True)
class _TargetState:
    order: EngineState
    checks_fencing: bool
    is_met: bool = False
    was_read_back: bool = False
    is_fenced: bool = False
    next_step_ms: int = 0
