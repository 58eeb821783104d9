"""Tests of whether an instance takes requests at all."""

from __future__ import annotations

import types

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.discovery import view as view_lib
from bambooglade.gateway import configuration
from bambooglade.gateway import error_responses
from bambooglade.gateway import exchange
from bambooglade.store import store_api


class _Codec:
    """Codec for empty configurations."""

    configuration_key = "configuration"
    target_prefix = "targets/"

    def decode_configuration(self, value):
        return configuration.Configuration(
            version=int(value), routes=[], services=[], teams=[]
        )


class _RejectingExchange(exchange.Exchange):
    """Exchange that keeps the error with which it is rejected."""

    def _reject(self, error: error_responses.ErrorResponse) -> None:
        self.kind = error.kind


# Guards against requests to targets of evacuated zones from an instance that
# has started while the store was unavailable, and got its configuration from a
# peer of the previous build, which does not tell evacuations.
@pytest.mark.parametrize(
    ("has_configuration", "has_zones", "kind"),
    [
        (False, False, error_responses.ErrorKind.NOT_READY),
        (True, False, error_responses.ErrorKind.NOT_READY),
        (True, True, error_responses.ErrorKind.NO_ROUTE),
    ],
)
def test_requests_wait_for_the_evacuated_zones(
    has_configuration, has_zones, kind
):
    view = view_lib.FleetView(
        _Codec(), log=event_log.EventLog(clock_lib.ManualClock())
    )
    if has_configuration:
        item = store_api.Item("configuration", b"1", 1)
        view.apply_configuration(item, source="peer")
    if has_zones:
        view.evacuations.mark_known(now_ms=0)
    context = types.SimpleNamespace(
        view=view,
        codec=types.SimpleNamespace(decode_request=lambda request: None),
    )
    request = types.SimpleNamespace(host=b"h", path=b"/")
    rejected = _RejectingExchange(context, request, responder=None)
    rejected.start()
    assert rejected.kind is kind
