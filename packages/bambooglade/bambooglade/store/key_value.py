"""HTTP adapter for the key-value service, by the JSON gateway of etcd v3.

See Also:
    bambooglade.store.services: the interface that this adapter implements.
    bambooglade.store.document_client: applies the call budget.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator
import threading

import msgspec

from bambooglade.core import effects
from bambooglade.core import json_documents
from bambooglade.store import services
from bambooglade.transport import client as http_client
from bambooglade.transport import messages

CONNECT_TIMEOUT_MS = 1_000
CALL_TIMEOUT_MS = 3_000
MAX_WATCH_BYTES = 1_000_000_000
_OK = 200
_HEADERS = (messages.Header("Content-Type", "application/json"),)


class _KeyValue(msgspec.Struct):
    key: bytes
    value: bytes = b""
    mod_revision: str = "0"


class _RangeResponse(msgspec.Struct):
    kvs: list[_KeyValue] = []


class _Header(msgspec.Struct):
    revision: str


class _TransactionResponse(msgspec.Struct):
    header: _Header
    succeeded: bool = False


class _Event(msgspec.Struct):
    kv: _KeyValue
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    events: list[_Event] = []
    canceled: bool = False


class _WatchResponse(msgspec.Struct):
    result: _WatchResult


class HttpKeyValueStore:
    """Client of the key-value service over HTTP.

    A write counts as conflicted only if the service says so; after any other
    missing or unexpected response its outcome is uncertain. A write is sent at
    most once: if the HTTP library resent it after a lost response, it would
    conflict with itself.

    Args:
        url: Base URL, for instance `http://127.0.0.1:2379`.
        client: HTTP client; a new one by default.
        timeout_ms: Timeout of each call except watches, in milliseconds.
    """

    __slots__ = ("_client", "_closed", "_timeout_ms", "_url")

    def __init__(
        self,
        *,
        url: str,
        client: http_client.HttpClient | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._url = url.rstrip("/")
        self._client = client or http_client.HttpClient()
        self._timeout_ms = timeout_ms
        self._closed = threading.Event()

    def close(self) -> None:
        """Ends the watches in progress."""
        self._closed.set()

    def read(self, request: effects.ReadDocument) -> effects.DocumentResponse:
        """Reads one key."""
        found = self._range(request.key, None)
        if found is None:
            return effects.ReadFailed(key=request.key)
        if not found:
            return effects.DocumentRead(key=request.key, revision=0, value=None)
        return found[0]

    def write(self, request: effects.WriteDocument) -> effects.DocumentResponse:
        """Writes one key by compare-and-swap."""
        response = self._post(
            "/v3/kv/txn", _transaction(request), may_be_resent=False
        )
        decoded = _decode(response, _TransactionResponse)
        if decoded is None:
            return effects.WriteUncertain(key=request.key)
        if not decoded.succeeded:
            return effects.WriteConflicted(key=request.key)
        return effects.WriteApplied(
            key=request.key, revision=int(decoded.header.revision)
        )

    def read_prefix(self, prefix: str) -> list[effects.DocumentRead] | None:
        """Reads all keys with a prefix; returns None without a response."""
        return self._range(prefix, _prefix_end(prefix))

    def watch(
        self, prefix: str, *, after_revision: int, timeout_ms: int
    ) -> Iterator[services.DocumentChange]:
        """Yields changes of keys with a prefix until a timeout or failure."""
        request = messages.Request(
            method="POST",
            url=f"{self._url}/v3/watch",
            headers=_HEADERS,
            body=_watch_request(prefix, after_revision),
            connect_timeout_ms=min(CONNECT_TIMEOUT_MS, self._timeout_ms),
            total_timeout_ms=timeout_ms,
            max_response_bytes=MAX_WATCH_BYTES,
        )
        parts = self._client.stream(request, cancelled=self._closed.is_set)
        for line in _lines(_body(parts)):
            try:
                result = json_documents.decode(line, _WatchResponse).result
            except msgspec.DecodeError:
                return
            if result.canceled:
                return
            yield from (_document_change(event) for event in result.events)

    def _range(
        self, key: str, range_end: str | None
    ) -> list[effects.DocumentRead] | None:
        body = {"key": _base64(key.encode())}
        if range_end is not None:
            body["range_end"] = _base64(range_end.encode())
        response = self._post("/v3/kv/range", msgspec.json.encode(body))
        decoded = _decode(response, _RangeResponse)
        if decoded is None:
            return None
        return [
            effects.DocumentRead(
                key=kv.key.decode(),
                revision=int(kv.mod_revision),
                value=kv.value,
            )
            for kv in decoded.kvs
        ]

    def _post(
        self, path: str, body: bytes, *, may_be_resent: bool = True
    ) -> bytes | None:
        request = messages.Request(
            method="POST",
            url=self._url + path,
            headers=_HEADERS,
            body=body,
            may_be_resent=may_be_resent,
            connect_timeout_ms=min(CONNECT_TIMEOUT_MS, self._timeout_ms),
            first_byte_timeout_ms=self._timeout_ms,
            total_timeout_ms=self._timeout_ms,
        )
        response = self._client.request(request)
        if response.is_err() or response.unwrap().head.status != _OK:
            return None
        return response.unwrap().body

    def __repr__(self) -> str:
        return f"HttpKeyValueStore(url={self._url!r})"


def _transaction(request: effects.WriteDocument) -> bytes:
    key = _base64(request.key.encode())
    compare = {
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(request.expected_revision),
    }
    put = {"request_put": {"key": key, "value": _base64(request.value)}}
    return msgspec.json.encode({"compare": [compare], "success": [put]})


def _watch_request(prefix: str, after_revision: int) -> bytes:
    create = {
        "key": _base64(prefix.encode()),
        "range_end": _base64(_prefix_end(prefix).encode()),
        "start_revision": str(after_revision + 1),
    }
    return msgspec.json.encode({"create_request": create})


def _body(parts: Iterator[messages.ResponseHead | bytes]) -> Iterator[bytes]:
    for part in parts:
        if isinstance(part, bytes):
            yield part
        elif part.status != _OK:
            return


def _lines(chunks: Iterator[bytes]) -> Iterator[bytes]:
    buffered = b""
    for chunk in chunks:
        *complete, buffered = (buffered + chunk).split(b"\n")
        yield from (line for line in complete if line.strip())


def _document_change(event: _Event) -> services.DocumentChange:
    return services.DocumentChange(
        key=event.kv.key.decode(),
        revision=int(event.kv.mod_revision),
        value=None if event.type == "DELETE" else event.kv.value,
    )


def _decode(body: bytes | None, response_type):
    if body is None:
        return None
    try:
        return json_documents.decode(body, response_type)
    except msgspec.DecodeError:
        return None


def _base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _prefix_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
