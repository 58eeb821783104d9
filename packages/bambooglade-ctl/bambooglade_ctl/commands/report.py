"""Commands that report on the error budgets of objectives."""

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


class CollectionSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of adding snapshots to a history."""

    history: str
    snapshots: int
    unreachable: tuple[str, ...]


class Report(group.Group):
    """Report on service-level objectives."""

    def collect(
        self, history: str, *, every_s: str = "30", count: str = "1"
    ) -> deferred.Deferred:
        """Reads the metrics of all instances and adds them to a history.

        Run it every minute, or use --count to take several snapshots.

        Example: bamboogladectl report collect burn.jsonl --count 720

        Args:
            history: File of JSON lines; created if it does not exist.
            every_s: Interval between two snapshots, in seconds.
            count: Number of snapshots.
        """
        path = pathlib.Path(history)
        return self._defer(
            lambda operator_client: group.parse_positive(
                every_s, name="--every-s"
            ).and_then(
                lambda pause_s: group.parse_positive(
                    count, name="--count"
                ).and_then(
                    lambda number: _collect(
                        operator_client, path, pause_s=pause_s, count=number
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

        With a history, it reports on the stored snapshots and contacts no
        instance; without one, it reads the metrics twice. The exit code is 9
        if an objective uses up its error budget too fast.

        Example: bamboogladectl report burn --history burn.jsonl --html b.html

        Args:
            history: File that `report collect` wrote.
            html: File to write the report to, as an HTML page with plots.
            pause_s: Without a history, time between the two readings, in
                seconds.
        """
        if history:
            return deferred.Deferred(
                lambda: _load_snapshots(pathlib.Path(history)).and_then(
                    lambda snapshots: _write_report(snapshots, html)
                )
            )
        return self._defer(
            lambda operator_client: group.parse_positive(
                pause_s, name="--pause-s"
            ).and_then(
                lambda pause: _read_snapshot_pair(
                    operator_client, pause_s=pause
                ).and_then(lambda snapshots: _write_report(snapshots, html))
            )
        )


def _collect(
    operator_client: client.OperatorClient,
    path: pathlib.Path,
    *,
    pause_s: int,
    count: int,
) -> deferred.CommandResult:
    clock = clocks.Clock()
    pause = threading.Event()
    for number in range(count):
        if number:
            pause.wait(pause_s)
        loaded = history.load(path)
        if isinstance(loaded, result.Err):
            return loaded
        snapshot = scraping.take_snapshot(operator_client, at_ms=clock.now_ms())
        if isinstance(snapshot, result.Err):
            return snapshot
        snapshots = history.append(path, loaded.ok_value, snapshot.ok_value)
    return result.Ok(
        CollectionSummary(
            history=str(path),
            snapshots=len(snapshots),
            unreachable=snapshots[-1].unreachable,
        )
    )


def _read_snapshot_pair(
    operator_client: client.OperatorClient, *, pause_s: int
) -> result.Result[tuple[events.Snapshot, ...], outcomes.CommandFailure]:
    clock = clocks.Clock()
    first = scraping.take_snapshot(operator_client, at_ms=clock.now_ms())
    if isinstance(first, result.Err):
        return first
    threading.Event().wait(pause_s)
    second = scraping.take_snapshot(operator_client, at_ms=clock.now_ms())
    return second.map(lambda snapshot: (first.ok_value, snapshot))


def _load_snapshots(
    path: pathlib.Path,
) -> result.Result[tuple[events.Snapshot, ...], outcomes.CommandFailure]:
    loaded = history.load(path)
    if loaded == result.Ok(()):
        return result.Err(
            outcomes.refused(
                f"The history {str(path)!r} has no snapshots.",
                remedy="Run `bamboogladectl report collect` first.",
            )
        )
    return loaded


def _write_report(
    snapshots: tuple[events.Snapshot, ...], html: str
) -> deferred.CommandResult:
    report = rates.report(snapshots)
    if html:
        # Importing matplotlib takes most of a second, so it is imported only
        # for plots.
        from bambooglade_ctl.burn import page

        try:
            pathlib.Path(html).write_text(page.render(report), encoding="utf-8")
        except OSError as error:
            return result.Err(
                outcomes.refused(
                    f"{html!r} can't be written: {error.strerror}.",
                    remedy="Pass a writable path.",
                )
            )
    if not report.is_burning:
        return result.Ok(report)
    return result.Ok(
        deferred.OutputWithExitCode(
            output=report, exit_code=outcomes.ExitCode.BURNING
        )
    )
