"""The report as one self-contained HTML page."""

from __future__ import annotations

import html

from bambooglade_ctl import layout
from bambooglade_ctl.burn import plots
from bambooglade_ctl.burn import rates

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #222; margin: 2rem auto;
  max-width: 56rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; }
h2 { font-size: 1.15rem; margin: 2.2rem 0 .4rem; }
p { margin: .3rem 0; color: #555; }
table { border-collapse: collapse; margin: .6rem 0 1rem; width: 100%; }
th, td { padding: .3rem .7rem; border-bottom: 1px solid #e2e2e2;
  text-align: right; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child { text-align: left; }
th { font-weight: 600; background: #f6f6f4; }
svg { width: 100%; height: auto; display: block; }
.alert { border-radius: .6rem; padding: .1rem .6rem; font-size: .85rem;
  white-space: nowrap; }
.none { background: #e3f1e4; color: #22612b; }
.slow { background: #fdead2; color: #8a4b06; }
.fast { background: #fbdcd9; color: #98231a; }
.partial { color: #888; }
"""
_MEANING_BY_ALERT = {
    rates.Alert.FAST: "burns fast: act immediately",
    rates.Alert.SLOW: "burns slowly: act today",
    rates.Alert.NONE: "within its budget",
}


def render(report: rates.BurnReport) -> str:
    """Renders the report as an HTML page."""
    sections = "".join(map(_section, report.objectives))
    if not report.objectives:
        sections = (
            "<p>No objectives are configured. Add rows of the type "
            "<code>objective</code> to the table.</p>"
        )
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width">'
        f"<title>Service-level burn</title><style>{_STYLE}</style></head>\n"
        f"<body><h1>Service-level burn</h1>{_summary(report)}"
        f"{_overview(report)}{sections}</body></html>\n"
    )


def _summary(report: rates.BurnReport) -> str:
    unreachable = ", ".join(report.unreachable) or "none"
    return (
        f"<p>{layout.timestamp(report.from_ms)} to "
        f"{layout.timestamp(report.at_ms)}, "
        f"instances read: {report.instances}; not reached: "
        f"{html.escape(unreachable)}.</p>"
    )


def _overview(report: rates.BurnReport) -> str:
    if not report.objectives:
        return ""
    header = "".join(
        f"<th>{layout.window_length(minutes)}</th>"
        for minutes in rates.WINDOWS_MINUTES
    )
    lines = "".join(
        f"<tr><td>{_name(burn)}</td>{''.join(map(_cell, burn.windows))}"
        f"<td>{_badge(burn.alert)}</td></tr>"
        for burn in report.objectives
    )
    return (
        f"<table><tr><th>Objective (burn rate by window)</th>{header}"
        f"<th>State</th></tr>{lines}</table>"
        '<p class="partial">* The history does not cover the whole '
        "window.</p>"
    )


def _cell(window: rates.WindowBurn) -> str:
    return (
        f"<td>{layout.burn_rate(window.burn_rate)}{_coverage_mark(window)}</td>"
    )


def _coverage_mark(window: rates.WindowBurn) -> str:
    return "" if window.is_covered else '<span class="partial">*</span>'


def _badge(alert: rates.Alert) -> str:
    return f'<span class="alert {alert}">{_MEANING_BY_ALERT[alert]}</span>'


def _name(burn: rates.ObjectiveBurn) -> str:
    row = burn.objective
    return html.escape(f"{row.service} / {row.request_kind}")


def _section(burn: rates.ObjectiveBurn) -> str:
    row = burn.objective
    objective_text = (
        f"{row.share * 100:g}% of requests within {row.threshold_ms} ms, "
        f"over {row.window_days} days."
    )
    longest = burn.windows[-1]
    events = f"Last 6 h: {longest.good} good and {longest.bad} bad events."
    charts = (
        plots.burn_rate_chart(burn) + plots.causes_chart(burn)
        if burn.causes
        else ""
    )
    return (
        f"<h2>{_name(burn)} {_badge(burn.alert)}</h2>"
        f"<p>{objective_text} {events}</p>{charts}"
    )
