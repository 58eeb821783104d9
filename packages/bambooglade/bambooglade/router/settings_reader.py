"""Reads and validates a settings file, and reports all its mistakes at once."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import difflib
import ipaddress
import pathlib
import tomllib
from typing import ClassVar

import msgspec
import result

from bambooglade.core import failures
from bambooglade.router import settings

MIN_SHARED_KEY_CHARS = 32
_FILE_KEYS = ("certificate_file", "key_file", "ca_file")


class Mistake(msgspec.Struct, frozen=True, kw_only=True):
    """One mistake in a settings file.

    Attributes:
        file: Path of the file.
        key: Section and key, for instance `instance.port`.
        problem: The invalid value or state; never contains a secret.
        remedy: How to correct it.
    """

    file: str
    key: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.problem}. {self.remedy}"


class SettingsInvalid(failures.Failure, frozen=True, kw_only=True):
    """The settings file is not valid; `mistakes` lists all its mistakes."""

    kind: ClassVar[str] = "settings_invalid"
    remedy: ClassVar[str] = "Correct the listed keys and start again."

    mistakes: tuple[Mistake, ...] = ()

    def __str__(self) -> str:
        return "\n".join(str(mistake) for mistake in self.mistakes)


def load(
    path: str | pathlib.Path,
) -> result.Result[settings.Settings, SettingsInvalid]:
    """Reads the settings of an instance.

    Args:
        path: The TOML file.

    Returns:
        The settings, or every mistake in the file.

    Examples:
        >>> print(load("/nonexistent.toml").unwrap_err())
        /nonexistent.toml: (file): cannot be read. Check the path and its
        permissions.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        return _settings_invalid(
            Mistake(
                file=str(path),
                key="(file)",
                problem="cannot be read",
                remedy="Check the path and its permissions.",
            )
        )
    return parse(text, file=str(path))


def parse(
    text: str, *, file: str
) -> result.Result[settings.Settings, SettingsInvalid]:
    """Parses and validates the text of a settings file.

    Args:
        text: The text, in TOML.
        file: Path of the file, for error messages.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return _settings_invalid(
            Mistake(
                file=file,
                key="(file)",
                problem=f"is not TOML: {error}",
                remedy="Correct the line that the message names.",
            )
        )
    validator = _Validator(file)
    mistakes = tuple(validator.mistakes(document))
    if mistakes:
        return _settings_invalid(*mistakes)
    return result.Ok(
        msgspec.convert(document, settings.Settings, dec_hook=_decode_secret)
    )


def _settings_invalid(*mistakes: Mistake) -> result.Err[SettingsInvalid]:
    count = len(mistakes)
    return result.Err(
        SettingsInvalid(
            detail=f"{count} mistake{'s' if count > 1 else ''} found.",
            mistakes=mistakes,
        )
    )


def _decode_secret(expected_type: type, value: object) -> settings.Secret:
    if expected_type is not settings.Secret:
        raise NotImplementedError(expected_type)
    if not isinstance(value, str):
        raise TypeError("Expected `str`")
    return settings.Secret(value)


class _Validator:
    """Finds the mistakes in a decoded file, in the order of the sections."""

    __slots__ = ("_file",)

    def __init__(self, file: str) -> None:
        self._file = file

    def mistakes(self, document: Mapping[str, object]) -> Iterator[Mistake]:
        """Yields the mistakes of all sections."""
        sections = msgspec.structs.fields(settings.Settings)
        yield from self._unknown_key_mistakes(
            "", document, [s.name for s in sections]
        )
        for section in sections:
            values = document.get(section.name, {})
            if isinstance(values, Mapping):
                yield from self._section_mistakes(
                    section.name, section.type, values
                )
                continue
            yield self._mistake(
                section.name,
                "is not a section",
                f"Write it as [{section.name}] with keys below it.",
            )
        yield from self._address_mistakes(document.get("instance"))
        yield from self._security_mistakes(document.get("security"))

    def _section_mistakes(
        self, name: str, struct: type, values: Mapping[str, object]
    ) -> Iterator[Mistake]:
        fields = msgspec.structs.fields(struct)
        yield from self._unknown_key_mistakes(
            name, values, [f.name for f in fields]
        )
        for field in fields:
            key = f"{name}.{field.name}"
            expected = _expected_value(field.type)
            if field.name in values:
                yield from self._value_mistakes(
                    key, field.type, values[field.name]
                )
            elif field.required:
                remedy = f"Set it to {expected}."
                yield self._mistake(key, "is missing", remedy)

    def _value_mistakes(
        self, key: str, expected_type: type, value: object
    ) -> Iterator[Mistake]:
        try:
            msgspec.convert(value, expected_type, dec_hook=_decode_secret)
        except (msgspec.ValidationError, TypeError):
            repr_suffix = "" if _is_secret(expected_type) else f" {value!r}"
            yield self._mistake(
                key,
                f"the value{repr_suffix} is not valid",
                f"Set it to {_expected_value(expected_type)}.",
            )

    def _unknown_key_mistakes(
        self, section: str, values: Mapping[str, object], known: list[str]
    ) -> Iterator[Mistake]:
        prefix = f"{section}." if section else ""
        for key in values:
            if key in known:
                continue
            matches = difflib.get_close_matches(key, known, n=1)
            remedy = (
                f"Did you mean {prefix}{matches[0]}?"
                if matches
                else f"Remove it; the known keys are: {', '.join(known)}."
            )
            yield self._mistake(f"{prefix}{key}", "is not known", remedy)

    def _address_mistakes(self, instance: object) -> Iterator[Mistake]:
        if not isinstance(instance, Mapping):
            return
        host = instance.get("host")
        if isinstance(host, str) and not _is_ip_address(host):
            yield self._mistake(
                "instance.host",
                f"{host!r} is not an IP address",
                'Set it to the IP address to listen on, such as "127.0.0.1".',
            )
        seeds = instance.get("seeds", [])
        for seed in seeds if isinstance(seeds, list) else []:
            if isinstance(seed, str) and not _is_peer_address(seed):
                yield self._mistake(
                    "instance.seeds",
                    f"{seed!r} is not an IP address and a port",
                    'Write each as "ip:port", such as "127.0.0.1:8080".',
                )
        if instance.get("arbiter_zones") == []:
            yield self._mistake(
                "instance.arbiter_zones",
                "is empty",
                "List the availability zones of the deployment.",
            )

    def _security_mistakes(self, security: object) -> Iterator[Mistake]:
        if not isinstance(security, Mapping):
            return
        for name in ("shared_key", "previous_shared_key"):
            key = security.get(name)
            if isinstance(key, str) and len(key) < MIN_SHARED_KEY_CHARS:
                yield self._mistake(
                    f"security.{name}",
                    f"has {len(key)} characters",
                    f"Use a random key of {MIN_SHARED_KEY_CHARS} or more.",
                )
        present = [name for name in _FILE_KEYS if security.get(name)]
        if present and len(present) < len(_FILE_KEYS):
            missing = [name for name in _FILE_KEYS if name not in present]
            yield self._mistake(
                "security." + missing[0],
                f"is missing while {' and '.join(present)} is set",
                f"Set all of {', '.join(_FILE_KEYS)}, or none.",
            )
        yield from self._file_mistakes(security)

    def _file_mistakes(
        self, security: Mapping[str, object]
    ) -> Iterator[Mistake]:
        for name in _FILE_KEYS:
            path = security.get(name)
            if isinstance(path, str) and not pathlib.Path(path).is_file():
                yield self._mistake(
                    f"security.{name}",
                    f"there is no file at {path!r}",
                    "Give the path of a PEM file that the process can read.",
                )

    def _mistake(self, key: str, problem: str, remedy: str) -> Mistake:
        return Mistake(file=self._file, key=key, problem=problem, remedy=remedy)


def _expected_value(expected_type: type) -> str:
    """Describes the expected value of a field, for example in a remedy."""
    if _is_secret(expected_type):
        return f"a random string of {MIN_SHARED_KEY_CHARS} characters or more"
    arguments = getattr(expected_type, "__args__", ())
    for part in (expected_type, *arguments):
        for constraint in getattr(part, "__metadata__", ()):
            text = constraint.description or "a value of the documented type"
            is_list = getattr(expected_type, "__origin__", None) is tuple
            return f"a list; each is {text}" if is_list else text
    return "a quoted string"


def _is_secret(expected_type: type) -> bool:
    return settings.Secret in (
        expected_type,
        *getattr(expected_type, "__args__", ()),
    )


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_peer_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return _is_ip_address(host.strip("[]")) and port.isdigit()
