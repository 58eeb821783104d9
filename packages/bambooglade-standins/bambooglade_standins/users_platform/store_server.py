"""HTTP interface of the emulated store, in the format of the platform."""

from __future__ import annotations

import base64
from concurrent import futures
import functools
from urllib import parse

import msgspec

from bambooglade.eventloop import http_server
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.http1 import messages
from bambooglade.store import store_api
from bambooglade_standins.users_platform import memory_store


class StoreServer:
    """Serves a `MemoryStore` over HTTP.

    Args:
        loop: The event loop.
        store: The store to serve.
        address: Address to listen on.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: memory_store.MemoryStore,
        address: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.store = store
        self._server = http_server.HttpServer(loop, address, self._respond)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port."""
        return self._server.address

    def close(self) -> None:
        """Stops serving requests."""
        self._server.close()

    def _respond(self, request: messages.Request) -> futures.Future:
        reply: futures.Future = futures.Future()
        self._call(request).add_done_callback(
            lambda done: tasks.complete(reply, self._encode(done.result()))
        )
        return reply

    def _encode(self, response: store_api.Response) -> http_server.Reply | None:
        reply = _reply(response)
        if reply is not None:
            era = self.store.era_number
            text = era if isinstance(era, bytes) else b"%d" % era
            reply.fields = ((b"Store-Era", text),)
        return reply

    def _call(self, request: messages.Request) -> futures.Future:
        path = request.path.decode()
        query = dict(parse.parse_qsl(request.target.decode().partition("?")[2]))
        body = msgspec.json.decode(request.body) if request.body else {}
        match path.split("/")[2:]:
            case ["kv-key"]:
                return self.store.read(query["key"])
            case ["kv-range"]:
                return self.store.read_prefix(
                    query.get("pathPrefix", ""),
                    after_key=query.get("after", ""),
                    allow_stale=query.get("staleOk") == "1",
                )
            case ["kv-watch"]:
                return self.store.watch(
                    query.get("pathPrefix", ""),
                    after_revision=int(query["after"]),
                    wait_ms=int(query["waitMs"]),
                )
            case ["kv-txn"]:
                return self.store.commit(_decode_writes(body), timeout_ms=1_000)
            case ["kv-lease"]:
                return self.store.grant_lease(ttl_ms=body["ttlMs"])
            case ["kv-keep", lease]:
                return self.store.renew_lease(int(lease))
            case ["kv-lease-end", lease]:
                return self.store.revoke_lease(int(lease))
        refused: futures.Future = futures.Future()
        refused.set_result(store_api.Refused(400))
        return refused

    def __repr__(self) -> str:
        return f"StoreServer(address={self.address})"


def _decode_writes(body) -> list[store_api.Write]:
    revision_by_key = {c["key"]: c["revision"] for c in body["precondition"]}
    puts = [
        store_api.Write(
            put["key"],
            base64.b64decode(put["value"]),
            expected_revision=revision_by_key.get(put["key"]),
            lease_id=put["lease"],
        )
        for put in body["puts"]
    ]
    removals = [
        store_api.Write(key, None, expected_revision=revision_by_key.get(key))
        for key in body["remove"]
    ]
    return puts + removals


def _encode_item(item: store_api.Item):
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "revision": item.revision, "value": value}


@functools.singledispatch
def _reply(response: store_api.Response) -> http_server.Reply | None:
    """Returns the HTTP reply for a response; None closes the connection."""
    raise TypeError(
        f"no HTTP reply for {response!r}; register one for its type"
    )


@_reply.register
def _(response: store_api.NoResponse) -> None:
    del response


@_reply.register
def _(response: store_api.Refused) -> http_server.Reply:
    return http_server.Reply(response.status)


@_reply.register
def _(response: store_api.NotFound) -> http_server.Reply:
    del response
    return http_server.Reply(404, b"{}")


@_reply.register
def _(response: store_api.HistoryLost) -> http_server.Reply:
    del response
    return http_server.Reply(410, b"{}")


@_reply.register
def _(response: store_api.Item) -> http_server.Reply:
    if response.value is None:
        return http_server.Reply(404, b"{}")
    return http_server.Reply(200, msgspec.json.encode(_encode_item(response)))


@_reply.register
def _(response: store_api.Items) -> http_server.Reply:
    items = [_encode_item(item) for item in response.items]
    body = {
        "entries": items,
        "events": items,
        "hasMore": response.has_more,
        "at": response.at_revision,
    }
    return http_server.Reply(200, msgspec.json.encode(body))


@_reply.register
def _(response: store_api.Committed) -> http_server.Reply:
    body = {"revision": response.revision, "ttlMs": 0}
    return http_server.Reply(200, msgspec.json.encode(body))


@_reply.register
def _(response: store_api.Conflicted) -> http_server.Reply:
    items = [_encode_item(item) for item in response.items]
    return http_server.Reply(412, msgspec.json.encode({"entries": items}))


@_reply.register
def _(response: store_api.LeaseGranted) -> http_server.Reply:
    body = {"lease": response.lease_id, "ttlMs": response.ttl_ms}
    return http_server.Reply(200, msgspec.json.encode(body))
