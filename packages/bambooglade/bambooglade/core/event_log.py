"""Structured event log: one line of key=value pairs per event, never blocking.

Lines are written to standard output. When its reader is slow, or when the rate
limit is exceeded, lines are dropped; the number of dropped lines is logged.
"""

from __future__ import annotations

import json
import os
import re

from bambooglade.core import clock as clock_lib

MAX_LINES_PER_S = 200
"""Sustained rate limit: about six lines per request at 30 requests a second."""

BURST_LINES = 1_000
"""Lines that may exceed the sustained rate, for instance during a failure."""

MAX_BUFFERED_BYTES = 262_144
"""Size of the buffer for a slow reader of standard output."""

STANDARD_OUTPUT = 1
_MS_PER_S = 1_000
_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/,@+-]+")


class EventLog:
    """Writes events as lines of key=value pairs.

    Args:
        clock: The clock for the timestamps of the lines.
        instance: Name of this instance, which each line contains.
        descriptor: File descriptor to write to; None discards the lines.

    Examples:
        >>> render("request_refused", {"status": 503, "reason": "no target"})
        'event=request_refused status=503 reason="no target"'
    """

    __slots__ = (
        "_allowance",
        "_buffer",
        "_clock",
        "_descriptor",
        "_instance",
        "_reported_at_ms",
        "_reported_dropped_lines",
        "_updated_at_ms",
        "dropped_lines",
        "lines",
    )

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        instance: str = "",
        descriptor: int | None = None,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._allowance = float(BURST_LINES)
        self._updated_at_ms = clock.now_ms()
        self._reported_dropped_lines = 0
        self._reported_at_ms = 0
        self.dropped_lines = 0
        self.lines = 0
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def event(self, name: str, **fields: object) -> None:
        """Writes one event, unless the rate limit is exceeded.

        Args:
            name: Name of the event, in snake case.
            **fields: Values that explain the event; None values are omitted.
        """
        if self._descriptor is None or not self._consume_allowance():
            return
        line = f"time_ms={self._updated_at_ms} instance={self._instance} "
        self._write((line + render(name, fields) + "\n").encode())
        self.lines += 1

    def _consume_allowance(self) -> bool:
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._updated_at_ms) * MAX_LINES_PER_S / _MS_PER_S
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._updated_at_ms = now_ms
        if self._allowance < 1 or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            self._flush()
            return False
        self._allowance -= 1
        return True

    def _write(self, line: bytes) -> None:
        since_report_ms = self._updated_at_ms - self._reported_at_ms
        if (
            self.dropped_lines > self._reported_dropped_lines
            and since_report_ms >= _MS_PER_S
        ):
            self._reported_dropped_lines = self.dropped_lines
            self._reported_at_ms = self._updated_at_ms
            line += b"event=log_lines_dropped total=%d\n" % self.dropped_lines
        self._buffer += line
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            self._buffer.clear()
            return
        del self._buffer[:written]

    def __repr__(self) -> str:
        return f"EventLog(lines={self.lines}, dropped={self.dropped_lines})"


def render(name: str, fields: dict[str, object]) -> str:
    """Returns an event as one line of key=value pairs, without a line feed."""
    pairs = [f"event={name}"]
    pairs += [
        f"{key}={_render_value(value)}"
        for key, value in fields.items()
        if value is not None
    ]
    return " ".join(pairs)


def _render_value(value: object) -> str:
    text = value.decode("latin-1") if isinstance(value, bytes) else str(value)
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)
