"""Tests of `bambooglade.discovery.view`."""

from __future__ import annotations

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.discovery import targets
from bambooglade.discovery import view as view_lib
from bambooglade.gateway import configuration
from bambooglade.store import port


class TextCodec:
    """Targets as `service state born`, configurations as a version."""

    configuration_key = "configuration"
    target_prefix = "targets/"

    def decode_configuration(self, value):
        return configuration.Configuration(
            version=int(value), routes=[], services=[], teams=[]
        )

    def decode_target(self, key, value):
        service, state, born = value.decode().split()
        return targets.RegisteredTarget(
            target_id=key.removeprefix("targets/"),
            service=service,
            address=("10.0.0.1", 1),
            availability_zone="z",
            slots=1,
            started_at_ms=int(born),
            is_draining=state == "draining",
        )


@pytest.fixture
def view():
    log = event_log.EventLog(clock_lib.ManualClock())
    return view_lib.FleetView(TextCodec(), log=log)


def target(name: str, revision: int, value: bytes | None = b"s ready 1"):
    return port.Item(f"targets/{name}", value, revision)


def change(view, *items, now_ms=0, is_after_outage=False):
    view.take_changes(
        port.Items(list(items), at_revision=max(i.revision for i in items)),
        now_ms=now_ms,
        source="test",
        is_after_outage=is_after_outage,
    )


def ready(view) -> list[str]:
    return [t.target_id for t in view.ready_targets("s")]


@pytest.mark.parametrize(
    ("items", "version"),
    [
        ([("1", 5), ("2", 6)], 2),
        ([("2", 6), ("1", 5)], 2),
        ([("1", 5), ("not a version", 6)], 1),
        ([("1", 5), (None, 6)], 1),
        ([("3", 5), ("3", 5)], 3),
    ],
)
def test_the_configuration_only_goes_forward(view, items, version):
    for value, revision in items:
        encoded = None if value is None else value.encode()
        item = port.Item("configuration", encoded, revision)
        view.apply_configuration(item, source="test")
    assert view.configuration.version == version


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ([target("a", 1), target("b", 2)], ["a", "b"]),
        ([target("a", 1), target("a", 2, b"s draining 1")], []),
        ([target("a", 2, b"s draining 1"), target("a", 1)], []),
        ([target("a", 1), target("a", 2, None)], []),
        ([target("a", 2, None), target("a", 1)], []),
        ([target("a", 1), target("a", 2, b"torn")], []),
        ([target("a", 1), target("a", 2, b"torn"), target("a", 3)], ["a"]),
        ([target("a", 1, b"s ready 9"), target("a", 2, b"s ready 3")], ["a"]),
        ([target("a", 1), target("a", 2, b"other ready 1")], []),
    ],
)
def test_targets_only_go_forward(view, changes, expected):
    for item in changes:
        change(view, item)
    assert ready(view) == expected


def test_a_whole_list_removes_what_is_missing(view):
    change(view, target("a", 1), target("b", 2))
    view.take_all_targets(
        [target("b", 2), target("c", 4)],
        at_revision=5,
        now_ms=0,
        source="test",
    )
    assert ready(view) == ["b", "c"]


def test_an_older_list_is_ignored(view):
    change(view, target("a", 5))
    view.take_all_targets([], at_revision=4, now_ms=0, source="peer")
    assert ready(view) == ["a"]


@pytest.mark.parametrize("comes_back", [True, False])
def test_entries_that_lapsed_during_an_outage(view, comes_back):
    change(view, target("a", 1))
    change(view, target("a", 2, None), now_ms=100, is_after_outage=True)
    assert ready(view) == ["a"]
    if comes_back:
        change(view, target("a", 3), now_ms=200)
    view.expire_lapsed_targets(100 + view_lib.RETURN_GRACE_MS)
    assert ready(view) == (["a"] if comes_back else [])


def test_a_target_that_turned_out_to_be_gone(view):
    change(view, target("a", 1), target("b", 2))
    view.remove_target("a", reason="misdirected")
    assert ready(view) == ["b"]
