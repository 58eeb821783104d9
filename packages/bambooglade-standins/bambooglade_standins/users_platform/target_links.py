"""Links of one gateway to all targets, which a test can cut."""

from __future__ import annotations

import enum
import socket

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade_standins.users_platform import fault_proxy


class Cut(enum.Enum):
    """What a cut does to the connections of a gateway to targets.

    HANG: open ones stay silent, and new ones never open. RESET: open ones are
    reset, and new ones never open. REFUSE: open ones live on, and new ones are
    refused.
    """

    HANG = enum.auto()
    RESET = enum.auto()
    REFUSE = enum.auto()


_MODE_BY_CUT = {
    Cut.HANG: fault_proxy.Mode.DROP_ALL,
    Cut.RESET: fault_proxy.Mode.RESET,
    Cut.REFUSE: fault_proxy.Mode.PASS,
}


class TargetLinks:
    """Opens the connections of one gateway to targets.

    Args:
        loop: The event loop.
        is_cuttable: Whether the connections lead through proxies, so that they
            can be cut. A proxy accepts connections to targets that are down.
    """

    def __init__(
        self, loop: loop_lib.EventLoop, *, is_cuttable: bool = False
    ) -> None:
        self._loop = loop
        self._is_cuttable = is_cuttable
        self._proxy_by_target: dict[
            tuple[str, int], fault_proxy.FaultProxy
        ] = {}
        self._unresponsive = _UnresponsiveAddress()
        self._cut: Cut | None = None

    def connect(
        self,
        loop: loop_lib.EventLoop,
        address: tuple[str, int],
        handler: connection_lib.Handler,
    ) -> connection_lib.Connection:
        """Starts to open a connection, as `eventloop.connection` does."""
        if self._cut is Cut.REFUSE:
            address = _refusing_address()
        elif self._cut is not None:
            address = self._unresponsive.address
        elif self._is_cuttable:
            address = self._proxy(address).address
        return connection_lib.connect(loop, address, handler)

    def cut(self, cut: Cut) -> None:
        """Cuts the links to all targets."""
        assert self._is_cuttable
        self._cut = cut
        for proxy in self._proxy_by_target.values():
            proxy.set_mode(_MODE_BY_CUT[cut])

    def restore(self) -> None:
        """Restores the links; connections that lost bytes stay silent."""
        self._cut = None
        for proxy in self._proxy_by_target.values():
            proxy.set_mode(fault_proxy.Mode.PASS)

    def close(self) -> None:
        """Closes all connections."""
        for proxy in self._proxy_by_target.values():
            proxy.close()
        self._unresponsive.close()

    def _proxy(self, target: tuple[str, int]) -> fault_proxy.FaultProxy:
        if target not in self._proxy_by_target:
            self._proxy_by_target[target] = fault_proxy.FaultProxy(
                self._loop, target, ("127.0.0.1", 0)
            )
        return self._proxy_by_target[target]

    def __repr__(self) -> str:
        return f"TargetLinks(cut={self._cut})"


class _UnresponsiveAddress:
    """Address that ignores new connections, since its accept queue is full."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._queued = [socket.socket() for _ in range(3)]
        for sock in self._queued:
            sock.setblocking(False)
            sock.connect_ex(self.address)

    @property
    def address(self) -> tuple[str, int]:
        return self._listener.getsockname()

    def close(self) -> None:
        for sock in (*self._queued, self._listener):
            sock.close()


def _refusing_address() -> tuple[str, int]:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return unused.getsockname()
