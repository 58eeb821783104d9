"""Charts of the report, as SVG text to embed in an HTML page."""

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
_CHART_INCHES = (7.4, 2.7)
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


def burn_rate_chart(burn: rates.ObjectiveBurn) -> str:
    """Plots the burn rates over time, with the thresholds of the alerts."""
    chart = figure.Figure(figsize=_CHART_INCHES, layout="constrained")
    axes = chart.subplots()
    by_minutes: dict[int, list[rates.BurnPoint]] = collections.defaultdict(list)
    for point in burn.course:
        if point.burn_rate is not None:
            by_minutes[point.minutes].append(point)
    for minutes, points in by_minutes.items():
        axes.plot(
            [_utc_datetime(point.at_ms) for point in points],
            [max(point.burn_rate, _MIN_BURN) for point in points],
            color=_COLOR_BY_MINUTES[minutes],
            label=layout.window_length(minutes),
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
    _style_burn_rate_axes(axes)
    return _svg(chart)


def _style_burn_rate_axes(axes: object) -> None:
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


def causes_chart(burn: rates.ObjectiveBurn) -> str:
    """Plots the bad events by cause, target and zone."""
    height = 0.7 + _BAR_INCHES * len(burn.causes)
    chart = figure.Figure(
        figsize=(_CHART_INCHES[0], height), layout="constrained"
    )
    axes = chart.subplots()
    shown = list(reversed(burn.causes))
    bars = axes.barh(
        [cause_name(cause) for cause in shown],
        [cause.count for cause in shown],
        color=[_COLOR_BY_OUTCOME[cause.cause.split("/")[0]] for cause in shown],
        height=0.7,
    )
    axes.bar_label(bars, padding=3, fontsize="small")
    axes.margins(x=0.1)
    axes.set_xlabel("bad events within 6 h")
    axes.spines[["top", "right"]].set_visible(False)
    axes.xaxis.set_major_locator(ticker.MaxNLocator(integer=True))
    return _svg(chart)


def cause_name(cause: rates.CauseCount) -> str:
    """Returns the label of a cause, with its target and zone.

    Examples:
        >>> cause_name(rates.CauseCount(cause="late", target_id="e1",
        ...     availability_zone="scot-a", count=3))
        'late, e1 in scot-a'
        >>> cause_name(rates.CauseCount(cause="refused/overloaded",
        ...     target_id="", availability_zone="scot-a", count=3))
        'refused/overloaded, no target, scot-a'
    """
    if cause.target_id:
        return f"{cause.cause}, {cause.target_id} in {cause.availability_zone}"
    return f"{cause.cause}, no target, {cause.availability_zone}"


def _utc_datetime(at_ms: int) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(at_ms / _MS_PER_S, tz=datetime.UTC)


def _svg(chart: figure.Figure) -> str:
    text = io.StringIO()
    chart.savefig(text, format="svg", metadata={"Date": None})
    # An XML declaration is not allowed inside an HTML page.
    return text.getvalue()[text.getvalue().index("<svg") :]
