"""Adapters to the platform's list of instances and to its weight store."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from bambooglade.core import identifiers
from bambooglade.store import services
from bambooglade.transport import client as http_client
from bambooglade.transport import messages

CALL_TIMEOUT_MS = 2_000
_OK = 200
Decoded = TypeVar("Decoded")


class InstanceListResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the list of instances."""

    entries: tuple[services.ListedInstance, ...]


class WeightsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the weight store."""

    weight_by_target: dict[identifiers.TargetId, float]


class HttpInstanceList:
    """The platform's lagging list, over HTTP.

    Args:
        url: Base URL; `/v1/instances` and `/v1/targets` are below it.
        client: Sends the requests.
    """

    __slots__ = ("_client", "_url")

    def __init__(
        self, *, url: str, client: http_client.HttpClient | None = None
    ) -> None:
        self._url = url.rstrip("/")
        self._client = client or http_client.HttpClient()

    def instances(self) -> list[services.ListedInstance] | None:
        """Returns the listed router instances; None when unreachable."""
        return self._list("/v1/instances")

    def targets(self) -> list[services.ListedInstance] | None:
        """Returns the listed targets; None when unreachable."""
        return self._list("/v1/targets")

    def _list(self, path: str) -> list[services.ListedInstance] | None:
        listing = _get(self._client, self._url + path, InstanceListResponse)
        return list(listing.entries) if listing else None

    def __repr__(self) -> str:
        return f"HttpInstanceList(url={self._url!r})"


class HttpWeightStore:
    """The rate-limited weight store, over HTTP.

    Args:
        url: Base URL; `/v1/weights` is below it.
        client: Sends the requests.
    """

    __slots__ = ("_client", "_url")

    def __init__(
        self, *, url: str, client: http_client.HttpClient | None = None
    ) -> None:
        self._url = url.rstrip("/")
        self._client = client or http_client.HttpClient()

    def weights(self) -> dict[identifiers.TargetId, float] | None:
        """Returns the weight of each target; None when refused or down."""
        weights = _get(self._client, self._url + "/v1/weights", WeightsResponse)
        return weights.weight_by_target if weights else None

    def __repr__(self) -> str:
        return f"HttpWeightStore(url={self._url!r})"


def _get(
    client: http_client.HttpClient, url: str, answer_type: type[Decoded]
) -> Decoded | None:
    request = messages.Request(
        method="GET",
        url=url,
        first_byte_timeout_ms=CALL_TIMEOUT_MS,
        total_timeout_ms=CALL_TIMEOUT_MS,
    )
    answered = client.request(request)
    if answered.is_err() or answered.unwrap().head.status != _OK:
        return None
    try:
        return msgspec.json.decode(answered.unwrap().body, type=answer_type)
    except msgspec.DecodeError:
        return None
