"""The table at one instance: installs pages, spreads and edits them.

See Also:
    bambooglade.table.editor: how an edit is made.
    bambooglade.table.synchronization: how it spreads.
    docs/design/table.md: the ways weighed, and the measurement.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import functools
import random

from absl import logging
import result

from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.table import editor as editor_
from bambooglade.table import installed as installed_
from bambooglade.table import messages
from bambooglade.table import page_draft
from bambooglade.table import pages
from bambooglade.table import rows
from bambooglade.table import synchronization
from bambooglade.table import view

REFRESH_PERIOD_MS = 1_000
"""Pause between two refreshing reads of a page by the whole fleet of nine."""
REFRESH_FLEET_SIZE = 9
RETRY_PERIOD_MS = 2_000
REPAIR_JITTER_MS = 3_000
"""Who finds the service behind waits up to this long, as others may act."""


class TableReplica:
    """Component that keeps the rows in force; a `table.view.TableView`.

    Args:
        peers: Returns the other instances, for instance `Membership.peers`.
        random_source: Seeded in tests.
        page_count: Pages of the table; the same at every instance.
        summary_period_ms: Pause between two comparisons with a random peer;
            longer when pings compare the digest, see `Membership.attach_table`.
        check: Checks a row before it is written; accepts all by default.

    Examples:
        >>> replica = TableReplica(peers=lambda: (),
        ...     random_source=random.Random(1), page_count=2)
        >>> [effect.key for effect in replica.tick(now_ms=0)]
        ['table/0', 'table/1']
    """

    message_types = (
        messages.EditRows,
        messages.TableSummary,
        messages.PullDigests,
        messages.PageDigests,
        messages.PullPages,
        messages.PageParts,
    )
    document_prefixes = (pages.KEY_PREFIX,)

    def __init__(
        self,
        *,
        peers: synchronization.Peers,
        random_source: random.Random,
        page_count: int = pages.PAGE_COUNT,
        summary_period_ms: int = synchronization.SUMMARY_PERIOD_MS,
        check: page_draft.RowCheck | None = None,
    ) -> None:
        self._peers = peers
        self._random = random_source
        self._installed = installed_.InstalledPages(page_count=page_count)
        self._synchronization = synchronization.Synchronizer(
            installed=self._installed,
            peers=peers,
            random_source=random_source,
            period_ms=summary_period_ms,
        )
        self._editor = editor_.Editor(
            page_count=page_count,
            in_force=self._installed.page,
            check=check or _accept,
            random_source=random_source,
        )
        self._unread = set(range(page_count))
        self._repair_at_ms_by_page: dict[int, int] = {}
        self._next_retry_ms = 0
        self._next_refresh_ms = 0
        self._refreshed = random_source.randrange(page_count)

    @property
    def loaded(self) -> bool:
        """Whether the whole table was read, from the service or a peer."""
        return self._synchronization.loaded

    @property
    def pages_behind(self) -> int:
        """Pages of which the service was found to have an older copy."""
        return len(self._repair_at_ms_by_page)

    @property
    def root(self) -> int:
        """Digest of all pages."""
        return self._installed.root

    def compare(
        self, peer: identifiers.InstanceId
    ) -> Iterator[effects.Effects]:
        """Starts a comparison with a peer whose digest differs."""
        return self._synchronization.compare(peer)

    def get(self, row_key: str) -> rows.Row | None:
        """Returns the row in force, or None."""
        return self._installed.get(row_key)

    def of_type(self, row_type: type[view.RowType]) -> Iterator[view.RowType]:
        """Yields the rows of one type, sorted by key."""
        return self._installed.of_type(row_type)

    def record(self, row_key: str) -> pages.RowRecord | None:
        """Returns a row with its version and last edit, or None."""
        return self._installed.record(row_key)

    def records(self) -> Iterator[pages.RowRecord]:
        """Yields the records of all rows in force, sorted by key."""
        return self._installed.records()

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Decides on an edit, or on a message of another instance."""
        yield from self._handle(message, sender, now_ms)

    @functools.singledispatchmethod
    def _handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del message, sender, now_ms
        return iter(())

    @_handle.register
    def _(
        self,
        message: messages.EditRows,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del sender
        yield from self._carried_out(self._editor.submit(message, now_ms))

    @_handle.register
    def _(
        self,
        message: messages.TableSummary,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return self._synchronization.on_summary(message, sender, now_ms)

    @_handle.register
    def _(
        self,
        message: messages.PullDigests,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del message, now_ms
        return self._synchronization.on_pull_digests(sender)

    @_handle.register
    def _(
        self,
        message: messages.PageDigests,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return self._synchronization.on_digests(message, sender, now_ms)

    @_handle.register
    def _(
        self,
        message: messages.PullPages,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del now_ms
        return self._synchronization.on_pull(message, sender)

    @_handle.register
    def _(
        self,
        message: messages.PageParts,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        changed: list[str] = []
        for part in message.parts:
            changed.extend(self._installed.install_part(part))
        yield from self._announce(changed)
        yield from self._synchronization.on_parts_installed(
            message.parts, sender, now_ms
        )

    def document_answered(
        self, answer: effects.DocumentAnswer, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Installs a page that was read; goes on with edits."""
        if isinstance(answer, effects.DocumentRead):
            yield from self._page_read(answer, now_ms)
        yield from self._carried_out(
            self._editor.document_answered(answer, now_ms)
        )

    def snapshot_read(
        self, values: Sequence[effects.DocumentRead], now_ms: int
    ) -> Iterator[effects.Effects]:
        """Installs all pages at once; those without a value are empty."""
        found = {value.key: value for value in values}
        for number in range(self._installed.page_count):
            key = pages.document_key(number)
            missing = effects.DocumentRead(key=key, revision=0, value=None)
            yield from self._page_read(found.get(key, missing), now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Reads, compares, repairs and repeats, as far as each is due."""
        yield from self._read_pages(now_ms)
        yield from self._synchronization.tick(now_ms)
        yield from self._repair(now_ms)
        yield from self._carried_out(self._editor.tick(now_ms))

    def _page_read(
        self, answer: effects.DocumentRead, now_ms: int
    ) -> Iterator[effects.Effects]:
        number = pages.page_number(answer.key)
        page = pages.decode(answer.value)
        if number is None or page is None:
            logging.error("event=page_unreadable key=%s", answer.key)
            return
        yield from self._install(number, page)
        self._unread.discard(number)
        if not self._unread:
            self._synchronization.loaded = True
        self._note_if_behind(number, page, now_ms)

    def _note_if_behind(
        self, number: int, stored: pages.Page, now_ms: int
    ) -> None:
        """Notes a page that lacks rows which are in force here.

        Either the service was restored from an older copy, or the answer is
        older than what a peer told; the repair reads again to find out.
        """
        if self._installed.page(number).digest == stored.digest:
            self._repair_at_ms_by_page.pop(number, None)
        elif number not in self._repair_at_ms_by_page:
            delay_ms = self._random.randrange(REPAIR_JITTER_MS)
            self._repair_at_ms_by_page[number] = now_ms + delay_ms
            logging.warning(
                "event=service_behind page=%d stored_sequence=%d "
                "installed_sequence=%d",
                number,
                stored.sequence,
                self._installed.page(number).sequence,
            )

    def _repair(self, now_ms: int) -> Iterator[effects.Effects]:
        due = [
            page
            for page, at_ms in self._repair_at_ms_by_page.items()
            if now_ms >= at_ms
        ]
        for page in due:
            self._repair_at_ms_by_page[page] = now_ms + REPAIR_JITTER_MS
            yield from self._editor.repair(page, now_ms)

    def _read_pages(self, now_ms: int) -> Iterator[effects.Effects]:
        if self.loaded:
            yield from self._refresh(now_ms)
        elif now_ms >= self._next_retry_ms:
            jitter_ms = self._random.randrange(RETRY_PERIOD_MS)
            self._next_retry_ms = now_ms + RETRY_PERIOD_MS + jitter_ms
            for page in sorted(self._unread):
                yield effects.ReadDocument(key=pages.document_key(page))

    def _refresh(self, now_ms: int) -> Iterator[effects.Effects]:
        """Reads one page after the other, in case a change was missed."""
        if now_ms < self._next_refresh_ms:
            return
        fleet = max(1, len(self._peers()) // REFRESH_FLEET_SIZE)
        self._next_refresh_ms = now_ms + REFRESH_PERIOD_MS * fleet
        self._refreshed = (self._refreshed + 1) % self._installed.page_count
        yield effects.ReadDocument(key=pages.document_key(self._refreshed))

    def _carried_out(
        self, edited: Iterator[effects.Effects]
    ) -> Iterator[effects.Effects]:
        for effect in edited:
            if isinstance(effect, editor_.PageConfirmed):
                self._repair_at_ms_by_page.pop(effect.page, None)
                yield from self._install(effect.page, effect.content)
            else:
                yield effect

    def _install(
        self, number: int, page: pages.Page
    ) -> Iterator[effects.Effects]:
        yield from self._announce(self._installed.install(number, page))

    def _announce(
        self, changed: tuple[str, ...] | list[str]
    ) -> Iterator[effects.Effects]:
        if changed:
            yield messages.RowsInstalled(row_keys=tuple(changed))
            yield from self._synchronization.announce_changes()

    def __repr__(self) -> str:
        return f"TableReplica({self._installed!r}, loaded={self.loaded})"


def _accept(
    row: rows.Row, written: Sequence[rows.Row]
) -> result.Result[None, failures.Failure]:
    del row, written
    return result.Ok(None)
