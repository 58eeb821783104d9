"""Stand-ins of the users' store, engines, callers and links, for review cases.

Everything runs on one asyncio loop and on loopback addresses, with the real
clock. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
SITE_HOST = "api.example"

# Bounds of the site `quetzal`.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "partitionMaxMs": 5000,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 52,
    "recoverS": 12,
}


class Record:
    """Writes what happens, with the time since the start, to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def free_port(count: int = 1) -> int:
    """Returns the first of some consecutive free ports.

    They lie below those that the system gives to outgoing connections, which
    would otherwise take them before a gateway listens there.
    """
    while True:
        port = random.randrange(12_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for offset in range(count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((HOST, port + offset))
            except OSError:
                continue
            return port


class Message:
    """A request or a response: first line, fields in lower case, body."""

    def __init__(
        self, first_line: str, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        self.first_line = first_line
        self.fields = fields
        self.body = body

    def get(self, name: str, default: str = "") -> str:
        """Returns the first value of a field."""
        for key, value in self.fields:
            if key == name:
                return value
        return default

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split()[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]] | None:
    """Reads a head; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is cut off") from error
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


async def read_chunks(reader: asyncio.StreamReader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Reads a request or a whole response; None at the connection's end."""
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(head[0], head[1], b"")
    if "chunked" in message.get("transfer-encoding"):
        message.body = b"".join([c async for c in read_chunks(reader)])
    elif message.get("content-length"):
        message.body = await reader.readexactly(
            int(message.get("content-length"))
        )
    elif is_response:
        message.body = await reader.read()
    return message


def encode(
    status: int, fields: dict[str, str], body: bytes, *, length: bool = True
) -> bytes:
    """Returns the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


class Store:
    """The platform's store, as `PROTOCOL.md` describes it."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None]] = []
        self.revision = 10
        self.leases: dict[int, tuple[float, int]] = {}
        self.changed = asyncio.Event()
        self.address = ""
        # Rises each time that the store comes back from a copy.
        self.era = 1
        # Called with each call before it is served; may return a response
        # (status, body), or raise ConnectionError to end the connection.
        self.before: Callable[[str, str, str, dict], Awaitable] | None = None
        self.after: Callable[[str, str, str, dict, int], Awaitable] | None = (
            None
        )

    async def start(self) -> None:
        """Starts to listen, and to end leases."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        self._tasks = [asyncio.create_task(self._end_leases())]

    def put(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Writes a key; returns the revision."""
        self.revision += 1
        self._apply(key, value, lease)
        self._notify()
        return self.revision

    def copy(self) -> tuple:
        """Returns a copy of the contents."""
        return (
            dict(self.items),
            list(self.history),
            self.revision,
            dict(self.leases),
        )

    def restore(self, copy: tuple) -> None:
        """Comes back from a copy: what was written since is lost."""
        self.items, self.history = dict(copy[0]), list(copy[1])
        self.revision, self.leases = copy[2], dict(copy[3])
        self.era += 1
        self._notify()

    def _apply(self, key: str, value: bytes | None, lease: int) -> None:
        if value is None:
            self.items.pop(key, None)
        else:
            created = self.items.get(key, (b"", 0, self.revision, 0))[2]
            self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, value))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item[3] == lease:
                self.put(key, None)

    def _item(self, key: str) -> dict:
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                status, body = await self._handle(request)
                writer.write(
                    encode(
                        status,
                        {
                            "Content-Type": "application/json",
                            "Store-Era": str(self.era),
                        },
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            reset(writer)
        finally:
            writer.close()

    async def _handle(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.first_line.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(parse.parse_qsl(query_text))
        body = json.loads(request.body) if request.body else {}
        if self.before is not None:
            answer = await self.before(method, path, query, body)
            if answer is not None:
                return answer
        await asyncio.sleep(0.004)
        status, answer = await self._execute(method, path, query, body)
        if self.after is not None:
            await self.after(method, path, query, body, status)
        return status, answer

    async def _execute(self, method, path, query, body) -> tuple[int, dict]:
        if path == "/v1/kv-key":
            key = query["key"]
            return (200, self._item(key)) if key in self.items else (404, {})
        if path == "/v1/kv-range":
            prefix, after = query["pathPrefix"], query.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return 200, {
                "entries": [self._item(key) for key in keys[:500]],
                "hasMore": len(keys) > 500,
                "at": self.revision,
            }
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            lease = max(self.leases, default=0) + 1
            ttl = body["ttlMs"]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {}
        if path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, query) -> tuple[int, dict]:
        prefix, after = query["pathPrefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            if after > self.revision:
                return 410, {}
            events = [
                {"key": key, "revision": revision, "deleted": True}
                if value is None
                else {
                    "key": key,
                    "revision": revision,
                    "value": base64.b64encode(value).decode(),
                }
                for revision, key, value in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, body: dict) -> tuple[int, dict]:
        rows = body.get("precondition", [])
        for row in rows:
            current = self.items.get(row["key"], (b"", 0, 0, 0))[1]
            if current != row["revision"]:
                return 412, {
                    "entries": [
                        self._item(r["key"])
                        if r["key"] in self.items
                        else {"key": r["key"], "revision": 0}
                        for r in rows
                    ]
                }
        puts, removed = body.get("puts", []), body.get("remove", [])
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        if any(
            key.startswith(("op/", "servers/"))
            for key in [*(p["key"] for p in puts), *removed]
        ):
            return 403, {}
        self.revision += 1
        for put in puts:
            value = base64.b64decode(put["value"])
            self._apply(put["key"], value, put.get("lease", 0))
        for key in removed:
            self._apply(key, None, 0)
        self._notify()
        return 200, {"revision": self.revision}


class Link:
    """A proxy in front of an address, whose connections can be spoiled."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._connections: list[dict] = []
        self.refuses = False
        self.address = ""

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def silence_open(self) -> int:
        """Open connections carry nothing any more; new ones work."""
        for connection in self._connections:
            connection["is_silent"] = True
        return len(self._connections)

    def reset_open(self) -> None:
        """Resets all open connections."""
        for connection in list(self._connections):
            for writer in connection["writers"]:
                reset(writer)

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            if self.refuses:
                raise ConnectionError
            peer_reader, peer_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset(writer)
            return
        connection = {"is_silent": False, "writers": (writer, peer_writer)}
        self._connections.append(connection)
        await asyncio.gather(
            self._pump(connection, reader, peer_writer),
            self._pump(connection, peer_reader, writer),
        )
        self._connections.remove(connection)

    async def _pump(self, connection, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                if not connection["is_silent"]:
                    writer.write(data)
                    await writer.drain()
            if not connection["is_silent"]:
                writer.write_eof()
        except OSError:
            if not connection["is_silent"]:
                reset(writer)


class Engine:
    """An engine that answers with its id; `behave` may replace that."""

    def __init__(
        self,
        store: Store,
        record: Record,
        engine_id: str,
        service: str,
        *,
        zone: str = "zone-a",
        version: str = "v1",
        work_s: float = 0.02,
        slots: int = 8,
    ) -> None:
        self._store = store
        self._record = record
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.version = version
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.running = 0
        self.born = round(time.time() * 1000)
        self.sequence = 0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        # Serves one request; returns False to go on with the usual answer.
        self.behave: Callable | None = None
        self.address = ""
        self._beats: asyncio.Task | None = None
        self._writers: set = set()

    async def start(self, *, port: int = 0) -> None:
        """Starts to listen, and registers the engine."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        self.write_entry()
        self._beats = asyncio.create_task(self._beat())

    def write_entry(self) -> None:
        """Writes the entry of the engine to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self._store.put(f"servers/{self.engine_id}", json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    def crash(self) -> None:
        """Ends the engine: connections are reset, and nothing listens."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def fields(self, request: Message) -> dict[str, str]:
        """Returns the fields of an answer."""
        fields = {
            "X-Bambooglade-Attempt-Id": request.get("x-bambooglade-attempt-id"),
            "X-Bambooglade-Engine-Signature": f"sig.{self.engine_id}",
            "X-Bambooglade-Engine-Load": f"{self.running},0,{self.slots}",
        }
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
            fields["Connection"] = "close"
        return fields

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await self._answer(request, reader, writer)
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            reset(writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer) -> None:
        attempt = request.get("x-bambooglade-attempt-id")
        expected = request.get("x-bambooglade-expected-instance")
        if expected and expected != self.engine_id:
            writer.write(
                encode(
                    421,
                    {
                        "X-Bambooglade-Attempt-Id": attempt,
                        "X-Bambooglade-Not-Executed": "1",
                    },
                    b"",
                )
            )
            return
        self.arrivals.append((self._record.now(), attempt))
        self._record.write(f"{self.engine_id} gets {attempt}")
        if self.behave is not None and await self.behave(
            self, request, reader, writer
        ):
            return
        self.runs.append((self._record.now(), attempt))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = f"{self.engine_id} {attempt}".encode()
        writer.write(encode(200, self.fields(request), body))
        await writer.drain()


class Gateway:
    """A process of the deploy file, with a settings file of its own."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        *,
        bootstrap: bool = True,
        seeds: list[str] | None = None,
        bounds: dict | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.store = store
        self.bootstrap = bootstrap
        self.bounds = {**BOUNDS, **(bounds or {})}
        self._folder = folder
        first = free_port(8)
        self.frontend = f"{HOST}:{first}"
        self.readiness = f"{HOST}:{first + 1}"
        self.control = f"{HOST}:{first + 2}"
        self._internal = (first + 3, first + 7)
        self.seeds = seeds if seeds is not None else [self.control]
        self.process: subprocess.Popen | None = None

    @property
    def _path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.toml"

    @property
    def log_path(self) -> pathlib.Path:
        """Path of what the process writes."""
        return self._folder / f"{self.name}.log"

    def write_settings(self) -> None:
        """Writes the settings file."""
        bounds = "\n".join(f"{k} = {v}" for k, v in self.bounds.items())
        self._path.write_text(
            f'nodeName = "{self.name}"\nrole = "gateway"\n'
            'machineClass = "edge"\nserves = ["edge", "control_plane"]\n'
            f'ip = "{HOST}"\nzone = "{self.zone}"\nregion = "region"\n'
            f"internalPortRange = [{self._internal[0]}, {self._internal[1]}]\n"
            f"seeds = {json.dumps(self.seeds)}\n"
            f"bootstrap = {str(self.bootstrap).lower()}\n"
            'discovery = "platform"\nentry = "vip"\nheartbeatMs = 1200\n'
            '[zones]\nzone-a = "region"\nzone-b = "region"\n'
            f'[listen]\nfrontend = "{self.frontend}"\n'
            f'readiness = "{self.readiness}"\ncontrolPlane = "{self.control}"\n'
            "[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\n"
            "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
            f"[bounds]\n{bounds}\n"
            f'[platform]\naddress = "{self.store}"\nform = "kv"\n'
            "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
            "valueBytes = 1048576\nttlMinMs = 1000\n"
        )

    def start(self) -> None:
        """Starts the process as the deploy file says."""
        self.write_settings()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/gateway.py"],
                cwd=ROOT,
                env={**environment, "BAMBOOGLADE_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the readiness address answers 200."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                if await self.is_ready():
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Returns whether the readiness address answers 200."""
        answer = await call(self.readiness, "GET", "/v1/readyz", timeout_s=1.0)
        return answer is not None and answer.status == 200

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


async def call(
    address: str,
    method: str,
    path: str,
    *,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Sends one request on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, path, fields or {}, body))
            return await read_message(reader, is_response=True)
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def encode_request(
    method: str, path: str, fields: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    if "Host" not in fields:
        lines.append(f"Host: {SITE_HOST}")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_fields(
    attempt: str, key: str, *, deadline_ms: int = 2500, **more: str
) -> dict[str, str]:
    """Returns the fields that callers send."""
    return {
        "X-Bambooglade-Attempt-Id": attempt,
        "X-Bambooglade-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {key}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def route(
    prefix: str,
    service: str,
    kind: str,
    *,
    attempts: int = 1,
    timeout_ms: int = 2500,
    target_ms: int = 200,
    resumable: bool = False,
    prompt: bool = False,
    gap_ms: int | None = None,
) -> dict:
    """Returns a route of a configuration."""
    fields = {
        "name": prefix.strip("/") or "root",
        "hostname": SITE_HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sessionAffinity": prompt,
        "streamResumption": resumable,
    }
    if gap_ms is not None:
        fields["targetGapMs"] = gap_ms
    return fields


def configuration(
    version: int, routes: list[dict], tenants: list[dict]
) -> bytes:
    """Returns a configuration, as the operator writes it."""
    names = sorted({r["service"] for r in routes})
    services = []
    for name in names:
        service = {"name": name, "maxConnections": 96}
        if any(r["service"] == name and r["sessionAffinity"] for r in routes):
            service["maxConnections"] = 360
            service["engine"] = {
                "slots": 64,
                "kvCapacityTokens": 500_000,
                "stride": 6,
            }
        services.append(service)
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "tenants": tenants,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    ).encode()


def main(case: Callable[[Record, pathlib.Path, bool, list], Awaitable[bool]]):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held.

    Args:
        case: Gets the record, a temporary folder, whether the disruption is
            made, and a list for the gateways to be killed at the end. Returns
            whether the rule held.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    gateways: list[Gateway] = []
    status = 2
    loop = asyncio.new_event_loop()
    with tempfile.TemporaryDirectory() as temporary:
        try:
            record.write(f"begins, disruption: {has_trouble}")
            task = case(record, pathlib.Path(temporary), has_trouble, gateways)
            held = loop.run_until_complete(asyncio.wait_for(task, 110))
            status = 0 if held else 1
        except Exception as error:  # noqa: BLE001
            record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
        finally:
            for gateway in gateways:
                gateway.kill()
            if keep := os.environ.get("KEEP_LOGS"):
                for path in pathlib.Path(temporary).glob("*.log"):
                    copy = pathlib.Path(keep) / path.name
                    copy.write_bytes(path.read_bytes())
    record.write(f"exit status {status}")
    sys.stdout.flush()
    sys.stderr.flush()
    # Connections that are still open need no orderly end.
    os._exit(status)
