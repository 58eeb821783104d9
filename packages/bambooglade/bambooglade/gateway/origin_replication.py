"""Shares the origins of streams with peers.

A caller may resume a stream at any instance, also after the instance at which
it began is gone. Where its origin can't be told otherwise, because the route
has several services, the targets of the service differ in version or the store
can't tell whether they do, it is therefore sent to another instance of each
availability zone, its holders, and looked up there. While versions differ, one
instance of the own zone writes it to the store as well, in case all instances
are killed.

An origin that nobody has recorded may be the only one possible. That holds only
if the versions are known up to the time of the resumption: an instance that was
cut off, or stood still, has not seen what appeared meanwhile. The services
that the route has left recently count as well.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from concurrent import futures
import functools
import itertools

import msgspec

from bambooglade.core import event_log
from bambooglade.core import hashing
from bambooglade.core import json_documents
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import origin_archive
from bambooglade.gateway import route_history
from bambooglade.gateway import stream_origins
from bambooglade.gateway import version_archive
from bambooglade.store import dependency_monitor

RECORD_PATH = "/v1/stream-origins"
LOOKUP_PATH = "/v1/stream-origins/lookup"

FLUSH_DELAY_MS = 10
"""Time for which origins are collected before they are sent to the holders."""

CALL_TIMEOUT_MS = 150
"""Timeout of a call to a holder; peers respond within a few milliseconds."""

CATCH_UP_TIMEOUT_MS = 250
"""Time in which the store has to confirm the versions, for one resumption."""

SHARD_COUNT = 64
"""Number of groups of streams that share their holders, and thus messages."""

LOOKUPS_PER_ZONE = 2
"""Instances of each zone that are asked for an origin.

The instance at which the stream began is no holder itself. Where it ranks
first, the next one is the holder.
"""

RECORDER_KEY = "stream-recorder"
"""Key of the rendezvous hashing that selects who writes to the store."""

_OK = 200


class OriginRecords(msgspec.Struct, frozen=True, kw_only=True):
    """Origins that an instance sends to a holder."""

    records: list[stream_origins.OriginRecord]
    sender: peers_lib.Peer


class OriginLookup(msgspec.Struct, frozen=True, kw_only=True):
    """Question to a holder for the origin of one stream.

    Attributes:
        stream_id: Id of the stream.
        needs_confirmation: Whether the holder asks the store for the versions
            first; earlier builds don't.
        host: Host of the request that resumes it; empty from earlier builds.
        path: Path of that request, one character per byte.
    """

    stream_id: str
    needs_confirmation: bool = False
    host: str = ""
    path: str = ""


class OriginLookupResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a holder.

    Attributes:
        origin: Where the stream began; None if the holder doesn't know it.
        seen_versions: Versions that the holder knows; a build that states none
            knows them for no time.
        is_confirmed: Whether they include all that the store listed after the
            lookup had arrived.
        services: Services that got requests for the path recently, as far as
            the holder knows; earlier builds state none.
    """

    origin: stream_origins.StreamOrigin | None = None
    seen_versions: stream_origins.SeenVersions = stream_origins.SeenVersions()
    is_confirmed: bool = False
    services: list[str] = []


class _Resumption:
    """A stream that a caller resumes.

    Attributes:
        stream_id: Id of the stream.
        host: Host of the request that resumes it.
        path: Path of that request.
        as_of_ms: Time at which it was received.
        services_at_peers: Services that got requests for the path recently, as
            peers know.
    """

    __slots__ = ("as_of_ms", "host", "path", "services_at_peers", "stream_id")

    def __init__(
        self, stream_id: str, *, host: bytes, path: bytes, as_of_ms: int
    ) -> None:
        self.stream_id = stream_id
        self.host = host
        self.path = path
        self.as_of_ms = as_of_ms
        self.services_at_peers: set[str] = set()

    def encode_lookup(self, *, needs_confirmation: bool) -> bytes:
        """Returns the question to a holder."""
        return msgspec.json.encode(
            OriginLookup(
                stream_id=self.stream_id,
                needs_confirmation=needs_confirmation,
                host=self.host.decode("latin-1"),
                path=self.path.decode("latin-1"),
            )
        )

    def __repr__(self) -> str:
        return f"_Resumption({self.stream_id!r})"


class OriginReplicator:
    """Records origins of streams at their holders, and looks them up there.

    Args:
        loop: The event loop.
        client: HTTP client for calls to peers.
        peers: Returns the other known instances.
        local_instance: Entry of this instance.
        log: Records holders without a response.
        archive: Keeps origins in the store.
        versions: Keeps the versions of services in the store.
        catch_up: Reads from the store what has changed until now; returns a
            future with whether that was read. `observe` is called before it
            completes.
        contact: Tracks whether the store is reachable.
        origins: Origins and versions that are known here.
        routes: Services to which routes led.

    Attributes:
        origins: Origins that are known to this instance.
    """

    __slots__ = (
        "_archive",
        "_catch_up",
        "_client",
        "_contact",
        "_due",
        "_holder_responded_at_ms",
        "_local_instance",
        "_log",
        "_loop",
        "_peers",
        "_routes",
        "_sent_ids",
        "_versions",
        "_waiting",
        "origins",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        local_instance: peers_lib.Peer,
        origins: stream_origins.StreamOrigins,
        routes: route_history.RouteHistory,
        archive: origin_archive.OriginArchive,
        versions: version_archive.VersionArchive,
        catch_up: Callable[[], futures.Future],
        contact: dependency_monitor.DependencyMonitor,
        log: event_log.EventLog,
    ) -> None:
        self._archive = archive
        self._catch_up = catch_up
        self._contact = contact
        self._versions = versions
        self._loop = loop
        self._client = client
        self._peers = peers
        self._routes = routes
        self._local_instance = local_instance
        self._log = log
        # Origins that are sent if a second version of their service appears.
        self._waiting: collections.deque[stream_origins.OriginRecord] = (
            collections.deque(maxlen=stream_origins.MAX_ORIGINS)
        )
        # Those of them that were sent all the same.
        self._sent_ids: set[str] = set()
        self._holder_responded_at_ms = -1
        self._due: list[stream_origins.OriginRecord] = []
        self.origins = origins

    def record(
        self,
        stream_id: str,
        origin: stream_origins.StreamOrigin,
        *,
        services: Sequence[str],
    ) -> None:
        """Records where a stream began, here and, if needed, at the holders.

        Args:
            stream_id: Id of the caller's request that received its first event.
            origin: Where it began.
            services: The services of the route.
        """
        self.origins.record(stream_id, origin, now_ms=self._loop.now_ms())
        record = stream_origins.OriginRecord(stream_id=stream_id, origin=origin)
        if len(services) > 1 or self._has_several_versions(record):
            self._schedule([record])
        else:
            self._waiting.append(record)
            if self._contact.is_unavailable:
                self._send_waiting()

    def observe_target(self, target: targets_lib.RegisteredTarget) -> None:
        """Records the version of a target that has been registered."""
        self.origins.observe([target], now_ms=self._loop.now_ms())

    def observe(
        self,
        target_by_id: dict[str, targets_lib.RegisteredTarget],
        *,
        until_ms: int | None,
        unseen_until_ms: int = 0,
    ) -> None:
        """Records the versions of the registered targets.

        When a second version of a service appears, the origins of its earlier
        streams are sent as well.

        Args:
            target_by_id: The registered targets.
            until_ms: Time until which they include all changes; None if that
                is unknown.
            unseen_until_ms: Time until which targets may have come and gone
                unseen; 0 if none have.
        """
        now_ms = self._loop.now_ms()
        self.origins.confirm(
            until_ms=until_ms or 0, unseen_until_ms=unseen_until_ms
        )
        self.origins.observe(target_by_id.values(), now_ms=now_ms)
        self._versions.observe(target_by_id.values())
        while self._waiting and not self._is_known(self._waiting[0], now_ms):
            self._sent_ids.discard(self._waiting.popleft().stream_id)
        due = list(filter(self._has_several_versions, self._waiting))
        if due:
            self._schedule(due)
            waiting = itertools.filterfalse(
                self._has_several_versions, self._waiting
            )
            self._waiting = collections.deque(
                waiting, maxlen=stream_origins.MAX_ORIGINS
            )
            self._sent_ids.difference_update(r.stream_id for r in due)
        if self._contact.is_unavailable:
            self._send_waiting()

    def observe_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Records where routes lead; sends origins if some lead elsewhere."""
        now_ms = self._loop.now_ms()
        if self._routes.observe(configuration, now_ms=now_ms):
            self._send_waiting()

    def _send_waiting(self) -> None:
        """Sends the origins of streams that may be taken for others."""
        unsent = [r for r in self._waiting if r.stream_id not in self._sent_ids]
        if unsent:
            self._sent_ids.update(record.stream_id for record in unsent)
            self._schedule(unsent)

    def resolve(
        self,
        attempt_id: str,
        *,
        stream_id: str | None,
        host: bytes,
        path: bytes,
    ) -> futures.Future:
        """Finds out where a stream began that a caller resumes.

        Args:
            attempt_id: Id of the request that resumes it, for the log.
            stream_id: Id of the request that received its first event; None if
                the caller states none.
            host: Host of the request that resumes it.
            path: Path of that request.

        Returns:
            A future with the `StreamOrigin`, or None if it is unknown. An
            origin that nobody recorded is the only one possible, if there is
            only one, and if the store or a peer that reaches it confirms that.
            The store is asked only if neither this instance nor its peers
            know.
        """
        resumption = _Resumption(
            stream_id or attempt_id,
            host=host,
            path=path,
            as_of_ms=self._loop.now_ms(),
        )
        return tasks.spawn(self._resolve(attempt_id, stream_id, resumption))

    def _resolve(
        self, attempt_id: str, stream_id: str | None, resumption: _Resumption
    ) -> tasks.Task:
        as_of_ms = resumption.as_of_ms
        source = "instances"
        found = origin = yield self._find(resumption)
        if found is None and self._may_be_sole(resumption):
            yield from self._confirm_versions(resumption)
            is_current = self.origins.is_current(as_of_ms)
            if is_current and not self._knows_recent_versions:
                yield self._versions.load()
            origin = self._sole_origin(resumption)
        if origin is None and stream_id is not None:
            found = origin = yield from self._find_archived(resumption)
            source = "store"
        self._log.event(
            "stream_origin_found" if origin else "stream_origin_unknown",
            request=attempt_id,
            resumes=stream_id,
            is_recorded=found is not None,
            source=source if found else None,
            knows_recent_versions=self._knows_recent_versions,
            is_current=self.origins.is_current(as_of_ms),
            possible_services=self._possible_services(resumption),
            service=origin.service if origin else None,
            software_version=origin.software_version if origin else None,
        )
        return origin

    @property
    def _knows_recent_versions(self) -> bool:
        return self.origins.knows_recent_versions(now_ms=self._loop.now_ms())

    def _possible_services(self, resumption: _Resumption) -> list[str]:
        """Returns the services at which a stream may have begun."""
        known = self._routes.possible_services(
            resumption.host, resumption.path, now_ms=self._loop.now_ms()
        )
        return sorted(known | resumption.services_at_peers)

    def _may_be_sole(self, resumption: _Resumption) -> bool:
        """Returns whether, as far as is known, there is one possible origin."""
        services = self._possible_services(resumption)
        return len(services) == 1 and not self.origins.has_several_versions(
            services[0]
        )

    def _sole_origin(
        self, resumption: _Resumption
    ) -> stream_origins.StreamOrigin | None:
        if not self.origins.is_current(resumption.as_of_ms):
            return None
        return self.origins.sole_origin(
            self._possible_services(resumption), now_ms=self._loop.now_ms()
        )

    def _confirm_versions(self, resumption: _Resumption) -> tasks.Task:
        """Learns all that may have served up to now.

        The store tells it, or a peer that asks the store.
        """
        as_of_ms = resumption.as_of_ms
        if not self._contact.is_unavailable:
            yield tasks.with_timeout(
                self._loop, self._catch_up(), CATCH_UP_TIMEOUT_MS
            )
        if self.origins.is_current(as_of_ms):
            return
        if self._holder_responded_at_ms >= as_of_ms:
            yield self._ask_holders(resumption, needs_confirmation=True)

    def _find_archived(self, resumption: _Resumption) -> tasks.Task:
        """Looks an origin up in the store, if it may be there."""
        services = self._possible_services(resumption)
        if not any(map(self.origins.has_several_versions, services)):
            return None
        origin = yield self._archive.find(resumption.stream_id)
        if origin is not None:
            now_ms = self._loop.now_ms()
            self.origins.record(resumption.stream_id, origin, now_ms=now_ms)
        return origin

    def find(self, stream_id: str) -> futures.Future:
        """Looks up where a stream began.

        Returns:
            A future with the `StreamOrigin`, or None if neither this instance
            nor a holder that responds knows it.
        """
        resumption = _Resumption(
            stream_id, host=b"", path=b"", as_of_ms=self._loop.now_ms()
        )
        return self._find(resumption)

    def _find(self, resumption: _Resumption) -> futures.Future:
        known = self.origins.find(
            resumption.stream_id, now_ms=self._loop.now_ms()
        )
        if known is None:
            return self._ask_holders(resumption)
        found: futures.Future = futures.Future()
        tasks.complete(found, known)
        return found

    def _ask_holders(
        self, resumption: _Resumption, *, needs_confirmation: bool = False
    ) -> futures.Future:
        """Asks the holders of a stream for its origin and for the versions.

        Args:
            resumption: The stream.
            needs_confirmation: Whether they ask the store for the versions,
                and the first one that knows all of them is enough.

        Returns:
            A future with the origin; None if no holder that responds knows it,
            or as soon as the versions are known.
        """
        found: futures.Future = futures.Future()
        holders = self._ranked_holders(resumption.stream_id, LOOKUPS_PER_ZONE)
        if not holders:
            tasks.complete(found, None)
        missing = {holder.name for holder in holders}
        asked_at_ms = self._loop.now_ms()

        def complete(holder: peers_lib.Peer, done: futures.Future) -> None:
            """Completes with the first origin, or after the last response."""
            origin = self._decode_lookup(
                holder, done.result(), resumption, asked_at_ms=asked_at_ms
            )
            missing.discard(holder.name)
            is_confirmed = needs_confirmation and self.origins.is_current(
                resumption.as_of_ms
            )
            if origin is not None or is_confirmed or not missing:
                tasks.complete(found, origin)

        body = resumption.encode_lookup(needs_confirmation=needs_confirmation)
        timeout_ms = CALL_TIMEOUT_MS + needs_confirmation * CATCH_UP_TIMEOUT_MS
        for holder in holders:
            call = self._call(holder, LOOKUP_PATH, body, timeout_ms=timeout_ms)
            call.add_done_callback(functools.partial(complete, holder))
        return found

    def apply_records(self, message: OriginRecords) -> None:
        """Records the origins that a peer sent.

        Those of the own availability zone are written to the store, if that is
        up to this instance.
        """
        now_ms = self._loop.now_ms()
        for record in message.records:
            self.origins.record(record.stream_id, record.origin, now_ms=now_ms)
        zone = self._local_instance.availability_zone
        if message.sender.availability_zone != zone:
            return
        if self._recorder is self._local_instance:
            self._archive.add(
                filter(self._has_several_versions, message.records)
            )

    def respond_to_lookup(self, lookup: OriginLookup) -> futures.Future:
        """Returns a future with the `OriginLookupResponse` of this instance."""
        return tasks.spawn(self._respond_to_lookup(lookup))

    def _respond_to_lookup(self, lookup: OriginLookup) -> tasks.Task:
        received_at_ms = self._loop.now_ms()
        if lookup.needs_confirmation and not self._contact.is_unavailable:
            yield tasks.with_timeout(
                self._loop, self._catch_up(), CATCH_UP_TIMEOUT_MS
            )
        now_ms = self._loop.now_ms()
        return OriginLookupResponse(
            origin=self.origins.find(lookup.stream_id, now_ms=now_ms),
            seen_versions=self.origins.seen_versions(now_ms=now_ms),
            is_confirmed=self.origins.is_current(received_at_ms),
            services=sorted(
                self._routes.possible_services(
                    lookup.host.encode("latin-1", "replace"),
                    lookup.path.encode("latin-1", "replace"),
                    now_ms=now_ms,
                )
            ),
        )

    def _schedule(self, records: list[stream_origins.OriginRecord]) -> None:
        if not self._due:
            self._loop.call_later(FLUSH_DELAY_MS, self._flush)
        self._due += records

    def _flush(self) -> None:
        """Sends the origins that are due, in one message to each holder."""
        due, self._due = self._due, []
        records_by_holder: dict[
            peers_lib.Peer, list[stream_origins.OriginRecord]
        ] = collections.defaultdict(list)
        for record in due:
            for holder in self._ranked_holders(record.stream_id, 1):
                records_by_holder[holder].append(record)
        ambiguous = list(filter(self._has_several_versions, due))
        recorder = self._recorder if ambiguous else None
        if recorder is self._local_instance:
            self._archive.add(ambiguous)
        elif recorder is not None:
            # It may be a holder of some of them as well.
            held = records_by_holder[recorder]
            held += [record for record in ambiguous if record not in held]
        for holder, held in records_by_holder.items():
            self._send(holder, held)

    @property
    def _recorder(self) -> peers_lib.Peer | None:
        """The instance of the own zone that writes origins to the store."""
        zone = self._local_instance.availability_zone
        instances = [*self._peers(), self._local_instance]
        return next(
            iter(
                ranked_recorders(
                    p for p in instances if p.availability_zone == zone
                )
            ),
            None,
        )

    def _has_several_versions(
        self, record: stream_origins.OriginRecord
    ) -> bool:
        return self.origins.has_several_versions(record.origin.service)

    def _is_known(
        self, record: stream_origins.OriginRecord, now_ms: int
    ) -> bool:
        return self.origins.find(record.stream_id, now_ms=now_ms) is not None

    def _send(
        self, holder: peers_lib.Peer, records: list[stream_origins.OriginRecord]
    ) -> None:
        message = OriginRecords(records=records, sender=self._local_instance)
        call = self._call(holder, RECORD_PATH, msgspec.json.encode(message))
        call.add_done_callback(
            lambda done: self._log_failed_call(
                holder, done.result(), records=len(records)
            )
        )

    def _ranked_holders(
        self, stream_id: str, count_per_zone: int
    ) -> list[peers_lib.Peer]:
        shard = hashing.shard_of(stream_id, shard_count=SHARD_COUNT)
        ranked_by_zone = peers_lib.rank_by_zone(
            f"stream/{shard}", self._peers()
        )
        return [
            holder
            for ranked in ranked_by_zone.values()
            for holder in ranked[:count_per_zone]
        ]

    def _call(
        self,
        holder: peers_lib.Peer,
        path: str,
        body: bytes,
        *,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> futures.Future:
        return self._client.call(
            holder.address,
            method="POST",
            target=path,
            body=body,
            timeout_ms=timeout_ms,
        )

    def _decode_lookup(
        self,
        holder: peers_lib.Peer,
        response: http_client.Response | None,
        resumption: _Resumption,
        *,
        asked_at_ms: int,
    ) -> stream_origins.StreamOrigin | None:
        if response is None or response.status != _OK:
            self._log_failed_call(holder, response, records=0)
            return None
        try:
            decoded = json_documents.decode(response.body, OriginLookupResponse)
        except msgspec.DecodeError as error:
            self._log.event(
                "peer_answer_malformed", peer=holder.name, error=error
            )
            return None
        now_ms = self._loop.now_ms()
        self._holder_responded_at_ms = now_ms
        resumption.services_at_peers.update(decoded.services)
        if decoded.is_confirmed:
            self.origins.merge(
                decoded.seen_versions, now_ms=now_ms, until_ms=asked_at_ms
            )
        else:
            self.origins.merge_versions(decoded.seen_versions, now_ms=now_ms)
        return decoded.origin

    def _log_failed_call(
        self,
        holder: peers_lib.Peer,
        response: http_client.Response | None,
        *,
        records: int,
    ) -> None:
        if response is None or response.status != _OK:
            self._log.event(
                "origin_holder_failed",
                peer=holder.name,
                status=response.status if response else None,
                unsent_origins=records or None,
            )

    def __repr__(self) -> str:
        return f"OriginReplicator({self.origins!r})"


def ranked_recorders(
    instances: Iterable[peers_lib.Peer],
) -> list[peers_lib.Peer]:
    """Returns the instances that may write to the store, the first one first.

    Instances of builds that keep nothing of streams in the store are left out,
    and the availability zones take turns.
    """
    return peers_lib.rank_across_zones(
        RECORDER_KEY, (peer for peer in instances if peer.archives_streams)
    )
