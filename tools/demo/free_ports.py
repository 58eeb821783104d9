"""Prints free TCP ports of the loopback address: `free_ports.py COUNT`."""

from __future__ import annotations

import contextlib
import socket
import sys


def main(count: int) -> None:
    """Prints the ports on one line."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        print(*(each.getsockname()[1] for each in sockets))


if __name__ == "__main__":
    main(int(sys.argv[1]))
