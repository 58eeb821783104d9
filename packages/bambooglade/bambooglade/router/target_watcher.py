"""Polls targets for load and cache events, and the platform for its lists."""

from __future__ import annotations

import collections
from concurrent import futures
import threading

from absl import logging
import msgspec
import result

from bambooglade.core import identifiers
from bambooglade.core import json_documents
from bambooglade.router import target_directory
from bambooglade.router import ticker
from bambooglade.store import services
from bambooglade.targets import affinity
from bambooglade.targets import leaving
from bambooglade.targets import load
from bambooglade.targets import target as target_lib
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages

POLLS_PER_S = 20
"""Polls of targets per second, independent of the number of targets.

With more targets, a single instance polls each of them less often, but all
instances together poll it as often, and notices of leaving spread by gossip.
"""

MAX_POLLS_IN_FLIGHT = 8
LIST_PERIOD_MS = 1_000
_POLL_TIMEOUT_MS = 500
_STOP_TIMEOUT_MS = 2_000
_MS_PER_S = 1_000


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a target to a request for its cache events."""

    events: tuple[affinity.CacheEvent, ...] = ()


class TargetWatcher:
    """Polls targets and the platform in the background, at a constant rate.

    Args:
        directory: Receives the results.
        client: Sends the requests to targets.
        instance_list: The platform's list, or None.
        weight_store: The platform's weight store, or None.
        polls_per_s: Polls of targets per second.
    """

    def __init__(
        self,
        *,
        directory: target_directory.TargetDirectory,
        client: client_lib.HttpClient,
        instance_list: services.InstanceList | None = None,
        weight_store: services.WeightStore | None = None,
        polls_per_s: int = POLLS_PER_S,
    ) -> None:
        self._directory = directory
        self._client = client
        self._instance_list = instance_list
        self._weight_store = weight_store
        self._in_flight = threading.Semaphore(MAX_POLLS_IN_FLIGHT)
        self._next_targets: collections.deque[target_lib.Target] = (
            collections.deque()
        )
        self._pool = futures.ThreadPoolExecutor(
            MAX_POLLS_IN_FLIGHT, thread_name_prefix="targets"
        )
        self._tickers = (
            ticker.Ticker(
                action=self._poll_next,
                pause_ms=_MS_PER_S // polls_per_s,
                name="targets-poll",
            ),
            ticker.Ticker(
                action=self.poll_platform,
                pause_ms=LIST_PERIOD_MS,
                name="targets-list",
            ),
        )

    def start(self) -> None:
        """Starts polling."""
        for poller in self._tickers:
            poller.start()

    def stop(self) -> None:
        """Stops polling."""
        for poller in self._tickers:
            poller.stop(timeout_ms=_STOP_TIMEOUT_MS)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def poll(self, target: target_lib.Target) -> None:
        """Requests the load and, from engines, the cache events of a target."""
        report = self._get(target, "/load", load.LoadReport)
        if report is not None:
            self._directory.apply_load_report(target, report)
        if not self._directory.has_prefix_cache(target):
            return
        last_seq = self._directory.last_cache_seq(target.target_id)
        events = self._get(
            target, f"/cache/events?after={last_seq}", CacheEvents
        )
        if events is not None:
            self._directory.apply_cache_events(target.target_id, events.events)

    def poll_platform(self) -> None:
        """Reads the platform's list of targets, and the weights if due."""
        listed = self._instance_list.targets() if self._instance_list else None
        for entry in listed or ():
            if entry.leaving:
                self._directory.record_leaving(
                    identifiers.TargetId(entry.name),
                    entry.url.rstrip("/"),
                    leaving.Source.LIST,
                )
        if self._weight_store is not None:
            self._directory.refresh_weights(self._weight_store.weights)

    def _poll_next(self) -> None:
        """Polls the next target, unless too many polls are in flight."""
        if not self._next_targets:
            self._next_targets.extend(self._directory.all_targets())
        if self._next_targets and self._in_flight.acquire(blocking=False):
            target = self._next_targets.popleft()
            self._pool.submit(self._poll_and_release, target)

    def _poll_and_release(self, target: target_lib.Target) -> None:
        try:
            self.poll(target)
        finally:
            self._in_flight.release()

    def _get(self, target, path, response_type):
        url = f"{target.url}{path}"
        request = messages.Request(
            method="GET",
            url=url,
            connect_timeout_ms=_POLL_TIMEOUT_MS,
            first_byte_timeout_ms=_POLL_TIMEOUT_MS,
            total_timeout_ms=_POLL_TIMEOUT_MS,
        )
        transfer = self._client.request(request)
        if isinstance(transfer, result.Err):
            if transfer.err_value.is_refused:
                self._directory.record_refused_connection(target)
            return None
        if transfer.ok_value.head.status != 200:
            return None
        try:
            return json_documents.decode(transfer.ok_value.body, response_type)
        except msgspec.MsgspecError as error:
            logging.warning("event=bad_report url=%s error=%r", url, error)
            return None

    def __repr__(self) -> str:
        return f"TargetWatcher({self._directory!r})"
