"""Adds the packages to the import path and runs a gateway."""

from __future__ import annotations

import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Runs a gateway; returns its exit status."""
    # Until the gateway handles it, the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(ROOT / "packages" / "bambooglade"))
    sys.path.insert(1, str(ROOT / "target" / "deps"))
    from bambooglade.platform import gateway_main

    return gateway_main.main()


if __name__ == "__main__":
    sys.exit(main())
