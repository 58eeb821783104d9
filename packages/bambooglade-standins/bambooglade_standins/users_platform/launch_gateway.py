"""Runs the main function of a gateway's module, as `deploy/gateway.py` does.

Usage: python -m bambooglade_standins.users_platform.launch_gateway MODULE
[ARGUMENT]...
"""

from __future__ import annotations

import importlib
import signal
import sys


def main() -> int:
    """Runs the gateway; returns its exit status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    del sys.argv[0]
    return importlib.import_module(sys.argv[0]).main()


if __name__ == "__main__":
    sys.exit(main())
