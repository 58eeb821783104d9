"""Test harness running gateways, store, engines and callers on one loop."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import itertools
import os
import socket

import msgspec

from bambooglade.core import event_log
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.gateway import process as process_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.http1 import messages
from bambooglade.http1 import response_parser
from bambooglade.platform import codec
from bambooglade.platform import headers
from bambooglade.platform import store as platform_store
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import steady_loop
from bambooglade_standins.users_platform import store_server
from bambooglade_standins.users_platform import target_links

HOST = b"api.example"
KEY = b"key-of-artists"
TEAM = "artists"
APPLY_BOUND_MS = 2_000
MAX_DESCRIPTORS = 65_536
"""Time limit in the settings for applying an accepted change."""

IDLE_TIMEOUT_MS = 5_000
"""Time that callers may keep a connection idle."""

MAX_DISCOVERY_MS = 20_000
"""Time within which gateways find each other.

They read the registrations every 12 s; one that started early misses the later
ones until then.
"""

MAX_WAIT_MS = 8_000
"""Time after which `PlatformHarness.run_until` fails."""

ROUTES = (
    ("/plain/", "portal", "unsafe", 1, False, False),
    ("/status/", "portal", "safe", 2, False, False),
    ("/stream/", "jury", "streaming", 1, False, True),
    ("/resume/", "jury", "streaming", 2, True, True),
)
"""Path prefix, service, route type, maximum attempts, whether streams can be
resumed, and whether requests declare a prompt."""


def configuration(
    *,
    version: int = 1,
    prepaid: int | None = 1_000_000,
    keys: tuple[bytes, ...] = (KEY,),
    timeout_ms: int = 3_000,
    routes=ROUTES,
) -> bytes:
    """Returns an encoded configuration, as an operator writes it."""
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
                "idleTimeoutMs": IDLE_TIMEOUT_MS,
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


def engine_registration(
    address: tuple[str, int],
    service: str,
    *,
    state: str = "ready",
    version: str = "v1",
    zone: str = "zone-a",
    started_at_ms: int = 1,
    slots: int = 8,
    cold_remaining_ms: int = 0,
) -> bytes:
    """Returns the encoded registration that an engine writes to the store."""
    host, port = address
    return msgspec.json.encode(
        {
            "service": service,
            "address": f"{host}:{port}",
            "zone": zone,
            "slots": slots,
            "state": state,
            "coldRemainingMs": cold_remaining_ms,
            "born": started_at_ms,
            "version": version,
        }
    )


class PlatformHarness:
    """Runs a store, engines and gateways on loopback addresses.

    Attributes:
        loop: The event loop.
        store: The store that gateways read through an HTTP server.
        engine_by_name: Running engines.
        gateways: Gateways in the order in which they were started.
        links: Links of the gateways to targets, in the same order.
        has_cuttable_links: Whether the links of gateways that are started can
            be cut.
        seeds: Seed addresses for gateways that are started later.
        crash_count: Number of engine crashes.
        crash_times_ms: Times of these crashes.
    """

    def __init__(self) -> None:
        self.loop = steady_loop.SteadyLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self._server = store_server.StoreServer(self.loop, self.store)
        self.engine_by_name: dict[str, engine_lib.Engine] = {}
        self.gateways: list[process_lib.GatewayProcess] = []
        self.links: list[target_links.TargetLinks] = []
        self._stores: list[platform_store.PlatformStore] = []
        self._clients: list[CuttableHttpClient] = []
        self.has_cuttable_links = False
        self.seeds: tuple[tuple[str, int], ...] = ()
        self._attempt_ids = itertools.count(1)
        self._service_by_engine: dict[str, str] = {}
        self._zone_by_engine: dict[str, str] = {}
        self._slots_by_engine: dict[str, int] = {}
        self.crash_count = 0
        self.crash_times_ms: list[int] = []
        self._is_first_start = True

    def add_engine(
        self,
        name: str,
        service: str,
        *,
        default: engine_lib.Behaviour = engine_lib.respond_with_name,
        version: str = "v1",
        zone: str = "zone-a",
        slots: int = 8,
    ) -> engine_lib.Engine:
        """Starts an engine and registers it."""
        engine = engine_lib.Engine(self.loop, name, default=default)
        self.engine_by_name[name] = engine
        self._slots_by_engine[name] = slots
        self.register(name, service, version=version, zone=zone)
        return engine

    def register(
        self,
        name: str,
        service: str,
        *,
        state: str = "ready",
        version: str = "v1",
        zone: str | None = None,
    ) -> None:
        """Writes the registration of an engine; it keeps its zone."""
        address = self.engine_by_name[name].address
        self._service_by_engine[name] = service
        zone = zone or self._zone_by_engine.get(name, "zone-a")
        self._zone_by_engine[name] = zone
        self.store.put_now(
            f"servers/{name}",
            engine_registration(
                address,
                service,
                state=state,
                version=version,
                zone=zone,
                started_at_ms=1 + self.crash_count,
                slots=self._slots_by_engine[name],
            ),
        )

    def service_of(self, name: str) -> str:
        """Returns the service that an engine was registered for."""
        return self._service_by_engine[name]

    def crash_on_part(
        self, part_id: str, otherwise: engine_lib.Behaviour, *, events: int = 0
    ) -> engine_lib.Behaviour:
        """Returns a behaviour that crashes on a prompt part, head sent."""

        def has_part(request: messages.Request) -> bool:
            field = request.get(b"x-bambooglade-prefix-hash").decode()
            shared = [e.partition(":")[0] for e in field.split(",")[:-1]]
            return part_id in shared

        return self.crash_if(has_part, otherwise, events=events)

    def crash_if(
        self,
        is_fatal: Callable[[messages.Request], bool],
        otherwise: engine_lib.Behaviour,
        *,
        events: int | None = None,
    ) -> engine_lib.Behaviour:
        """Returns a behaviour that crashes on some requests.

        The engine starts again at once under the same id.

        Args:
            is_fatal: Returns whether the engine crashes on a request.
            otherwise: Behaviour for all other requests.
            events: Events of a stream that are sent before; None if not even
                the head of the response is.
        """

        def behave(call: engine_lib.Call) -> None:
            if not is_fatal(call.request):
                otherwise(call)
                return
            if events is not None:
                call.start_stream()
                for number in range(1, events + 1):
                    call.event(number)
            call.engine.call_after_sending(lambda: self._crash(call.engine))

        return behave

    def _crash(self, engine: engine_lib.Engine) -> None:
        self.crash_count += 1
        self.crash_times_ms.append(self.loop.now_ms())
        engine.reset_connections()
        self.register(engine.name, self._service_by_engine[engine.name])

    def restart_engine(self, engine: engine_lib.Engine) -> None:
        """Starts an engine again, and waits until all gateways know it."""
        self._crash(engine)
        self.run_until(
            lambda: all(
                gateway.view.target_by_id[engine.name].started_at_ms
                == 1 + self.crash_count
                for gateway in self.gateways
            )
        )

    def stop_answering_store_calls(self) -> None:
        """Points all gateways' store clients at an address that refuses."""
        for number in range(len(self.gateways)):
            self.refuse_store_connections(number)

    def cut_peers(self) -> None:
        """Leaves all calls between gateways without a response."""
        peers = {gateway.settings.peer_address for gateway in self.gateways}
        for client in self._clients:
            client.unresponsive_addresses |= peers

    def cut_off(self, gateway: int) -> None:
        """Cuts a gateway off from the store and all others, both ways."""
        self.cut_between(gateway, range(len(self.gateways)))
        self.cut_from_store(gateway)

    def cut_from_store(self, gateway: int) -> None:
        """Leaves a gateway's calls to the store without a response."""
        self._clients[gateway].unresponsive_addresses.add(self._server.address)

    def cut_between(self, gateway: int, others: Iterable[int]) -> None:
        """Leaves calls between a gateway and others without a response."""
        address_by_number = {
            number: self.gateways[number].settings.peer_address
            for number in (gateway, *others)
        }
        for number in set(address_by_number) - {gateway}:
            for here, there in ((gateway, number), (number, gateway)):
                self._clients[here].unresponsive_addresses.add(
                    address_by_number[there]
                )

    def restore_links_between(self, gateway: int, other: int) -> None:
        """Ends a cut between two gateways."""
        for here, there in ((gateway, other), (other, gateway)):
            self._clients[here].unresponsive_addresses.discard(
                self.gateways[there].settings.peer_address
            )

    def restore_links(self) -> None:
        """Ends all cuts between gateways, and from the store."""
        for client in self._clients:
            client.unresponsive_addresses.clear()

    def configure(self, value: bytes) -> None:
        """Writes an encoded configuration to the store."""
        self.store.put_now("op/config", value)

    def start_gateway(
        self,
        name: str = "edge-1",
        *,
        zone: str = "zone-a",
        is_store_down: bool = False,
    ) -> process_lib.GatewayProcess:
        """Starts a gateway and waits until it is ready.

        A gateway is new in a fleet that starts for the first time, unless one
        of the same name was started before or all have been killed.
        """
        known_names = {g.settings.instance for g in self.gateways}
        addresses = [free_address() for _ in range(5)]
        store_address = (
            free_address() if is_store_down else self._server.address
        )
        settings = settings_lib.GatewaySettings(
            # Gateways, engines and callers share a loop and its descriptors.
            max_descriptors=MAX_DESCRIPTORS,
            instance=name,
            availability_zone=zone,
            caller_address=addresses[0],
            readiness_address=addresses[1],
            peer_address=addresses[2],
            metrics_address=addresses[3],
            forwarding_address=addresses[4],
            store_address=store_address,
            seed_addresses=self.seeds,
            is_first_start=self._is_first_start and name not in known_names,
        )
        log = event_log.EventLog(self.loop.clock, instance=name)
        client = CuttableHttpClient(self.loop)
        store = platform_store.PlatformStore(
            client=client, address=store_address, log=log
        )
        links = target_links.TargetLinks(
            self.loop, is_cuttable=self.has_cuttable_links
        )
        self.links.append(links)
        self._stores.append(store)
        self._clients.append(client)
        gateway = process_lib.GatewayProcess(
            settings,
            store=store,
            loop=self.loop,
            client=client,
            item_codec=codec.PlatformCodec(),
            header_codec=headers,
            log=log,
            connect=links.connect,
        )
        self.gateways.append(gateway)
        gateway.start()
        self.run_until(lambda: gateway.is_ready)
        return gateway

    def kill_gateways(self) -> None:
        """Ends all gateways at once; those started later find no state."""
        for gateway in self.gateways:
            gateway.close()
        self._is_first_start = False
        self.gateways.clear()
        self.links.clear()
        self._stores.clear()
        self._clients.clear()

    def refuse_store_connections(self, gateway: int) -> None:
        """Points a gateway's store client at an address without a listener."""
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
        address: tuple[str, int] | None = None,
    ) -> Caller:
        """Sends a request and waits until it is finished."""
        caller = self.start_call(
            path,
            method=method,
            body=body,
            key=key,
            deadline_ms=deadline_ms,
            prompt=prompt,
            extra=extra,
            gateway=gateway,
            address=address,
        )
        self.run_until(lambda: caller.is_finished)
        return caller

    def start_call(
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
        address: tuple[str, int] | None = None,
    ) -> Caller:
        """Sends a request to a gateway, or to one of its other addresses."""
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
        if address is not None:
            return Caller(self.loop, address).send(request)
        return self.connect(gateway).send(request)

    def connect(self, gateway: int = 0) -> Caller:
        """Opens a caller connection to a gateway."""
        address = self.gateways[gateway].settings.caller_address
        return Caller(self.loop, address)

    def run_until(self, condition, *, max_wait_ms: int = MAX_WAIT_MS) -> None:
        """Runs the loop until a condition holds.

        Raises:
            AssertionError: The condition did not hold within `max_wait_ms`.
        """
        due_ms = self.loop.now_ms() + max_wait_ms
        while not condition():
            assert self.loop.now_ms() < due_ms, "condition not met in time"
            self.loop.run_once(max_wait_ms=50)

    def run_until_discovered(self) -> None:
        """Runs the loop until all gateways know each other."""
        others = len(self.gateways) - 1
        self.run_until(
            lambda: all(len(g.known_peers()) == others for g in self.gateways),
            max_wait_ms=MAX_DISCOVERY_MS,
        )

    def run_for(self, duration_ms: int) -> None:
        """Runs the loop for a fixed time."""
        due_ms = self.loop.now_ms() + duration_ms
        while self.loop.now_ms() < due_ms:
            self.loop.run_once(max_wait_ms=10)

    def close(self) -> None:
        """Closes gateways, engines, store server and event loop."""
        for gateway in self.gateways:
            gateway.close()
        for links in self.links:
            links.close()
        for engine in self.engine_by_name.values():
            if not engine.is_closed:
                engine.close()
        self._server.close()
        self.loop.close()


class CuttableHttpClient(http_client.HttpClient):
    """HTTP client whose calls to some addresses get no response.

    Attributes:
        unresponsive_addresses: Addresses that are cut off.
    """

    def __init__(self, loop: loop_lib.EventLoop) -> None:
        super().__init__(loop)
        self._call_loop = loop
        self.unresponsive_addresses: set[http_client.Address] = set()

    def call(self, address, *, timeout_ms: int, **request) -> futures.Future:
        """Sends a request, as `HttpClient` does."""
        if address in self.unresponsive_addresses:
            return tasks.sleep(self._call_loop, timeout_ms)
        result: futures.Future = futures.Future()

        def finish(done: futures.Future) -> None:
            """Drops a response that crosses a cut."""
            is_cut = address in self.unresponsive_addresses
            tasks.complete(result, None if is_cut else done.result())

        call = super().call(address, timeout_ms=timeout_ms, **request)
        call.add_done_callback(finish)
        return result


class Caller:
    """Caller connection that records the response to its last request.

    Attributes:
        status: Status of the response; None if there was none.
        body: Response body received so far.
        is_finished: Whether the response or the connection has ended.
        is_complete: Whether the response is complete.
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
        """Response body received so far."""
        return b"".join(self._body)

    @property
    def is_complete(self) -> bool:
        """Whether the response is complete."""
        complete = response_parser.ResponseState.COMPLETE
        return self._parser.state is complete

    @property
    def has_extra_bytes(self) -> bool:
        """Whether bytes followed the end of the response."""
        return self._parser.has_extra_bytes

    @property
    def is_finished(self) -> bool:
        """Whether the response or the connection has ended."""
        return self.is_complete or self.is_closed

    def header(self, name: bytes) -> bytes:
        """Returns a response header."""
        return self._parser.head.get(name)

    def send(self, data: bytes) -> Caller:
        """Sends encoded request bytes and resets the recorded response."""
        self._parser = response_parser.ResponseParser()
        self._body = []
        self._connection.send(data)
        return self

    def send_more(self, data: bytes) -> None:
        """Sends further bytes of the request."""
        self._connection.send(data)

    def pause_reading(self, *, is_paused: bool) -> None:
        """Pauses or resumes reading the response."""
        self._connection.pause_reading(is_paused=is_paused)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def connected(self) -> None:
        """Does nothing; required by the connection interface."""

    def received(self, data: bytes) -> None:
        """Parses received response bytes."""
        self._body.append(self._parser.feed(data))

    def closed(self, *, is_clean: bool) -> None:
        """Records that the connection was closed."""
        self.is_closed = True
        self._parser.ended(is_clean=is_clean)


_returned_addresses: set[tuple[str, int]] = set()


def free_address() -> tuple[str, int]:
    """Returns a free port on a loopback address that only this process uses.

    The address depends on the process id, so that the port cannot be taken by
    an outgoing connection, which uses 127.0.0.1, or by another test process.
    """
    process_id = os.getpid()
    host = f"127.{1 + process_id // 256 % 254}.{process_id % 256}.1"
    while True:
        with socket.socket() as listener:
            listener.bind((host, 0))
            address = listener.getsockname()
        # The system may select a port again that nothing listens on yet.
        if address not in _returned_addresses:
            _returned_addresses.add(address)
            return address
