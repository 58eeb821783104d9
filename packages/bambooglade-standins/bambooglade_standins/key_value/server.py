"""HTTP server of the stand-in key-value service."""

from __future__ import annotations

from collections.abc import Iterator
import threading
import time

import msgspec
from werkzeug import exceptions
from werkzeug import wrappers

from bambooglade.core import clock as clocks
from bambooglade_standins import platform_server
from bambooglade_standins.key_value import gateway
from bambooglade_standins.key_value import store as stores

_WATCH_POLL_S = 0.5
_WRITE_PATH = "/v3/kv/txn"
_MS_PER_S = 1_000


class Faults(msgspec.Struct, kw_only=True):
    """Body of `POST /control/faults`; see `GET /control/counters`."""

    answering: stores.Answering = stores.Answering.NORMAL
    delay_ms: int = 0


class Counters(msgspec.Struct, kw_only=True):
    """How often the service was called."""

    reads: int
    writes: int
    revision: int


class KeyValueApplication:
    """WSGI application over a `MemoryStore`.

    Besides the gateway's paths it has `/control/faults`, `/control/counters`,
    `/control/snapshot` and `/control/restore`, for tests.
    """

    def __init__(
        self, store: stores.MemoryStore, *, clock: clocks.Clock | None = None
    ) -> None:
        self.store = store
        self._clock = clock or clocks.Clock()
        self._changed = threading.Condition()
        self._snapshot = store.snapshot()
        self._answer_by_path = {
            "/v3/kv/range": self._range,
            _WRITE_PATH: self._transaction,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/watch": self._watch,
        }
        self._control_by_path = {
            "/control/faults": self._set_faults,
            "/control/counters": self._counters,
            "/control/snapshot": self._take_snapshot,
            "/control/restore": self._restore,
        }

    @wrappers.Request.application
    def __call__(self, request: wrappers.Request) -> wrappers.Response:
        """Answers one request."""
        control = self._control_by_path.get(request.path)
        if control is not None:
            return control(request.get_data())
        answer = self._answer_by_path.get(request.path)
        if answer is None:
            return _error(exceptions.NotFound())
        if self.store.delay_ms:
            time.sleep(self.store.delay_ms / _MS_PER_S)
        if self.store.answering is stores.Answering.DOWN:
            return _error(exceptions.ServiceUnavailable())
        try:
            response = answer(request.get_data())
        except msgspec.DecodeError as error:
            return _error(exceptions.BadRequest(str(error)))
        if self._loses_answer(request.path):
            return _error(exceptions.GatewayTimeout())
        return response

    def _loses_answer(self, path: str) -> bool:
        answering = self.store.answering
        if answering is stores.Answering.LOSE_WRITE_ANSWERS:
            return path == _WRITE_PATH
        return answering is stores.Answering.LOSE_ANSWERS

    def _range(self, body: bytes) -> wrappers.Response:
        request = msgspec.json.decode(body, type=gateway.RangeRequest)
        with self._changed:
            self.store.reads += 1
            self._expire()
            found = self.store.entries(
                request.key.decode(), request.range_end.decode() or None
            )
            kvs = [_key_value(entry) for entry in found]
            header = self._header()
        return platform_server.json_response(
            gateway.RangeAnswer(header=header, kvs=kvs, count=str(len(kvs)))
        )

    def _transaction(self, body: bytes) -> wrappers.Response:
        request = msgspec.json.decode(body, type=gateway.TransactionRequest)
        with self._changed:
            self.store.writes += 1
            self._expire()
            succeeded = all(self._holds(item) for item in request.compare)
            chosen = request.success if succeeded else request.failure
            for operation in chosen:
                self._carry_out(operation)
            self._changed.notify_all()
            header = self._header()
        return platform_server.json_response(
            gateway.TransactionAnswer(header=header, succeeded=succeeded)
        )

    def _holds(self, compare: gateway.Compare) -> bool:
        entry = self.store.get(compare.key.decode())
        revision = entry.mod_revision if entry else 0
        return revision == int(compare.mod_revision)

    def _carry_out(self, operation: gateway.Operation) -> None:
        put = operation.request_put
        if put is not None:
            self.store.put(put.key.decode(), put.value, lease_id=int(put.lease))
        delete = operation.request_delete_range
        if delete is not None:
            self.store.delete(delete.key.decode())

    def _grant(self, body: bytes) -> wrappers.Response:
        request = msgspec.json.decode(body, type=gateway.LeaseGrantRequest)
        with self._changed:
            self.store.writes += 1
            lease_id = self.store.grant_lease(
                int(request.TTL) * _MS_PER_S, self._clock.now_ms()
            )
            return platform_server.json_response(
                gateway.LeaseAnswer(
                    header=self._header(),
                    ID=str(lease_id),
                    TTL=str(request.TTL),
                )
            )

    def _keep_alive(self, body: bytes) -> wrappers.Response:
        request = msgspec.json.decode(body, type=gateway.LeaseRequest)
        with self._changed:
            self.store.writes += 1
            ttl_ms = self.store.keep_alive(
                int(request.ID), self._clock.now_ms()
            )
            answer = gateway.LeaseAnswer(
                header=self._header(),
                ID=str(request.ID),
                TTL=str(ttl_ms // _MS_PER_S),
            )
        return platform_server.json_response(
            gateway.KeepAliveAnswer(result=answer)
        )

    def _revoke(self, body: bytes) -> wrappers.Response:
        request = msgspec.json.decode(body, type=gateway.LeaseRequest)
        with self._changed:
            self.store.writes += 1
            self.store.revoke_lease(int(request.ID))
            self._changed.notify_all()
            return platform_server.json_response(
                gateway.LeaseAnswer(header=self._header(), ID=str(request.ID))
            )

    def _watch(self, body: bytes) -> wrappers.Response:
        request = msgspec.json.decode(body, type=gateway.WatchRequest)
        with self._changed:
            self.store.reads += 1
        return wrappers.Response(
            self._watch_lines(request.create_request),
            mimetype="application/json",
        )

    def _watch_lines(self, create: gateway.WatchCreate) -> Iterator[bytes]:
        generation = self.store.generation
        start = int(create.start_revision) or self.store.revision + 1
        created = gateway.WatchResult(header=self._header(), created=True)
        yield _line(created)
        while True:
            with self._changed:
                self._expire()
                changes = self._pending(create, start)
                if not changes:
                    self._changed.wait(_WATCH_POLL_S)
                    changes = self._pending(create, start)
                header = self._header()
                lost = self.store.generation != generation
            if lost or self.store.answering is stores.Answering.DOWN:
                return
            if changes:
                start = changes[-1].revision + 1
                events = [_event(change) for change in changes]
                yield _line(gateway.WatchResult(header=header, events=events))
            else:
                yield b"\n"

    def _pending(
        self, create: gateway.WatchCreate, start: int
    ) -> list[stores.Change]:
        return self.store.changes(
            create.key.decode(),
            create.range_end.decode() or None,
            from_revision=start,
        )

    def _expire(self) -> None:
        self.store.expire(self._clock.now_ms())

    def _header(self) -> gateway.Header:
        return gateway.Header(revision=str(self.store.revision))

    def _set_faults(self, body: bytes) -> wrappers.Response:
        faults = msgspec.json.decode(body, type=Faults)
        self.store.answering = faults.answering
        self.store.delay_ms = faults.delay_ms
        return platform_server.json_response(faults)

    def _counters(self, body: bytes) -> wrappers.Response:
        del body
        return platform_server.json_response(
            Counters(
                reads=self.store.reads,
                writes=self.store.writes,
                revision=self.store.revision,
            )
        )

    def _take_snapshot(self, body: bytes) -> wrappers.Response:
        with self._changed:
            self._snapshot = self.store.snapshot()
        return self._counters(body)

    def _restore(self, body: bytes) -> wrappers.Response:
        with self._changed:
            self.store.restore(self._snapshot)
            self._changed.notify_all()
        return self._counters(body)


def _key_value(entry: stores.Entry) -> gateway.KeyValue:
    return gateway.KeyValue(
        key=entry.key.encode(),
        value=entry.value,
        create_revision=str(entry.create_revision),
        mod_revision=str(entry.mod_revision),
        lease=str(entry.lease_id),
    )


def _event(change: stores.Change) -> gateway.Event:
    if change.entry is not None:
        return gateway.Event(kv=_key_value(change.entry))
    deleted = gateway.KeyValue(
        key=change.key.encode(), mod_revision=str(change.revision)
    )
    return gateway.Event(type="DELETE", kv=deleted)


def _line(result: gateway.WatchResult) -> bytes:
    return msgspec.json.encode(gateway.WatchLine(result=result)) + b"\n"


def _error(error: exceptions.HTTPException) -> wrappers.Response:
    return wrappers.Response(
        msgspec.json.encode({"error": error.description or error.name}),
        status=error.code,
        mimetype="application/json",
    )
