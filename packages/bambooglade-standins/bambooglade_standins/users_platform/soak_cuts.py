"""Cuts one gateway of the soak off from all engines, and judges its service.

The check is made from outside: first tries at the gateway that is cut off are
compared with those at the other gateways in the same time. Requests on which
engines crash are not counted, since they are refused everywhere.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import math
import random

from bambooglade.eventloop import loop as loop_lib
from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import invariants as invariants_lib
from bambooglade_standins.users_platform import target_links

PERIOD_MS = 7_000
"""Time from the beginning of a cut to that of the next one."""

DURATION_MS = 5_000
CONTACT_MS = 3_000
"""Time after a cut from which the users count requests."""

MIN_TRIES = 20
"""Least number of first tries whose share is judged."""

SIGMAS = 4
"""Standard deviations by which the share may fall short by chance.

It is checked all the time, and other faults make tries fail in groups.
"""


class LinkCuts:
    """Cuts gateways off from all engines, one at a time.

    Every other cut overlaps with signals to gateways; first tries are compared
    in the others alone.

    Args:
        loop: The event loop.
        gateways: All gateways.
        random_source: Chooses gateways and kinds of cuts.

    Attributes:
        gateway: The gateway that is cut off; None between two cuts.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        gateways: Sequence[gateway_process.GatewayProcess],
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._gateways = gateways
        self._random = random_source
        self._count = 0
        self._cut_at_ms = 0
        self._is_ended = False
        self._tries: collections.Counter[bool] = collections.Counter()
        self._served: collections.Counter[bool] = collections.Counter()
        self.gateway: gateway_process.GatewayProcess | None = None

    @property
    def is_compared(self) -> bool:
        """Whether first tries are compared, so that no signal may be sent."""
        return self.gateway is not None and self._count % 2 == 1

    def begin(self) -> None:
        """Cuts a gateway off; the next one follows later."""
        if self._is_ended:
            return
        self.gateway = self._random.choice(self._gateways)
        self._count += 1
        self._cut_at_ms = self._loop.now_ms()
        self.gateway.cut_links(self._random.choice(list(target_links.Cut)))
        self._loop.call_later(DURATION_MS, self._restore)
        self._loop.call_later(PERIOD_MS, self.begin)

    def _restore(self) -> None:
        if self.gateway is not None:
            self.gateway.cut_links(None)
            self.gateway = None

    def end(self) -> None:
        """Restores all links for good."""
        self._is_ended = True
        self._restore()

    def group_of(self, gateway: gateway_process.GatewayProcess) -> bool | None:
        """Returns the group that a first try sent now is counted in.

        Those at gateways that stop, or had little time to find the others
        before the cut, are not counted.

        Returns:
            Whether the gateway is cut off; None if the try is not counted.
        """
        is_counted = (
            self.is_compared
            and gateway.is_running
            and not gateway.is_stopping
            and gateway.started_at_ms <= self._cut_at_ms - CONTACT_MS
            and self._loop.now_ms() - self._cut_at_ms >= CONTACT_MS
        )
        return gateway is self.gateway if is_counted else None

    def record_first_try(self, group: bool, *, is_served: bool) -> None:
        """Records how a first try of a group has ended."""
        self._tries[group] += 1
        self._served[group] += is_served

    def check(self) -> None:
        """Compares the first tries.

        Raises:
            invariants.InvariantViolationError: Instances that were cut off
                served a smaller share than the others did.
        """
        if min(self._tries[True], self._tries[False]) < MIN_TRIES:
            return
        share = {g: self._served[g] / self._tries[g] for g in (True, False)}
        pooled = self._served.total() / self._tries.total()
        spread = math.sqrt(
            pooled
            * (1 - pooled)
            * (1 / self._tries[True] + 1 / self._tries[False])
        )
        if share[True] < share[False] - SIGMAS * spread:
            raise invariants_lib.InvariantViolationError(
                f"{share[True]:.2f} of {self._tries[True]} first tries were"
                " served by gateways cut off from all engines, beside"
                f" {share[False]:.2f} of {self._tries[False]} by others"
            )

    def __repr__(self) -> str:
        return f"LinkCuts(count={self._count}, gateway={self.gateway})"
