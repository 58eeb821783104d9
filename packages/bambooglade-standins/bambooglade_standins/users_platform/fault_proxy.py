"""A TCP proxy on the loopback address that spoils connections on purpose."""

from __future__ import annotations

import enum
import socket

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib

DELAY_MS = 150
"""Delay of each part while connections are delayed."""


class Mode(enum.Enum):
    """What happens to the connections, open and new ones alike."""

    PASS = enum.auto()
    DELAY = enum.auto()
    RESET = enum.auto()
    CUT_REQUESTS = enum.auto()
    CUT_RESPONSES = enum.auto()
    SILENT = enum.auto()


_CUT_BY_MODE = {
    Mode.CUT_REQUESTS: frozenset(["request"]),
    Mode.CUT_RESPONSES: frozenset(["response"]),
    Mode.SILENT: frozenset(["request", "response"]),
}


class FaultProxy:
    """Passes connections on to one address.

    Args:
        loop: The event loop.
        target: Where connections go.
        address: Where to listen.

    Attributes:
        mode: What is wrong now; `set_mode` changes it.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        target: tuple[str, int],
        address: tuple[str, int],
    ) -> None:
        self.loop = loop
        self.mode = Mode.PASS
        self._target = target
        self._pairs: set[_Pair] = set()
        self._listener = connection_lib.Listener(loop, address, self._accepted)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that it listens on."""
        return self._listener.address

    def set_mode(self, mode: Mode) -> None:
        """Changes what happens; connections that lost a part stay silent."""
        self.mode = mode
        if mode is Mode.RESET:
            for pair in list(self._pairs):
                pair.reset()

    def close(self) -> None:
        """Ends all connections."""
        self._listener.close()
        for pair in list(self._pairs):
            pair.reset()

    def _accepted(self, sock: socket.socket) -> None:
        pair = _Pair(self, sock, self._target, self._pairs.discard)
        self._pairs.add(pair)
        if self.mode is Mode.RESET:
            pair.reset()

    def __repr__(self) -> str:
        return f"FaultProxy({self.mode.name}, pairs={len(self._pairs)})"


class _Side:
    """Handler of one of the two connections of a pair."""

    def __init__(self, pair: _Pair, direction: str) -> None:
        self._pair = pair
        self._direction = direction
        self.peer: connection_lib.Connection | None = None

    def connected(self) -> None:
        """Nothing to do: what is to be sent waits in the buffer."""

    def received(self, data: bytes) -> None:
        """Passes data on, unless this direction is cut."""
        self._pair.passed(self._direction, self.peer, data)

    def closed(self, *, is_clean: bool) -> None:
        """Ends the other connection in the same way."""
        self._pair.ended(self.peer, is_clean=is_clean)


class _Pair:
    def __init__(self, proxy: FaultProxy, sock, target, forget) -> None:
        self._proxy = proxy
        self._forget = forget
        self._cut: set[str] = set()
        from_caller = _Side(self, "request")
        from_target = _Side(self, "response")
        self._caller = connection_lib.Connection(proxy.loop, sock, from_caller)
        self._target = connection_lib.connect(proxy.loop, target, from_target)
        from_caller.peer, from_target.peer = self._target, self._caller

    def passed(self, direction: str, peer, data: bytes) -> None:
        mode = self._proxy.mode
        if direction in _CUT_BY_MODE.get(mode, ()):
            self._cut.add(direction)
        if direction in self._cut:
            return
        delay_ms = DELAY_MS if mode is Mode.DELAY else 0
        self._proxy.loop.call_later(delay_ms, peer.send, data)

    def ended(self, peer, *, is_clean: bool) -> None:
        self._forget(self)
        if self._proxy.mode in _CUT_BY_MODE or self._cut:
            return
        if is_clean:
            self._proxy.loop.call_later(
                DELAY_MS if self._proxy.mode is Mode.DELAY else 0,
                peer.close_when_sent,
            )
        else:
            peer.reset()

    def reset(self) -> None:
        self._forget(self)
        self._caller.reset()
        self._target.reset()
