"""Asks targets and the platform for load, cache events, leaving and weights."""

from __future__ import annotations

from concurrent import futures
import itertools
import threading

from absl import logging
import msgspec
import result

from bambooglade.core import identifiers
from bambooglade.platform import ports
from bambooglade.router import target_directory
from bambooglade.targets import affinity
from bambooglade.targets import leaving
from bambooglade.targets import load
from bambooglade.targets import target as target_lib
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages

POLLS_PER_S = 20
"""Questions to targets a second, whatever their number.

With more targets each is asked less often by one instance, but as often by all
of them together, and signs of leaving pass on by gossip.
"""

MAX_POLLS_IN_FLIGHT = 8
LIST_PERIOD_S = 1.0
_POLL_TIMEOUT_MS = 500
_STOP_TIMEOUT_S = 2.0


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Cache events of a target, from its end point."""

    events: tuple[affinity.CacheEvent, ...] = ()


class TargetWatcher:
    """Polls in the background, at a constant rate.

    Args:
        directory: Takes what is learned.
        client: Sends the questions.
        instance_list: The platform's list, or None.
        weight_store: The platform's weights, or None.
        polls_per_s: Questions to targets a second.
    """

    def __init__(
        self,
        *,
        directory: target_directory.TargetDirectory,
        client: client_lib.HttpClient,
        instance_list: ports.InstanceList | None = None,
        weight_store: ports.WeightStore | None = None,
        polls_per_s: int = POLLS_PER_S,
    ) -> None:
        self._directory = directory
        self._client = client
        self._instance_list = instance_list
        self._weight_store = weight_store
        self._pause_s = 1.0 / polls_per_s
        self._stopped = threading.Event()
        self._in_flight = threading.Semaphore(MAX_POLLS_IN_FLIGHT)
        self._pool = futures.ThreadPoolExecutor(
            MAX_POLLS_IN_FLIGHT, thread_name_prefix="targets"
        )
        self._threads = [
            threading.Thread(target=loop, name=name, daemon=True)
            for name, loop in (
                ("targets-poll", self._poll_targets),
                ("targets-list", self._poll_platform),
            )
        ]

    def start(self) -> None:
        """Starts to poll."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops polling."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(_STOP_TIMEOUT_S)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def poll(self, target: target_lib.Target) -> None:
        """Asks one target for its load, and for its cache events."""
        report = self._get(f"{target.url}/load", load.LoadReport)
        if report is not None:
            self._directory.reported(target, report)
        last_seq = self._directory.last_cache_seq(target.target_id)
        events = self._get(
            f"{target.url}/cache/events?after={last_seq}", CacheEvents
        )
        if events is not None:
            self._directory.cache_events(target.target_id, events.events)

    def poll_platform(self) -> None:
        """Reads the platform's list of targets, and the weights when due."""
        listed = self._instance_list.targets() if self._instance_list else None
        for entry in listed or ():
            if entry.leaving:
                self._directory.is_leaving(
                    identifiers.TargetId(entry.name),
                    entry.url.rstrip("/"),
                    leaving.Source.LIST,
                )
        if self._weight_store is not None:
            self._directory.refresh_weights(self._weight_store.weights)

    def _poll_targets(self) -> None:
        while not self._stopped.wait(self._pause_s):
            for target in self._directory.all_targets():
                if self._stopped.is_set():
                    return
                self._in_flight.acquire()
                self._pool.submit(self._poll_and_release, target)
                self._stopped.wait(self._pause_s)

    def _poll_and_release(self, target: target_lib.Target) -> None:
        try:
            self.poll(target)
        finally:
            self._in_flight.release()

    def _poll_platform(self) -> None:
        for _ in itertools.count():
            self.poll_platform()
            if self._stopped.wait(LIST_PERIOD_S):
                return

    def _get(self, url, answer_type):
        request = messages.Request(
            method="GET",
            url=url,
            connect_timeout_ms=_POLL_TIMEOUT_MS,
            first_byte_timeout_ms=_POLL_TIMEOUT_MS,
            total_timeout_ms=_POLL_TIMEOUT_MS,
        )
        answer = self._client.request(request)
        if isinstance(answer, result.Err) or answer.ok_value.head.status != 200:
            return None
        try:
            return msgspec.json.decode(answer.ok_value.body, type=answer_type)
        except msgspec.MsgspecError as error:
            logging.warning("event=bad_report url=%s error=%r", url, error)
            return None

    def __repr__(self) -> str:
        return f"TargetWatcher({self._directory!r})"
