"""Deliberate faults of gateways, to verify that the soak detects them.

See Also:
    bambooglade_standins.users_platform.cuttable_gateway: runs a gateway with
    one.
"""

from __future__ import annotations

from bambooglade.discovery import evacuations
from bambooglade.discovery import view as view_lib
from bambooglade.gateway import dispatching
from bambooglade.gateway import error_responses
from bambooglade.gateway import frontend as frontend_lib
from bambooglade.gateway import process as process_lib
from bambooglade.gateway import retry_budget
from bambooglade.gateway import stream_origins
from bambooglade.gateway import target_prober
from bambooglade.rights import account
from bambooglade.store import store_era
from bambooglade.targets import cold_starts
from bambooglade.targets import crash_suspicions
from bambooglade.targets import reachability
from bambooglade.targets import request_limits
from bambooglade.targets import requested_pauses


def repeat_what_may_not_be_repeated() -> None:
    """Retries a request even if it may have been executed."""
    dispatching.Dispatcher._try_acquire_rerun = lambda self: (
        self._has_untried_target()
    )


def spend_without_settling() -> None:
    """Releases the whole bound of a request regardless of its usage."""
    settle = account.Account.settle

    def settle_nothing(self, request_id: str, spent_tokens: int) -> None:
        del spent_tokens
        settle(self, request_id, 0)

    account.Account.settle = settle_nothing


def say_of_broken_requests_that_they_did_not_run() -> None:
    """Responds 503 although a request may have been executed."""
    kind = error_responses.ErrorKind
    status = kind.status.fget
    kind.status = property(
        lambda self: 503 if self is kind.BROKEN else status(self)
    )


def keep_the_first_configuration() -> None:
    """Ignores every configuration after the first."""
    apply_configuration = view_lib.FleetView.apply_configuration

    def apply_first(self, item, *, source: str) -> bool:
        return self.configuration is None and apply_configuration(
            self, item, source=source
        )

    view_lib.FleetView.apply_configuration = apply_first


def send_to_targets_that_leave() -> None:
    """Treats draining targets as ready."""

    def registered_targets(self, service: str) -> list:
        return [t for t in self.target_by_id.values() if t.service == service]

    view_lib.FleetView.ready_targets = registered_targets


def send_to_evacuated_zones() -> None:
    """Takes no zone for evacuated."""
    evacuations.ZoneEvacuations.is_evacuated = lambda self, zone: False


def ignore_cold_starts() -> None:
    """Takes no target for cold."""
    cold_starts.ColdStarts.find = lambda self, target_id, *, now_ms: None


def send_quarantined_prompts() -> None:
    """Finds no quarantine for any prompt."""
    crash_suspicions.CrashSuspicions.find_quarantine = lambda self, parts: None


def ignore_notices_of_leaving() -> None:
    """Sends to targets that have said that they leave."""
    view_lib.FleetView.record_leaving = lambda self, run: False


def ignore_the_era_of_the_store() -> None:
    """Takes revisions for time, also after the store was restored."""

    def observe(self, number, *, source: str) -> bool:
        del self, number, source
        return True

    store_era.StoreEra.observe = observe


def ignore_request_limits() -> None:
    """Sends to targets whatever limit they state."""

    def wait_ms(self, target_id, started_at_ms: int, *, now_ms: int) -> int:
        del self, target_id, started_at_ms, now_ms
        return 0

    request_limits.RequestLimits.wait_ms = wait_ms


def serve_without_a_path_to_any_target() -> None:
    """Hands no request to a peer, whatever connections fail."""

    def record_failure(self, target, ready, *, now_ms: int) -> bool:
        del self, target, ready, now_ms
        return False

    reachability.TargetReachability.record_failure = record_failure
    dispatching.Dispatcher._is_reached_better_by_peers = (
        lambda self, target, *, now_ms: False
    )


def trust_the_registered_versions() -> None:
    """Takes the versions that are registered for all that ever served."""
    origins = stream_origins.StreamOrigins
    origins.knows_recent_versions = lambda self, *, now_ms: True
    origins.merge = lambda self, seen, *, now_ms: None


def break_off_silent_requests() -> None:
    """Breaks a request off when its target is silent for a time."""

    def break_off(self) -> None:
        self.cancel()
        self._exchange.fail(
            error_responses.ErrorKind.BROKEN, "no progress within the time-out"
        )

    dispatching.Dispatcher._progress_timed_out = break_off


def cut_requests_early_in_a_stop() -> None:
    """Closes connections at half of the grace, without any answer."""
    process_lib.STOP_RESERVE_FRACTION = 0.5
    process_lib.MAX_STOP_RESERVE_MS = 60_000
    frontend_lib.Frontend.end_requests = lambda self, detail: None


def ignore_requested_pauses() -> None:
    """Sends to targets that have asked for a pause."""
    requested_pauses.RequestedPauses.record = lambda self, *_, now_ms: False


def check_only_targets_that_failed() -> None:
    """Looks for no other target while a service is cut off."""
    target_prober.TargetProber.observe_target = lambda self, target: None
    target_prober.TargetProber._check_service = lambda self, service: None


def retry_without_a_budget() -> None:
    """Allows every retry."""
    retry_budget.RetryBudget.try_acquire = lambda self, *, now_ms: True


FAULT_BY_NAME = {
    fault.__name__: fault
    for fault in (
        repeat_what_may_not_be_repeated,
        spend_without_settling,
        say_of_broken_requests_that_they_did_not_run,
        keep_the_first_configuration,
        send_to_targets_that_leave,
        send_to_evacuated_zones,
        ignore_cold_starts,
        send_quarantined_prompts,
        ignore_request_limits,
        ignore_notices_of_leaving,
        ignore_the_era_of_the_store,
        serve_without_a_path_to_any_target,
        trust_the_registered_versions,
        break_off_silent_requests,
        cut_requests_early_in_a_stop,
        ignore_requested_pauses,
        retry_without_a_budget,
        check_only_targets_that_failed,
    )
}
