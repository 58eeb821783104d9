"""Entry point of `bamboogladectl`: parses, runs and prints a command.

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

from bambooglade_ctl import client
from bambooglade_ctl import command_line
from bambooglade_ctl import connection
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
    BAMBOOGLADE_OPERATOR_KEY or BAMBOOGLADE_OPERATOR_KEY_FILE; for TLS with a
    private certificate authority, BAMBOOGLADE_CA_FILE. Every command accepts
    --url URLS, --key-file FILE and --json at any position.

    Example: bamboogladectl budgets top-up hall-3 50000 --json

    Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused; 4 conflict with
    another operator; 5 not allowed; 6 unreachable, nothing changed; 7 outcome
    uncertain, repeat with the edit id; 8 partly refused; 9 an objective uses
    up its error budget too fast.
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
        """Lists the instances and their states.

        Example: bamboogladectl fleet --json
        """
        return self._defer(lambda operator_client: operator_client.fleet())

    def shards(self) -> deferred.Deferred:
        """Lists the primary and the backup of each shard per availability zone.

        Example: bamboogladectl shards
        """
        return self._defer(lambda operator_client: operator_client.shards())

    def targets(self) -> deferred.Deferred:
        """Lists the targets, with state, weight and load.

        Example: bamboogladectl targets
        """
        return self._defer(lambda operator_client: operator_client.targets())

    def explain(self, key: str) -> deferred.Deferred:
        """Lists the decisions made on a request, in order of time.

        Example: bamboogladectl explain order-17

        Args:
            key: Key of the request.
        """
        return self._defer(
            lambda operator_client: explaining.gather(operator_client, key)
        )

    def _defer(
        self, work: Callable[[client.OperatorClient], deferred.CommandResult]
    ) -> deferred.Deferred:
        return deferred.Deferred(lambda: self._connect().and_then(work))

    def _connect(
        self,
    ) -> result.Result[client.OperatorClient, outcomes.CommandFailure]:
        connection_settings = connection.from_environment(
            os.environ,
            url=self._shared.url,
            key_file=self._shared.key_file,
        )
        return connection_settings.map(client.OperatorClient)


def run(arguments: Sequence[str]) -> outcomes.ExitCode:
    """Runs one command, and prints its output or its failure.

    Args:
        arguments: The command line, without the program's name.
    """
    line = command_line.parse(arguments)
    try:
        component = fire.Fire(
            Commands(line.shared),
            command=list(line.command),
            name=NAME,
            serialize=_serialize_for_fire,
        )
    except fire.core.FireExit as fire_exit:
        return outcomes.ExitCode(fire_exit.code)
    if not isinstance(component, deferred.Deferred):
        return outcomes.ExitCode.USAGE
    return _print_result(deferred.run(component), is_json=line.shared.json)


def _serialize_for_fire(component: object) -> object:
    """Limits the output of `fire` to the help of command groups."""
    return None if isinstance(component, deferred.Deferred) else component


def _print_result(
    command_result: deferred.CommandResult, *, is_json: bool
) -> outcomes.ExitCode:
    render = printing.as_json if is_json else printing.as_text
    if isinstance(command_result, result.Err):
        failure = command_result.err_value
        text = printing.as_json(failure) if is_json else str(failure)
        sys.stderr.write(f"{text}\n")
        return failure.exit_code
    output = command_result.ok_value
    sys.stdout.write(f"{render(output)}\n")
    if isinstance(output, deferred.OutputWithExitCode):
        return output.exit_code
    return outcomes.ExitCode.DONE


def main() -> None:
    """Runs the command of the process's command line."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
