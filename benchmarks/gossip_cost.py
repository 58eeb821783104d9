"""What membership and table cost a node against the number of nodes.

Bytes are those of signed envelopes with their HTTP heads, one envelope a
message, sent and received together. The limit is that of docs/CAPACITY.md for
all control traffic of a node.
"""

from __future__ import annotations

from collections.abc import Iterator
import functools
import time

import fire
import msgspec

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.fleet import messages as fleet_messages
from bambooglade.table import messages as table_messages
from bambooglade.transport import codec as codecs
from bambooglade.transport import sealing
from bambooglade.transport import signing
from bambooglade_standins.virtual import control
from benchmarks import wire_heads

NODES = (9, 36, 120, 360)
MOST_NODES = 120
ZONES = 7
SETTLE_MS = 30_000
MEASURED_MS = 60_000
LIMIT_BYTES_PER_S = 3_000
_MS_PER_S = 1_000


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one node, averaged over all."""

    nodes: int
    phase: str
    bytes_per_s: float
    messages_per_s: float
    cpu_percent: float
    remembered: int

    def __str__(self) -> str:
        return (
            f"experiment=gossip_cost nodes={self.nodes} "
            f"phase={self.phase} "
            f"bytes_per_s={self.bytes_per_s:.0f} "
            f"messages_per_s={self.messages_per_s:.2f} "
            f"cpu_percent_of_core={self.cpu_percent:.2f} "
            f"members_known={self.remembered} "
            f"limit_bytes_per_s={LIMIT_BYTES_PER_S}"
        )


def measure(nodes: int, *, seed: int = 1) -> Iterator[Cost]:
    """Measures the minute in which all nodes start, then a calm one."""
    virtual = control.ControlFleet(
        seed=seed, seeds=("http://zone-0-1", "http://zone-1-2"), page_count=64
    )
    for index in range(nodes):
        virtual.start(f"zone-{index % ZONES}")
    virtual.fleet.measure_bytes = functools.partial(
        _wire_bytes, _sealer(), wire_heads.measure()
    )
    yield _measure_phase(virtual, phase="joining")
    virtual.fleet.run_for(SETTLE_MS)
    yield _measure_phase(virtual, phase="calm")


def _measure_phase(virtual: control.ControlFleet, *, phase: str) -> Cost:
    fleet = virtual.fleet
    messages_before, bytes_before = fleet.messages_sent, fleet.bytes_sent
    started_s = time.process_time()
    fleet.run_for(MEASURED_MS)
    cpu_s = time.process_time() - started_s
    nodes = len(virtual.parts_by_id)
    node_s = nodes * MEASURED_MS / _MS_PER_S
    known = [
        len(virtual.membership(name).members()) for name in virtual.parts_by_id
    ]
    return Cost(
        nodes=nodes,
        phase=phase,
        bytes_per_s=2 * (fleet.bytes_sent - bytes_before) / node_s,
        messages_per_s=2 * (fleet.messages_sent - messages_before) / node_s,
        cpu_percent=100 * cpu_s / node_s,
        remembered=min(known),
    )


def lines(*, seed: int = 1, most_nodes: int = MOST_NODES) -> Iterator[str]:
    """Yields two lines a number of nodes."""
    for nodes in NODES:
        if nodes <= most_nodes:
            yield from map(str, measure(nodes, seed=seed))


def main(*, seed: int = 1, most_nodes: int = MOST_NODES) -> None:
    """Prints the lines; 360 nodes take some minutes."""
    for line in lines(seed=seed, most_nodes=most_nodes):
        print(line, flush=True)


def _sealer() -> sealing.Sealer:
    return sealing.Sealer(
        instance_id="zone-0-100.018f0000",
        signer=signing.Signer(b"k" * 32),
        clock=clocks.ManualClock(now_ms=1_800_000_000_000),
        codec=codecs.Codec(),
    )


def _wire_bytes(
    sealer: sealing.Sealer, heads: wire_heads.Heads, message: effects.Message
) -> int:
    envelope = len(sealer.seal("zone-6-359.018f0000", [message]).body)
    if _is_answer(message):
        return heads.answer_bytes + envelope
    sent = heads.request_bytes + envelope
    if isinstance(message, table_messages.TableSummary):
        empty = len(sealer.seal("zone-6-359.018f0000", []).body)
        sent += heads.answer_bytes + empty
    return sent


def _is_answer(message: effects.Message) -> bool:
    if isinstance(message, table_messages.TableSummary):
        return message.is_reply
    answers = (
        fleet_messages.Ack,
        fleet_messages.StatePart,
        table_messages.PageDigests,
        table_messages.PageParts,
    )
    return isinstance(message, answers)


if __name__ == "__main__":
    fire.Fire(main)
