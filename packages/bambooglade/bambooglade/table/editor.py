"""Makes operators' edits in the platform's service.

An edit is accepted only when its compare-and-swap is confirmed: by the
service's answer or, if that was lost, by finding the edit's id in the page
that is read back. All edits of a page that wait are made by one write.
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
    """An edit that is in progress, on one or several pages."""

    edit: messages.EditRows
    outcome_by_row_key: dict[str, messages.Outcome]


class _PageState:
    """The edits of one page, and what was sent to the service for it."""

    __slots__ = (
        "attempts",
        "may_be_written",
        "next_read_ms",
        "reading",
        "repairing",
        "waiting",
        "writing",
        "written",
    )

    def __init__(self) -> None:
        self.waiting: list[_PendingEdit] = []
        self.writing: list[_PendingEdit] = []
        self.may_be_written: set[identifiers.EditId] = set()
        self.written: pages.Page | None = None
        self.reading = False
        self.repairing = False
        self.next_read_ms = 0
        self.attempts = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to do or to be answered."""
        return not (
            self.waiting or self.writing or self.reading or self.repairing
        )


class Editor:
    """State machine over the pages that are being edited.

    Args:
        page_count: Pages of the table.
        in_force: Returns the page as it is installed at this instance; rows
            that the service lost are written back from it.
        check: Checks a row before it is written.
        random_source: Seeded in tests; spreads repeats.
    """

    __slots__ = (
        "_check",
        "_in_force",
        "_job_by_edit_id",
        "_page_count",
        "_random",
        "_work_by_page",
    )

    def __init__(
        self,
        *,
        page_count: int,
        in_force: PageLookup,
        check: page_draft.RowCheck,
        random_source: random.Random,
    ) -> None:
        self._page_count = page_count
        self._in_force = in_force
        self._check = check
        self._random = random_source
        self._job_by_edit_id: dict[identifiers.EditId, _PendingEdit] = {}
        self._work_by_page: dict[int, _PageState] = {}

    def submit(
        self, edit: messages.EditRows, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Starts an edit; one that is in progress is not started again."""
        if edit.edit_id in self._job_by_edit_id:
            return
        job = _PendingEdit(edit=edit, outcome_by_row_key={})
        self._job_by_edit_id[edit.edit_id] = job
        for page in sorted({self._page_of(each) for each in edit.changes}):
            work = self._work_by_page.setdefault(page, _PageState())
            work.waiting.append(job)
            yield from self._read(page, work, now_ms)
        yield from self._finish([job])

    def repair(self, page: int, now_ms: int) -> Iterator[effects.Effects]:
        """Writes back a page of which the service has an older copy."""
        work = self._work_by_page.setdefault(page, _PageState())
        work.repairing = True
        yield from self._read(page, work, now_ms)

    def document_answered(
        self, answer: effects.DocumentAnswer, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Goes on with the page of the answer, if it is being edited."""
        page = pages.page_number(answer.key)
        work = self._work_by_page.get(page)
        if work is not None:
            yield from self._apply_response(answer, page, work, now_ms)
            self._drop_if_idle(page, work)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Repeats what failed, and ends edits at their deadline."""
        for page, work in list(self._work_by_page.items()):
            yield from self._give_up(page, work, now_ms)
            if work.waiting or work.repairing:
                yield from self._read(page, work, now_ms)
            self._drop_if_idle(page, work)

    @functools.singledispatchmethod
    def _apply_response(
        self,
        answer: effects.DocumentAnswer,
        page: int,
        work: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        raise TypeError(f"{answer!r} is no answer of the service")

    @_apply_response.register
    def _(
        self,
        answer: effects.DocumentRead,
        page: int,
        work: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        if not work.reading or work.writing:
            return
        work.reading = False
        stored = pages.decode(answer.value)
        if stored is None:
            logging.error("event=page_unreadable page=%d", page)
            self._pause(work, now_ms)
            return
        yield from self._write(page, work, stored, answer.revision, now_ms)

    @_apply_response.register
    def _(
        self,
        answer: effects.ReadFailed,
        page: int,
        work: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del answer, page
        work.reading = False
        self._pause(work, now_ms)
        return iter(())

    @_apply_response.register
    def _(
        self,
        answer: effects.WriteApplied,
        page: int,
        work: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del answer
        if work.written is None:
            return
        jobs, written = work.writing, work.written
        work.writing, work.written = [], None
        work.repairing = False
        work.attempts = 0
        for job in jobs:
            self._confirm(job, page, written)
        yield PageConfirmed(page=page, content=written)
        yield from self._finish(jobs)
        if work.waiting:
            yield from self._read(page, work, now_ms)

    @_apply_response.register
    def _(
        self,
        answer: effects.WriteConflicted,
        page: int,
        work: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del answer
        self._requeue(work)
        yield from self._read(page, work, now_ms)

    @_apply_response.register
    def _(
        self,
        answer: effects.WriteUncertain,
        page: int,
        work: _PageState,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del answer, page
        work.may_be_written.update(job.edit.edit_id for job in work.writing)
        self._requeue(work)
        self._pause(work, now_ms)
        return iter(())

    def _write(
        self,
        page: int,
        work: _PageState,
        stored: pages.Page,
        revision: int,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        base = pages.merge(stored, self._in_force(page))
        draft = page_draft.PageDraft(base=base, now_ms=now_ms)
        jobs, work.waiting = work.waiting, []
        for job in jobs:
            self._apply(job, page, draft)
        if not draft.is_changed and base.digest == stored.digest:
            work.repairing = False
            for job in jobs:
                self._confirm(job, page, stored)
            yield PageConfirmed(page=page, content=stored)
            yield from self._finish(jobs)
            return
        work.writing = jobs
        work.written = draft.page()
        yield effects.WriteDocument(
            key=pages.document_key(page),
            expected_revision=revision,
            value=pages.encode(work.written),
        )

    def _apply(
        self, job: _PendingEdit, page: int, draft: page_draft.PageDraft
    ) -> None:
        for change in job.edit.changes:
            if self._page_of(change) != page:
                continue
            applied = draft.apply(job.edit, change, self._check)
            if applied.is_err():
                job.outcome_by_row_key[change.row_key] = messages.Refused(
                    row_key=change.row_key, failure=applied.unwrap_err()
                )
            else:
                # A refusal of an earlier attempt no longer holds.
                job.outcome_by_row_key.pop(change.row_key, None)

    def _confirm(
        self, job: _PendingEdit, page: int, written: pages.Page
    ) -> None:
        for change in job.edit.changes:
            if self._page_of(change) != page:
                continue
            if change.row_key not in job.outcome_by_row_key:
                job.outcome_by_row_key[change.row_key] = messages.Accepted(
                    row_key=change.row_key,
                    version=written.version(change.row_key),
                )

    def _finish(
        self, jobs: Iterable[_PendingEdit]
    ) -> Iterator[effects.Effects]:
        for job in jobs:
            row_keys = [change.row_key for change in job.edit.changes]
            if not all(self._is_decided(job, key) for key in row_keys):
                continue
            if self._job_by_edit_id.pop(job.edit.edit_id, None) is None:
                continue
            outcomes = tuple(job.outcome_by_row_key[key] for key in row_keys)
            yield messages.EditAnswered(
                edit_id=job.edit.edit_id, outcomes=outcomes
            )

    def _is_decided(self, job: _PendingEdit, row_key: str) -> bool:
        if row_key not in job.outcome_by_row_key:
            return False
        page = pages.page_of(row_key, page_count=self._page_count)
        work = self._work_by_page.get(page)
        return work is None or (
            job not in work.waiting and job not in work.writing
        )

    def _give_up(
        self, page: int, work: _PageState, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Answers the edits whose deadline has come."""
        late = [
            job
            for job in (*work.waiting, *work.writing)
            if now_ms >= job.edit.deadline_ms
        ]
        for job in late:
            unsure = (
                job in work.writing or job.edit.edit_id in work.may_be_written
            )
            for change in job.edit.changes:
                if self._page_of(change) == page:
                    job.outcome_by_row_key[change.row_key] = _expired_outcome(
                        change.row_key, unsure=unsure
                    )
            work.waiting = [each for each in work.waiting if each is not job]
            work.writing = [each for each in work.writing if each is not job]
            work.may_be_written.discard(job.edit.edit_id)
        yield from self._finish(late)

    def _read(
        self, page: int, work: _PageState, now_ms: int
    ) -> Iterator[effects.Effects]:
        busy = work.reading or work.written is not None
        if busy or now_ms < work.next_read_ms:
            return
        work.reading = True
        yield effects.ReadDocument(key=pages.document_key(page))

    def _requeue(self, work: _PageState) -> None:
        work.waiting = work.writing + work.waiting
        work.writing, work.written = [], None

    def _pause(self, work: _PageState, now_ms: int) -> None:
        limit_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**work.attempts)
        work.attempts = min(work.attempts + 1, 10)
        work.next_read_ms = now_ms + self._random.randrange(limit_ms)

    def _drop_if_idle(self, page: int, work: _PageState) -> None:
        if work.is_idle and work.written is None:
            self._work_by_page.pop(page, None)

    def _page_of(self, change: messages.RowChange) -> int:
        return pages.page_of(change.row_key, page_count=self._page_count)

    def __repr__(self) -> str:
        return f"Editor(edits={len(self._job_by_edit_id)})"


class PageConfirmed(effects.Effect, frozen=True, kw_only=True):
    """The service holds at least this content of the page."""

    page: int
    content: pages.Page


def _expired_outcome(row_key: str, *, unsure: bool) -> messages.Outcome:
    if unsure:
        return messages.Unknown(
            row_key=row_key,
            failure=page_draft.EditUnknown(
                detail=f"The service did not say whether it wrote {row_key}."
            ),
        )
    return messages.Refused(
        row_key=row_key,
        failure=page_draft.ServiceUnavailable(
            detail=f"The service was not reached, so {row_key} is unchanged."
        ),
    )
