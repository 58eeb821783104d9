"""Tests of `bambooglade.gateway.stream_origins`."""

from __future__ import annotations

import pytest

from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import stream_origins

ORIGIN = stream_origins.StreamOrigin(service="jury", software_version="v1")
RETENTION_MS = stream_origins.RETENTION_MS


def target(version: str, *, service: str = "jury"):
    return targets_lib.RegisteredTarget(
        target_id=f"{service}-{version}",
        service=service,
        address=("10.0.0.1", 1),
        availability_zone="z",
        slots=1,
        software_version=version,
    )


@pytest.mark.parametrize(
    ("seen", "services", "now_ms", "is_sole"),
    [
        ({"v1": 0}, ["jury"], 0, True),
        ({"v1": 0, "v2": 0}, ["jury"], 0, False),
        ({"v2": 0, "v1": RETENTION_MS}, ["jury"], RETENTION_MS, False),
        ({"v2": 0, "v1": RETENTION_MS + 1}, ["jury"], RETENTION_MS + 1, True),
        ({"v1": 0}, ["jury", "panel"], 0, False),
        ({}, ["jury"], 0, False),
    ],
)
def test_sole_origin_needs_one_service_and_one_recent_version(
    seen, services, now_ms, is_sole
):
    origins = stream_origins.StreamOrigins()
    for version, at_ms in seen.items():
        origins.observe([target(version)], now_ms=at_ms)
    origins.observe([], now_ms=now_ms)
    origin = origins.sole_origin(services, now_ms=now_ms)
    assert origin == (ORIGIN if is_sole else None)


@pytest.mark.parametrize(
    ("own_age_ms", "seen", "is_known"),
    [
        (0, {}, False),
        (RETENTION_MS, {}, False),
        (RETENTION_MS + 1, {}, True),
        (0, {"known_for_ms": RETENTION_MS}, False),
        (0, {"known_for_ms": RETENTION_MS + 1}, True),
        (0, {"known_for_ms": -RETENTION_MS}, False),
        (
            0,
            {
                "known_for_ms": RETENTION_MS + 1,
                "age_ms_by_version_by_service": {"jury": {"v0": RETENTION_MS}},
            },
            False,
        ),
        (
            0,
            {
                "known_for_ms": RETENTION_MS + 1,
                "age_ms_by_version_by_service": {
                    "jury": {"v0": RETENTION_MS + 1, "v1": 7}
                },
            },
            True,
        ),
    ],
)
def test_version_that_is_registered_is_the_sole_one_only_if_all_are_known(
    own_age_ms, seen, is_known
):
    now_ms = 1_000_000
    origins = stream_origins.StreamOrigins(known_since_ms=now_ms - own_age_ms)
    origins.observe([target("v1")], now_ms=now_ms)
    origins.merge(stream_origins.SeenVersions(**seen), now_ms=now_ms)
    origin = origins.sole_origin(["jury"], now_ms=now_ms)
    assert origin == (ORIGIN if is_known else None)


@pytest.mark.parametrize(
    ("peer_known_for_ms", "is_filled"),
    [(RETENTION_MS + 1, True), (10_000, True), (9_999, False)],
)
def test_peer_fills_the_time_of_a_cut_only_if_it_followed_the_targets_then(
    peer_known_for_ms, is_filled
):
    now_ms, cut_at_ms = 1_000_000, 990_000
    origins = stream_origins.StreamOrigins()
    origins.observe([target("v1")], now_ms=cut_at_ms)
    origins.confirm(until_ms=cut_at_ms)
    origins.merge(
        stream_origins.SeenVersions(known_for_ms=peer_known_for_ms),
        now_ms=now_ms,
        until_ms=now_ms,
    )
    assert origins.is_current(now_ms)
    assert origins.knows_recent_versions(now_ms=now_ms) == is_filled


@pytest.mark.parametrize("repeats", [1, 2])
def test_versions_that_came_and_went_unseen_make_the_others_uncertain(repeats):
    origins = stream_origins.StreamOrigins()
    for _ in range(repeats):
        origins.confirm(until_ms=5_000, unseen_until_ms=4_000)
    assert not origins.knows_recent_versions(now_ms=5_000)
    origins.merge(
        stream_origins.SeenVersions(known_for_ms=RETENTION_MS + 1),
        now_ms=5_000,
    )
    origins.confirm(until_ms=6_000, unseen_until_ms=4_000)
    assert origins.knows_recent_versions(now_ms=6_000)


def test_merged_versions_are_passed_on_with_their_age():
    origins = stream_origins.StreamOrigins(known_since_ms=0)
    origins.observe([target("v1")], now_ms=1_000)
    origins.merge(
        stream_origins.SeenVersions(
            age_ms_by_version_by_service={"jury": {"v0": 10, "v1": 900}}
        ),
        now_ms=1_000,
    )
    assert origins.seen_versions(now_ms=1_500) == stream_origins.SeenVersions(
        age_ms_by_version_by_service={"jury": {"v1": 500, "v0": 510}},
        known_for_ms=1_500,
    )


def test_oldest_origins_are_evicted(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 2)
    origins = stream_origins.StreamOrigins()
    for stream_id in ("a", "b", "a", "c"):
        origins.record(stream_id, ORIGIN, now_ms=0)
    found = [origins.find(s, now_ms=0) is not None for s in ("a", "b", "c")]
    assert found == [True, False, True]


def test_origin_of_an_overlong_id_is_not_kept():
    origins = stream_origins.StreamOrigins()
    origins.record("a" * 16_000, ORIGIN, now_ms=0)
    assert repr(origins) == "StreamOrigins(count=0)"


def test_expired_origins_are_removed():
    origins = stream_origins.StreamOrigins()
    origins.record("a", ORIGIN, now_ms=0)
    origins.record("b", ORIGIN, now_ms=1)
    origins.observe([], now_ms=RETENTION_MS + 1)
    assert repr(origins) == "StreamOrigins(count=1)"
