"""Parsing of the options that all commands share."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from collections.abc import Sequence

from fire import parser
import msgspec


class SharedOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of every command.

    Attributes:
        url: Base URLs of instances, separated by commas; None to use those
            of the environment.
        key_file: File that holds the operator's key; None to use
            that of the environment.
        json: Whether output and failures are printed as JSON.
    """

    url: str | None = None
    key_file: str | None = None
    json: bool = False


class CommandLine(msgspec.Struct, frozen=True, kw_only=True):
    """A command line, split into shared options and the command."""

    shared: SharedOptions
    command: tuple[str, ...]


def parse(arguments: Sequence[str]) -> CommandLine:
    """Separates the shared options from the command, at any position.

    Examples:
        >>> line = parse(["rows", "--json", "get", "team/7"])
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
        command=tuple(_quoted_literals(command)),
    )


def _quoted_literals(arguments: Sequence[str]) -> Iterator[str]:
    """Quotes arguments that `fire` would not parse as strings.

    A team may be named `7`, and `007` must not become the number 7.
    """
    for argument in arguments:
        flag, separator, value = argument.partition("=")
        if flag.startswith("--") and separator:
            yield f"{flag}={_quoted(value)}"
        else:
            yield _quoted(argument)


def _quoted(text: str) -> str:
    return text if parser.DefaultParseValue(text) == text else repr(text)
