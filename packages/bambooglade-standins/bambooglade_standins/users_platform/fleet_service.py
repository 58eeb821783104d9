"""Judges whether callers are served, and what is used of a budget; no I/O.

See Also:
    bambooglade_standins.users_platform.fleet_judge: the other rules.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from bambooglade_standins.users_platform import engine_process
from bambooglade_standins.users_platform import fleet_disturbances
from bambooglade_standins.users_platform import fleet_records
from bambooglade_standins.users_platform import fleet_violations

MIN_REQUESTS = 20
"""Requests from which a share is judged."""

MIN_SERVED_SHARE = 2 / 3
"""Least share of new requests that are served in calm."""

MIN_NEIGHBOUR_SHARE = 0.5
"""Least share of sound requests that begin beside fatal ones, compared with
that in calm."""

NEIGHBOURS_AFTER_MS = 2 * fleet_disturbances.CONTACT_MS
"""Time after the last crash that counts until sound requests begin again."""

CRASHES = 5
"""Crashes after which a prompt part is known to be fatal."""

INPUT_TOKENS = 600
TOKENS_PER_EVENT = 6
"""Tokens of the prompts of all callers, and of an event."""

_SUCCESS = 200
_EXHAUSTED = 402
_EVENT = "id: "
_END_OF_EVENT = "\n\n"


class ServiceJudge:
    """Finds rules that are broken by what callers did not get, or got too much.

    Args:
        caller_records: What the callers got, by the time at which it was sent.
        steps_by_attempt: What the engines received, by the request.
        changes: Versions of the configuration, in order.
        disturbances: What was disturbed, and when.

    Attributes:
        served_by_service: Served and all new requests in calm, by the service.
        neighbours: Shares of sound requests that began beside a fatal prompt
            part, and in calm; None if there were too few.
        used_tokens: Tokens that were used in all, and that were prepaid.
    """

    __slots__ = (
        "_caller_records",
        "_changes",
        "_disturbances",
        "_ended_at_ms_by_subject",
        "_steps_by_attempt",
        "neighbours",
        "served_by_service",
        "used_tokens",
    )

    def __init__(
        self,
        caller_records: Sequence[fleet_records.CallerRecord],
        steps_by_attempt: Mapping[str, Sequence[fleet_records.EngineRecord]],
        changes: Sequence[fleet_records.Change],
        disturbances: fleet_disturbances.Disturbances,
    ) -> None:
        self._caller_records = caller_records
        self._steps_by_attempt = steps_by_attempt
        self._changes = changes
        self._disturbances = disturbances
        self._ended_at_ms_by_subject = {
            record.subject: record.ended_at_ms for record in caller_records
        }
        self.served_by_service: dict[str, tuple[int, int]] = {}
        self.neighbours: tuple[float, float] | None = None
        self.used_tokens = (0, 0)

    def violations(self) -> Iterator[fleet_violations.Violation]:
        """Yields the broken rules."""
        yield from self._unserved_in_calm()
        yield from self._cut_off_neighbours()
        yield from self._overspent()

    def _first_tries(self) -> Iterator[fleet_records.CallerRecord]:
        """Yields the new requests of which no engine crashes."""
        for record in self._caller_records:
            is_first = not record.after_event and record.attempt.endswith(".1")
            if is_first and not record.is_fatal:
                yield record

    def _is_calm(self, record: fleet_records.CallerRecord) -> bool:
        """Returns whether nothing was disturbed while a request lasted."""
        return self._disturbances.is_calm(
            record.sent_at_ms, self._ended_at_ms_by_subject[record.subject]
        )

    def _unserved_in_calm(self) -> Iterator[fleet_violations.Violation]:
        """Yields the services that are not served although all is sound.

        Requests are served if any of their tries is.
        """
        served = {
            record.subject
            for record in self._caller_records
            if record.status == _SUCCESS
            and record.end in (fleet_records.End.COMPLETE, _DROPPED)
        }
        exhausted = {
            record.subject
            for record in self._caller_records
            if record.status == _EXHAUSTED
        }
        calm_by_service: dict[str, list[fleet_records.CallerRecord]] = {}
        for record in self._first_tries():
            if self._is_calm(record) and record.subject not in exhausted:
                service = "+".join(self._services(record))
                calm_by_service.setdefault(service, []).append(record)
        for service, records in calm_by_service.items():
            count = sum(record.subject in served for record in records)
            self.served_by_service[service] = count, len(records)
            if len(records) >= MIN_REQUESTS and count < MIN_SERVED_SHARE * len(
                records
            ):
                unserved = [r for r in records if r.subject not in served]
                yield fleet_violations.Violation(
                    "RECOVER",
                    unserved[0].sent_at_ms,
                    f"{count} of {len(records)} requests to {service} were"
                    f" served in calm, first not {unserved[0].attempt}",
                )

    def _services(self, record: fleet_records.CallerRecord) -> tuple[str, ...]:
        known = [c for c in self._changes if c.at_ms <= record.sent_at_ms]
        change = known[-1] if known else self._changes[0]
        return change.route_by_kind[record.kind].services

    def _cut_off_neighbours(self) -> Iterator[fleet_violations.Violation]:
        """Yields sound requests that do not begin beside a fatal part."""
        first_tries = [r for r in self._first_tries() if r.events]
        calm = list(filter(self._is_calm, first_tries))
        for trouble in self._disturbances.fatal_parts():
            crashes = self._part_crashes(trouble)[:CRASHES]
            if not crashes:
                continue
            from_ms = crashes[-1] + NEIGHBOURS_AFTER_MS
            beside = [
                record
                for record in first_tries
                if from_ms <= record.sent_at_ms <= trouble.ended_at_ms
                and self._disturbances.is_in_touch(
                    record.gateway, record.sent_at_ms, record.sent_at_ms
                )
                and not self._disturbances.is_disturbed_beside_fatal(
                    record.sent_at_ms
                )
            ]
            if min(len(beside), len(calm)) < MIN_REQUESTS:
                continue
            shares = _begun_share(beside), _begun_share(calm)
            self.neighbours = min(self.neighbours or shares, shares)
            if shares[0] < MIN_NEIGHBOUR_SHARE * shares[1]:
                yield fleet_violations.Violation(
                    "LOST",
                    from_ms,
                    f"{shares[0]:.2f} of {len(beside)} sound requests began"
                    f" beside a fatal part, {shares[1]:.2f} in calm",
                )

    def _part_crashes(
        self, trouble: fleet_records.CallersSendFatal
    ) -> list[int]:
        fatal = (
            record.attempt
            for record in self._caller_records
            if record.is_fatal
            and not record.subject.startswith(engine_process.FATAL_SUBJECT)
        )
        return sorted(
            step.at_ms
            for attempt in fatal
            for step in self._steps_by_attempt.get(attempt, ())
            if step.step is fleet_records.Step.CRASHED
            and trouble.began_at_ms <= step.at_ms <= trouble.ended_at_ms
        )

    def _overspent(self) -> Iterator[fleet_violations.Violation]:
        """Yields the first time at which more was used than was prepaid.

        What a request used counts from its end.
        """
        used_tokens = 0
        for record in sorted(self._caller_records, key=lambda r: r.ended_at_ms):
            used_tokens += self._used_tokens(record)
            known = [c for c in self._changes if c.at_ms <= record.ended_at_ms]
            prepaid_tokens = max(
                c.prepaid_tokens for c in known or self._changes[:1]
            )
            self.used_tokens = used_tokens, prepaid_tokens
            if used_tokens > prepaid_tokens:
                yield fleet_violations.Violation(
                    "BUDGET",
                    record.ended_at_ms,
                    f"{used_tokens} of {prepaid_tokens} prepaid tokens were"
                    f" used after {record.attempt}",
                )
                return

    def _used_tokens(self, record: fleet_records.CallerRecord) -> int:
        """Returns the input of a request that has begun, and its output."""
        if not record.events or record.status != _SUCCESS:
            return 0
        events = sum(
            text.startswith(_EVENT)
            for text in record.body.split(_END_OF_EVENT)[:-1]
        )
        return (INPUT_TOKENS if events else 0) + TOKENS_PER_EVENT * events

    def __repr__(self) -> str:
        return f"ServiceJudge(requests={len(self._caller_records)})"


_DROPPED = fleet_records.End.DROPPED


def _begun_share(records: Iterable[fleet_records.CallerRecord]) -> float:
    """Returns the share of requests whose stream has begun."""
    counted = [r for r in records if r.status != _EXHAUSTED]
    begun = [r for r in counted if r.status == _SUCCESS and r.body]
    return len(begun) / max(1, len(counted))
