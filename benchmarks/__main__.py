"""Runs all experiments and prints their results as key=value lines.

`python -m benchmarks [NAME ...]` runs only the named ones.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import sys

from absl import logging

from benchmarks import budget_policy
from benchmarks import capacity
from benchmarks import cutoff_reserve
from benchmarks import edit_propagation
from benchmarks import gossip_cost
from benchmarks import long_prompts
from benchmarks import router_cost
from benchmarks import routing_policy
from benchmarks import service_calls
from benchmarks import status_flood

EXPERIMENT_BY_NAME: dict[str, Callable[[], Iterator[str]]] = {
    "budget_policy": budget_policy.lines,
    "capacity": capacity.lines,
    "cutoff_reserve": cutoff_reserve.lines,
    "routing_policy": routing_policy.lines,
    "router_cost": router_cost.lines,
    "status_flood": status_flood.lines,
    "long_prompts": long_prompts.lines,
    "edit_propagation": edit_propagation.lines,
    "gossip_cost": gossip_cost.lines,
    "service_calls": service_calls.lines,
}


def main(names: Iterable[str]) -> None:
    """Runs the named experiments, or all of them."""
    logging.set_verbosity(logging.ERROR)
    for name in names or EXPERIMENT_BY_NAME:
        for line in EXPERIMENT_BY_NAME[name]():
            print(line, flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
