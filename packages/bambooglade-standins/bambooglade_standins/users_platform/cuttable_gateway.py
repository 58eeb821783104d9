"""Gateway whose links to all targets are cut by the contents of a file.

Usage: python -m bambooglade_standins.users_platform.cuttable_gateway FILE
[FAULT]

See Also:
    bambooglade_standins.users_platform.deliberate_faults: the faults.
"""

from __future__ import annotations

import pathlib
import sys

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.platform import gateway_main
from bambooglade_standins.users_platform import deliberate_faults
from bambooglade_standins.users_platform import target_links

POLL_MS = 20


class FileControlledLinks:
    """Links to targets that are cut while a file names a kind of cut.

    Args:
        path: File with the name of a `target_links.Cut`; no file or an empty
            one leaves the links whole.
    """

    __slots__ = ("_links", "_path", "_text")

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._text = ""
        self._links: target_links.TargetLinks | None = None

    def connect(
        self,
        loop: loop_lib.EventLoop,
        address: tuple[str, int],
        handler: connection_lib.Handler,
    ) -> connection_lib.Connection:
        """Starts to open a connection, as `eventloop.connection` does."""
        if self._links is None:
            self._links = target_links.TargetLinks(loop, is_cuttable=True)
            self._poll(loop)
        return self._links.connect(loop, address, handler)

    def _poll(self, loop: loop_lib.EventLoop) -> None:
        text = self._path.read_text() if self._path.exists() else ""
        if text != self._text:
            self._text = text
            if text:
                self._links.cut(target_links.Cut[text])
            else:
                self._links.restore()
        loop.call_later(POLL_MS, self._poll, loop)

    def __repr__(self) -> str:
        return f"FileControlledLinks({self._path!r}, {self._text!r})"


def main() -> int:
    """Runs a gateway until a signal stops it; returns the exit status."""
    path, *faults = sys.argv[1:]
    for fault in faults:
        deliberate_faults.FAULT_BY_NAME[fault]()
    links = FileControlledLinks(pathlib.Path(path))
    return gateway_main.main(connect=links.connect)


if __name__ == "__main__":
    sys.exit(main())
