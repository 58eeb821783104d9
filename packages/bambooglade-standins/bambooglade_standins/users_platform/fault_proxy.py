"""TCP proxy that injects faults into connections."""

from __future__ import annotations

import enum
import socket

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib

DELAY_MS = 150
"""Delay of each chunk of data under `Mode.DELAY`."""


class Mode(enum.Enum):
    """Fault that applies to open and new connections."""

    PASS = enum.auto()
    DELAY = enum.auto()
    RESET = enum.auto()
    DROP_REQUESTS = enum.auto()
    DROP_RESPONSES = enum.auto()
    DROP_ALL = enum.auto()


_DROPPED_DIRECTIONS_BY_MODE = {
    Mode.DROP_REQUESTS: frozenset(["request"]),
    Mode.DROP_RESPONSES: frozenset(["response"]),
    Mode.DROP_ALL: frozenset(["request", "response"]),
}


class FaultProxy:
    """Forwards connections to one address.

    Args:
        loop: The event loop.
        target: Address to which connections are forwarded.
        address: Address to listen on.

    Attributes:
        mode: The active fault; use `set_mode` to change it.
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
        """IP address and port on which the proxy listens."""
        return self._listener.address

    def set_mode(self, mode: Mode) -> None:
        """Changes the fault.

        A connection that has lost data drops all further data in that
        direction, since the stream can no longer be continued.
        """
        self.mode = mode
        if mode is Mode.RESET:
            for pair in list(self._pairs):
                pair.reset()

    def close(self) -> None:
        """Stops listening and resets all connections."""
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
        """Does nothing: data to be sent is already buffered."""

    def received(self, data: bytes) -> None:
        """Forwards data, unless this direction is dropped."""
        self._pair.forward(self._direction, self.peer, data)

    def closed(self, *, is_clean: bool) -> None:
        """Closes or resets the other connection accordingly."""
        self._pair.propagate_close(self.peer, is_clean=is_clean)


class _Pair:
    def __init__(self, proxy: FaultProxy, sock, target, discard) -> None:
        self._proxy = proxy
        self._discard = discard
        self._dropped_directions: set[str] = set()
        from_caller = _Side(self, "request")
        from_target = _Side(self, "response")
        self._caller = connection_lib.Connection(proxy.loop, sock, from_caller)
        self._target = connection_lib.connect(proxy.loop, target, from_target)
        from_caller.peer, from_target.peer = self._target, self._caller

    def forward(self, direction: str, peer, data: bytes) -> None:
        mode = self._proxy.mode
        if direction in _DROPPED_DIRECTIONS_BY_MODE.get(mode, ()):
            self._dropped_directions.add(direction)
        if direction in self._dropped_directions:
            return
        delay_ms = DELAY_MS if mode is Mode.DELAY else 0
        self._proxy.loop.call_later(delay_ms, peer.send, data)

    def propagate_close(self, peer, *, is_clean: bool) -> None:
        self._discard(self)
        if (
            self._proxy.mode in _DROPPED_DIRECTIONS_BY_MODE
            or self._dropped_directions
        ):
            return
        if is_clean:
            self._proxy.loop.call_later(
                DELAY_MS if self._proxy.mode is Mode.DELAY else 0,
                peer.close_when_sent,
            )
        else:
            peer.reset()

    def reset(self) -> None:
        self._discard(self)
        self._caller.reset()
        self._target.reset()
