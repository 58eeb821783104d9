"""Gateway that connects to targets from an address of its own.

Usage: python -m bambooglade_standins.users_platform.addressed_gateway HOST
[FAULT]

On one machine, engines tell the gateways apart by it.

See Also:
    bambooglade_standins.users_platform.deliberate_faults: the faults.
"""

from __future__ import annotations

import functools
import sys

from bambooglade.eventloop import connection as connection_lib
from bambooglade.platform import gateway_main
from bambooglade_standins.users_platform import deliberate_faults


def main() -> int:
    """Runs a gateway until a signal stops it; returns the exit status."""
    host, *faults = sys.argv[1:]
    for fault in faults:
        deliberate_faults.FAULT_BY_NAME[fault]()
    return gateway_main.main(
        connect=functools.partial(connection_lib.connect, source_host=host)
    )


if __name__ == "__main__":
    sys.exit(main())
