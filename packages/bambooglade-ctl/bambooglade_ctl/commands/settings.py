"""Commands on settings files."""

from __future__ import annotations

import msgspec
import result

from bambooglade.router import settings_reader
from bambooglade_ctl import deferred
from bambooglade_ctl import outcomes


class ValidSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of the instance in a valid settings file."""

    file: str
    instance: str
    availability_zone: str


class Settings:
    """Validate settings files."""

    def check(self, file: str) -> deferred.Deferred:
        """Checks a settings file and lists all errors in it.

        Example: bamboogladectl settings check /etc/bambooglade.toml

        Args:
            file: Path of the TOML file.
        """
        return deferred.Deferred(lambda: _check(file))


def _check(file: str) -> deferred.CommandResult:
    loaded = settings_reader.load(file)
    if isinstance(loaded, result.Err):
        invalid = loaded.err_value
        return result.Err(
            outcomes.refused(
                f"{invalid.detail}\n{invalid}", remedy=invalid.remedy
            )
        )
    instance = loaded.ok_value.instance
    return result.Ok(
        ValidSettings(
            file=file,
            instance=instance.name,
            availability_zone=instance.availability_zone,
        )
    )
