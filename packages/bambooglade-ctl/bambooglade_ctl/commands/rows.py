"""Commands on the rows of the operators' table."""

from __future__ import annotations

import pathlib
import sys

import result

from bambooglade.router import operator_messages as messages
from bambooglade_ctl import client
from bambooglade_ctl import deferred
from bambooglade_ctl import editing
from bambooglade_ctl import importing
from bambooglade_ctl import outcomes
from bambooglade_ctl import sheets
from bambooglade_ctl.commands import group


class Rows(group.Group):
    """List, read, write, import and export the rows of the table."""

    def list(self, prefix: str = "") -> deferred.Deferred:
        """Lists the rows in force.

        Example: bamboogladectl rows list team/

        Args:
            prefix: Restricts the output to rows whose keys start with it.
        """
        return self._defer(lambda operator_client: operator_client.rows(prefix))

    def get(self, row_key: str) -> deferred.Deferred:
        """Shows one row, with its version and its last edit.

        Example: bamboogladectl rows get limit/hall-3/pantry-llm/plan

        Args:
            row_key: Key of the row.
        """
        return self._defer(
            lambda operator_client: editing.find_row(
                operator_client, row_key
            ).map(lambda versioned: messages.RowList(rows=(versioned,)))
        )

    def set(
        self,
        row_key: str,
        *columns: str,
        version: str | None = None,
        edit_id: str = "",
    ) -> deferred.Deferred:
        """Sets columns of a row, and creates the row if it does not exist.

        The edit applies to the version that was read first. If another operator
        edits the row in the meantime, the edit is refused and the conflicting
        change is printed.

        Example: bamboogladectl rows set team/hall-3 weight=2 enabled=true

        Args:
            row_key: Key of the row.
            columns: Texts of the form column=value; an empty value resets the
                column to its default.
            version: Expected version of the row; the current one by default.
            edit_id: Id of an edit whose response was lost; it is applied only
                once.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda operator_client: group.parse_optional_positive(
                version, name="--version"
            ).and_then(
                lambda seen_version: _set(
                    operator_client,
                    row_key,
                    columns,
                    version=seen_version,
                    edit_id=edit_id,
                )
            )
        )

    def delete(
        self,
        row_key: str,
        *,
        version: str | None = None,
        edit_id: str = "",
    ) -> deferred.Deferred:
        """Deletes a row.

        Example: bamboogladectl rows delete target/engine-9

        Args:
            row_key: Key of the row.
            version: Expected version of the row; the current one by default.
            edit_id: Id of a deletion whose response was lost.
        """
        edit_id = edit_id or group.new_edit_id()

        return self._defer(
            lambda operator_client: group.parse_optional_positive(
                version, name="--version"
            ).and_then(
                lambda seen_version: _delete(
                    operator_client,
                    row_key,
                    version=seen_version,
                    edit_id=edit_id,
                )
            )
        )

    def export(
        self, prefix: str = "", *, form: str = "toml"
    ) -> deferred.Deferred:
        """Writes the rows in force to standard output.

        Example: bamboogladectl rows export --form csv > table.csv

        Args:
            prefix: Restricts the output to rows whose keys start with it.
            form: `toml` or `csv`.
        """
        write = sheets.write_csv if form == "csv" else sheets.write_toml
        return self._defer(
            lambda operator_client: operator_client.rows(prefix).map(
                lambda row_list: deferred.TextOutput(text=write(row_list.rows))
            )
        )

    def import_file(self, file: str, *, edit_id: str = "") -> deferred.Deferred:
        """Writes the rows of a TOML or CSV file, and reports the progress.

        Rows that already have these values are skipped. A row whose version is
        not the current one is refused; the other rows are still written.

        Example: bamboogladectl rows import table.csv

        Args:
            file: Path of the file; parsed as CSV if it ends with .csv.
            edit_id: Id of an import whose response was lost.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda operator_client: _read_sheet_file(file).and_then(
                lambda sheet: importing.import_sheet(
                    operator_client,
                    sheet,
                    edit_id=edit_id,
                    report_progress=_print_progress,
                )
            )
        )


# `import` is a keyword, so the method can't be defined under that name.
setattr(Rows, "import", Rows.import_file)
del Rows.import_file


def _set(
    operator_client: client.OperatorClient,
    row_key: str,
    columns: tuple[str, ...],
    *,
    version: int | None,
    edit_id: str,
) -> deferred.CommandResult:
    row_list = operator_client.rows(row_key)
    if isinstance(row_list, result.Err):
        return row_list
    by_row_key = {row.row_key: row for row in row_list.ok_value.rows}
    base = by_row_key.get(row_key)
    if base is None or base.row is None:
        new_row = editing.new_row(row_key, columns)
    else:
        new_row = editing.with_columns(base, columns)
    if isinstance(new_row, result.Err):
        return new_row
    return editing.write_row(
        operator_client,
        row_key=row_key,
        row=new_row.ok_value,
        expected_version=version or (base.version if base else 0),
        edit_id=edit_id,
        base=base,
    )


def _delete(
    operator_client: client.OperatorClient,
    row_key: str,
    *,
    version: int | None,
    edit_id: str,
) -> deferred.CommandResult:
    return editing.find_row(operator_client, row_key).and_then(
        lambda base: editing.write_row(
            operator_client,
            row_key=row_key,
            row=None,
            expected_version=version or base.version,
            edit_id=edit_id,
            base=base,
        )
    )


def _read_sheet_file(
    file: str,
) -> result.Result[tuple[sheets.SheetRow, ...], outcomes.CommandFailure]:
    path = pathlib.Path(file)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        return result.Err(
            outcomes.refused(
                f"{file!r} can't be read.",
                remedy="Check the path and its permissions.",
            )
        )
    return sheets.read_sheet(text, is_csv=path.suffix.lower() == ".csv")


def _print_progress(text: str) -> None:
    sys.stderr.write(f"{text}\n")
