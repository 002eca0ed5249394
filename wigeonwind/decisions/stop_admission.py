"""Which requests a process takes during a planned stop, and when it leaves.

A request is taken if it ends before the stop does, however late it comes: by its own
limit or, if it is not a stream, almost surely by the durations of similar requests and
an allowance for silent endpoints. The durations of streams bound nothing: a sound
endpoint may be silent several times in a response, or slower than before.
Shortly after the signal callers may still have no other process: the load balancer has
not noticed the stop, and a caller has few retries. Then likely is enough.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from wigeonwind.decisions.response_times import MIN_SAMPLES

BALANCER_MS = 2_500.0
"""Time after the signal for which the load balancer may send new connections. It checks
readiness every second and removes a process after two failed checks."""

UNSURE_MS = 2_300.0
"""Time after the signal up to which a request is taken that only may end in time. It is
well before the 3 s after which callers count such a request as lost."""


@dataclass(frozen=True, slots=True)
class DurationRule:
    """How the duration of a request is estimated from those of similar ones.

    The quantile of at least `min_samples` whole durations.
    """

    quantile: float
    min_samples: int


SURE_RULE = DurationRule(0.98, 24)
"""Rule for a request that almost surely ends in time; not used for streams."""

SURE_FACTOR = 1.5
"""Factor of the sure estimate; the load may be higher, and the request longer."""

LIKELY_RULE = DurationRule(0.75, MIN_SAMPLES)

SILENCE_MS = 1_600.0
"""Allowance for a sound endpoint that is silent for a second or so. It is for calls
that may run only once: a caller whose repeatable call is cut can repeat it."""

MARGIN_MS = 100.0
"""Allowance for delays of this process."""

UNKNOWN_LEFT_MS = 1_000.0
"""Least time left in which a request is taken of whose duration nothing is known."""

SHORT_MS = 1_000.0
"""Longest request that is taken while others can take the longer ones, so that the stop
ends with the work that was taken before."""

ENOUGH_READY = 2
"""Ready processes that can take the longer requests of one that stops alone."""

LEAVE_STEP_MS = 200.0
"""Time between the leaving of two processes; their messages arrive well within it."""

LEAVING_MS = 500.0
"""Longest time for which new requests may keep a process that is leaving."""

OTHERS_RETRY_MS = 50.0
"""Retry-After while another process is ready."""

MIN_RETRY_MS = 250.0


class StopReason(Enum):
    """Why a request is taken or refused during a stop."""

    ENDS_IN_TIME = "ends-in-time"
    LIKELY = "may-end-in-time"
    TOO_LONG = "may-not-end-in-time"
    OTHERS_READY = "others-ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """How long a request may take, in milliseconds, with all allowances.

    `sure_ms` allows for an endpoint that is silent, `undisturbed_ms` does not.
    """

    sure_ms: float
    undisturbed_ms: float
    likely_ms: float


@dataclass(frozen=True, slots=True)
class OtherRouters:
    """What the other processes do, from their messages.

    `ready` of them serve callers. `stops_later` listen and were told to stop after this
    one. `stops_earlier` were told to stop shortly before it, so that the load balancer
    may not have noticed. `away` have exited or are about to, and should start again.
    `leaves_first` listen and were told to stop before this one.
    """

    ready: int = 0
    stops_later: int = 0
    stops_earlier: int = 0
    away: int = 0
    leaves_first: int = 0


@dataclass(frozen=True, slots=True)
class StopSituation:
    """Facts of a planned stop; times in milliseconds.

    `left_ms` is the time until open requests are ended, `leaving_ms` the time since the
    process began to leave, None before.
    """

    since_signal_ms: float
    left_ms: float
    leaving_ms: float | None
    others: OtherRouters


@dataclass(frozen=True, slots=True)
class StopDecision:
    """Whether a request is taken, and why.

    `estimate_ms` is compared with `left_ms` late in a stop, `likely_ms` early.
    """

    is_taken: bool
    reason: StopReason
    estimate_ms: float
    likely_ms: float
    left_ms: float


def estimate_duration(
    sure_ms: float | None,
    likely_ms: float | None,
    limit_ms: float,
    is_repeatable: bool = False,
) -> DurationEstimate:
    """Return an estimate from quantiles, or the limit where they are not known.

    `limit_ms` is when the request ends at the latest, by its deadline or its route.

    >>> estimate_duration(400.0, 200.0, 5_000.0)
    DurationEstimate(sure_ms=2300.0, undisturbed_ms=700.0, likely_ms=300.0)
    >>> estimate_duration(None, 200.0, 5_000.0)
    DurationEstimate(sure_ms=5000.0, undisturbed_ms=5000.0, likely_ms=300.0)
    """
    sure, undisturbed, likely = limit_ms, limit_ms, limit_ms
    if sure_ms is not None:
        undisturbed = min(limit_ms, SURE_FACTOR * sure_ms + MARGIN_MS)
        sure = min(limit_ms, undisturbed + (0.0 if is_repeatable else SILENCE_MS))
    if likely_ms is not None:
        likely = min(limit_ms, likely_ms + MARGIN_MS)
    return DurationEstimate(sure, undisturbed, likely)


def decide_in_stop(
    situation: StopSituation, estimate: DurationEstimate, is_known: bool
) -> StopDecision:
    """Return whether a process that stops takes a request.

    `is_known` says that the estimate comes from samples, not from a limit.
    """
    left_ms, since_ms = situation.left_ms, situation.since_signal_ms
    is_taken, reason = False, StopReason.TOO_LONG
    ends_in_time = estimate.sure_ms <= left_ms
    if situation.leaving_ms is not None:
        leaving_left_ms = LEAVING_MS - situation.leaving_ms
        ends_in_time = ends_in_time and estimate.undisturbed_ms <= leaving_left_ms
        left_ms = min(left_ms, leaving_left_ms)
        reason = StopReason.LEAVING
    if estimate.likely_ms > SHORT_MS and _can_others_take(since_ms, situation.others):
        reason = StopReason.OTHERS_READY
    elif ends_in_time:
        is_taken, reason = True, StopReason.ENDS_IN_TIME
    elif since_ms <= UNSURE_MS and reason is not StopReason.LEAVING:
        may_be_short = not is_known and left_ms >= UNKNOWN_LEFT_MS
        is_taken = estimate.likely_ms <= left_ms or may_be_short
        reason = StopReason.LIKELY if is_taken else StopReason.TOO_LONG
    return StopDecision(is_taken, reason, estimate.sure_ms, estimate.likely_ms, left_ms)


def _can_others_take(since_signal_ms: float, others: OtherRouters) -> bool:
    """Return whether long requests should go to others, so that this process leaves.

    Of several that stop at a time, the first one passes them on early. Without a ready
    process, those that were told to stop later have more time left.
    """
    if since_signal_ms > BALANCER_MS:
        is_first_to_leave = others.stops_later > 0 and not others.away
        return others.ready > 0 or is_first_to_leave
    return others.ready >= ENOUGH_READY and not others.stops_earlier


def passes_on_calls(
    since_signal_ms: float, left_ms: float, others: OtherRouters
) -> bool:
    """Return whether a process stops listening as others can take what it refuses.

    Its requests in flight go on. It refuses most calls that may run only once, and
    another one that listens has more time left.

    >>> passes_on_calls(6_000.0, 1_500.0, OtherRouters(stops_later=1))
    True
    >>> passes_on_calls(6_000.0, 1_500.0, OtherRouters(away=1))
    False
    """
    is_short = left_ms <= SILENCE_MS + 2.0 * MARGIN_MS
    has_others = others.ready > 0 or others.stops_later > 0
    return since_signal_ms >= BALANCER_MS and is_short and has_others


def may_leave(
    since_signal_ms: float, has_early_work: bool, others: OtherRouters
) -> bool:
    """Return whether a process may stop listening before the end of its stop.

    `has_early_work` says that requests taken within BALANCER_MS are in flight. Without
    a ready process, those that stop leave one after the other, the first one first.

    >>> may_leave(2_500.0, False, OtherRouters()), may_leave(
    ...     2_400.0, False, OtherRouters()
    ... )
    (True, False)
    >>> may_leave(2_500.0, False, OtherRouters(stops_later=1, away=1))
    False
    """
    if since_signal_ms < BALANCER_MS or has_early_work:
        return False
    return others.ready > 0 or not others.away


def leave_delay_ms(others: OtherRouters, jitter: float) -> float:
    """Return how long a process waits that may leave, in milliseconds.

    Without a ready process, those whose work ends at the same moment must hear of each
    other before the next one leaves. `jitter`, from 0 to 1, spreads those that were
    told to stop at the same time.

    >>> leave_delay_ms(OtherRouters(leaves_first=2), 0.5)
    500.0
    >>> leave_delay_ms(OtherRouters(ready=1, leaves_first=2), 0.5)
    0.0
    """
    if others.ready:
        return 0.0
    return LEAVE_STEP_MS * (others.leaves_first + jitter)


def retry_after_ms(
    reason: StopReason, others: OtherRouters, ready_in_ms: Iterable[float]
) -> float:
    """Return when a refused caller should try again.

    `ready_in_ms` are the times until further processes are expected to be ready.

    >>> retry_after_ms(StopReason.TOO_LONG, OtherRouters(ready=1), [900.0])
    50.0
    >>> retry_after_ms(StopReason.OTHERS_READY, OtherRouters(stops_later=1), [900.0])
    50.0
    >>> retry_after_ms(StopReason.TOO_LONG, OtherRouters(), [1_800.0, 900.0])
    900.0
    """
    if others.ready or reason is StopReason.OTHERS_READY:
        return OTHERS_RETRY_MS
    return max(MIN_RETRY_MS, min(ready_in_ms, default=MIN_RETRY_MS))
