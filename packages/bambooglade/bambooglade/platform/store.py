"""Adapter to the key-value store of the users' platform.

It only translates calls and responses, without retries or rate limits.

See Also:
    bambooglade.store.store_api: the port that this adapter implements.
"""

from __future__ import annotations

import base64
from concurrent import futures
from typing import TypeVar
from urllib import parse

import msgspec

from bambooglade.core import event_log
from bambooglade.core import json_documents
from bambooglade.eventloop import http_client
from bambooglade.eventloop import tasks
from bambooglade.http1 import messages
from bambooglade.store import store_api
from bambooglade.store import store_era

CALL_TIMEOUT_MS = 1_000
"""Time-out of one call; an undisturbed service responds within milliseconds."""

WATCH_GRACE_MS = 700
"""Time-out of a watch in addition to its requested wait time."""

_OK = 200
_NOT_FOUND = 404
_HISTORY_LOST = 410
_CONFLICTED = 412
_FIRST_SERVER_ERROR = 500

_ERA = b"store-era"
MAX_ERA_DIGITS = 15
"""Most digits of an era; others are ignored, as if there were none."""

Wire = TypeVar("Wire")


class _WireItem(msgspec.Struct):
    key: str
    revision: int = 0
    value: str | None = None
    deleted: bool = False


class _WirePage(msgspec.Struct, rename="camel"):
    entries: list[_WireItem] = []
    has_more: bool = False
    # Revision of the store as of which the entries were read.
    at: int = 0


class _WireEvents(msgspec.Struct):
    events: list[_WireItem] = []
    # Revision of the store as of which the events were reported.
    at: int = 0


class _WireConflict(msgspec.Struct):
    # Current state of the keys of the preconditions.
    entries: list[_WireItem] = []


class _WireCommit(msgspec.Struct):
    revision: int = 0


class _WireLease(msgspec.Struct, rename="camel"):
    ttl_ms: int
    # Id of the lease.
    lease: int = 0


class _WireCondition(msgspec.Struct):
    key: str
    revision: int


class _WirePut(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _WireTransaction(msgspec.Struct):
    precondition: list[_WireCondition]
    puts: list[_WirePut]
    remove: list[str]


class PlatformStore:
    """Client of the store over HTTP with JSON bodies.

    Args:
        client: HTTP client that sends the calls.
        address: IP address and port of the store.
        log: Records responses that can't be decoded.

    Attributes:
        era: Era of the store, as its responses state it.
    """

    __slots__ = ("_address", "_client", "_log", "era")

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        address: tuple[str, int],
        log: event_log.EventLog,
    ) -> None:
        self._client = client
        self._address = address
        self._log = log
        self.era = store_era.StoreEra(log)

    def set_address(self, address: tuple[str, int]) -> None:
        """Sets the address of the following calls.

        Calls to the former one, such as a watch, end without a response.
        """
        former, self._address = self._address, address
        if address != former:
            self._client.abandon(former)

    def read(self, key: str) -> futures.Future:
        """Reads one key; a missing key has revision 0."""

        def decode(response: http_client.Response) -> store_api.Response:
            if response.status == _NOT_FOUND:
                return store_api.Item(key, None, 0)
            return _item(self._decode_body(response, _WireItem))

        target = "/v1/kv-key?" + parse.urlencode({"key": key})
        return self._call("GET", target, decode, accepts=(_NOT_FOUND,))

    def read_prefix(
        self, prefix: str, *, after_key: str = "", allow_stale: bool = False
    ) -> futures.Future:
        """Reads a page of the keys below a prefix."""

        def decode(response: http_client.Response) -> store_api.Response:
            page = self._decode_body(response, _WirePage)
            return store_api.Items(
                [_item(entry) for entry in page.entries],
                at_revision=page.at,
                has_more=page.has_more,
            )

        query = {"pathPrefix": prefix}
        if after_key:
            query["after"] = after_key
        if allow_stale:
            query["staleOk"] = "1"
        return self._call(
            "GET", "/v1/kv-range?" + parse.urlencode(query), decode
        )

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> futures.Future:
        """Waits for changes of the keys below a prefix."""

        def decode(response: http_client.Response) -> store_api.Response:
            if response.status == _HISTORY_LOST:
                return store_api.HistoryLost()
            events = self._decode_body(response, _WireEvents)
            return store_api.Items(
                [_item(event) for event in events.events],
                at_revision=events.at,
            )

        query = {
            "pathPrefix": prefix,
            "after": after_revision,
            "waitMs": wait_ms,
        }
        return self._call(
            "GET",
            "/v1/kv-watch?" + parse.urlencode(query),
            decode,
            accepts=(_HISTORY_LOST,),
            timeout_ms=wait_ms + WATCH_GRACE_MS,
        )

    def commit(
        self,
        writes: list[store_api.Write],
        *,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> futures.Future:
        """Applies all writes atomically, or none of them."""

        def decode(response: http_client.Response) -> store_api.Response:
            if response.status == _CONFLICTED:
                conflict = self._decode_body(response, _WireConflict)
                return store_api.Conflicted(
                    [_item(e) for e in conflict.entries]
                )
            if response.status == _NOT_FOUND:
                return store_api.NotFound()
            return store_api.Committed(
                self._decode_body(response, _WireCommit).revision
            )

        return self._call(
            "POST",
            "/v1/kv-txn",
            decode,
            body=msgspec.json.encode(_transaction(writes)),
            accepts=(_CONFLICTED, _NOT_FOUND),
            timeout_ms=timeout_ms,
        )

    def grant_lease(self, *, ttl_ms: int) -> futures.Future:
        """Requests a new lease."""

        def decode(response: http_client.Response) -> store_api.Response:
            lease = self._decode_body(response, _WireLease)
            return store_api.LeaseGranted(lease.lease, lease.ttl_ms)

        body = msgspec.json.encode({"ttlMs": ttl_ms})
        return self._call("POST", "/v1/kv-lease", decode, body=body)

    def renew_lease(self, lease_id: int) -> futures.Future:
        """Renews a lease."""
        return self._lease_call("POST", f"/v1/kv-keep/{lease_id}")

    def revoke_lease(self, lease_id: int) -> futures.Future:
        """Revokes a lease, which removes its keys."""
        return self._lease_call("DELETE", f"/v1/kv-lease-end/{lease_id}")

    def _lease_call(self, method: str, target: str) -> futures.Future:
        def decode(response: http_client.Response) -> store_api.Response:
            if response.status == _NOT_FOUND:
                return store_api.NotFound()
            return store_api.Committed()

        return self._call(method, target, decode, accepts=(_NOT_FOUND,))

    def _call(
        self,
        method: str,
        target: str,
        decode,
        *,
        body: bytes = b"",
        accepts: tuple[int, ...] = (),
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> futures.Future:
        result: futures.Future = futures.Future()

        def finish(done: futures.Future) -> None:
            tasks.complete(
                result, self._interpret(done.result(), decode, accepts)
            )

        self._client.call(
            self._address,
            method=method,
            target=target,
            body=body,
            timeout_ms=timeout_ms,
        ).add_done_callback(finish)
        return result

    def _interpret(
        self,
        response: http_client.Response | None,
        decode,
        accepts: tuple[int, ...],
    ) -> store_api.Response:
        if response is None:
            return store_api.NoResponse()
        if not self.era.observe(_era(response.head), source="store"):
            # The store has lost what this response of an earlier era states.
            return store_api.NoResponse()
        if response.status != _OK and response.status not in accepts:
            return store_api.Refused(response.status)
        try:
            return decode(response)
        except (msgspec.DecodeError, ValueError) as error:
            self._log.event(
                "store_answer_malformed",
                status=response.status,
                error=error,
            )
            return store_api.NoResponse()

    def _decode_body(
        self, response: http_client.Response, wire_type: type[Wire]
    ) -> Wire:
        return json_documents.decode(response.body, wire_type)

    def __repr__(self) -> str:
        return f"PlatformStore(address={self._address})"


def _era(head: messages.Head) -> int | None:
    """Returns the era that a response states; None if it is no short number."""
    value = head.get(_ERA).strip()
    is_number = value.isdigit() and len(value) <= MAX_ERA_DIGITS
    return int(value) if is_number else None


def _item(wire: _WireItem) -> store_api.Item:
    if wire.deleted or wire.value is None:
        return store_api.Item(wire.key, None, wire.revision)
    try:
        value = base64.b64decode(wire.value)
    except ValueError:
        # Malformed for all readers of values, which log the key.
        value = b""
    return store_api.Item(wire.key, value, wire.revision)


def _transaction(writes: list[store_api.Write]) -> _WireTransaction:
    return _WireTransaction(
        precondition=[
            _WireCondition(write.key, write.expected_revision)
            for write in writes
            if write.expected_revision is not None
        ],
        puts=[
            _WirePut(
                write.key,
                base64.b64encode(write.value).decode(),
                write.lease_id,
            )
            for write in writes
            if write.value is not None
        ],
        remove=[write.key for write in writes if write.value is None],
    )
