"""Gateway in a separate process, for the soak test and the demonstration."""

from __future__ import annotations

from collections.abc import Mapping
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import target_links

LAUNCHER_MODULE = "bambooglade_standins.users_platform.launch_gateway"
GATEWAY_MODULE = "bambooglade.platform.gateway_main"
ADDRESSED_GATEWAY_MODULE = (
    "bambooglade_standins.users_platform.addressed_gateway"
)
CUTTABLE_GATEWAY_MODULE = "bambooglade_standins.users_platform.cuttable_gateway"

_NODE_FILE = """
nodeName = "{name}"
ip = "{host}"
zone = "zone-{zone}"
bootstrap = {bootstrap}
internalPortRange = [{metrics}, {forwarding}]
seeds = [{seeds}]
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
controlPlane = "{peer}"
[bounds]
{bounds}
[limits]
{limits}
[platform]
address = "{store}"
"""

DEFAULT_BOUNDS = {"graceS": 4}

NO_LIMITS: Mapping[str, float] = {}
"""Limits of the machine that a settings file does not state."""


class GatewayProcess:
    """One gateway process that can be killed and restarted.

    Args:
        name: Name of the instance.
        zone: Its availability zone.
        store: IP address and port of the store.
        fault: Name of a deliberate fault; empty for none.
        is_cuttable: Whether its links to targets can be cut; needed for faults
            of a gateway without an address of its own.
        source_host: IP address from which it connects to targets; empty for
            the one that all share.

    Attributes:
        addresses: Addresses for callers, readiness, peers and metrics.
        started_at_ms: Time passed to the latest `start`.
        is_stopping: Whether the process was told to stop since.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: tuple[str, int],
        *,
        fault: str = "",
        is_cuttable: bool = False,
        source_host: str = "",
    ) -> None:
        self.name = name
        self._zone = zone
        self._store = f"{store[0]}:{store[1]}"
        self.addresses = [harness_lib.free_address() for _ in range(3)]
        self.addresses.append(_free_address_before_another())
        self.started_at_ms = 0
        self.is_stopping = False
        self._process: subprocess.Popen | None = None
        self._directory = tempfile.TemporaryDirectory()
        self._module = [GATEWAY_MODULE]
        if source_host:
            self._module = [ADDRESSED_GATEWAY_MODULE, source_host]
        elif is_cuttable:
            self._module = [CUTTABLE_GATEWAY_MODULE, str(self._cut_path)]
        if fault:
            self._module.append(fault)

    def write_settings(
        self,
        seeds: list[str],
        *,
        is_first_start: bool = False,
        bounds: Mapping[str, float] = DEFAULT_BOUNDS,
        limits: Mapping[str, float] = NO_LIMITS,
    ) -> None:
        """Writes the settings file.

        Args:
            seeds: Addresses of the instances that are queried first.
            is_first_start: Whether the whole system starts for the first time.
            bounds: Bounds of the platform, by their names in the file.
            limits: Limits of the machine, by their names in the file.
        """
        texts = [f"{host}:{port}" for host, port in self.addresses]
        text = _NODE_FILE.format(
            name=self.name,
            bootstrap=str(is_first_start).lower(),
            host=self.addresses[3][0],
            zone=self._zone,
            metrics=self.addresses[3][1],
            forwarding=self.addresses[3][1] + 1,
            seeds=", ".join(f'"{seed}"' for seed in seeds),
            frontend=texts[0],
            readiness=texts[1],
            peer=texts[2],
            store=self._store,
            bounds="\n".join(
                f"{key} = {value}" for key, value in bounds.items()
            ),
            limits="\n".join(
                f"{key} = {value}" for key, value in limits.items()
            ),
        )
        self._path.write_text(text)

    def move_store(self, store: tuple[str, int]) -> None:
        """Sets the store's address for the settings that are written next."""
        self._store = f"{store[0]}:{store[1]}"

    @property
    def _path(self) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / "node.toml"

    @property
    def _cut_path(self) -> pathlib.Path:
        return self._path.with_name("cut")

    def cut_links(self, cut: target_links.Cut | None) -> None:
        """Cuts the links to all targets; None restores them."""
        self._cut_path.write_text(cut.name if cut else "")

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def forwarding_address(self) -> tuple[str, int]:
        """Address on which requests of peers are taken."""
        host, port = self.addresses[3]
        return host, port + 1

    @property
    def open_descriptors(self) -> int:
        """Number of open descriptors of the running process; 0 if unknown."""
        if not self.is_running:
            return 0
        try:
            return len(os.listdir(f"/proc/{self._process.pid}/fd"))
        except OSError:
            return 0

    @property
    def peak_memory_mb(self) -> int:
        """Most memory that the running process has used; 0 if unknown."""
        return self.peak_memory_kib // 1_024

    @property
    def peak_memory_kib(self) -> int:
        """Most memory that the running process has used; 0 if unknown."""
        if not self.is_running:
            return 0
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        try:
            lines = status.read_text().splitlines()
        except OSError:
            return 0
        peaks = [line.split()[1] for line in lines if line.startswith("VmHWM")]
        return int(peaks[0]) if peaks else 0

    def start(self, *, now_ms: int = 0) -> None:
        """Starts the process."""
        self.started_at_ms = now_ms
        self.is_stopping = False
        with open(self._path.with_suffix(".log"), "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", LAUNCHER_MODULE, *self._module],
                env={**os.environ, "BAMBOOGLADE_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.is_running:
            self.is_stopping |= signal_number == signal.SIGTERM
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def log_text(self) -> str:
        """Returns the output of the process."""
        path = self._path.with_suffix(".log")
        return path.read_text() if path.exists() else ""

    def __repr__(self) -> str:
        return f"GatewayProcess({self.name!r}, running={self.is_running})"


def _free_address_before_another() -> tuple[str, int]:
    """Returns an address of which the next port is free too."""
    while True:
        host, port = harness_lib.free_address()
        with socket.socket() as listener:
            try:
                listener.bind((host, port + 1))
            except (OSError, OverflowError):
                continue
        return host, port
