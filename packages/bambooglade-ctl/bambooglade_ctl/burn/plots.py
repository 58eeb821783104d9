"""Plots of the report, as SVG text to be embedded in a page."""

from __future__ import annotations

import collections
import datetime
import io

from matplotlib import dates
from matplotlib import figure
from matplotlib import ticker

from bambooglade_ctl import layout
from bambooglade_ctl.burn import rates

_MS_PER_S = 1_000
_COURSE_INCHES = (7.4, 2.7)
_BAR_INCHES = 0.34
_MIN_BURN = 0.05
_COLOR_BY_MINUTES = {5: "#9ecae1", 30: "#fdbe85", 60: "#2171b5", 360: "#d94801"}
_RULE_COLOR_BY_ALERT = {
    rates.Alert.FAST: "#2171b5",
    rates.Alert.SLOW: "#d94801",
}
_COLOR_BY_OUTCOME = {
    "late": "#e6a817",
    "refused": "#7b6ba8",
    "unknown": "#c0392b",
}


def course(burn: rates.ObjectiveBurn) -> str:
    """Plots the burn rates over time, with the alerts' thresholds."""
    drawing = figure.Figure(figsize=_COURSE_INCHES, layout="constrained")
    axes = drawing.subplots()
    by_minutes: dict[int, list[rates.BurnPoint]] = collections.defaultdict(list)
    for point in burn.course:
        if point.burn_rate is not None:
            by_minutes[point.minutes].append(point)
    for minutes, points in by_minutes.items():
        axes.plot(
            [_moment(point.at_ms) for point in points],
            [max(point.burn_rate, _MIN_BURN) for point in points],
            color=_COLOR_BY_MINUTES[minutes],
            label=layout.minutes(minutes),
            linewidth=1.6 if minutes in (60, 360) else 1.0,
            marker="o" if len(points) == 1 else None,
        )
    for rule in rates.RULES:
        axes.axhline(
            rule.threshold(burn.objective),
            color=_RULE_COLOR_BY_ALERT[rule.alert],
            linestyle=(0, (4, 3)),
            linewidth=0.9,
            label=f"{rule.alert} alert",
        )
    _style_course(axes)
    return _svg(drawing)


def _style_course(axes: object) -> None:
    axes.set_yscale("log")
    axes.set_ylim(bottom=_MIN_BURN)
    axes.set_ylabel("burn rate")
    axes.yaxis.set_major_formatter(ticker.FormatStrFormatter("%g"))
    axes.xaxis.set_major_locator(dates.AutoDateLocator(minticks=3, maxticks=8))
    axes.xaxis.set_major_formatter(dates.DateFormatter("%H:%M"))
    axes.set_xlabel("time (UTC)")
    axes.grid(visible=True, color="#e5e5e5", linewidth=0.6)
    axes.spines[["top", "right"]].set_visible(False)
    axes.legend(
        loc="center left",
        bbox_to_anchor=(1.01, 0.5),
        fontsize="small",
        frameon=False,
    )


def causes(burn: rates.ObjectiveBurn) -> str:
    """Plots the bad events by cause, target and zone."""
    height = 0.7 + _BAR_INCHES * len(burn.causes)
    drawing = figure.Figure(
        figsize=(_COURSE_INCHES[0], height), layout="constrained"
    )
    axes = drawing.subplots()
    shown = list(reversed(burn.causes))
    bars = axes.barh(
        [cause_name(one) for one in shown],
        [one.count for one in shown],
        color=[_COLOR_BY_OUTCOME[one.cause.split("/")[0]] for one in shown],
        height=0.7,
    )
    axes.bar_label(bars, padding=3, fontsize="small")
    axes.margins(x=0.1)
    axes.set_xlabel("bad events within 6 h")
    axes.spines[["top", "right"]].set_visible(False)
    axes.xaxis.set_major_locator(ticker.MaxNLocator(integer=True))
    return _svg(drawing)


def cause_name(one: rates.CauseCount) -> str:
    """Names a cause with its place.

    Examples:
        >>> cause_name(rates.CauseCount(cause="late", target_id="e1",
        ...     availability_zone="scot-a", count=3))
        'late, e1 in scot-a'
        >>> cause_name(rates.CauseCount(cause="refused/overloaded",
        ...     target_id="", availability_zone="scot-a", count=3))
        'refused/overloaded, no target, scot-a'
    """
    if one.target_id:
        return f"{one.cause}, {one.target_id} in {one.availability_zone}"
    return f"{one.cause}, no target, {one.availability_zone}"


def _moment(at_ms: int) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(at_ms / _MS_PER_S, tz=datetime.UTC)


def _svg(drawing: figure.Figure) -> str:
    text = io.StringIO()
    drawing.savefig(text, format="svg", metadata={"Date": None})
    # The XML declaration does not belong inside a page.
    return text.getvalue()[text.getvalue().index("<svg") :]
