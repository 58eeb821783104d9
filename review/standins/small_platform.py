"""Small stand-ins of the users' platform, for the scripts of the review.

They use the standard library only and speak what the users' pages say: a
key-value store, engines, callers, and gateways as processes of their own that
are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CALLER_HOST = "api.example"
KEY = "key-of-artists"
TEAM = "artists"
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 20.0

Fields = list[tuple[str, str]]


def now_s() -> float:
    """Returns the steady time in seconds."""
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Returns free ports; the last two follow one another."""
    while True:
        sockets = []
        try:
            for _ in range(count - 1):
                sockets.append(socket.socket())
                sockets[-1].bind((HOST, 0))
            ports = [s.getsockname()[1] for s in sockets]
            sockets.append(socket.socket())
            sockets[-1].bind((HOST, ports[-1] + 1))
            return [*ports, ports[-1] + 1]
        except (OSError, OverflowError):
            continue
        finally:
            for sock in sockets:
                sock.close()


class Record:
    """What was sent, answered and run, with times, for `record.txt`."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._path = directory / "record.txt"
        self._lines: list[str] = []
        self._started_s = now_s()

    def add(self, text: str) -> None:
        """Adds a line with the time since the start."""
        self._lines.append(f"{now_s() - self._started_s:8.3f} s  {text}")

    def write(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Message:
    """A request or a response.

    Attributes:
        start: Parts of the first line.
        fields: Header fields, with names in lower case.
        body: The body, without its framing.
        is_complete: Whether the message ended as its framing says.
    """

    def __init__(self, start: list[str], fields: Fields) -> None:
        self.start = start
        self.fields = fields
        self.body = b""
        self.is_complete = False

    def get(self, name: str, default: str = "") -> str:
        """Returns the first value of a field."""
        return next((v for n, v in self.fields if n == name), default)

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Reads a message; returns None if there is none before the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [
        (name.strip().lower(), value.strip())
        for name, _, value in (
            line.partition(":") for line in lines[1:] if line
        )
    ]
    message = Message(lines[0].split(" ", 2), fields)
    if is_response and message.status < 200:
        return await read_message(reader, is_response=True)
    try:
        if "chunked" in message.get("transfer-encoding"):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif length := int(message.get("content-length", "0")):
            while len(message.body) < length:
                part = await reader.read(length - len(message.body))
                if not part:
                    return message
                message.body += part
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return message
    message.is_complete = True
    return message


def encode_response(status: int, fields: Fields, body: bytes) -> bytes:
    """Returns the bytes of a response with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's key-value store, as `PROTOCOL.md` describes it."""

    def __init__(self) -> None:
        self._revision = 10
        self._item_by_key: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._lease_ends_s: dict[int, float] = {}
        self._ttl_ms_by_lease: dict[int, int] = {}
        self._server_by_port: dict[int, asyncio.Server] = {}
        self._writers_by_port: dict[int, set[asyncio.StreamWriter]] = {}
        self.port = 0

    async def start(self) -> int:
        """Starts to listen at a further port, and returns it."""
        writers: set[asyncio.StreamWriter] = set()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.add(writer)
            await self._serve(reader, writer)
            writers.discard(writer)

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self._server_by_port[port] = server
        self._writers_by_port[port] = writers
        self.port = self.port or port
        return port

    def stop(self, port: int) -> None:
        """Stops listening at a port, and closes its connections."""
        self._server_by_port.pop(port).close()
        for writer in list(self._writers_by_port.pop(port)):
            writer.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self._revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)

    def put_json(self, key: str, value: object) -> None:
        """Writes a key with a JSON value."""
        self.put(key, json.dumps(value).encode())

    def _write(self, key: str, value: str, lease: int) -> None:
        known = self._item_by_key.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease": lease,
        }
        self._item_by_key[key] = item
        self._add_event(item)

    def _remove(self, key: str) -> None:
        if self._item_by_key.pop(key, None) is not None:
            self._add_event(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _add_event(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_leases(self) -> None:
        for lease, end_s in list(self._lease_ends_s.items()):
            if end_s <= now_s():
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._lease_ends_s[lease]
        keys = [k for k, i in self._item_by_key.items() if i["lease"] == lease]
        for key in keys:
            self._revision += 1
            self._remove(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._respond(request)
                writer.write(
                    encode_response(
                        status,
                        [
                            ("Content-Type", "application/json"),
                            ("Store-Era", "1"),
                        ],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, request: Message) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        self._end_leases()
        path, _, text = request.start[1].partition("?")
        query = dict(parse.parse_qsl(text))
        parts = path.split("/")[2:]
        body = json.loads(request.body) if request.body else {}
        match parts:
            case ["kv-key"]:
                item = self._item_by_key.get(query["key"])
                if item is None:
                    return 404, {"at": self._revision}
                return 200, {**item, "at": self._revision}
            case ["kv-range"]:
                prefix, after = query.get("pathPrefix", ""), query.get("after")
                keys = [
                    key
                    for key in sorted(self._item_by_key)
                    if key.startswith(prefix) and (not after or key > after)
                ]
                return 200, {
                    "entries": [self._item_by_key[key] for key in keys],
                    "hasMore": False,
                    "at": self._revision,
                }
            case ["kv-watch"]:
                return await self._watch(query)
            case ["kv-txn"]:
                return self._commit(body)
            case ["kv-lease"]:
                lease = 1_000 + len(self._ttl_ms_by_lease)
                self._ttl_ms_by_lease[lease] = body["ttlMs"]
                self._lease_ends_s[lease] = now_s() + body["ttlMs"] / 1_000
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
            case ["kv-keep", text]:
                lease = int(text)
                if lease not in self._lease_ends_s:
                    return 404, {}
                ttl_ms = self._ttl_ms_by_lease[lease]
                self._lease_ends_s[lease] = now_s() + ttl_ms / 1_000
                return 200, {"lease": lease, "ttlMs": ttl_ms}
            case ["kv-lease-end", text]:
                if int(text) not in self._lease_ends_s:
                    return 404, {}
                self._end_lease(int(text))
                return 200, {}
        return 400, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        due_s = now_s() + int(query["waitMs"]) / 1_000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = due_s - now_s()
            if events or remaining_s <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _commit(self, body: dict) -> tuple[int, dict]:
        conditions = body.get("precondition", [])
        for row in conditions:
            known = self._item_by_key.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                rows = [self._item_by_key.get(c["key"]) for c in conditions]
                return 412, {"entries": [row for row in rows if row]}
        puts = body.get("puts", [])
        for put in puts:
            lease = put.get("lease", 0)
            if lease and lease not in self._lease_ends_s:
                return 404, {}
        self._revision += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return 200, {"revision": self._revision}

    def close(self) -> None:
        """Stops listening."""
        for port in list(self._server_by_port):
            self.stop(port)


Respond = Callable[["Engine", Message, asyncio.StreamWriter], Awaitable[None]]


class Engine:
    """An engine that registers in the store and logs what it runs.

    Args:
        name: Its id.
        service: Its service.
        store: The store in which it registers.
        record: Receives a line for each request that it runs.
        respond: Sends the response to one request.
    """

    def __init__(
        self,
        name: str,
        service: str,
        *,
        store: Store,
        record: Record,
        respond: Respond,
    ) -> None:
        self.name = name
        self.service = service
        self.runs: list[Message] = []
        self._store = store
        self._record = record
        self._respond = respond
        self._born_ms = int(time.time() * 1_000)
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self.port = 0

    async def start(self) -> None:
        """Starts to listen and to register."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._register())

    async def _register(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._store.put_json(
                f"servers/{self.name}",
                {
                    "service": self.service,
                    "address": f"{HOST}:{self.port}",
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": sequence,
                    "born": self._born_ms,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                expected = request.get("x-bambooglade-expected-instance")
                if expected and expected != self.name:
                    writer.write(encode_response(421, [], b""))
                    continue
                self.runs.append(request)
                self._record.add(
                    f"engine {self.name} runs"
                    f" {request.get('x-bambooglade-attempt-id')}"
                    f" ({request.start[0]} {request.start[1]},"
                    f" body of {len(request.body)} bytes)"
                )
                await self._respond(self, request, writer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def fields(self, request: Message) -> Fields:
        """Returns the fields that mark a response as the engine's."""
        return [
            (
                "X-Bambooglade-Attempt-Id",
                request.get("x-bambooglade-attempt-id"),
            ),
            ("X-Bambooglade-Engine-Signature", f"signature-of-{self.name}"),
        ]

    async def close(self) -> None:
        """Stops."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()


class Gateway:
    """A gateway process, started with the command of the deploy file.

    Args:
        name: Name of the machine.
        store: The store.
        directory: Folder for its settings and its log.
        link_mbps: Bandwidth of its link, in its settings.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        directory: pathlib.Path,
        *,
        link_mbps: float = 1_000.0,
    ) -> None:
        self.name = name
        self._directory = directory
        ports = free_ports(5)
        self.port, self.readiness_port, self.peer_port = ports[:3]
        self._internal_ports = ports[3:]
        self._store = store
        self._link_mbps = link_mbps
        self.process: subprocess.Popen | None = None

    @property
    def peer_address(self) -> str:
        """Its `controlPlane` address."""
        return f"{HOST}:{self.peer_port}"

    def write_settings(self, seeds: list[str], store_port: int = 0) -> None:
        """Writes the settings file, like that of a small deployment."""
        first, last = self._internal_ports
        text = f"""
nodeName = "{self.name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{HOST}"
zone = "zone-a"
region = "region-a"
internalPortRange = [{first},{last}]
seeds = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
zone-a = "region-a"
[listen]
frontend = "{HOST}:{self.port}"
readiness = "{HOST}:{self.readiness_port}"
controlPlane = "{self.peer_address}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = {self._link_mbps}
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
[platform]
address = "{HOST}:{store_port or self._store.port}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
        path = self._directory / f"{self.name}.toml"
        part = path.with_suffix(".part")
        part.write_text(text)
        part.replace(path)

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        environment["BAMBOOGLADE_NODE_FILE"] = str(
            self._directory / f"{self.name}.toml"
        )
        with open(self._directory / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Waits until the process says that it is ready.

        Raises:
            TimeoutError: It is not ready in time.
        """
        due_s = now_s() + START_TIMEOUT_S
        while now_s() < due_s:
            await asyncio.sleep(0.1)
            try:
                reader, writer = await asyncio.open_connection(
                    HOST, self.readiness_port
                )
            except OSError:
                continue
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await read_message(reader, is_response=True)
            writer.close()
            if answer is not None and answer.status == 200:
                return
        raise TimeoutError(f"{self.name} is not ready")

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Returns whether the process has exited in time."""
        due_s = now_s() + timeout_s
        while self.process.poll() is None and now_s() < due_s:
            await asyncio.sleep(0.05)
        return self.process.poll() is not None

    def kill(self) -> None:
        """Kills the process, if it runs, and waits for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_text(self) -> str:
        """Returns what the process has written."""
        path = self._directory / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Platform:
    """Store, engines and gateways of one script.

    Args:
        directory: Folder of the case, which gets `record.txt`.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.record = Record(directory)
        self.store = Store()
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    async def start_store(self, configuration: dict) -> None:
        """Starts the store with a configuration."""
        await self.store.start()
        self.store.put_json("op/config", configuration)

    async def add_engine(
        self, name: str, service: str, respond: Respond
    ) -> Engine:
        """Starts an engine."""
        engine = Engine(
            name,
            service,
            store=self.store,
            record=self.record,
            respond=respond,
        )
        await engine.start()
        self.engines.append(engine)
        return engine

    async def start_gateways(
        self, count: int, *, link_mbps: float = 1_000.0
    ) -> None:
        """Starts gateways and waits until they are ready."""
        self.gateways = [
            Gateway(
                f"edge-zone-a-{number + 1}",
                self.store,
                self.folder,
                link_mbps=link_mbps,
            )
            for number in range(count)
        ]
        seeds = [gateway.peer_address for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
        self.record.add(f"{count} gateways are ready")

    async def close(self) -> None:
        """Ends all processes that were started, and writes the record."""
        for gateway in self.gateways:
            gateway.kill()
        for engine in self.engines:
            await engine.close()
        self.store.close()
        self.record.write()
        self._folder.cleanup()


def configuration(
    *, version: int, routes: list[dict], services: list[dict], **more: object
) -> dict:
    """Returns a configuration with one tenant and the usual limits.

    Args:
        version: Its version.
        routes: Its routes; what they leave out is added.
        services: Its services.
        **more: Further fields.
    """
    usual = {
        "hostname": CALLER_HOST,
        "targetLatencyMs": 200,
        "priority": 2,
        "maxAttempts": 1,
        "public": False,
        "sessionAffinity": False,
        "streamResumption": False,
    }
    return {
        "version": version,
        "routes": [{**usual, **route} for route in routes],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TEAM, "apiKeys": [KEY], "prepaid": 1_000_000}],
        **more,
    }


def encode_request(
    method: str,
    path: str,
    attempt_id: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 2_500,
    fields: Fields = (),
) -> bytes:
    """Returns the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {CALLER_HOST}",
        f"X-Bambooglade-Attempt-Id: {attempt_id}",
        f"X-Bambooglade-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
    ]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def run(
    directory: pathlib.Path,
    play: Callable[[Platform, bool], Awaitable[bool]],
    *,
    timeout_s: float = 100.0,
) -> int:
    """Plays a case; returns the exit status of its script.

    Args:
        directory: Folder of the case.
        play: Plays it and returns whether the rule held. Its second argument
            tells whether there is a disruption.
        timeout_s: Time after which it counts as not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play_once() -> int:
        platform = Platform(directory)
        try:
            async with asyncio.timeout(timeout_s):
                has_held = await play(platform, has_trouble)
            platform.record.add("the rule held" if has_held else "RULE BROKEN")
            return 0 if has_held else 1
        except Exception as error:  # noqa: BLE001 - reported as "not run"
            platform.record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await platform.close()

    return asyncio.run(play_once())
