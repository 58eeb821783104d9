"""Tests of orders to engines with and without checks of fencing numbers."""

from __future__ import annotations

import pytest

from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.targets import orders
from bambooglade_standins.engine import orders as engine_orders

OLD_ROW = rows.OrderRow(target_id="e1", model="old")
NEW_ROW = rows.OrderRow(target_id="e1", model="new")


class Engine:
    """Simulated engine that counts the orders it receives."""

    def __init__(self, *, checks_fencing: bool) -> None:
        self.desk = engine_orders.OrderDesk(
            engine_orders.Order(epoch=0, model="none"),
            checks_fencing=checks_fencing,
        )
        self.orders_received = 0

    def state(self) -> orders.EngineState:
        current = self.desk.current
        return orders.EngineState(
            epoch=current.epoch,
            model=current.model,
            adapter=current.adapter,
            version=current.version,
            role=current.role,
        )

    def place(self, order: orders.EngineState) -> None:
        self.orders_received += 1
        self.desk.place(
            engine_orders.Order(
                epoch=order.epoch,
                model=order.model,
                adapter=order.adapter,
                version=order.version,
                role=order.role,
            )
        )


def run(reconciler, engine, start_ms, end_ms, *, lost_at_ms=()):
    """Runs all steps; responses at the times in `lost_at_ms` are lost."""
    for now_ms in range(start_ms, end_ms, 100):
        for step in reconciler.tick(now_ms):
            if isinstance(step, orders.PlaceOrder):
                engine.place(step.order)
            if now_ms not in lost_at_ms:
                reconciler.record_state("e1", engine.state(), now_ms)


def make_reconciler(row, epoch, *, checks_fencing):
    reconciler = orders.OrderReconciler()
    reconciler.set_desired(
        row, epoch=identifiers.Epoch(epoch), checks_fencing=checks_fencing
    )
    return reconciler


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_is_retried_until_the_engine_responds(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    reconciler = make_reconciler(NEW_ROW, 1, checks_fencing=checks_fencing)
    run(reconciler, engine, 0, 5_000, lost_at_ms=(0, 1_000))
    assert engine.state().model == "new"
    assert engine.orders_received == 3


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_late_order_of_a_former_owner_is_corrected(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    late_order = next(
        make_reconciler(OLD_ROW, 1, checks_fencing=checks_fencing).tick(0)
    )
    new_owner = make_reconciler(NEW_ROW, 2, checks_fencing=checks_fencing)
    run(new_owner, engine, 0, 1_000)
    engine.place(late_order.order)  # the paused former owner resumes
    run(new_owner, engine, 1_000, 1_000 + orders.READ_BACK_MS + 200)
    assert engine.state().model == "new"
    assert engine.state().epoch == 2


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_former_owner_stops_after_reading_a_newer_epoch(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    former_owner = make_reconciler(OLD_ROW, 1, checks_fencing=checks_fencing)
    run(former_owner, engine, 0, 1_000)
    engine.place(orders.EngineState(epoch=2, model="new"))
    run(former_owner, engine, 1_000, 30_000)
    assert former_owner.is_fenced("e1")
    assert engine.state().model == "new"


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_restarted_engine_gets_its_order_again(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    reconciler = make_reconciler(NEW_ROW, 1, checks_fencing=checks_fencing)
    run(reconciler, engine, 0, 5_000)
    restarted = Engine(checks_fencing=checks_fencing)
    run(reconciler, restarted, 5_000, 5_000 + 2 * orders.CHECK_PERIOD_MS)
    assert restarted.state().model == "new"
