"""State machine that writes operators' edits to the key-value service.

An edit is accepted only once its compare-and-swap is confirmed: by the response
of the service or, if that was lost, by its edit id in the page that is read
back. One write applies all queued edits of a page.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import random

from absl import logging
import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.table import messages
from bambooglade.table import page_draft
from bambooglade.table import pages

INITIAL_BACKOFF_MS = 200
MAX_BACKOFF_MS = 3_000

PageLookup = Callable[[int], pages.Page]


class _PendingEdit(msgspec.Struct, kw_only=True, eq=False):
    """An edit in progress, on one or several pages."""

    edit: messages.EditRows
    outcome_by_row_key: dict[str, messages.Outcome]


class _PageState:
    """Queued edits of one page, and its requests in flight.

    Attributes:
        queued: Edits to be applied by the next write.
        in_flight: Edits that the write in flight applies.
        uncertain_edit_ids: Edits of earlier writes that may have been applied,
            because their responses were lost.
        written_page: Page of the write in flight; None without one.
        read_in_flight: Whether the page is being read.
        repair_pending: Whether the page has to be written back.
        next_read_ms: Earliest time of the next read.
        attempts: Failed attempts since the last successful write.
    """

    __slots__ = (
        "attempts",
        "in_flight",
        "next_read_ms",
        "queued",
        "read_in_flight",
        "repair_pending",
        "uncertain_edit_ids",
        "written_page",
    )

    def __init__(self) -> None:
        self.queued: list[_PendingEdit] = []
        self.in_flight: list[_PendingEdit] = []
        self.uncertain_edit_ids: set[identifiers.EditId] = set()
        self.written_page: pages.Page | None = None
        self.read_in_flight = False
        self.repair_pending = False
        self.next_read_ms = 0
        self.attempts = 0

    @property
    def is_idle(self) -> bool:
        """Whether no edit, repair or read is pending."""
        return not (
            self.queued
            or self.in_flight
            or self.read_in_flight
            or self.repair_pending
        )


class Editor:
    """Applies edits to pages by compare-and-swap, with retries.

    Args:
        page_count: Number of pages of the table.
        installed_page: Returns a page as it is installed at this instance;
            rows that the service lost are written back from it.
        check: Validates a row before it is written.
        random_source: Source of the jitter of retries.
    """

    __slots__ = (
        "_check",
        "_installed_page",
        "_page_count",
        "_pending_by_edit_id",
        "_random",
        "_state_by_page",
    )

    def __init__(
        self,
        *,
        page_count: int,
        installed_page: PageLookup,
        check: page_draft.RowCheck,
        random_source: random.Random,
    ) -> None:
        self._page_count = page_count
        self._installed_page = installed_page
        self._check = check
        self._random = random_source
        self._pending_by_edit_id: dict[identifiers.EditId, _PendingEdit] = {}
        self._state_by_page: dict[int, _PageState] = {}

    def submit(
        self, edit: messages.EditRows, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Starts an edit, unless it is already in progress."""
        if edit.edit_id in self._pending_by_edit_id:
            return
        pending = _PendingEdit(edit=edit, outcome_by_row_key={})
        self._pending_by_edit_id[edit.edit_id] = pending
        for page in sorted({self._page_of(each) for each in edit.changes}):
            state = self._state_by_page.setdefault(page, _PageState())
            state.queued.append(pending)
            yield from self._read_page(page, state, now_ms)
        yield from self._finish([pending])

    def repair(self, page: int, now_ms: int) -> Iterator[effects.Effects]:
        """Writes back a page of which the service has an outdated copy."""
        state = self._state_by_page.setdefault(page, _PageState())
        state.repair_pending = True
        yield from self._read_page(page, state, now_ms)

    def handle_document_response(
        self, response: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Processes a response for a page that is being edited."""
        page = pages.page_number(response.key)
        state = self._state_by_page.get(page)
        if state is not None:
            yield from self._apply_response(response, page, state, now_ms)
            self._drop_if_idle(page, state)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Retries failed requests and expires edits at their deadline."""
        for page, state in list(self._state_by_page.items()):
            yield from self._expire(page, state, now_ms)
            if state.queued or state.repair_pending:
                yield from self._read_page(page, state, now_ms)
            self._drop_if_idle(page, state)

    @functools.singledispatchmethod
    def _apply_response(
        self,
        response: effects.DocumentResponse,
        page: int,
        state: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        raise TypeError(f"{response!r} is not a response of the service")

    @_apply_response.register
    def _(
        self,
        response: effects.DocumentRead,
        page: int,
        state: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        if not state.read_in_flight or state.in_flight:
            return
        state.read_in_flight = False
        stored = pages.decode(response.value)
        if stored is None:
            logging.error("event=page_unreadable page=%d", page)
            self._back_off(state, now_ms)
            return
        yield from self._write(page, state, stored, response.revision, now_ms)

    @_apply_response.register
    def _(
        self,
        response: effects.ReadFailed,
        page: int,
        state: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del response, page
        state.read_in_flight = False
        self._back_off(state, now_ms)
        return iter(())

    @_apply_response.register
    def _(
        self,
        response: effects.WriteApplied,
        page: int,
        state: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del response
        if state.written_page is None:
            return
        pending_edits, written = state.in_flight, state.written_page
        state.in_flight, state.written_page = [], None
        state.repair_pending = False
        state.attempts = 0
        for pending in pending_edits:
            self._confirm(pending, page, written)
        yield PageConfirmed(page=page, content=written)
        yield from self._finish(pending_edits)
        if state.queued:
            yield from self._read_page(page, state, now_ms)

    @_apply_response.register
    def _(
        self,
        response: effects.WriteConflicted,
        page: int,
        state: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del response
        self._requeue(state)
        yield from self._read_page(page, state, now_ms)

    @_apply_response.register
    def _(
        self,
        response: effects.WriteUncertain,
        page: int,
        state: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del response, page
        state.uncertain_edit_ids.update(
            pending.edit.edit_id for pending in state.in_flight
        )
        self._requeue(state)
        self._back_off(state, now_ms)
        return iter(())

    def _write(
        self,
        page: int,
        state: _PageState,
        stored: pages.Page,
        revision: int,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        base = pages.merge(stored, self._installed_page(page))
        draft = page_draft.PageDraft(base=base, now_ms=now_ms)
        pending_edits, state.queued = state.queued, []
        for pending in pending_edits:
            self._apply(pending, page, draft)
        if not draft.is_changed and base.digest == stored.digest:
            state.repair_pending = False
            for pending in pending_edits:
                self._confirm(pending, page, stored)
            yield PageConfirmed(page=page, content=stored)
            yield from self._finish(pending_edits)
            return
        state.in_flight = pending_edits
        state.written_page = draft.page()
        yield effects.WriteDocument(
            key=pages.document_key(page),
            expected_revision=revision,
            value=pages.encode(state.written_page),
        )

    def _apply(
        self, pending: _PendingEdit, page: int, draft: page_draft.PageDraft
    ) -> None:
        for change in pending.edit.changes:
            if self._page_of(change) != page:
                continue
            applied = draft.apply(pending.edit, change, self._check)
            if applied.is_err():
                pending.outcome_by_row_key[change.row_key] = messages.Refused(
                    row_key=change.row_key, failure=applied.unwrap_err()
                )
            else:
                # A refusal by an earlier attempt is no longer valid.
                pending.outcome_by_row_key.pop(change.row_key, None)

    def _confirm(
        self, pending: _PendingEdit, page: int, written: pages.Page
    ) -> None:
        for change in pending.edit.changes:
            if self._page_of(change) != page:
                continue
            if change.row_key not in pending.outcome_by_row_key:
                pending.outcome_by_row_key[change.row_key] = messages.Accepted(
                    row_key=change.row_key,
                    version=written.version(change.row_key),
                )

    def _finish(
        self, pending_edits: Iterable[_PendingEdit]
    ) -> Iterator[effects.Effects]:
        for pending in pending_edits:
            row_keys = [change.row_key for change in pending.edit.changes]
            if not all(self._is_decided(pending, key) for key in row_keys):
                continue
            if self._pending_by_edit_id.pop(pending.edit.edit_id, None) is None:
                continue
            outcomes = tuple(
                pending.outcome_by_row_key[key] for key in row_keys
            )
            yield messages.EditAnswered(
                edit_id=pending.edit.edit_id, outcomes=outcomes
            )

    def _is_decided(self, pending: _PendingEdit, row_key: str) -> bool:
        if row_key not in pending.outcome_by_row_key:
            return False
        page = pages.page_of(row_key, page_count=self._page_count)
        state = self._state_by_page.get(page)
        return state is None or (
            pending not in state.queued and pending not in state.in_flight
        )

    def _expire(
        self, page: int, state: _PageState, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Finishes the edits whose deadline has passed."""
        expired = [
            pending
            for pending in (*state.queued, *state.in_flight)
            if now_ms >= pending.edit.deadline_ms
        ]
        for pending in expired:
            is_uncertain = (
                pending in state.in_flight
                or pending.edit.edit_id in state.uncertain_edit_ids
            )
            for change in pending.edit.changes:
                if self._page_of(change) == page:
                    pending.outcome_by_row_key[change.row_key] = (
                        _expired_outcome(
                            change.row_key, is_uncertain=is_uncertain
                        )
                    )
            state.queued = [
                each for each in state.queued if each is not pending
            ]
            state.in_flight = [
                each for each in state.in_flight if each is not pending
            ]
            state.uncertain_edit_ids.discard(pending.edit.edit_id)
        yield from self._finish(expired)

    def _read_page(
        self, page: int, state: _PageState, now_ms: int
    ) -> Iterator[effects.Effects]:
        is_busy = state.read_in_flight or state.written_page is not None
        if is_busy or now_ms < state.next_read_ms:
            return
        state.read_in_flight = True
        yield effects.ReadDocument(key=pages.document_key(page))

    def _requeue(self, state: _PageState) -> None:
        state.queued = state.in_flight + state.queued
        state.in_flight, state.written_page = [], None

    def _back_off(self, state: _PageState, now_ms: int) -> None:
        limit_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**state.attempts)
        state.attempts = min(state.attempts + 1, 10)
        state.next_read_ms = now_ms + self._random.randrange(limit_ms)

    def _drop_if_idle(self, page: int, state: _PageState) -> None:
        if state.is_idle and state.written_page is None:
            self._state_by_page.pop(page, None)

    def _page_of(self, change: messages.RowChange) -> int:
        return pages.page_of(change.row_key, page_count=self._page_count)

    def __repr__(self) -> str:
        return f"Editor(edits={len(self._pending_by_edit_id)})"


class PageConfirmed(effects.Effect, frozen=True, kw_only=True):
    """The service stores at least this content of the page."""

    page: int
    content: pages.Page


def _expired_outcome(row_key: str, *, is_uncertain: bool) -> messages.Outcome:
    if is_uncertain:
        return messages.Unknown(
            row_key=row_key,
            failure=page_draft.EditUnknown(
                detail="The service did not confirm before the deadline "
                f"whether it wrote {row_key}."
            ),
        )
    return messages.Refused(
        row_key=row_key,
        failure=page_draft.ServiceUnavailable(
            detail=f"The service was not reached before the deadline, so "
            f"{row_key} is unchanged."
        ),
    )
