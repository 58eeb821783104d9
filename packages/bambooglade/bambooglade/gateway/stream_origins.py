"""Service and software version at which recent streams began; without I/O.

What two software versions of a service write doesn't fit together, and targets
don't check it. A stream therefore goes on only where it began.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from bambooglade.discovery import targets as targets_lib

RETENTION_MS = 60_000
"""Time for which origins and versions are kept.

It is longer than the deadlines of streams, within which callers resume them.
"""

SINCE_EVER_MS = -RETENTION_MS - 1
"""Start of the knowledge of an instance before whose start nothing served."""

MAX_ORIGINS = 20_000
"""Maximum number of origins that are kept; the oldest are evicted."""

MAX_STREAM_ID_CHARS = 200
"""Longest id whose origin is kept; callers choose the ids."""

MAX_VERSIONS = 64
"""Most recent software versions of a service that are kept, the newest ones."""


class StreamOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """Where a stream began.

    Attributes:
        service: Name of the service.
        software_version: Version of the target's software.
    """

    service: str
    software_version: str


class OriginRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Origin of one stream, as sent to other instances."""

    stream_id: str
    origin: StreamOrigin


class SeenVersions(msgspec.Struct, frozen=True, kw_only=True):
    """Software versions that served recently, as far as one source knows.

    Attributes:
        age_ms_by_version_by_service: Time since each version was last
            registered; 0 for one that still is.
        known_for_ms: Time for which the source has known all versions.
    """

    age_ms_by_version_by_service: dict[str, dict[str, int]] = {}
    known_for_ms: int = 0


class StreamOrigins:
    """Origins of recent streams, and the software versions of services.

    Args:
        known_since_ms: Time since which all versions are observed here.
        known_until_ms: Time until which they are, so far.

    See Also:
        bambooglade.gateway.origin_replication: shares origins with peers.
        bambooglade.gateway.version_archive: keeps versions in the store.

    Examples:
        >>> origins = StreamOrigins()
        >>> origin = StreamOrigin(service="jury", software_version="v1")
        >>> origins.record("a1", origin, now_ms=0)
        >>> origins.find("a1", now_ms=RETENTION_MS) == origin
        True
        >>> origins.find("a1", now_ms=RETENTION_MS + 1)
    """

    __slots__ = (
        "_known_since_ms",
        "_known_until_ms",
        "_origin_by_stream_id",
        "_seen_at_ms_by_service_and_version",
        "_unseen_until_ms",
    )

    def __init__(
        self, *, known_since_ms: int = SINCE_EVER_MS, known_until_ms: int = 0
    ) -> None:
        self._known_since_ms = known_since_ms
        self._known_until_ms = max(known_since_ms, known_until_ms)
        self._unseen_until_ms = 0
        self._origin_by_stream_id: collections.OrderedDict[
            str, tuple[StreamOrigin, int]
        ] = collections.OrderedDict()
        self._seen_at_ms_by_service_and_version: dict[str, dict[str, int]] = (
            collections.defaultdict(dict)
        )

    def record(
        self, stream_id: str, origin: StreamOrigin, *, now_ms: int
    ) -> None:
        """Records where a stream began.

        Args:
            stream_id: Id of the caller's request that received its first event.
            origin: Where it began.
            now_ms: Current time.
        """
        if len(stream_id) > MAX_STREAM_ID_CHARS:
            return
        self._origin_by_stream_id[stream_id] = origin, now_ms
        self._origin_by_stream_id.move_to_end(stream_id)
        if len(self._origin_by_stream_id) > MAX_ORIGINS:
            self._origin_by_stream_id.popitem(last=False)

    def find(self, stream_id: str, *, now_ms: int) -> StreamOrigin | None:
        """Returns where a stream began; None if it is unknown or expired."""
        origin, recorded_at_ms = self._origin_by_stream_id.get(
            stream_id, (None, 0)
        )
        return origin if now_ms - recorded_at_ms <= RETENTION_MS else None

    def observe(
        self, targets: Iterable[targets_lib.RegisteredTarget], *, now_ms: int
    ) -> None:
        """Records the versions of the registered targets, and evicts old ones.

        Args:
            targets: All registered targets, including draining ones.
            now_ms: Current time.
        """
        for target in targets:
            seen_at_ms = self._seen_at_ms_by_service_and_version[target.service]
            seen_at_ms[target.software_version] = now_ms
        for (
            service,
            seen_at_ms,
        ) in self._seen_at_ms_by_service_and_version.items():
            self._seen_at_ms_by_service_and_version[service] = {
                version: at_ms
                for version, at_ms in seen_at_ms.items()
                if now_ms - at_ms <= RETENTION_MS
            }
        for stream_id in list(self._expired(now_ms)):
            del self._origin_by_stream_id[stream_id]

    def confirm(self, *, until_ms: int, unseen_until_ms: int = 0) -> None:
        """Records for which time all versions are observed here.

        Args:
            until_ms: Time until which they are.
            unseen_until_ms: Time until which some may have come and gone
                unseen; 0 if none have.
        """
        if unseen_until_ms > self._unseen_until_ms:
            self._unseen_until_ms = unseen_until_ms
            self._known_since_ms = max(self._known_since_ms, unseen_until_ms)
        self._known_until_ms = max(self._known_until_ms, until_ms)

    def seen_versions(self, *, now_ms: int) -> SeenVersions:
        """Returns the recent versions of all services, for other instances."""
        return SeenVersions(
            age_ms_by_version_by_service={
                service: {
                    version: max(0, now_ms - at_ms)
                    for version, at_ms in _newest(seen_at_ms)
                }
                for service, seen_at_ms in (
                    self._seen_at_ms_by_service_and_version.items()
                )
            },
            known_for_ms=max(0, now_ms - self._known_since_ms),
        )

    def merge(
        self, seen: SeenVersions, *, now_ms: int, until_ms: int | None = None
    ) -> None:
        """Adds what another source knows of the versions.

        Args:
            seen: What it knew when it was asked.
            now_ms: Current time.
            until_ms: Time until which it knows all versions; None if that is
                no later than they are known here.
        """
        since_ms = now_ms - max(0, seen.known_for_ms)
        if until_ms is None or since_ms <= self._known_until_ms:
            self._known_since_ms = min(self._known_since_ms, since_ms)
        else:
            # Between the two, versions may have come and gone unseen by both.
            self._known_since_ms = since_ms
        self._known_until_ms = max(self._known_until_ms, until_ms or 0)
        self.merge_versions(seen, now_ms=now_ms)

    def merge_versions(self, seen: SeenVersions, *, now_ms: int) -> None:
        """Adds the versions that another source has seen, maybe not all.

        Args:
            seen: What it knew when it was asked.
            now_ms: Current time.
        """
        for (
            service,
            age_ms_by_version,
        ) in seen.age_ms_by_version_by_service.items():
            seen_at_ms = self._seen_at_ms_by_service_and_version[service]
            for version, age_ms in age_ms_by_version.items():
                at_ms = now_ms - max(0, age_ms)
                if now_ms - at_ms <= RETENTION_MS:
                    seen_at_ms[version] = max(
                        at_ms, seen_at_ms.get(version, at_ms)
                    )

    def knows_recent_versions(self, *, now_ms: int) -> bool:
        """Returns whether every version is known at which streams may go on.

        An instance that has just started sees only what is registered now.
        """
        return now_ms - self._known_since_ms > RETENTION_MS

    def is_current(self, as_of_ms: int) -> bool:
        """Returns whether every version is known that served until a time."""
        return self._known_until_ms >= as_of_ms

    def recent_versions(self, *, now_ms: int) -> dict[str, dict[str, int]]:
        """Returns when each version of each service was seen last."""
        return {
            service: {
                version: at_ms
                for version, at_ms in seen_at_ms.items()
                if now_ms - at_ms <= RETENTION_MS
            }
            for service, seen_at_ms in (
                self._seen_at_ms_by_service_and_version.items()
            )
        }

    def has_several_versions(self, service: str) -> bool:
        """Returns whether recent targets of a service differ in version."""
        return len(self._recent_versions(service)) > 1

    def sole_origin(
        self, services: Iterable[str], *, now_ms: int
    ) -> StreamOrigin | None:
        """Returns the only place where a stream of a route can have begun.

        Args:
            services: The services of the route.
            now_ms: Current time.

        Returns:
            None if there are several services, if recent targets of the service
            differ in version, or if earlier versions may be unknown here.
        """
        names = list(services)
        if len(names) != 1 or len(self._recent_versions(names[0])) != 1:
            return None
        if not self.knows_recent_versions(now_ms=now_ms):
            return None
        (version,) = self._recent_versions(names[0])
        return StreamOrigin(service=names[0], software_version=version)

    def _recent_versions(self, service: str) -> Iterable[str]:
        return self._seen_at_ms_by_service_and_version.get(service, {})

    def _expired(self, now_ms: int) -> Iterator[str]:
        for stream_id, (_, at_ms) in self._origin_by_stream_id.items():
            if now_ms - at_ms <= RETENTION_MS:
                return
            yield stream_id

    def __repr__(self) -> str:
        return f"StreamOrigins(count={len(self._origin_by_stream_id)})"


def _newest(seen_at_ms: dict[str, int]) -> list[tuple[str, int]]:
    """Returns the versions that were seen last, with their times."""
    newest_first = sorted(
        seen_at_ms.items(), key=lambda item: item[1], reverse=True
    )
    return newest_first[:MAX_VERSIONS]
