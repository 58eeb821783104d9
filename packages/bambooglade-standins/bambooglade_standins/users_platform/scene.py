"""A gateway with store, engines and callers, on one event loop."""

from __future__ import annotations

import itertools
import os
import socket

import msgspec

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import process as process_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.http1 import messages
from bambooglade.http1 import response_parser
from bambooglade.platform import codec
from bambooglade.platform import headers
from bambooglade.platform import store as platform_store
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import store_server

HOST = b"api.example"
KEY = b"key-of-artists"
TEAM = "artists"
APPLY_BOUND_MS = 2_000
"""Time within which an accepted change has to be in force, by the settings."""

MAX_WAIT_MS = 8_000
"""Time after which a test has waited in vain."""

ROUTES = (
    ("/plain/", "portal", "unsafe", 1, False, False),
    ("/status/", "portal", "safe", 2, False, False),
    ("/stream/", "jury", "streaming", 1, False, True),
    ("/resume/", "jury", "streaming", 2, True, True),
)
"""Prefix, service, type, attempts, whether resumable, whether prompts."""


def configuration(
    *,
    version: int = 1,
    prepaid: int | None = 1_000_000,
    keys: tuple[bytes, ...] = (KEY,),
    timeout_ms: int = 3_000,
    routes=ROUTES,
) -> bytes:
    """Returns a configuration as an operator writes it."""
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                {
                    "name": prefix.strip("/"),
                    "hostname": HOST.decode(),
                    "pathPrefix": prefix,
                    "routeType": kind,
                    "timeoutMs": timeout_ms,
                    "targetLatencyMs": 400,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": attempts,
                    "public": False,
                    "sessionAffinity": has_prompt,
                    "streamResumption": is_resumable,
                }
                for (
                    prefix,
                    service,
                    kind,
                    attempts,
                    is_resumable,
                    has_prompt,
                ) in routes
            ],
            "services": [
                {"name": "portal", "maxConnections": 96},
                {
                    "name": "jury",
                    "maxConnections": 360,
                    "engine": {
                        "slots": 8,
                        "kvCapacityTokens": 90_000,
                        "stride": 2,
                    },
                },
            ],
            "limits": {
                "maxHeaderBytes": 4_096,
                "maxBodyBytes": 100_000,
                "headerTimeoutMs": 500,
                "idleTimeoutMs": 5_000,
            },
            "tenants": [
                {
                    "name": TEAM,
                    "apiKeys": [key.decode() for key in keys],
                    "prepaid": prepaid,
                }
            ],
        }
    )


def entry(
    address: tuple[str, int], service: str, *, state: str = "ready"
) -> bytes:
    """Returns the entry of an engine as it writes it itself."""
    host, port = address
    return msgspec.json.encode(
        {
            "service": service,
            "address": f"{host}:{port}",
            "zone": "zone-a",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "born": 1,
        }
    )


class Scene:
    """Starts everything on loopback addresses.

    Attributes:
        loop: The event loop.
        store: State of the store.
        engine_by_name: The engines.
        gateways: The gateways.
        seeds: Addresses that the next gateway asks first.
    """

    def __init__(self) -> None:
        self.loop = loop_lib.EventLoop(clock_lib.Clock())
        self.store = memory_store.MemoryStore(self.loop)
        self._server = store_server.StoreServer(self.loop, self.store)
        self.engine_by_name: dict[str, engine_lib.Engine] = {}
        self.gateways: list[process_lib.GatewayProcess] = []
        self._stores: list[platform_store.PlatformStore] = []
        self.seeds: tuple[tuple[str, int], ...] = ()
        self._attempt_ids = itertools.count(1)

    def add_engine(
        self,
        name: str,
        service: str,
        *,
        default: engine_lib.Behaviour = engine_lib.answer_plainly,
    ) -> engine_lib.Engine:
        """Starts an engine and registers it."""
        engine = engine_lib.Engine(self.loop, name, default=default)
        self.engine_by_name[name] = engine
        self.register(name, service)
        return engine

    def register(
        self, name: str, service: str, *, state: str = "ready"
    ) -> None:
        """Writes the entry of an engine."""
        address = self.engine_by_name[name].address
        self.store.put_now(
            f"servers/{name}", entry(address, service, state=state)
        )

    def configure(self, value: bytes) -> None:
        """Writes the configuration."""
        self.store.put_now("op/config", value)

    def start_gateway(self, name: str = "edge-1") -> process_lib.GatewayProcess:
        """Starts a gateway and waits until it is ready."""
        addresses = [free_address() for _ in range(4)]
        settings = settings_lib.GatewaySettings(
            instance=name,
            availability_zone="zone-a",
            caller_address=addresses[0],
            readiness_address=addresses[1],
            peer_address=addresses[2],
            metrics_address=addresses[3],
            store_address=self._server.address,
            seed_addresses=self.seeds,
        )
        log = event_log.EventLog(self.loop.clock, instance=name)
        client = http_client.HttpClient(self.loop)
        store = platform_store.PlatformStore(
            client=client, address=self._server.address, log=log
        )
        self._stores.append(store)
        gateway = process_lib.GatewayProcess(
            settings,
            store=store,
            loop=self.loop,
            client=client,
            item_codec=codec.PlatformCodec(),
            header_codec=headers,
            log=log,
        )
        self.gateways.append(gateway)
        gateway.start()
        self.run_until(lambda: gateway.is_ready)
        return gateway

    def turn_away(self, gateway: int) -> None:
        """Lets one gateway's connections to the store be refused."""
        self._stores[gateway].set_address(free_address())

    def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"body",
        key: bytes | None = KEY,
        deadline_ms: int = 2_000,
        prompt: str | None = None,
        extra=(),
        gateway: int = 0,
    ) -> Caller:
        """Sends a request and waits for its end."""
        caller = self.begin(
            path,
            method=method,
            body=body,
            key=key,
            deadline_ms=deadline_ms,
            prompt=prompt,
            extra=extra,
            gateway=gateway,
        )
        self.run_until(lambda: caller.is_over)
        return caller

    def begin(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"body",
        key: bytes | None = KEY,
        deadline_ms: int = 2_000,
        prompt: str | None = None,
        extra=(),
        gateway: int = 0,
    ) -> Caller:
        """Sends a request."""
        attempt_id = b"attempt-%d" % next(self._attempt_ids)
        fields = [
            (b"Host", HOST),
            (b"X-Bambooglade-Attempt-Id", attempt_id),
            (b"X-Bambooglade-Deadline-Ms", b"%d" % deadline_ms),
            *extra,
        ]
        if key is not None:
            fields.append((b"Authorization", b"Token " + key))
        if prompt is not None:
            fields.append((b"X-Bambooglade-Model", b"m"))
            fields.append((b"X-Bambooglade-Token-Usage", prompt.encode()))
        request = messages.encode_request(
            method=method.encode(),
            target=path.encode(),
            fields=fields,
            body=body,
        )
        return self.connect(gateway).send(request)

    def connect(self, gateway: int = 0) -> Caller:
        """Opens a caller's connection."""
        address = self.gateways[gateway].settings.caller_address
        return Caller(self.loop, address)

    def run_until(self, condition) -> None:
        """Runs the loop until a condition holds; fails if it never does."""
        due_ms = self.loop.now_ms() + MAX_WAIT_MS
        while not condition():
            assert self.loop.now_ms() < due_ms, "waited in vain"
            self.loop.run_once(max_wait_ms=50)

    def run_for(self, duration_ms: int) -> None:
        """Runs the loop for a time."""
        due_ms = self.loop.now_ms() + duration_ms
        while self.loop.now_ms() < due_ms:
            self.loop.run_once(max_wait_ms=10)

    def close(self) -> None:
        """Ends everything."""
        for gateway in self.gateways:
            gateway.close()
        for engine in self.engine_by_name.values():
            if not engine.is_closed:
                engine.close()
        self._server.close()
        self.loop.close()


class Caller:
    """A caller's connection, and the response that it got.

    Attributes:
        status: Status of the response; None if there was none.
        body: The body so far.
        is_over: Whether the response or the connection has ended.
        is_whole: Whether the response is complete.
    """

    def __init__(self, loop, address: tuple[str, int]) -> None:
        self._parser = response_parser.ResponseParser()
        self._connection = connection_lib.connect(loop, address, self)
        self._body: list[bytes] = []
        self.is_closed = False

    @property
    def status(self) -> int | None:
        """Status of the response; None if there was none."""
        return self._parser.head.status if self._parser.head else None

    @property
    def body(self) -> bytes:
        """The body so far."""
        return b"".join(self._body)

    @property
    def is_whole(self) -> bool:
        """Whether the response is complete."""
        complete = response_parser.ResponseState.COMPLETE
        return self._parser.state is complete

    @property
    def is_over(self) -> bool:
        """Whether the response or the connection has ended."""
        return self.is_whole or self.is_closed

    def header(self, name: bytes) -> bytes:
        """Returns a field of the response."""
        return self._parser.head.get(name)

    def send(self, data: bytes) -> Caller:
        """Sends bytes."""
        self._parser = response_parser.ResponseParser()
        self._body = []
        self._connection.send(data)
        return self

    def close(self) -> None:
        """Leaves."""
        self._connection.close()

    def connected(self) -> None:
        """Nothing to do."""

    def received(self, data: bytes) -> None:
        """Takes bytes of the response."""
        self._body.append(self._parser.feed(data))

    def closed(self, *, is_clean: bool) -> None:
        """Notes the end of the connection."""
        self.is_closed = True
        self._parser.ended(is_clean=is_clean)


def free_address() -> tuple[str, int]:
    """Returns a free port of a loopback address of this process alone.

    Ports of outgoing connections are taken from 127.0.0.1, and other processes
    that run tests use addresses of their own.
    """
    process_id = os.getpid()
    host = f"127.{1 + process_id // 256 % 254}.{process_id % 256}.1"
    listener = socket.socket()
    listener.bind((host, 0))
    address = listener.getsockname()
    listener.close()
    return address
