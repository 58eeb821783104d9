"""Comparison of pages with the other instances, so that edits spread.

Each period an instance tells a random one what it has; a page that changed is
told to a few at once. Whoever lacks something pulls it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import random

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.table import installed as installed_
from bambooglade.table import messages

SUMMARY_PERIOD_MS = 1_000
SUMMARY_PERIOD_WITH_PINGS_MS = 10_000
"""The same where pings compare the digest every second."""
PUSH_FANOUT = 2
MIN_DIGESTS_PERIOD_MS = 3_000
"""Least pause between two requests for the digests of all pages."""
MAX_PAGES_PER_REQUEST = 16
MAX_PARTS_BYTES = 250_000

Peers = Callable[[], Sequence[identifiers.InstanceId]]


class Synchronizer:
    """Decides what to tell and what to pull.

    Args:
        installed: The pages of this instance.
        peers: Returns the other instances.
        random_source: Seeded in tests.
        period_ms: Pause between two comparisons with a random peer, once the
            table is loaded.
    """

    __slots__ = (
        "_installed",
        "_next_digests_ms",
        "_next_summary_ms",
        "_peers",
        "_period_ms",
        "_random",
        "_wanted",
        "loaded",
    )

    def __init__(
        self,
        *,
        installed: installed_.InstalledPages,
        peers: Peers,
        random_source: random.Random,
        period_ms: int = SUMMARY_PERIOD_MS,
    ) -> None:
        self._installed = installed
        self._peers = peers
        self._random = random_source
        self._period_ms = period_ms
        self._next_summary_ms = 0
        self._next_digests_ms = 0
        self._wanted: list[int] = []
        self.loaded = False

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Tells a random peer what this instance has, when it is due."""
        if now_ms < self._next_summary_ms:
            return
        period_ms = self._period_ms if self.loaded else SUMMARY_PERIOD_MS
        jitter_ms = self._random.randrange(period_ms // 5)
        self._next_summary_ms = now_ms + period_ms - jitter_ms
        yield from self._tell(fanout=1)

    def announce_changes(self) -> Iterator[effects.Effects]:
        """Tells a few peers of a change at once."""
        yield from self._tell(fanout=PUSH_FANOUT)

    def compare(
        self, peer: identifiers.InstanceId
    ) -> Iterator[effects.Effects]:
        """Tells one peer what this instance has."""
        yield effects.Send(recipient=peer, message=self._summary())

    def on_summary(
        self,
        message: messages.TableSummary,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Pulls what the sender has newer, and tells it what it lacks."""
        if message.root == self._installed.root:
            self.loaded = self.loaded or message.loaded
            return
        wanted = [
            digest.page
            for digest in message.recent
            if self.may_be_outdated(digest)
        ]
        if wanted:
            yield self._pull(sender, wanted)
        elif message.is_reply:
            yield from self._pull_digests(sender, now_ms)
        if not message.is_reply:
            yield effects.Send(
                recipient=sender, message=self._summary(is_reply=True)
            )

    def on_pull_digests(
        self, sender: identifiers.InstanceId
    ) -> Iterator[effects.Effects]:
        """Answers with the digests of all pages."""
        digests = messages.PageDigests(
            root=self._installed.root,
            loaded=self.loaded,
            digests=self._installed.digests(),
        )
        yield effects.Send(recipient=sender, message=digests)

    def on_digests(
        self,
        message: messages.PageDigests,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Pulls all pages that differ, a few at a time."""
        self._wanted = [
            digest.page
            for digest in message.digests
            if self.may_be_outdated(digest)
        ]
        yield from self._pull_next(sender)

    def on_pull(
        self,
        message: messages.PullPages,
        sender: identifiers.InstanceId,
    ) -> Iterator[effects.Effects]:
        """Answers with the records that are asked for."""
        parts = tuple(self._parts(message.requests[:MAX_PAGES_PER_REQUEST]))
        yield effects.Send(
            recipient=sender, message=messages.PageParts(parts=parts)
        )

    def on_parts_installed(
        self,
        parts: Iterable[messages.PagePart],
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Goes on pulling once the parts are installed.

        A page that still differs although the sender is not behind is pulled
        whole: the two copies went different ways.
        """
        forked = [
            part.page
            for part in parts
            if not part.is_complete
            and self._installed.page(part.page).digest != part.digest
        ]
        if forked:
            requests = tuple(
                messages.PageRequest(
                    page=page, after_sequence=messages.ALL_RECORDS
                )
                for page in forked
            )
            yield effects.Send(
                recipient=sender, message=messages.PullPages(requests=requests)
            )
        yield from self._pull_next(sender)

    def may_be_outdated(self, digest: messages.PageDigest) -> bool:
        """Returns whether another's page may have rows that are newer."""
        own = self._installed.page(digest.page)
        return own.digest != digest.digest and own.sequence <= digest.sequence

    def _pull_digests(
        self, sender: identifiers.InstanceId, now_ms: int
    ) -> Iterator[effects.Effects]:
        if now_ms < self._next_digests_ms:
            return
        self._next_digests_ms = now_ms + MIN_DIGESTS_PERIOD_MS
        yield effects.Send(recipient=sender, message=messages.PullDigests())

    def _pull_next(
        self, sender: identifiers.InstanceId
    ) -> Iterator[effects.Effects]:
        if not self._wanted:
            return
        now_wanted = self._wanted[:MAX_PAGES_PER_REQUEST]
        del self._wanted[:MAX_PAGES_PER_REQUEST]
        yield self._pull(sender, now_wanted)

    def _pull(
        self, sender: identifiers.InstanceId, wanted: Iterable[int]
    ) -> effects.Send:
        requests = tuple(
            messages.PageRequest(
                page=page,
                after_sequence=self._installed.page(page).sequence,
            )
            for page in wanted
        )
        return effects.Send(
            recipient=sender, message=messages.PullPages(requests=requests)
        )

    def _parts(
        self, requests: Iterable[messages.PageRequest]
    ) -> Iterator[messages.PagePart]:
        """Yields parts until they are large enough for one message."""
        size = 0
        for request in requests:
            part = self._part(request)
            yield part
            size += len(msgspec.json.encode(part))
            if size >= MAX_PARTS_BYTES:
                return

    def _part(self, request: messages.PageRequest) -> messages.PagePart:
        page = self._installed.page(request.page)
        return messages.PagePart(
            page=request.page,
            sequence=page.sequence,
            digest=page.digest,
            after_sequence=request.after_sequence,
            records=page.records_after(request.after_sequence),
        )

    def _tell(self, *, fanout: int) -> Iterator[effects.Effects]:
        peers = self._peers()
        chosen = self._random.sample(peers, min(fanout, len(peers)))
        for peer in chosen:
            yield effects.Send(recipient=peer, message=self._summary())

    def _summary(self, *, is_reply: bool = False) -> messages.TableSummary:
        return messages.TableSummary(
            root=self._installed.root,
            loaded=self.loaded,
            recent=self._installed.recent(),
            is_reply=is_reply,
        )

    def __repr__(self) -> str:
        return f"Synchronizer(loaded={self.loaded})"
