"""Base URLs of the instances and the operator's key."""

from __future__ import annotations

from collections.abc import Mapping
import pathlib

import result

from bambooglade_ctl import outcomes

URL_VARIABLE = "BAMBOOGLADE_URL"
KEY_VARIABLE = "BAMBOOGLADE_OPERATOR_KEY"
KEY_FILE_VARIABLE = "BAMBOOGLADE_OPERATOR_KEY_FILE"
CA_FILE_VARIABLE = "BAMBOOGLADE_CA_FILE"
DEFAULT_URL = "http://127.0.0.1:8080"


class ConnectionSettings:
    """Base URLs of instances, and the credentials for them.

    The representation omits the key.

    Args:
        urls: Base URLs, tried in this order.
        key: The operator's key; empty if there is none.
        ca_file: PEM file of the certificates that the instances' certificates
            are verified against.

    Examples:
        >>> ConnectionSettings(urls=("http://127.0.0.1:8080",), key="bg_ana_x")
        ConnectionSettings(urls=('http://127.0.0.1:8080',))
    """

    __slots__ = ("ca_file", "key", "urls")

    def __init__(
        self, *, urls: tuple[str, ...], key: str, ca_file: str | None = None
    ) -> None:
        self.urls = urls
        self.key = key
        self.ca_file = ca_file

    def __repr__(self) -> str:
        return f"ConnectionSettings(urls={self.urls!r})"


def from_environment(
    environ: Mapping[str, str],
    *,
    url: str | None = None,
    key_file: str | None = None,
) -> result.Result[ConnectionSettings, outcomes.CommandFailure]:
    """Reads the settings from the environment; arguments take precedence.

    Args:
        environ: The environment.
        url: Base URLs, separated by commas.
        key_file: File that holds the operator's key.
    """
    text = url or environ.get(URL_VARIABLE) or DEFAULT_URL
    urls = tuple(part.strip().rstrip("/") for part in text.split(","))
    path = key_file or environ.get(KEY_FILE_VARIABLE)
    key = _read_key(path) if path else result.Ok(environ.get(KEY_VARIABLE, ""))
    return key.map(
        lambda key_text: ConnectionSettings(
            urls=urls, key=key_text, ca_file=environ.get(CA_FILE_VARIABLE)
        )
    )


def _read_key(path: str) -> result.Result[str, outcomes.CommandFailure]:
    try:
        return result.Ok(pathlib.Path(path).read_text(encoding="utf-8").strip())
    except (OSError, UnicodeDecodeError):
        return result.Err(
            outcomes.refused(
                f"The key file {path!r} can't be read.",
                remedy="Check the path and its permissions.",
            )
        )
