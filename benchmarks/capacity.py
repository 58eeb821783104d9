"""The slopes that docs/CAPACITY.md works with.

`python -m benchmarks.capacity [PART ...]` prints key=value lines; the parts are
the functions that are named in `PART_BY_NAME`. Run them one at a time on a
machine that is not busy when processor time matters.

See Also:
    benchmarks.gossip_cost: what membership and table cost by number of nodes.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import gc
import pathlib
import sys
import time
import tracemalloc

from absl import logging
import msgspec

from bambooglade.core import identifiers
from bambooglade.operations import claim_record
from bambooglade.operations import messages as operation_messages
from bambooglade.shards import document as documents
from bambooglade.table import pages
from bambooglade.table import rows
from bambooglade_standins import local_fleet
from benchmarks import capacity_fleet
from benchmarks import capacity_routing
from benchmarks import capacity_transport

_KEY_BYTES = 97
_MS_PER_S = 1_000
_US_PER_S = 1_000_000
_REPEATS = 200
_BUDGETS = 20
_LOADED_MS = 40_000
_QUIET_MS = 30_000
"""Time after which nothing of earlier requests is left to be written."""


def _edit_id(number: int) -> identifiers.EditId:
    return identifiers.EditId(f"edit-018bcfe5-6800-7000-8000-{number:012d}")


def _document(
    *, budgets: int, zones: int, edit_ids: int
) -> documents.ShardDocument:
    counters = documents.ZoneCounters(
        granted=1_234_567, returned=123_456, settled=987_654
    )
    account = documents.Account(
        prepaid_tokens=12_345_678,
        recent_edit_ids=tuple(map(_edit_id, range(edit_ids))),
        counters_by_availability_zone={
            identifiers.AvailabilityZone(f"region-1-zone-{zone}"): counters
            for zone in range(zones)
        },
    )
    return documents.ShardDocument(
        account_by_budget_id={
            identifiers.BudgetId(f"team/team-{number:06d}"): account
            for number in range(budgets)
        }
    )


def document() -> Iterator[str]:
    """Size of a shard's document, and the time to decode and encode it."""
    for zones, budgets, edit_ids in (
        (4, 30, 1),
        (7, 30, 1),
        (7, 300, 1),
        (7, 1_875, 1),
        (7, 30, documents.RECENT_EDITS),
        (7, 300, documents.RECENT_EDITS),
    ):
        value = documents.encode(
            _document(budgets=budgets, zones=zones, edit_ids=edit_ids)
        )
        repeats = max(1, _REPEATS * 30 // budgets)
        started_s = time.process_time()
        for _ in range(repeats):
            documents.encode(documents.decode(value))
        cpu_us = (time.process_time() - started_s) / repeats * _US_PER_S
        yield (
            f"experiment=capacity part=document zones={zones} "
            f"budgets={budgets} edit_ids={edit_ids} bytes={len(value)} "
            f"bytes_per_budget={len(value) / budgets:.0f} "
            f"codec_us={cpu_us:.0f}"
        )


def table() -> Iterator[str]:
    """Size of rows in the table, stored and in memory."""
    for row_of in (_team, _limit):
        for count in (100, 1_000, 4_700):
            yield _table_line(row_of, count)


def _table_line(row_of: Callable[[int], rows.Row], count: int) -> str:
    records = [_row_record(row_of(number)) for number in range(count)]
    by_row_key = {record.row_key: record for record in records}
    value = pages.encode(pages.Page(sequence=1, by_row_key=by_row_key))
    size = _allocated(lambda: pages.decode(value))
    return (
        f"experiment=capacity part=table of={row_of.__name__[1:]} "
        f"rows={count} bytes_per_row={len(value) / count:.0f} "
        f"memory_bytes_per_row={size / count:.0f}"
    )


def _team(number: int) -> rows.TeamRow:
    key_hash = "$argon2id$v=19$m=1024,t=2,p=1$" + "x" * (_KEY_BYTES - 30)
    return rows.TeamRow(team_id=f"team-{number:06d}", key_hash=key_hash)


def _limit(number: int) -> rows.LimitRow:
    return rows.LimitRow(
        team_id=f"team-{number:06d}",
        service="pantry-llm",
        request_kind="plan",
        spend_limit_tokens=1_000_000,
    )


def _row_record(row: rows.Row) -> pages.RowRecord:
    return pages.RowRecord(
        row_key=row.row_key,
        version=1,
        sequence=1,
        row=row,
        edit_ids=(_edit_id(1),),
        edited_by="operator",
        edited_at_ms=1_800_000_000_000,
    )


def memory() -> Iterator[str]:
    """Memory of an account and of a claim, at a primary."""
    for budgets in (200, 1_000):
        size = _allocated(
            lambda budgets=budgets: documents.decode(
                documents.encode(
                    _document(budgets=budgets, zones=7, edit_ids=1)
                )
            )
        )
        yield (
            f"experiment=capacity part=memory of=account_ledger "
            f"count={budgets} bytes_each={size / budgets:.0f}"
        )
    for count in (1_000, 10_000):
        size = _allocated(lambda count=count: list(map(_copied, range(count))))
        yield (
            f"experiment=capacity part=memory of=claim count={count} "
            f"bytes_each={size / count:.0f} "
            f"wire_bytes_each={len(msgspec.json.encode(_claim(1)))}"
        )


def _copied(number: int) -> claim_record.ClaimRecord:
    """Returns a claim as a backup has it, with texts of its own."""
    encoded = msgspec.json.encode(_claim(number))
    return msgspec.json.decode(encoded, type=claim_record.ClaimRecord)


def _claim(number: int) -> claim_record.ClaimRecord:
    del number
    key = identifiers.new_request_key()
    entry = identifiers.InstanceId("scot-a-1.018f0000")
    return claim_record.ClaimRecord(
        record_id=str(key),
        version=2,
        repeatable=True,
        changed_at_ms=1_800_000_000_000,
        evict_at_ms=1_800_007_200_000,
        fingerprint="f" * 32,
        state=claim_record.RecordState.FINISHED,
        holder=operation_messages.Attempt(entry=entry, number=1),
        spent_tokens=600,
    )


def _allocated(build: Callable[[], object]) -> int:
    """Returns the bytes that an object takes, with all that it refers to."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def calls() -> Iterator[str]:
    """Messages, bytes and processor time of decisions for a request.

    The measured period follows one with the same load, because the first
    writes of a shard to the service come later than its first requests.
    """
    for zones, nodes_per_zone, shard_count, requests_per_s in (
        (2, 2, 16, 20),
        (2, 2, 16, 80),
        (2, 2, 64, 20),
        (4, 2, 16, 20),
        (7, 2, 16, 20),
        (7, 5, 16, 20),
    ):
        fleet = capacity_fleet.CapacityFleet(
            zones=zones,
            nodes_per_zone=nodes_per_zone,
            shard_count=shard_count,
            budgets=_BUDGETS,
        )
        for repeatable in (True, False):
            yield (
                f"experiment=capacity part=calls zones={zones} "
                f"nodes={fleet.nodes} shards={shard_count} "
                f"requests_per_s={requests_per_s} repeatable={repeatable} "
                + _calls_line(
                    fleet, requests_per_s=requests_per_s, repeatable=repeatable
                )
            )


def _calls_line(
    fleet: capacity_fleet.CapacityFleet,
    *,
    requests_per_s: int,
    repeatable: bool,
) -> str:
    requests = requests_per_s * _LOADED_MS // _MS_PER_S
    fleet.run(duration_ms=_LOADED_MS, requests=requests, repeatable=repeatable)
    busy = fleet.run(
        duration_ms=_LOADED_MS, requests=requests, repeatable=repeatable
    )
    fleet.run(duration_ms=_QUIET_MS, requests=0)
    idle = fleet.run(duration_ms=_LOADED_MS, requests=0)
    return (
        f"requests={requests} billed={busy.billed} "
        f"messages_per_request={busy.messages / requests:.1f} "
        f"bytes_per_request={busy.bytes / requests:.0f} "
        f"cpu_us_per_request="
        f"{(busy.cpu_s - idle.cpu_s) / requests * _US_PER_S:.0f} "
        f"reads_per_s={busy.reads * _MS_PER_S / _LOADED_MS:.2f} "
        f"writes_per_s={busy.writes * _MS_PER_S / _LOADED_MS:.2f} "
        f"service_calls_idle={idle.reads + idle.writes}"
    )


def idle() -> Iterator[str]:
    """What shards cost a node without any requests."""
    for nodes_per_zone, shard_count in (
        (2, 64),
        (2, 256),
        (2, 1_024),
        (8, 256),
    ):
        fleet = capacity_fleet.CapacityFleet(
            zones=2,
            nodes_per_zone=nodes_per_zone,
            shard_count=shard_count,
            budgets=100,
        )
        duration_ms = 20_000
        used = fleet.run(duration_ms=duration_ms, requests=0)
        node_s = fleet.nodes * duration_ms / _MS_PER_S
        yield (
            f"experiment=capacity part=idle zones=2 nodes={fleet.nodes} "
            f"shards={shard_count} "
            f"messages_per_node_s={used.messages / node_s:.2f} "
            f"bytes_per_node_s={used.bytes / node_s:.0f} "
            f"cpu_percent_of_core={100 * used.cpu_s / node_s:.2f} "
            f"service_calls_per_s="
            f"{(used.reads + used.writes) * _MS_PER_S / duration_ms:.2f}"
        )


def process() -> Iterator[str]:
    """Resident memory and idle processor time of running instances.

    The instances are threads of one process, so the first line holds what the
    interpreter and the libraries take, and the slope what an instance adds.
    """
    measured_s = 5
    yield f"experiment=capacity part=process instances=0 {_resident()}"
    for count in (1, 9, 18):
        with local_fleet.LocalFleet(shard_count=64) as fleet:
            for number in range(count):
                fleet.start_instance(fleet.zones[number % len(fleet.zones)])
            fleet.wait_until_ready()
            time.sleep(measured_s)
            started_s = time.process_time()
            time.sleep(measured_s)
            cpu_s = time.process_time() - started_s
            yield (
                f"experiment=capacity part=process instances={count} "
                f"{_resident()} cpu_percent_of_core_each="
                f"{100 * cpu_s / measured_s / count:.2f}"
            )


def _resident() -> str:
    status = pathlib.Path("/proc/self/status").read_text(encoding="utf-8")
    fields = dict(
        line.split(":", 1) for line in status.splitlines() if ":" in line
    )
    kilobytes = int(fields["VmRSS"].split()[0])
    return f"resident_mb={kilobytes / 1024:.1f}"


PART_BY_NAME: dict[str, Callable[[], Iterator[str]]] = {
    "process": process,
    "document": document,
    "table": table,
    "memory": memory,
    "transport": capacity_transport.lines,
    "routing": capacity_routing.lines,
    "calls": calls,
    "idle": idle,
}


def lines(names: list[str] | None = None) -> Iterator[str]:
    """Yields the lines of the named parts, or of all."""
    for name in names or PART_BY_NAME:
        yield from PART_BY_NAME[name]()


def main(names: list[str]) -> None:
    """Prints the lines."""
    logging.set_verbosity(logging.FATAL)
    for line in lines(names):
        print(line, flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
