"""Tests of orders to engines that check fencing numbers and that do not."""

from __future__ import annotations

import pytest

from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.targets import orders
from bambooglade_standins.engine import orders as engine_orders

OLD = rows.OrderRow(target_id="e1", model="old")
NEW = rows.OrderRow(target_id="e1", model="new")


class Engine:
    """The stand-in's order desk, behind a network that may lose or delay."""

    def __init__(self, *, checks_fencing: bool) -> None:
        self.desk = engine_orders.OrderDesk(
            engine_orders.Order(epoch=0, model="none"),
            checks_fencing=checks_fencing,
        )
        self.places = 0

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
        self.places += 1
        self.desk.place(
            engine_orders.Order(
                epoch=order.epoch,
                model=order.model,
                adapter=order.adapter,
                version=order.version,
                role=order.role,
            )
        )


def run(keeper, engine, start_ms, end_ms, *, lose=()):
    for now_ms in range(start_ms, end_ms, 100):
        for step in keeper.tick(now_ms):
            if isinstance(step, orders.PlaceOrder):
                engine.place(step.order)
            if now_ms not in lose:
                keeper.record_state("e1", engine.state(), now_ms)


def keeper_of(row, epoch, *, checks_fencing):
    keeper = orders.OrderReconciler()
    keeper.set_desired(
        row, epoch=identifiers.Epoch(epoch), checks_fencing=checks_fencing
    )
    return keeper


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_is_repeated_until_answered(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    keeper = keeper_of(NEW, 1, checks_fencing=checks_fencing)
    run(keeper, engine, 0, 5_000, lose=(0, 1_000))
    assert engine.state().model == "new"
    assert engine.places == 3


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_late_order_of_a_former_owner_does_not_stay_in_force(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    late = next(keeper_of(OLD, 1, checks_fencing=checks_fencing).tick(0))
    owner = keeper_of(NEW, 2, checks_fencing=checks_fencing)
    run(owner, engine, 0, 1_000)
    engine.place(late.order)  # a paused owner wakes
    run(owner, engine, 1_000, 1_000 + orders.READ_BACK_MS + 200)
    assert engine.state().model == "new"
    assert engine.state().epoch == 2


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_former_owner_stops_when_it_sees_a_newer_epoch(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    former = keeper_of(OLD, 1, checks_fencing=checks_fencing)
    run(former, engine, 0, 1_000)
    engine.place(orders.EngineState(epoch=2, model="new"))
    run(former, engine, 1_000, 30_000)
    assert former.is_fenced("e1")
    assert engine.state().model == "new"


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_restarted_engine_is_ordered_again(checks_fencing):
    engine = Engine(checks_fencing=checks_fencing)
    keeper = keeper_of(NEW, 1, checks_fencing=checks_fencing)
    run(keeper, engine, 0, 5_000)
    restarted = Engine(checks_fencing=checks_fencing)
    run(keeper, restarted, 5_000, 5_000 + 2 * orders.CHECK_PERIOD_MS)
    assert restarted.state().model == "new"
