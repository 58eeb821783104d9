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
            prefix: Only rows whose keys begin with it.
        """
        return self._defer(lambda ctl: ctl.rows(prefix))

    def get(self, row_key: str) -> deferred.Deferred:
        """Shows one row, with its version and its last edit.

        Example: bamboogladectl rows get limit/hall-3/pantry-llm/plan

        Args:
            row_key: Key of the row.
        """
        return self._defer(
            lambda ctl: editing.find(ctl, row_key).map(
                lambda found: messages.RowList(rows=(found,))
            )
        )

    def set(
        self,
        row_key: str,
        *columns: str,
        version: str | None = None,
        edit_id: str = "",
    ) -> deferred.Deferred:
        """Sets columns of a row, or makes it.

        The edit names the version that was read first; when somebody else
        edits the row in between, it is refused and tells what they changed.

        Example: bamboogladectl rows set team/hall-3 weight=2 enabled=true

        Args:
            row_key: Key of the row.
            columns: Texts of the form column=value; an empty value stands for
                the default.
            version: Version that you saw; the current one by default.
            edit_id: Id of an edit whose answer was lost; it is made once.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda ctl: group.optional(version, name="--version").and_then(
                lambda seen: _set(
                    ctl, row_key, columns, version=seen, edit_id=edit_id
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
            version: Version that you saw; the current one by default.
            edit_id: Id of a deletion whose answer was lost.
        """
        edit_id = edit_id or group.new_edit_id()

        return self._defer(
            lambda ctl: group.optional(version, name="--version").and_then(
                lambda seen: _delete(
                    ctl, row_key, version=seen, edit_id=edit_id
                )
            )
        )

    def export(
        self, prefix: str = "", *, form: str = "toml"
    ) -> deferred.Deferred:
        """Writes the rows in force to the standard output.

        Example: bamboogladectl rows export --form csv > table.csv

        Args:
            prefix: Only rows whose keys begin with it.
            form: `toml` or `csv`.
        """
        write = sheets.write_csv if form == "csv" else sheets.write_toml
        return self._defer(
            lambda ctl: ctl.rows(prefix).map(
                lambda listed: deferred.Text(text=write(listed.rows))
            )
        )

    def import_file(self, file: str, *, edit_id: str = "") -> deferred.Deferred:
        """Writes the rows of a TOML or CSV file; reports its progress.

        Rows that are in force already are left alone; a row whose version is
        not the current one is refused, and the rest is still written.

        Example: bamboogladectl rows import table.csv

        Args:
            file: Path of the file; CSV when it ends with .csv.
            edit_id: Id of an import whose answer was lost.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda ctl: _read(file).and_then(
                lambda sheet: importing.import_sheet(
                    ctl, sheet, edit_id=edit_id, progress=_progress
                )
            )
        )


# `import` is a keyword, so that the command can't be defined by that name.
setattr(Rows, "import", Rows.import_file)
del Rows.import_file


def _set(
    ctl: client.OperatorClient,
    row_key: str,
    columns: tuple[str, ...],
    *,
    version: int | None,
    edit_id: str,
) -> deferred.Outcome:
    listed = ctl.rows(row_key)
    if isinstance(listed, result.Err):
        return listed
    by_row_key = {row.row_key: row for row in listed.ok_value.rows}
    base = by_row_key.get(row_key)
    if base is None or base.row is None:
        changed = editing.new_row(row_key, columns)
    else:
        changed = editing.with_columns(base, columns)
    if isinstance(changed, result.Err):
        return changed
    return editing.write(
        ctl,
        row_key=row_key,
        row=changed.ok_value,
        expected_version=version or (base.version if base else 0),
        edit_id=edit_id,
        base=base,
    )


def _delete(
    ctl: client.OperatorClient,
    row_key: str,
    *,
    version: int | None,
    edit_id: str,
) -> deferred.Outcome:
    return editing.find(ctl, row_key).and_then(
        lambda base: editing.write(
            ctl,
            row_key=row_key,
            row=None,
            expected_version=version or base.version,
            edit_id=edit_id,
            base=base,
        )
    )


def _read(
    file: str,
) -> result.Result[tuple[sheets.SheetRow, ...], outcomes.CommandFailed]:
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


def _progress(text: str) -> None:
    sys.stderr.write(f"{text}\n")
