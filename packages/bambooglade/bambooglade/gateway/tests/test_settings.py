"""Tests of settings that change while a process runs."""

from __future__ import annotations

import copy

import pytest

from bambooglade.gateway import settings as settings_lib

APPLIED_AT_ONCE = (
    "is_first_start",
    "seed_addresses",
    "stop_timeout_ms",
    "store_address",
    "region_by_zone",
)


def new_settings() -> settings_lib.GatewaySettings:
    address = ("10.0.0.1", 1)
    return settings_lib.GatewaySettings(
        instance="edge-1",
        availability_zone="a",
        caller_address=address,
        readiness_address=address,
        peer_address=address,
        metrics_address=address,
        store_address=address,
    )


@pytest.mark.parametrize("name", settings_lib.GatewaySettings.__slots__)
def test_changed_setting_is_applied_or_named(name):
    before = new_settings()
    after = copy.copy(before)
    setattr(after, name, "changed")
    expected = [] if name in APPLIED_AT_ONCE else [name]
    assert settings_lib.needing_restart(before, after) == expected
