"""Gateway in a separate process, for the soak test and the demonstration."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from bambooglade_standins.users_platform import platform_harness as harness_lib

GATEWAY_MODULE = "bambooglade.platform.gateway_main"
FAULTY_GATEWAY_MODULE = "bambooglade_standins.users_platform.deliberate_faults"

_NODE_FILE = """
nodeName = "{name}"
ip = "{host}"
zone = "zone-{zone}"
internalPortRange = [{metrics}, {metrics}]
seeds = [{seeds}]
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
controlPlane = "{peer}"
[bounds]
graceS = 4
[platform]
address = "{store}"
"""


class GatewayProcess:
    """One gateway process that can be killed and restarted.

    Args:
        name: Name of the instance.
        zone: Its availability zone.
        store: IP address and port of the store.
        fault: Name of a deliberate fault; empty for none.

    Attributes:
        addresses: Addresses for callers, readiness, peers and metrics.
        started_at_ms: Time passed to the latest `start`.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: tuple[str, int],
        *,
        fault: str = "",
    ) -> None:
        self.name = name
        self._module = (
            [FAULTY_GATEWAY_MODULE, fault] if fault else [GATEWAY_MODULE]
        )
        self._zone = zone
        self._store = f"{store[0]}:{store[1]}"
        self.addresses = [harness_lib.free_address() for _ in range(4)]
        self.started_at_ms = 0
        self._process: subprocess.Popen | None = None
        self._directory = tempfile.TemporaryDirectory()

    def write_settings(self, seeds: list[str]) -> None:
        """Writes the settings file."""
        texts = [f"{host}:{port}" for host, port in self.addresses]
        text = _NODE_FILE.format(
            name=self.name,
            host=self.addresses[3][0],
            zone=self._zone,
            metrics=self.addresses[3][1],
            seeds=", ".join(f'"{seed}"' for seed in seeds),
            frontend=texts[0],
            readiness=texts[1],
            peer=texts[2],
            store=self._store,
        )
        self._path.write_text(text)

    @property
    def _path(self) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / "node.toml"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self, *, now_ms: int = 0) -> None:
        """Starts the process."""
        self.started_at_ms = now_ms
        with open(self._path.with_suffix(".log"), "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._module],
                env={**os.environ, "BAMBOOGLADE_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.is_running:
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
