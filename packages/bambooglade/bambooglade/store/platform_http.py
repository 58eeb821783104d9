"""HTTP clients for the platform's instance list and weight store."""

from __future__ import annotations

from typing import TypeVar

from absl import logging
import msgspec

from bambooglade.core import identifiers
from bambooglade.core import json_documents
from bambooglade.store import services
from bambooglade.transport import client as http_client
from bambooglade.transport import messages

CALL_TIMEOUT_MS = 2_000
WARNING_INTERVAL_S = 60
"""Least time between two log lines on values that are nested too deeply."""

MAX_LOGGED_BYTES = 80
"""Most bytes of a malformed entry that a log line shows."""

_OK = 200
ResponseType = TypeVar("ResponseType")


class InstanceListResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of the instance list, with its entries as they are."""

    entries: tuple[msgspec.Raw, ...]


class WeightsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of the weight store."""

    weight_by_target: dict[identifiers.TargetId, float]


class HttpInstanceList:
    """Client of the platform's eventually consistent instance list.

    Args:
        url: Base URL of `/v1/instances` and `/v1/targets`.
        client: HTTP client; a new one by default.
    """

    __slots__ = ("_client", "_malformed_by_path", "_url")

    def __init__(
        self, *, url: str, client: http_client.HttpClient | None = None
    ) -> None:
        self._url = url.rstrip("/")
        self._client = client or http_client.HttpClient()
        self._malformed_by_path: dict[str, set[str]] = {}

    def instances(self) -> list[services.ListedInstance] | None:
        """Returns the listed router instances; None if it is unreachable."""
        return self._list("/v1/instances")

    def targets(self) -> list[services.ListedInstance] | None:
        """Returns the listed targets; None if it is unreachable."""
        return self._list("/v1/targets")

    def _list(self, path: str) -> list[services.ListedInstance] | None:
        listing = _get(self._client, self._url + path, InstanceListResponse)
        if listing is None:
            return None
        entries, malformed = [], set()
        for raw in listing.entries:
            try:
                entries.append(
                    json_documents.decode(raw, services.ListedInstance)
                )
            except msgspec.DecodeError as error:
                shown = bytes(raw)[:MAX_LOGGED_BYTES]
                malformed.add(f"{shown!r}: {error}")
        for reason in malformed - self._malformed_by_path.get(path, set()):
            logging.warning(
                "event=list_entry_malformed path=%s entry=%s", path, reason
            )
        self._malformed_by_path[path] = malformed
        return entries

    def __repr__(self) -> str:
        return f"HttpInstanceList(url={self._url!r})"


class HttpWeightStore:
    """Client of the rate-limited weight store.

    Args:
        url: Base URL of `/v1/weights`.
        client: HTTP client; a new one by default.
    """

    __slots__ = ("_client", "_url")

    def __init__(
        self, *, url: str, client: http_client.HttpClient | None = None
    ) -> None:
        self._url = url.rstrip("/")
        self._client = client or http_client.HttpClient()

    def weights(self) -> dict[identifiers.TargetId, float] | None:
        """Returns the weight of each target; None without a valid response."""
        weights = _get(self._client, self._url + "/v1/weights", WeightsResponse)
        return weights.weight_by_target if weights else None

    def __repr__(self) -> str:
        return f"HttpWeightStore(url={self._url!r})"


def _get(
    client: http_client.HttpClient, url: str, response_type: type[ResponseType]
) -> ResponseType | None:
    request = messages.Request(
        method="GET",
        url=url,
        first_byte_timeout_ms=CALL_TIMEOUT_MS,
        total_timeout_ms=CALL_TIMEOUT_MS,
    )
    response = client.request(request)
    if response.is_err() or response.unwrap().head.status != _OK:
        return None
    body = response.unwrap().body
    try:
        return json_documents.decode(body, response_type)
    except json_documents.NestedTooDeeplyError:
        return _decode_without_deep_values(url, body, response_type)
    except msgspec.DecodeError:
        return None


def _decode_without_deep_values(
    url: str, body: bytes, response_type: type[ResponseType]
) -> ResponseType | None:
    """Decodes a document in which one entry is nested too deeply."""
    logging.log_every_n_seconds(
        logging.WARNING,
        "event=deep_values_dropped url=%s",
        WARNING_INTERVAL_S,
        url,
    )
    try:
        return json_documents.decode(
            json_documents.without_deep_values(body), response_type
        )
    except msgspec.DecodeError:
        return None
