"""What is read from the command line before the commands see it."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from collections.abc import Sequence

from fire import parser
import msgspec


class SharedOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of every command.

    Attributes:
        url: Base URLs of instances, separated by commas; None for those of
            the environment.
        key_file: File that holds the operator's key; None for the
            environment's.
        json: Whether answers and failures are printed as JSON.
    """

    url: str | None = None
    key_file: str | None = None
    json: bool = False


class CommandLine(msgspec.Struct, frozen=True, kw_only=True):
    """A command line, split."""

    shared: SharedOptions
    command: tuple[str, ...]


def split(arguments: Sequence[str]) -> CommandLine:
    """Takes the shared options out, wherever they stand.

    Examples:
        >>> line = split(["rows", "--json", "get", "team/7"])
        >>> line.shared.json, line.command
        (True, ('rows', 'get', 'team/7'))
    """
    options = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    options.add_argument("--url")
    options.add_argument("--key-file", "--key_file")
    options.add_argument("--json", action="store_true")
    shared, command = options.parse_known_args(list(arguments))
    return CommandLine(
        shared=SharedOptions(**vars(shared)),
        command=tuple(_as_texts(command)),
    )


def _as_texts(arguments: Sequence[str]) -> Iterator[str]:
    """Quotes what the command line library would not leave a text.

    A team may be called `7`, and `007` is not the number 7.
    """
    for argument in arguments:
        flag, separator, value = argument.partition("=")
        if flag.startswith("--") and separator:
            yield f"{flag}={_quoted(value)}"
        else:
            yield _quoted(argument)


def _quoted(text: str) -> str:
    return text if parser.DefaultParseValue(text) == text else repr(text)
