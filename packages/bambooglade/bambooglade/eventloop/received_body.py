"""Body of a message that is kept until it is complete; without I/O."""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.eventloop import byte_budget

MIN_PART_BYTES = 1_024
"""Size from which a part is kept as an object of its own.

Shorter parts are copied together: an object and its entry in a list take about
60 bytes, which is many times the size of a short part.
"""


class ReceivedBody:
    """Parts of a body, within a limit of its own and that of the process.

    Args:
        budget: Bytes that all messages of the process may take.
        max_bytes: Longest body.
        discard: Called when the process needs its memory for others; the bytes
            are gone then. It must do no more than schedule what follows.

    Attributes:
        size_bytes: Bytes received so far.

    Examples:
        >>> body = ReceivedBody(byte_budget.ByteBudget(), max_bytes=3,
        ...     discard=lambda: None)
        >>> body.append(b"ab"), body.append(b"c"), body.append(b"d")
        (True, True, False)
        >>> body.join()
        b'abc'
    """

    __slots__ = ("_discard", "_max_bytes", "_parts", "_share", "size_bytes")

    def __init__(
        self,
        budget: byte_budget.ByteBudget,
        *,
        max_bytes: int,
        discard: Callable[[], None],
    ) -> None:
        self._parts: list[bytes | bytearray] = []
        self._max_bytes = max_bytes
        self._discard = discard
        self._share = budget.open(self._give_up)
        self.size_bytes = 0

    def append(self, data: bytes) -> bool:
        """Appends received bytes.

        Returns:
            Whether the body is kept; False if it is longer than its limit, or
            was given up.
        """
        size_bytes = self.size_bytes + len(data)
        if size_bytes > self._max_bytes:
            return False
        if len(data) >= MIN_PART_BYTES or not self._parts:
            self._parts.append(data)
        elif type(self._parts[-1]) is bytearray:
            self._parts[-1] += data
        else:
            self._parts.append(bytearray(data))
        self.size_bytes = size_bytes
        return self._share.resize(size_bytes)

    def _give_up(self) -> None:
        self._parts = []
        self._discard()

    def join(self) -> bytes:
        """Returns the bytes received so far."""
        return b"".join(self._parts)

    def clear(self) -> None:
        """Lets go of the bytes."""
        self._parts = []
        self._share.close()

    def __repr__(self) -> str:
        return f"ReceivedBody(size={self.size_bytes})"
