"""Learns from responses how long targets take; without I/O.

The time to the first event of a prompt is taken to be linear in the tokens to
process, in the tokens of own prompts ahead of it, and in the requests that run
and wait at the target. One instance sees a few requests a second and up to 60
targets, so the coefficients are those of a service, and a target only has a
factor. Sums over past responses lose weight with every further one, and are
solved for the coefficients with bounds and with weights that limit the effect
of outliers. That takes about 30 us per response, whatever the number of
targets; one instance gets 2 to 15 a second. A prediction takes five
multiplications.

A plain service has one figure, the duration of a request.
"""

from __future__ import annotations

import math

START_COEFFICIENTS = (20.0, 13.0, 13.0, 0.5, 30.0)
"""Coefficients before the first response, by feature, in ms.

They are in the middle of what engines of different kinds take: 13 ms for 1,000
tokens is the geometric mean of engines with 38 and 157 tokens per ms.
"""

MIN_COEFFICIENTS = (0.0, 0.5, 0.5, 0.02, 1.0)
MAX_COEFFICIENTS = (1_000.0, 500.0, 500.0, 50.0, 5_000.0)
"""Bounds of the coefficients.

The lower ones keep targets with more work behind those with less.
"""

START_REQUEST_MS = 45.0
"""Duration of a request at a plain service before the first response.

It is the geometric mean of services that take 22 and 90 ms.
"""

MEMORY = 150
"""Number of responses after which the weight of one has fallen to 1/e."""

PRIOR_WEIGHT = 0.25
"""Weight of a start coefficient, in responses that consist of it alone."""

SWEEPS = 3
"""Passes over the coefficients per response.

The solution starts from the last one, so that a few are enough.
"""

OUTLIER_ERRORS = 1.5
"""Multiple of the usual error from which a response loses weight."""

MIN_SCALE_MS = 10.0
"""Time below which errors count by their ms and not by their share."""

MAX_OBSERVED_MS = 60_000
"""Longest time that is learned from."""

MIN_GAIN = 0.15
"""Smallest weight of the newest response in the factor of a target."""

MAX_STEP = 1.5
"""Largest logarithm by which one response can be off its prediction.

A response that takes longer than 4.5 times the prediction counts as that.
"""

MIN_RESPONSES = 10
"""Responses of a service before targets are compared with it.

The first ones tell how far the start values are off.
"""

MIN_FACTOR = 0.4
MAX_FACTOR = 20.0
"""Bounds of the factor of a target."""

FACTOR_HALF_LIFE_MS = 10_000
"""Time without a response after which the factor of a target counts half.

A target that has recovered gets requests again.
"""

SLOWDOWN_HALF_LIFE_MS = 150
"""Time after which a reported slowdown counts half.

The speed of a machine changes many times a second.
"""

MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 10.0
"""Bounds of the slowdown that is believed."""

WAIT_HALF_LIVES = 2.0
"""Time after which an unexplained wait counts half, relative to the wait.

Prompts that pile up at a target for seconds are remembered for as long.
"""

MIN_WAIT_MS = 20.0
"""Shortest time beyond the prediction that is taken for a wait."""

MAX_SERVICES = 1_000
"""Most services that are kept; the one that was first seen is evicted."""

_TOKENS = 1_000.0
_SIZE = len(START_COEFFICIENTS)
_MEAN_LIFE_MS = SLOWDOWN_HALF_LIFE_MS / math.log(2)


class Workload:
    """Work at a target that a request has to wait for, and its own.

    Attributes:
        uncached_tokens: Tokens of its prompt that have to be processed.
        ahead_tokens: Tokens of own prompts that are being processed.
        running: Requests that run at the target.
        waiting: Requests that wait there.
        slots: Requests that it runs at once.
    """

    __slots__ = (
        "ahead_tokens",
        "running",
        "slots",
        "uncached_tokens",
        "waiting",
    )

    def __init__(
        self,
        *,
        uncached_tokens: float = 0.0,
        ahead_tokens: float = 0.0,
        running: int = 0,
        waiting: int = 0,
        slots: int = 1,
    ) -> None:
        self.uncached_tokens = uncached_tokens
        self.ahead_tokens = ahead_tokens
        self.running = running
        self.waiting = waiting
        self.slots = max(1, slots)


class ServiceModel:
    """What the engines of one service take; starts from neutral values.

    Attributes:
        coefficients: Fixed delay of the first event in ms, ms per 1,000 tokens
            of the prompt and of prompts ahead, ms per running and per waiting
            request.
        response_count: Number of responses that were learned from.
        error: Usual error of a prediction, relative to it.

    Examples:
        >>> model = ServiceModel()
        >>> for tokens in (1_000, 4_000, 8_000) * 20:
        ...     model.learn(Workload(uncached_tokens=tokens), tokens / 40 + 30)
        >>> round(model.tokens_per_ms)
        40
        >>> 75 < model.predict_ms(Workload(uncached_tokens=2_000)) < 85
        True
    """

    __slots__ = (
        "_moments",
        "_products",
        "coefficients",
        "error",
        "response_count",
    )

    def __init__(self) -> None:
        self.coefficients = list(START_COEFFICIENTS)
        self.response_count = 0
        self.error = 0.5
        self._moments = [0.0] * _SIZE
        self._products = [[0.0] * _SIZE for _ in range(_SIZE)]

    @property
    def tokens_per_ms(self) -> float:
        """Prompt tokens that an engine processes per ms."""
        return _TOKENS / self.coefficients[1]

    def work_ms(self, tokens: float) -> float:
        """Returns the time for which a prompt occupies an engine."""
        return tokens * self.coefficients[1] / _TOKENS

    def predict_ms(self, work: Workload) -> float:
        """Returns the time to the first event at a target of usual speed."""
        fixed, per_own, per_ahead, per_running, per_waiting = self.coefficients
        overflow = max(0, work.running - work.slots)
        return (
            fixed
            + per_own * work.uncached_tokens / _TOKENS
            + per_ahead * work.ahead_tokens / _TOKENS
            + per_running * (work.running - overflow)
            + per_waiting * (work.waiting + overflow)
        )

    def learn(self, work: Workload, took_ms: float) -> None:
        """Learns from a response, at usual speed of the machine."""
        predicted_ms = self.predict_ms(work)
        scale_ms = max(MIN_SCALE_MS, predicted_ms)
        error = abs(took_ms - predicted_ms) / scale_ms
        bound = OUTLIER_ERRORS * max(0.05, self.error)
        weight = min(1.0, bound / error) if error else 1.0
        self.error += (min(error, 4 * bound) - self.error) / 30
        overflow = max(0, work.running - work.slots)
        self._add(
            (
                1.0,
                work.uncached_tokens / _TOKENS,
                work.ahead_tokens / _TOKENS,
                float(work.running - overflow),
                float(work.waiting + overflow),
            ),
            took_ms,
            weight / scale_ms**2,
        )
        self.response_count += 1
        self._solve()

    def _add(
        self, features: tuple[float, ...], took_ms: float, weight: float
    ) -> None:
        kept = 1.0 - 1.0 / MEMORY
        moments = self._moments
        for i, row in enumerate(self._products):
            weighted = weight * features[i]
            moments[i] = moments[i] * kept + weighted * took_ms
            for j in range(_SIZE):
                row[j] = row[j] * kept + weighted * features[j]

    def _solve(self) -> None:
        """Moves each coefficient to its best value, given the others."""
        known = self.coefficients
        for _ in range(SWEEPS):
            for i, row in enumerate(self._products):
                # Without prompts ahead, those take as long as the own one.
                start = known[1] if i == 2 else START_COEFFICIENTS[i]
                prior = PRIOR_WEIGHT / START_COEFFICIENTS[i] ** 2
                rest = self._moments[i] + prior * start
                for j in range(_SIZE):
                    if j != i:
                        rest -= row[j] * known[j]
                value = rest / (row[i] + prior)
                known[i] = min(
                    max(MIN_COEFFICIENTS[i], value), MAX_COEFFICIENTS[i]
                )

    def describe(self) -> str:
        """Returns what is believed as terms of a log line."""
        fixed, _, _, per_running, per_waiting = self.coefficients
        return (
            f"tokens_per_ms={self.tokens_per_ms:.0f} fixed_ms={fixed:.0f}"
            f" ms_per_running={per_running:.2f}"
            f" ms_per_waiting={per_waiting:.0f} learned={self.response_count}"
        )

    def __repr__(self) -> str:
        return f"ServiceModel({self.describe()})"


class PlainServiceModel:
    """How long a plain service takes; starts from a neutral value.

    Attributes:
        request_ms: Usual duration of a request that finds a free slot.
        response_count: Number of responses that were learned from.
    """

    __slots__ = ("request_ms", "response_count")

    def __init__(self) -> None:
        self.request_ms = START_REQUEST_MS
        self.response_count = 0

    def predict_ms(self, work: Workload) -> float:
        """Returns the time to the response at a target of usual speed."""
        return self.request_ms * _rounds(work)

    def learn(self, work: Workload, took_ms: float) -> None:
        """Learns from a response, at usual speed of the machine."""
        step = math.log(max(1.0, took_ms) / self.predict_ms(work))
        gain = max(0.05, 1.0 / (self.response_count + 2))
        self.request_ms *= math.exp(gain * min(max(-1.0, step), 1.0))
        self.request_ms = min(max(1.0, self.request_ms), MAX_OBSERVED_MS)
        self.response_count += 1

    def describe(self) -> str:
        """Returns what is believed as terms of a log line."""
        return f"request_ms={self.request_ms:.0f} learned={self.response_count}"

    def __repr__(self) -> str:
        return f"PlainServiceModel({self.describe()})"


def _rounds(work: Workload) -> float:
    """Returns how many requests one slot serves until a new one is done."""
    queued = work.running + work.waiting + 1 - work.slots
    return 1.0 + max(0, queued) / work.slots


class EngineModel:
    """Predicts when targets respond, from their earlier responses.

    Examples:
        >>> model = EngineModel()
        >>> work = Workload(uncached_tokens=4_000)
        >>> for now_ms in range(0, 4_000, 100):
        ...     model.learn("s", "e1", work, took_ms=110, now_ms=now_ms)
        >>> 100 < model.predict_ms("s", "e1", work, now_ms=4_000) < 120
        True
        >>> model.factor("unknown", now_ms=4_000)
        1.0

    Attributes:
        errors: How far predictions were off lately.
    """

    __slots__ = (
        "_plain_by_service",
        "_service_by_name",
        "_state_by_target",
        "errors",
    )

    def __init__(self) -> None:
        self._service_by_name: dict[str, ServiceModel] = {}
        self._plain_by_service: dict[str, PlainServiceModel] = {}
        self._state_by_target: dict[str, _TargetState] = {}
        self.errors = PredictionErrors()

    def service(self, name: str) -> ServiceModel:
        """Returns the model of a service with model engines."""
        return _get_bounded(self._service_by_name, name, ServiceModel)

    def plain_service(self, name: str) -> PlainServiceModel:
        """Returns the model of a plain service."""
        return _get_bounded(self._plain_by_service, name, PlainServiceModel)

    def predict_ms(
        self,
        service: str,
        target_id: str,
        work: Workload,
        *,
        now_ms: int,
        is_plain: bool = False,
    ) -> float:
        """Returns the time to the first event, or to a plain response."""
        model = self.plain_service if is_plain else self.service
        usual_ms = model(service).predict_ms(work)
        pace, wait_ms = self.pace(target_id, usual_ms, now_ms=now_ms)
        return usual_ms * pace + wait_ms

    def pace(
        self, target_id: str, usual_ms: float, *, now_ms: int
    ) -> tuple[float, float]:
        """Returns how a target differs from what is usual in its service.

        Args:
            target_id: The target.
            usual_ms: Usual duration of the work; a slowdown of the moment lasts
                for a part of long work only.
            now_ms: Current time.

        Returns:
            By which factor work takes longer, and the wait in ms before it.
        """
        state = self._state_by_target.get(target_id)
        if state is None:
            return 1.0, 0.0
        slowdown = state.slowdown_of(usual_ms, now_ms)
        return slowdown * state.factor(now_ms), state.wait_of(now_ms)

    def slowdown(
        self, target_id: str, usual_ms: float, *, now_ms: int
    ) -> float:
        """Returns how much longer work takes because a machine is slow now."""
        state = self._state_by_target.get(target_id)
        return 1.0 if state is None else state.slowdown_of(usual_ms, now_ms)

    def factor(self, target_id: str, *, now_ms: int) -> float:
        """Returns how long a target takes, relative to its service."""
        state = self._state_by_target.get(target_id)
        return 1.0 if state is None else state.factor(now_ms)

    def _state(self, target_id: str) -> _TargetState:
        state = self._state_by_target.get(target_id)
        if state is None:
            state = self._state_by_target[target_id] = _TargetState()
        return state

    def record_slowdown(
        self, target_id: str, slowdown: float | None, *, now_ms: int
    ) -> None:
        """Records the slowdown that a target reports; None if it does not."""
        if slowdown is None or not slowdown > 0:
            slowdown = 1.0
        state = self._state(target_id)
        state.slowdown = min(max(MIN_SLOWDOWN, slowdown), MAX_SLOWDOWN)
        state.slowdown_at_ms = now_ms

    def learn(
        self,
        service: str,
        target_id: str,
        work: Workload,
        *,
        took_ms: float,
        now_ms: int,
        slowdown: float = 1.0,
        predicted_ms: float | None = None,
        is_plain: bool = False,
    ) -> None:
        """Learns from the first event, or from a plain response.

        Args:
            service: Service of the target.
            target_id: The target.
            work: Work as it was known when the request was sent.
            took_ms: Time since it was sent; nonsensical ones are ignored.
            now_ms: Current time.
            slowdown: What `slowdown` returned when the request was sent.
            predicted_ms: What was predicted then, to count errors; None for no
                count.
            is_plain: Whether it is a plain service.
        """
        if not 0 <= took_ms <= MAX_OBSERVED_MS or not slowdown > 0:
            return
        if predicted_ms is not None:
            self.errors.record(predicted_ms, took_ms)
        model = self.plain_service if is_plain else self.service
        known = model(service)
        usual_ms = max(1.0, known.predict_ms(work))
        at_usual_speed_ms = max(1.0, took_ms / slowdown)
        state = self._state(target_id)
        wait_ms = took_ms - usual_ms * slowdown * state.factor(now_ms)
        state.wait_ms = wait_ms if wait_ms > MIN_WAIT_MS else 0.0
        state.wait_at_ms = now_ms
        if known.response_count >= MIN_RESPONSES:
            state.add(math.log(at_usual_speed_ms / usual_ms), now_ms)
        known.learn(work, at_usual_speed_ms)

    def describe(self, service: str, *, is_plain: bool = False) -> str:
        """Returns what is believed of a service as terms of a log line."""
        model = self.plain_service if is_plain else self.service
        return model(service).describe()

    def remove_target(self, target_id: str) -> None:
        """Forgets a target that is gone, or that started again.

        A new run starts with the figures of its service.
        """
        self._state_by_target.pop(target_id, None)

    def target_ids(self) -> set[str]:
        """Returns the targets of which anything is kept."""
        return set(self._state_by_target)

    def __repr__(self) -> str:
        return (
            f"EngineModel(services={len(self._service_by_name)},"
            f" plain={len(self._plain_by_service)},"
            f" targets={len(self._state_by_target)})"
        )


class PredictionErrors:
    """How far predictions were off lately.

    Attributes:
        usual: Mean error, relative to the time that it took; 1.0 at most each.
        off_share: Share of those that were off by more than half of the time.
        count: Number of predictions.

    Examples:
        >>> errors = PredictionErrors()
        >>> for took_ms in (100, 125, 400):
        ...     errors.record(100, took_ms)
        >>> errors.count, round(errors.usual, 2), round(errors.off_share, 2)
        (3, 0.32, 0.33)
    """

    __slots__ = ("count", "off_share", "usual")

    def __init__(self) -> None:
        self.count = 0
        self.usual = 0.0
        self.off_share = 0.0

    def record(self, predicted_ms: float, took_ms: float) -> None:
        """Records a prediction and what came of it."""
        self.count += 1
        gain = 1.0 / min(self.count, MEMORY)
        error = abs(predicted_ms - took_ms) / max(MIN_SCALE_MS, took_ms)
        self.usual += gain * (min(1.0, error) - self.usual)
        self.off_share += gain * ((error > 0.5) - self.off_share)

    def __repr__(self) -> str:
        return (
            f"PredictionErrors(count={self.count}, usual={self.usual:.2f},"
            f" off_share={self.off_share:.2f})"
        )


class _TargetState:
    """How one target differs from its service.

    Attributes:
        slowdown: Slowdown of its machine that it last reported.
        slowdown_at_ms: Time of that report.
        wait_ms: What the last response took beyond its prediction, probably
            for work that no report shows.
        wait_at_ms: Time of that response.
    """

    __slots__ = (
        "_at_ms",
        "_log",
        "_weight",
        "slowdown",
        "slowdown_at_ms",
        "wait_at_ms",
        "wait_ms",
    )

    def __init__(self) -> None:
        self.slowdown = 1.0
        self.slowdown_at_ms = 0
        self.wait_ms = 0.0
        self.wait_at_ms = 0
        # Logarithm of the target's time relative to its service.
        self._log = 0.0
        self._weight = 1.0
        self._at_ms = 0

    def slowdown_of(self, usual_ms: float, now_ms: int) -> float:
        """Returns the slowdown of work that takes a while."""
        if self.slowdown == 1.0:
            return 1.0
        age_ms = max(0, now_ms - self.slowdown_at_ms)
        weight = math.exp2(-age_ms / SLOWDOWN_HALF_LIFE_MS)
        weight *= _MEAN_LIFE_MS / (_MEAN_LIFE_MS + usual_ms)
        return 1.0 + (self.slowdown - 1.0) * weight

    def wait_of(self, now_ms: int) -> float:
        """Returns the wait that is left; long ones take longer to end."""
        if not self.wait_ms:
            return 0.0
        age_ms = max(0, now_ms - self.wait_at_ms)
        half_life_ms = WAIT_HALF_LIVES * self.wait_ms
        return self.wait_ms * math.exp2(-age_ms / half_life_ms)

    def factor(self, now_ms: int) -> float:
        """Returns the factor; 1.0 once the last response is long ago."""
        if not self._log:
            return 1.0
        known = self._log * self._confidence(now_ms)
        return min(max(MIN_FACTOR, math.exp(known)), MAX_FACTOR)

    def add(self, log_ratio: float, now_ms: int) -> None:
        """Adds a response, as the logarithm of its time over the usual one."""
        confidence = self._confidence(now_ms)
        self._log *= confidence
        self._weight = 1.0 + self._weight * confidence
        gain = max(MIN_GAIN, 1.0 / self._weight)
        step = min(max(-MAX_STEP, log_ratio - self._log), MAX_STEP)
        self._log += gain * step
        self._at_ms = max(now_ms, self._at_ms)

    def _confidence(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self._at_ms)
        return math.exp2(-age_ms / FACTOR_HALF_LIFE_MS)


def _get_bounded(by_name, name: str, new):
    model = by_name.get(name)
    if model is None:
        if len(by_name) >= MAX_SERVICES:
            del by_name[next(iter(by_name))]
        model = by_name[name] = new()
    return model
