"""Rendering of tables, times and numbers as text."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import datetime

_MS_PER_S = 1_000


def table(header: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """Aligns lines in columns below a header.

    Examples:
        >>> print(table(("A", "B"), [("longer", "x")]))
        A       B
        longer  x
    """
    cells = [header, *lines]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def timestamp(at_ms: int | None) -> str:
    """Renders a time as ISO 8601 in UTC, or `-` for None.

    Examples:
        >>> timestamp(1_700_000_000_250)
        '2023-11-14T22:13:20.250Z'
    """
    if at_ms is None:
        return "-"
    at = datetime.datetime.fromtimestamp(at_ms / _MS_PER_S, tz=datetime.UTC)
    text = at.isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")


def window_length(count: int) -> str:
    """Renders the length of a window given in minutes.

    Examples:
        >>> window_length(30), window_length(360)
        ('30 min', '6 h')
    """
    return f"{count} min" if count < 60 else f"{count // 60} h"


def burn_rate(rate: float | None) -> str:
    """Renders a burn rate, or `-` if there were no events.

    Examples:
        >>> burn_rate(14.42), burn_rate(None)
        ('14.4', '-')
    """
    return "-" if rate is None else f"{rate:.1f}"
