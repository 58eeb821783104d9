"""Sends the orders of the table to the targets that this instance owns.

The owner of a target is the primary of the shard that the target's name hashes
to, in the target's availability zone. The epoch of that assignment is the
fencing token.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from absl import logging
import msgspec
import result

from bambooglade.core import clock as clocks
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.core import json_documents
from bambooglade.shards import assignments
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import orders
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages

PERIOD_MS = 500
ORDERS_PATH = "/orders"
_TIMEOUT_MS = 1_000
_STATE_STATUSES = (200, 409)


class OrderWorker:
    """Executes the steps of `orders.OrderReconciler`.

    `run_once` must be called about every `PERIOD_MS`, from a single thread.

    Args:
        instance_id: Id of this instance.
        table: The rows in force.
        assignment_map: The newest known assignments of the shards.
        shard_count: Number of shards of the deployment.
        client: Sends the orders.
        clock: Source of the current time.
        on_unassigned: Called with the shard and zone of a target for which no
            primary is known.

    See Also:
        bambooglade.router.ticker.Ticker: calls `run_once`.
    """

    __slots__ = (
        "_assignment_map",
        "_client",
        "_clock",
        "_instance_id",
        "_on_unassigned",
        "_reconciler",
        "_shard_count",
        "_table",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        table: view.TableView,
        assignment_map: assignments.AssignmentMap,
        shard_count: int,
        client: client_lib.HttpClient,
        clock: clocks.Clock,
        on_unassigned: Callable[[assignments.ZoneShard], None],
    ) -> None:
        self._on_unassigned = on_unassigned
        self._instance_id = instance_id
        self._table = table
        self._assignment_map = assignment_map
        self._shard_count = shard_count
        self._client = client
        self._clock = clock
        self._reconciler = orders.OrderReconciler()

    def run_once(self) -> None:
        """Applies changes of rows and owners, and executes the due steps."""
        owned = set(self._apply_rows())
        for target_id in set(self._reconciler.owned_targets()) - owned:
            self._reconciler.release(target_id)
        for step in list(self._reconciler.tick(self._clock.now_ms())):
            self._execute(step)

    def _apply_rows(self) -> Iterator[identifiers.TargetId]:
        for row in self._table.of_type(rows.OrderRow):
            target = self._table.get(f"target/{row.target_id}")
            if not isinstance(target, rows.TargetRow):
                continue
            epoch = self._own_epoch(target)
            if epoch is None:
                continue
            self._reconciler.set_desired(
                row, epoch=epoch, checks_fencing=self._checks_fencing(target)
            )
            yield identifiers.TargetId(row.target_id)

    def _own_epoch(self, target: rows.TargetRow) -> identifiers.Epoch | None:
        place = assignments.ZoneShard(
            shard=hashing.shard_of(
                target.target_id, shard_count=self._shard_count
            ),
            availability_zone=identifiers.AvailabilityZone(
                target.availability_zone
            ),
        )
        assignment = self._assignment_map.get(place)
        if assignment is None:
            self._on_unassigned(place)
        if assignment is None or assignment.primary != self._instance_id:
            return None
        return assignment.epoch

    def _checks_fencing(self, target: rows.TargetRow) -> bool:
        service = self._table.get(f"service/{target.service}")
        return isinstance(service, rows.ServiceRow) and service.checks_fencing

    def _execute(self, step: orders.PlaceOrder | orders.ReadState) -> None:
        target = self._table.get(f"target/{step.target_id}")
        if not isinstance(target, rows.TargetRow):
            return
        body = None
        if isinstance(step, orders.PlaceOrder):
            body = msgspec.json.encode(step.order)
        transfer = self._client.request(
            messages.Request(
                method="GET" if body is None else "POST",
                url=f"{target.url.rstrip('/')}{ORDERS_PATH}",
                headers=(messages.Header("Content-Type", "application/json"),),
                body=body,
                connect_timeout_ms=_TIMEOUT_MS,
                first_byte_timeout_ms=_TIMEOUT_MS,
                total_timeout_ms=_TIMEOUT_MS,
            )
        )
        state = _decode_state(transfer)
        if state is None:
            logging.warning("event=order_unanswered target=%s", step.target_id)
            return
        self._reconciler.record_state(
            step.target_id, state, self._clock.now_ms()
        )
        self._log_outcome(step, state)

    def _log_outcome(
        self,
        step: orders.PlaceOrder | orders.ReadState,
        state: orders.EngineState,
    ) -> None:
        if self._reconciler.is_fenced(step.target_id):
            logging.warning(
                "event=order_fenced target=%s epoch=%d",
                step.target_id,
                state.epoch,
            )
        elif isinstance(step, orders.PlaceOrder):
            logging.info(
                "event=order_placed target=%s model=%s version=%s epoch=%d",
                step.target_id,
                step.order.model,
                step.order.version,
                step.order.epoch,
            )

    def __repr__(self) -> str:
        return f"OrderWorker({self._reconciler!r})"


def _decode_state(
    transfer: result.Result[messages.Response, messages.TransferFailure],
) -> orders.EngineState | None:
    if isinstance(transfer, result.Err):
        return None
    response = transfer.ok_value
    if response.head.status not in _STATE_STATUSES:
        return None
    try:
        return json_documents.decode(response.body, orders.EngineState)
    except msgspec.MsgspecError:
        return None
