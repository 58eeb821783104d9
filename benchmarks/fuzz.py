"""Long stateful fuzzing: `python -m benchmarks.fuzz --seed=7 --examples=500`.

See Also:
    bambooglade_standins.virtual.fuzz_machine: the rules.
    bambooglade_standins.virtual.oracle: what is checked.
"""

from __future__ import annotations

import time

import fire

from bambooglade_standins.virtual import fuzz_machine


def run(
    seed: int = 0, examples: int = 500, steps: int = 60, shrink: bool = True
) -> None:
    """Runs the fuzzing and prints one key=value line when nothing broke.

    Args:
        seed: Seed of the examples.
        examples: Number of examples.
        steps: Most rules in one example.
        shrink: Whether to look for a shorter failure, which takes minutes.
    """
    started_s = time.monotonic()
    fuzz_machine.run(seed=seed, examples=examples, steps=steps, shrink=shrink)
    elapsed_s = time.monotonic() - started_s
    print(
        f"experiment=fuzz seed={seed} examples={examples} steps={steps} "
        f"broken=0 elapsed_s={elapsed_s:.1f}"
    )


if __name__ == "__main__":
    fire.Fire(run)
