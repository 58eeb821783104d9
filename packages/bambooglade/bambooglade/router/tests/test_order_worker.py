"""Tests of orders that are sent to stand-in engines over HTTP."""

from __future__ import annotations

import pytest

from bambooglade.core import clock as clocks
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.router import order_worker
from bambooglade.shards import assignments
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import orders
from bambooglade.transport import client as client_lib
from bambooglade_standins.engine import app as engine_app
from bambooglade_standins.engine import server as engine_server

ZONE = identifiers.AvailabilityZone("scot-a")
SHARDS = 4
PLACE = assignments.ZoneShard(
    shard=hashing.shard_of("e1", shard_count=SHARDS), availability_zone=ZONE
)


class Owner:
    """An instance that may own the engine, with its own view of the fleet."""

    def __init__(self, name, url, model, *, checks_fencing, clock) -> None:
        self.map = assignments.AssignmentMap()
        self.name = identifiers.InstanceId(name)
        self.client = client_lib.HttpClient()
        table = view.FixedTable(
            [
                rows.ServiceRow(
                    service="jury",
                    form=rows.ServiceForm.MODEL,
                    checks_fencing=checks_fencing,
                ),
                rows.TargetRow(
                    target_id="e1",
                    service="jury",
                    availability_zone=ZONE,
                    url=url,
                ),
                rows.OrderRow(target_id="e1", model=model),
            ]
        )
        self.unassigned = []
        self.worker = order_worker.OrderWorker(
            instance_id=self.name,
            table=table,
            assignment_map=self.map,
            shard_count=SHARDS,
            client=self.client,
            clock=clock,
            on_unassigned=self.unassigned.append,
        )

    def set_assignment(self, epoch: int, primary: str) -> None:
        self.map.merge(
            PLACE,
            assignments.Assignment(
                epoch=identifiers.Epoch(epoch),
                primary=identifiers.InstanceId(primary),
                backup=None,
            ),
        )


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_of_new_owner_prevails_over_paused_former_owner(checks_fencing):
    http, engine = engine_server.start(
        engine_app.EngineOptions(checks_fencing=checks_fencing)
    )
    clock = clocks.ManualClock(now_ms=1_000)
    former, owner = (
        Owner(name, http.url, model, checks_fencing=checks_fencing, clock=clock)
        for name, model in (("i1", "old"), ("i2", "new"))
    )
    former.set_assignment(1, "i1")
    former.worker.run_once()
    assert engine.desk.current.model == "old"
    owner.set_assignment(2, "i2")
    owner.worker.run_once()
    assert engine.desk.current.model == "new"
    # The former owner resumes with its old assignment, so that it still claims
    # the engine, and it has not read the newer state.
    resumed = Owner(
        "i1", http.url, "old", checks_fencing=checks_fencing, clock=clock
    )
    resumed.set_assignment(1, "i1")
    resumed.worker.run_once()
    clock.advance(delta_ms=orders.READ_BACK_MS)
    owner.worker.run_once()
    owner.worker.run_once()
    resumed.worker.run_once()
    assert engine.desk.current.model == "new"
    assert engine.desk.current.epoch == 2
    http.stop()


def test_instance_that_is_not_owner_sends_no_orders():
    http, engine = engine_server.start()
    bystander = Owner(
        "i3", http.url, "x", checks_fencing=True, clock=clocks.ManualClock()
    )
    bystander.worker.run_once()
    bystander.set_assignment(1, "i1")
    bystander.worker.run_once()
    assert engine.desk.current.epoch == 0
    http.stop()


def test_order_is_retried_when_unreachable_engine_returns():
    clock = clocks.ManualClock()
    http, _ = engine_server.start()
    port = http.port
    owner = Owner("i1", http.url, "new", checks_fencing=True, clock=clock)
    http.stop()
    owner.set_assignment(1, "i1")
    owner.worker.run_once()
    http, engine = engine_server.start(port=port)
    clock.advance(delta_ms=orders.RETRY_MS)
    owner.worker.run_once()
    assert engine.desk.current.model == "new"
    http.stop()
