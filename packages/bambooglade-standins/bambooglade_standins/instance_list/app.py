"""Stand-in for the platform's list of instances and targets, with a lag."""

from __future__ import annotations

import threading

import msgspec
from werkzeug import exceptions
from werkzeug import wrappers

from bambooglade.core import clock as clocks
from bambooglade.store import platform_http
from bambooglade.store import services
from bambooglade_standins import platform_server


class Update(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /control/instances` and `POST /control/targets`.

    Attributes:
        entries: The whole list as it is from now on.
    """

    entries: tuple[services.ListedInstance, ...]


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /control/faults`."""

    down: bool = False
    lag_ms: int = 0


class LaggingList:
    """A list whose changes become visible after a lag.

    Examples:
        >>> entries = LaggingList()
        >>> entries.set(("new",), now_ms=1_000)
        >>> entries.visible(now_ms=1_500, lag_ms=1_000)
        ()
        >>> entries.visible(now_ms=2_000, lag_ms=1_000)
        ('new',)
    """

    __slots__ = ("_versions",)

    def __init__(self) -> None:
        self._versions: list[
            tuple[int, tuple[services.ListedInstance, ...]]
        ] = []

    def set(
        self, entries: tuple[services.ListedInstance, ...], *, now_ms: int
    ) -> None:
        """Replaces the list."""
        self._versions.append((now_ms, entries))

    def visible(
        self, *, now_ms: int, lag_ms: int
    ) -> tuple[services.ListedInstance, ...]:
        """Returns the newest list that is at least as old as the lag."""
        old_enough = [
            entries
            for since_ms, entries in self._versions
            if since_ms + lag_ms <= now_ms
        ]
        return old_enough[-1] if old_enough else ()


class InstanceListApplication:
    """WSGI application with `/v1/instances` and `/v1/targets`."""

    def __init__(self, *, clock: clocks.Clock | None = None) -> None:
        self._clock = clock or clocks.Clock()
        self._lock = threading.Lock()
        self._list_by_name = {
            "instances": LaggingList(),
            "targets": LaggingList(),
        }
        self.faults = Faults()

    @wrappers.Request.application
    def __call__(self, request: wrappers.Request) -> wrappers.Response:
        """Answers one request."""
        section, _, name = request.path.strip("/").partition("/")
        with self._lock:
            if section == "control":
                return self._control(name, request.get_data())
            if section != "v1" or name not in self._list_by_name:
                raise exceptions.NotFound
            if self.faults.down:
                raise exceptions.ServiceUnavailable
            entries = self._list_by_name[name].visible(
                now_ms=self._clock.now_ms(), lag_ms=self.faults.lag_ms
            )
        return platform_server.json_response(
            platform_http.InstanceListResponse(entries=entries)
        )

    def _control(self, name: str, body: bytes) -> wrappers.Response:
        if name == "faults":
            self.faults = msgspec.json.decode(body, type=Faults)
            return platform_server.json_response(self.faults)
        if name not in self._list_by_name:
            raise exceptions.NotFound
        update = msgspec.json.decode(body, type=Update)
        self._list_by_name[name].set(
            update.entries, now_ms=self._clock.now_ms()
        )
        return platform_server.json_response(update)
