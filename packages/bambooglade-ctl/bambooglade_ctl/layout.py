"""Columns and times, as text."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import datetime

_MS_PER_S = 1_000


def table(header: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """Sets lines in columns.

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


def moment(at_ms: int | None) -> str:
    """Renders a time as ISO 8601 in UTC; `-` for none.

    Examples:
        >>> moment(1_700_000_000_250)
        '2023-11-14T22:13:20.250Z'
    """
    if at_ms is None:
        return "-"
    at = datetime.datetime.fromtimestamp(at_ms / _MS_PER_S, tz=datetime.UTC)
    text = at.isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")


def minutes(count: int) -> str:
    """Renders the length of a window.

    Examples:
        >>> minutes(30), minutes(360)
        ('30 min', '6 h')
    """
    return f"{count} min" if count < 60 else f"{count // 60} h"


def burn_rate(rate: float | None) -> str:
    """Renders a burn rate; `-` when there were no events.

    Examples:
        >>> burn_rate(14.42), burn_rate(None)
        ('14.4', '-')
    """
    return "-" if rate is None else f"{rate:.1f}"
