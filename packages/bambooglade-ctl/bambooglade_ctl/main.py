"""The operators' binary: reads the command line, runs and prints.

Exit codes are those of `bambooglade_ctl.outcomes.ExitCode`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import os
import sys

import fire
import fire.core
import result

from bambooglade_ctl import access
from bambooglade_ctl import client
from bambooglade_ctl import command_line
from bambooglade_ctl import deferred
from bambooglade_ctl import explaining
from bambooglade_ctl import outcomes
from bambooglade_ctl import printing
from bambooglade_ctl.commands import budgets
from bambooglade_ctl.commands import operators
from bambooglade_ctl.commands import report
from bambooglade_ctl.commands import rows
from bambooglade_ctl.commands import settings
from bambooglade_ctl.commands import teams

NAME = "bamboogladectl"


class Commands:
    """Operates a bambooglade fleet.

    The instances and the operator's key come from the environment:
    BAMBOOGLADE_URL (base URLs, separated by commas), and
    BAMBOOGLADE_OPERATOR_KEY or BAMBOOGLADE_OPERATOR_KEY_FILE; for TLS with an
    own authority, BAMBOOGLADE_CA_FILE. Every command takes --url URLS,
    --key-file FILE and --json, wherever they stand.

    Example: bamboogladectl budgets top-up hall-3 50000 --json

    Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused; 4 conflict with
    another operator; 5 not allowed; 6 unreachable, nothing changed; 7
    uncertain, repeat with the edit id; 8 partly refused; 9 objectives burn.
    """

    def __init__(self, shared: command_line.SharedOptions) -> None:
        self._shared = shared
        self.budgets = budgets.Budgets(self._connect)
        self.operators = operators.Operators(self._connect)
        self.report = report.Report(self._connect)
        self.rows = rows.Rows(self._connect)
        self.settings = settings.Settings()
        self.teams = teams.Teams(self._connect)

    def fleet(self) -> deferred.Deferred:
        """Lists the instances and how they are.

        Example: bamboogladectl fleet --json
        """
        return self._defer(lambda ctl: ctl.fleet())

    def shards(self) -> deferred.Deferred:
        """Lists who serves each shard in each availability zone.

        Example: bamboogladectl shards
        """
        return self._defer(lambda ctl: ctl.shards())

    def targets(self) -> deferred.Deferred:
        """Lists the targets, with state, weight and load.

        Example: bamboogladectl targets
        """
        return self._defer(lambda ctl: ctl.targets())

    def explain(self, key: str) -> deferred.Deferred:
        """Tells how a request was decided, step by step.

        Example: bamboogladectl explain order-17

        Args:
            key: Key of the request.
        """
        return self._defer(lambda ctl: explaining.gather(ctl, key))

    def _defer(
        self, work: Callable[[client.OperatorClient], deferred.Outcome]
    ) -> deferred.Deferred:
        return deferred.Deferred(lambda: self._connect().and_then(work))

    def _connect(
        self,
    ) -> result.Result[client.OperatorClient, outcomes.CommandFailed]:
        granted = access.from_environment(
            os.environ,
            url=self._shared.url,
            key_file=self._shared.key_file,
        )
        return granted.map(client.OperatorClient)


def run(arguments: Sequence[str]) -> outcomes.ExitCode:
    """Runs one command, and prints its answer or its failure.

    Args:
        arguments: The command line, without the program's name.
    """
    line = command_line.split(arguments)
    try:
        chosen = fire.Fire(
            Commands(line.shared),
            command=list(line.command),
            name=NAME,
            serialize=_shown_by_fire,
        )
    except fire.core.FireExit as stopped:
        return outcomes.ExitCode(stopped.code)
    if not isinstance(chosen, deferred.Deferred):
        return outcomes.ExitCode.USAGE
    return _finish(deferred.run(chosen), is_json=line.shared.json)


def _shown_by_fire(chosen: object) -> object:
    """Leaves groups to the library, which shows their help."""
    return None if isinstance(chosen, deferred.Deferred) else chosen


def _finish(outcome: deferred.Outcome, *, is_json: bool) -> outcomes.ExitCode:
    render = printing.as_json if is_json else printing.as_text
    if isinstance(outcome, result.Err):
        failed = outcome.err_value
        text = printing.as_json(failed) if is_json else str(failed)
        sys.stderr.write(f"{text}\n")
        return failed.exit_code
    answer = outcome.ok_value
    sys.stdout.write(f"{render(answer)}\n")
    if isinstance(answer, deferred.Completed):
        return answer.exit_code
    return outcomes.ExitCode.DONE


def main() -> None:
    """Runs the command of the process's command line."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
