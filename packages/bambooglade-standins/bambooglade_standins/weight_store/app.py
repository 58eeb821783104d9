"""Stand-in for the rate-limited weight store."""

from __future__ import annotations

import threading

import msgspec
from werkzeug import exceptions
from werkzeug import wrappers

from bambooglade.core import clock as clocks
from bambooglade.store import call_budget
from bambooglade.store import platform_http
from bambooglade_standins import platform_server

CALLS_PER_S = 2.0


class WeightStoreApplication:
    """WSGI application with `/v1/weights`; refuses calls above its rate.

    Args:
        calls_per_s: Calls that are answered a second.
        clock: Tells the time.
    """

    def __init__(
        self,
        *,
        calls_per_s: float = CALLS_PER_S,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._clock = clock or clocks.Clock()
        self._lock = threading.Lock()
        self._bucket = call_budget.TokenBucket(
            rate_per_s=calls_per_s, now_ms=self._clock.now_ms()
        )
        self._weights = platform_http.WeightsResponse(weight_by_target={})

    @wrappers.Request.application
    def __call__(self, request: wrappers.Request) -> wrappers.Response:
        """Answers one request."""
        with self._lock:
            if request.path == "/control/weights":
                self._weights = msgspec.json.decode(
                    request.get_data(), type=platform_http.WeightsResponse
                )
            elif request.path != "/v1/weights":
                raise exceptions.NotFound
            elif not self._bucket.try_acquire(now_ms=self._clock.now_ms()):
                raise exceptions.TooManyRequests
            return platform_server.json_response(self._weights)
