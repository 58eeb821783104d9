"""Overspend and false refusals of the policies, for each case of faults."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from bambooglade.budgets import reserve_share
from bambooglade.core import identifiers
from bambooglade_standins.virtual import fleet as virtual_fleet
from benchmarks import baselines
from benchmarks import cases
from benchmarks import drivers
from benchmarks import escrow
from benchmarks import truth as truth_module
from benchmarks import workloads

DURATION_MS = 120_000
"""Stands for an hour: the budgets cover the demand of this time."""

REQUESTS_PER_S = 10.0
SEED = 7


class Setting(msgspec.Struct, frozen=True, kw_only=True):
    """One run: who is measured under which faults.

    Attributes:
        cutoff_reserve_share: Column of the teams' rows, for `escrow`.
        names_arbiter: Whether callers name their zone in the key.
        home_zone_share: Share of a team's requests in its home zone.
        demand_factors: Prepaid amounts as multiples of the teams' demand.
    """

    deployment: workloads.Deployment
    case: cases.Case
    policy: str
    duration_ms: int = DURATION_MS
    requests_per_s: float = REQUESTS_PER_S
    seed: int = SEED
    cutoff_reserve_share: float = reserve_share.DEFAULT_SHARE
    names_arbiter: bool = True
    home_zone_share: float = workloads.HOME_ZONE_SHARE
    demand_factors: tuple[float, ...] = workloads.DEMAND_FACTORS


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What a run showed; the fields are printed in this order."""

    requests: int
    overspend_tokens: int
    false_refusals: float
    double_bills: int
    double_runs: int
    stranded_tokens: int
    service_calls_per_s: float
    false_refusals_per_request: float
    refused: int
    unknown_outcomes: int
    bytes_per_request: int

    def text(self) -> str:
        """Returns the fields as key=value pairs."""
        values = msgspec.structs.asdict(self)
        return " ".join(
            f"{key}={value:.4f}"
            if isinstance(value, float)
            else f"{key}={value}"
            for key, value in values.items()
        )


def _formatted(value: float) -> str:
    return f"{value:.4f}" if isinstance(value, float) else str(value)


def run(setting: Setting) -> Outcome:
    """Runs one policy through one case."""
    arrivals = workloads.arrivals(
        setting.deployment,
        seed=setting.seed,
        duration_ms=setting.duration_ms,
        requests_per_s=setting.requests_per_s,
        epoch_ms=virtual_fleet.START_MS,
        names_arbiter=setting.names_arbiter,
        home_zone_share=setting.home_zone_share,
    )
    prepaid = workloads.prepaid_by_budget(arrivals, setting.demand_factors)
    truth = truth_module.Truth(prepaid)
    policy = _policy(setting, prepaid, truth)
    calls_before = policy.service_calls()
    drivers.Driver(
        policy=policy,
        deployment=setting.deployment,
        case=setting.case,
        arrivals=arrivals,
        duration_ms=setting.duration_ms,
        seed=setting.seed,
    ).run(truth)
    calls = policy.service_calls() - calls_before
    return _outcome(setting, policy, truth, calls)


def _policy(
    setting: Setting,
    prepaid: Mapping[identifiers.BudgetId, int],
    truth: truth_module.Truth,
) -> escrow.EscrowPolicy | baselines.Baseline:
    if setting.policy == "escrow":
        return escrow.EscrowPolicy(
            deployment=setting.deployment,
            prepaid_by_budget=prepaid,
            truth=truth,
            seed=setting.seed,
            cutoff_reserve_share=setting.cutoff_reserve_share,
        )
    by_name = {policy.name: policy for policy in baselines.POLICIES}
    return by_name[setting.policy](
        deployment=setting.deployment,
        prepaid_by_budget=prepaid,
        truth=truth,
        seed=setting.seed,
    )


def _outcome(
    setting: Setting,
    policy: escrow.EscrowPolicy | baselines.Baseline,
    truth: truth_module.Truth,
    calls: int,
) -> Outcome:
    counts = truth.counts
    bytes_sent = getattr(policy, "bytes_sent", lambda: 0)()
    return Outcome(
        requests=counts.requests,
        overspend_tokens=truth.overspend_tokens,
        false_refusals=counts.falsely_refused / max(1, counts.refused),
        double_bills=counts.double_bills,
        double_runs=counts.double_runs,
        stranded_tokens=policy.stranded_tokens(),
        service_calls_per_s=calls / (setting.duration_ms / 1_000),
        false_refusals_per_request=counts.falsely_refused / counts.requests,
        refused=counts.refused,
        unknown_outcomes=counts.unknown_outcomes,
        bytes_per_request=bytes_sent // counts.requests,
    )


def settings() -> Iterator[Setting]:
    """Yields every deployment, case and policy."""
    policies = ("escrow", *(policy.name for policy in baselines.POLICIES))
    for deployment in workloads.DEPLOYMENTS:
        for case in cases.CASES:
            for policy in policies:
                yield Setting(deployment=deployment, case=case, policy=policy)


def lines() -> Iterator[str]:
    """Yields one line of key=value pairs for each run."""
    for setting in settings():
        yield (
            "experiment=budget_policy "
            f"deployment={setting.deployment.name} case={setting.case.name} "
            f"policy={setting.policy} {run(setting).text()}"
        )
