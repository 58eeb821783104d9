"""Tests of `bambooglade.gateway.brittle_replication`."""

from __future__ import annotations

import pytest

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.gateway import brittle_replication
from bambooglade.store import dependency_monitor
from bambooglade.targets import request_limits
from bambooglade_standins.users_platform import virtual_loop

SLOTS = 4


def peer(name: str) -> peers_lib.Peer:
    return peers_lib.Peer(
        name=name,
        incarnation="1",
        host="10.0.0.1",
        port=1,
        availability_zone="z",
    )


@pytest.mark.parametrize(
    ("stated", "known"), [(1, 1), (7, 7), (0, None), (-1, None), (-9, None)]
)
def test_peer_cannot_leave_a_service_without_permits(stated, known):
    loop = virtual_loop.VirtualLoop()
    log = event_log.EventLog(loop.clock)
    replicator = brittle_replication.BrittleReplicator(
        loop,
        client=None,
        peers=list,
        relays=relays_lib.RelaySelector(
            peer("i0"), peers=list, change_bound_ms=2_000
        ),
        contact=dependency_monitor.DependencyMonitor("store", log=log),
        local_instance=peer("i0"),
        rank_of=lambda target_id: request_limits.SenderRank(0, 1),
        ranked_names=lambda target_id: ("i0",),
        log=log,
    )
    busy = brittle_replication.BusyTarget("e1", "jury", 1, stated)
    replicator.apply_message(
        brittle_replication.BusyMessage(targets=[busy], sender=peer("i1"))
    )
    assert replicator.targets.max_rejections_per_s("jury", now_ms=0) == known
