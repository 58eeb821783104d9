"""Tests for `bambooglade.discovery.view`."""

from __future__ import annotations

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.discovery import evacuations
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import targets
from bambooglade.discovery import view as view_lib
from bambooglade.discovery import view_messages
from bambooglade.gateway import configuration
from bambooglade.store import store_api


class TextCodec:
    """Codec for targets as `service state started_at_ms`.

    Configurations are encoded as their version alone.
    """

    configuration_key = "configuration"
    target_prefix = "targets/"

    def decode_configuration(self, value):
        return configuration.Configuration(
            version=int(value), routes=[], services=[], teams=[]
        )

    def decode_target(self, key, value):
        service, state, started_at_ms = value.decode().split()
        return targets.RegisteredTarget(
            target_id=key.removeprefix("targets/"),
            service=service,
            address=("10.0.0.1", 1),
            availability_zone="z",
            slots=1,
            started_at_ms=int(started_at_ms),
            is_draining=state == "draining",
        )


@pytest.fixture
def view():
    log = event_log.EventLog(clock_lib.ManualClock())
    return view_lib.FleetView(TextCodec(), log=log)


def target(name: str, revision: int, value: bytes | None = b"s ready 1"):
    return store_api.Item(f"targets/{name}", value, revision)


def apply_changes(view, *items, now_ms=0, recovery_ends_at_ms=0):
    view.apply_target_changes(
        store_api.Items(
            list(items), at_revision=max(i.revision for i in items)
        ),
        now_ms=now_ms,
        source="test",
        recovery_ends_at_ms=recovery_ends_at_ms,
    )


def ready_ids(view) -> list[str]:
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
def test_newest_valid_configuration_takes_effect(view, items, version):
    for value, revision in items:
        encoded = None if value is None else value.encode()
        item = store_api.Item("configuration", encoded, revision)
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
def test_newest_target_entry_takes_effect(view, changes, expected):
    for item in changes:
        apply_changes(view, item)
    assert ready_ids(view) == expected


def test_complete_list_removes_missing_targets(view):
    apply_changes(view, target("a", 1), target("b", 2))
    view.apply_target_list(
        [target("b", 2), target("c", 4)],
        at_revision=5,
        now_ms=0,
        source="test",
    )
    assert ready_ids(view) == ["b", "c"]


def test_older_list_is_ignored(view):
    apply_changes(view, target("a", 5))
    view.apply_target_list([], at_revision=4, now_ms=0, source="peer")
    assert ready_ids(view) == ["a"]


@pytest.mark.parametrize("reappears", [True, False])
def test_entry_that_expired_in_an_outage_has_a_grace_period(view, reappears):
    apply_changes(view, target("a", 1))
    apply_changes(
        view, target("a", 2, None), now_ms=100, recovery_ends_at_ms=2_000
    )
    assert ready_ids(view) == ["a"]
    if reappears:
        apply_changes(view, target("a", 3), now_ms=200)
    view.expire_lapsed_targets(100 + view_lib.LAPSED_TARGET_GRACE_MS)
    assert ready_ids(view) == (["a"] if reappears else [])


@pytest.mark.parametrize(
    ("removed_at_ms", "ready_at_ms", "is_ready"),
    [
        (100, 1_599, True),
        (1_500, 1_999, True),
        (1_500, 2_000, False),
        (1_999, 2_000, False),
        (2_000, 2_000, False),
    ],
)
def test_target_removed_after_an_outage_is_kept_until_the_recovery_ends(
    view, removed_at_ms, ready_at_ms, is_ready
):
    apply_changes(view, target("a", 1))
    apply_changes(
        view,
        target("a", 2, None),
        now_ms=removed_at_ms,
        recovery_ends_at_ms=2_000,
    )
    view.expire_lapsed_targets(ready_at_ms)
    assert ready_ids(view) == (["a"] if is_ready else [])


def test_removed_target_is_not_ready(view):
    apply_changes(view, target("a", 1), target("b", 2))
    view.remove_target("a", reason="misdirected")
    assert ready_ids(view) == ["b"]


class FailingCodec(TextCodec):
    """Codec that fails on some targets with any kind of error."""

    def decode_target(self, key, value):
        if value == b"odd":
            raise RuntimeError("odd entry")
        return super().decode_target(key, value)


class RecordingLog(event_log.EventLog):
    """Event log that keeps the names and fields of all events."""

    def __init__(self) -> None:
        super().__init__(clock_lib.ManualClock())
        self.events: list[tuple[str, dict[str, object]]] = []

    def event(self, name, **fields):
        self.events.append((name, fields))


def test_entry_that_fails_to_decode_does_not_end_the_list():
    log = RecordingLog()
    view = view_lib.FleetView(FailingCodec(), log=log)
    items = [target("a", 1), target("b", 2, b"odd"), target("c", 3)]
    for revision in (3, 4):
        view.apply_target_list(
            items, at_revision=revision, now_ms=0, source="test"
        )
        view.begin_era(now_ms=0)
    apply_changes(view, target("b", 5, b"odd"))
    assert [t.target_id for t in view.ready_targets("s")] == ["a", "c"]
    assert view.malformed_count == 1
    malformed = [f for name, f in log.events if name == "target_malformed"]
    assert [fields["key"] for fields in malformed] == ["targets/b"]
    assert "odd entry" in malformed[0]["error"]
    apply_changes(view, target("b", 6))
    assert [t.target_id for t in view.ready_targets("s")] == ["a", "b", "c"]
    assert view.malformed_count == 0


def test_deleted_malformed_entry_is_no_longer_counted(view):
    apply_changes(view, target("a", 1, b"odd"))
    assert view.malformed_count == 1
    apply_changes(view, target("a", 2, None))
    assert view.malformed_count == 0


def evacuate(view, revision: int, *, is_evacuated: bool = True) -> None:
    view.evacuations.apply_changes(
        [evacuations.ZoneRecord("z", revision, is_evacuated)],
        era=0,
        at_revision=revision,
        now_ms=0,
        source="store",
    )


def test_targets_of_evacuated_zones_are_left_out(view):
    notified = []
    apply_changes(view, target("a", 1))
    view.listeners.append(lambda: notified.append(ready_ids(view)))
    evacuate(view, 2)
    assert view.has_evacuated_targets("s")
    apply_changes(view, target("b", 3))
    evacuate(view, 4, is_evacuated=False)
    assert notified == [[], [], ["a", "b"]]
    assert list(view.target_by_id) == ["a", "b"]


def test_view_is_ready_once_the_operators_keys_are_known(view):
    item = store_api.Item("configuration", b"1", 5)
    view.apply_configuration(item, source="peer")
    apply_changes(view, target("a", 1))
    assert not view.is_ready
    evacuate(view, 6, is_evacuated=False)
    assert view.is_ready


def test_configuration_of_a_peer_hides_no_evacuation(view):
    """Guards against a watch that begins after the unread key of a zone."""
    view.confirm_configuration(40, now_ms=0)
    item = store_api.Item("configuration", b"1", 50)
    view.apply_configuration(item, source="peer")
    assert view.configuration_revision == 40


def view_request(**fields) -> view_messages.ViewRequest:
    asker = peers_lib.Peer(
        name="i2",
        incarnation="1",
        host="10.0.0.2",
        port=1,
        availability_zone="z",
    )
    return view_messages.ViewRequest(
        configuration_revision=0, targets_revision=0, asker=asker, **fields
    )


@pytest.mark.parametrize(
    ("known", "is_news", "sent"),
    [
        (None, False, None),
        ([], True, 1),
        ([evacuations.ZoneRecord("z", 3, False)], True, 1),
        ([evacuations.ZoneRecord("z", 4, True)], False, 0),
        ([evacuations.ZoneRecord("z", 5, False)], False, 1),
    ],
)
def test_peers_are_told_of_evacuations_that_they_lack(
    view, known, is_news, sent
):
    evacuate(view, 4)
    request = view_request(evacuations=known)
    assert view_messages.has_updates(request, view, store_era=0) is is_news
    answered = view_messages._evacuations_for(request, view, now_ms=0)
    assert (None if answered is None else len(answered)) == sent


def test_instance_that_has_not_read_the_keys_tells_nothing(view):
    request = view_request(evacuations=[])
    assert view_messages._evacuations_for(request, view, now_ms=0) is None


class ColdCodec(TextCodec):
    """Codec for targets as their remaining cold time."""

    def decode_target(self, key, value):
        return targets.RegisteredTarget(
            target_id=key.removeprefix("targets/"),
            service="s",
            address=("10.0.0.1", 1),
            availability_zone="z",
            slots=1,
            started_at_ms=1,
            cold_remaining_ms=int(value),
        )


# Guards against members of a relay that take a target for warm which has become
# cold again before its first cold time was over.
@pytest.mark.parametrize(
    ("entries", "is_passed_on"),
    [
        ([(0, b"3000"), (2_500, b"500")], False),
        ([(0, b"3000"), (2_500, b"2000")], True),
        ([(0, b"3000"), (1_000, b"2000"), (2_500, b"1500")], True),
        ([(0, b"3000"), (1_000, b"1000"), (1_500, b"900")], False),
        # Times that differ by the delay of a read are the same.
        ([(0, b"3000"), (1_020, b"2000")], False),
    ],
)
def test_entry_that_prolongs_a_cold_time_is_passed_on(entries, is_passed_on):
    log = event_log.EventLog(clock_lib.ManualClock())
    view = view_lib.FleetView(ColdCodec(), log=log)
    for revision, (now_ms, value) in enumerate(entries, start=1):
        apply_changes(view, target("a", revision, value), now_ms=now_ms)
    changed = view.changed_target_items(len(entries) - 1)
    assert bool(changed) is is_passed_on
