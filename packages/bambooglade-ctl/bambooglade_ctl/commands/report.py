"""The report on service-level burn, as a command."""

from __future__ import annotations

import pathlib
import threading

import msgspec
import result

from bambooglade.core import clock as clocks
from bambooglade_ctl import client
from bambooglade_ctl import deferred
from bambooglade_ctl import outcomes
from bambooglade_ctl.burn import events
from bambooglade_ctl.burn import history
from bambooglade_ctl.burn import rates
from bambooglade_ctl.burn import scraping
from bambooglade_ctl.commands import group

DEFAULT_PAUSE_S = "10"


class Collected(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshots were added to a history."""

    history: str
    snapshots: int
    unreachable: tuple[str, ...]


class Report(group.Group):
    """Report on service-level objectives."""

    def collect(
        self, history: str, *, every_s: str = "30", count: str = "1"
    ) -> deferred.Deferred:
        """Reads the metrics of all instances and adds them to a history.

        Run it each minute, or let it repeat itself.

        Example: bamboogladectl report collect burn.jsonl --count 720

        Args:
            history: File of JSON lines; it is made when it is missing.
            every_s: Pause between two readings, in seconds.
            count: Number of readings.
        """
        path = pathlib.Path(history)
        return self._defer(
            lambda ctl: group.positive(every_s, name="--every-s").and_then(
                lambda pause_s: group.positive(count, name="--count").and_then(
                    lambda number: _collect(
                        ctl, path, pause_s=pause_s, count=number
                    )
                )
            )
        )

    def burn(
        self,
        *,
        history: str = "",
        html: str = "",
        pause_s: str = DEFAULT_PAUSE_S,
    ) -> deferred.Deferred:
        """Reports how fast each objective uses up its error budget.

        With a history it reports on the snapshots in it, without asking any
        instance; without one it reads the metrics twice. The exit code is 9
        when an objective burns too fast.

        Example: bamboogladectl report burn --history burn.jsonl --html b.html

        Args:
            history: File that `report collect` wrote.
            html: File to write the report to, as a page with plots.
            pause_s: Without a history, time between the readings in seconds.
        """
        if history:
            return deferred.Deferred(
                lambda: _kept(pathlib.Path(history)).and_then(
                    lambda snapshots: _report(snapshots, html)
                )
            )
        return self._defer(
            lambda ctl: group.positive(pause_s, name="--pause-s").and_then(
                lambda pause: _twice(ctl, pause_s=pause).and_then(
                    lambda snapshots: _report(snapshots, html)
                )
            )
        )


def _collect(
    ctl: client.OperatorClient, path: pathlib.Path, *, pause_s: int, count: int
) -> deferred.Outcome:
    clock = clocks.Clock()
    pause = threading.Event()
    for number in range(count):
        if number:
            pause.wait(pause_s)
        kept = history.load(path)
        if isinstance(kept, result.Err):
            return kept
        taken = scraping.take(ctl, at_ms=clock.now_ms())
        if isinstance(taken, result.Err):
            return taken
        snapshots = history.append(path, kept.ok_value, taken.ok_value)
    return result.Ok(
        Collected(
            history=str(path),
            snapshots=len(snapshots),
            unreachable=snapshots[-1].unreachable,
        )
    )


def _twice(
    ctl: client.OperatorClient, *, pause_s: int
) -> result.Result[tuple[events.Snapshot, ...], outcomes.CommandFailed]:
    clock = clocks.Clock()
    first = scraping.take(ctl, at_ms=clock.now_ms())
    if isinstance(first, result.Err):
        return first
    threading.Event().wait(pause_s)
    second = scraping.take(ctl, at_ms=clock.now_ms())
    return second.map(lambda taken: (first.ok_value, taken))


def _kept(
    path: pathlib.Path,
) -> result.Result[tuple[events.Snapshot, ...], outcomes.CommandFailed]:
    kept = history.load(path)
    if kept == result.Ok(()):
        return result.Err(
            outcomes.refused(
                f"The history {str(path)!r} has no snapshots.",
                remedy="Run `bamboogladectl report collect` first.",
            )
        )
    return kept


def _report(
    snapshots: tuple[events.Snapshot, ...], html: str
) -> deferred.Outcome:
    report = rates.report(snapshots)
    if html:
        # The plots' library takes most of a second to import.
        from bambooglade_ctl.burn import page

        try:
            pathlib.Path(html).write_text(page.render(report), encoding="utf-8")
        except OSError as error:
            return result.Err(
                outcomes.refused(
                    f"{html!r} can't be written: {error.strerror}.",
                    remedy="Give a path that can be written.",
                )
            )
    if not report.is_burning:
        return result.Ok(report)
    return result.Ok(
        deferred.Completed(answer=report, exit_code=outcomes.ExitCode.BURNING)
    )
