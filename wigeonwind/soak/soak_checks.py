"""Checks of the promises over the history of one soak run.

The promises are those of the routing program, named as in `SOAK_CHECKS`. Each check is
sound: it reports only what no allowed behaviour can produce. Checks with a time bound
skip what a disturbance may explain.
"""

import re
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wigeonwind.checking.child_process import HUNG_EXIT_CODE
from wigeonwind.registry import Registry
from wigeonwind.soak.soak_fleet import CUSTOMER, DRAIN_MS
from wigeonwind.soak.soak_records import (
    PART_CRASH,
    SETTLE_MS,
    STORE,
    ConfigSeen,
    CrashingPart,
    ExchangeSeen,
    Kind,
    RunSeen,
    SoakHistory,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses with which a router states that it refused a request without running it."""

CONFIGURATION_APPLY_MS = 2_000.0
"""Time after the acknowledgement of a configuration in which routers must apply it, as
the platform specifies."""

ROUTE_TIMEOUT_MS = 3_000.0
RESPONSE_SLACK_MS = 500.0
"""Time after its route's timeout by which a request must get its final response."""

SCHEDULING_SLACK_MS = 250.0
"""Margin added to time bounds, as the soak and the routers share one machine."""

MIN_SERVED_SHARE = 0.9
"""Share of the requests that must be served after all faults have ended."""

EXCUSED_STOP_MS = 3_000.0
"""Time after a stop signal up to which a request may be cut at the end of the stop, if
its worker is still at work then, as the platform specifies."""

STREAM_EVENTS = 12
"""Events of a whole stream, as sent by the worker doubles of `ENGINES`."""

TOLERATED_CRASHES, TOLERATED_REQUESTS = 5, 3
"""Crashes by a prompt part, and the requests with it that may reach workers later than
SETTLE_MS after them, as the platform specifies."""

MIN_COMPARED = 20
"""Number of requests from which shares of served requests are compared."""

REPEAT_RATIO = 0.2
REPEAT_SLACK = 56
REPEAT_WINDOW_MS = 10_000.0
"""Executions beyond the first of each request that the platform allows in a window, as
a ratio to the requests, plus the slack."""

EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: ([0-9a-f]+)/(\d+)\n\n")


@dataclass(frozen=True)
class Violation:
    """A broken promise and a message with the evidence."""

    promise: str
    message: str


Check = Callable[[SoakHistory], Iterator[Violation]]
SOAK_CHECKS: Registry[Check] = Registry("soak check")


def find_violations(history: SoakHistory) -> list[Violation]:
    """Return the violations of all promises."""
    return [violation for _, check in SOAK_CHECKS for violation in check(history)]


@SOAK_CHECKS.register("run-once")
def check_run_once(history: SoakHistory) -> Iterator[Violation]:
    """Check that a request that may run only once is executed at most once."""
    kind_by_id = {each.request_id: each.kind for each in history.exchanges}
    for request_id, runs in history.runs_by_id().items():
        kind = kind_by_id.get(request_id)
        if len(runs) > 1 and kind in (Kind.ONCE, Kind.STREAM, Kind.CRASHING):
            executions = ", ".join(f"{run.worker} at {run.at_ms:.0f}" for run in runs)
            yield Violation(
                "run-once", f"{request_id} was executed {len(runs)} times: {executions}"
            )


@SOAK_CHECKS.register("true-refusal")
def check_refused_not_run(history: SoakHistory) -> Iterator[Violation]:
    """Check that a request refused with a not-run status is never executed.

    Requests of the safe route are not checked.
    """
    runs_by_id = history.runs_by_id()
    for seen in history.exchanges:
        runs = runs_by_id.get(seen.request_id)
        if seen.status in NOT_RUN_STATUSES and runs and seen.kind is not Kind.SAFE:
            message = f"{seen.request_id} got status {seen.status}, but was executed"
            yield Violation("true-refusal", f"{message} at {runs[0].worker}")


@SOAK_CHECKS.register("own-answer")
def check_response_belongs_to_request(history: SoakHistory) -> Iterator[Violation]:
    """Check that each successful response belongs to its request and is whole."""
    runs_by_id = history.runs_by_id()
    for seen in history.exchanges:
        if seen.is_extra:
            yield Violation(
                "own-answer", f"{seen.request_id} got bytes of another response"
            )
        if not 200 <= seen.status < 300:
            continue
        workers = {run.worker for run in runs_by_id.get(seen.request_id, ())}
        if seen.signature not in workers:
            message = f"{seen.request_id} has the signature of {seen.signature!r}"
            yield Violation(
                "own-answer", f"{message}, but was executed by {sorted(workers)}"
            )
        if seen.body.startswith(b"id: "):
            yield from _check_events(seen)
        elif seen.is_whole and seen.body != seen.request_id.encode():
            yield Violation("own-answer", f"{seen.request_id} got {seen.body[:60]!r}")


def _check_events(seen: ExchangeSeen) -> Iterator[Violation]:
    events = EVENT_PATTERN.findall(seen.body)
    numbers = [int(number) for number, _, _ in events]
    ids = {request_id.decode() for _, request_id, _ in events}
    if numbers != list(range(1, len(numbers) + 1)):
        yield Violation("own-answer", f"{seen.request_id} got event numbers {numbers}")
    if ids - {seen.request_id}:
        yield Violation(
            "own-answer", f"{seen.request_id} got events of the requests {sorted(ids)}"
        )
    if seen.is_whole and len(numbers) != STREAM_EVENTS:
        message = f"{seen.request_id} ended whole after {len(numbers)} events"
        yield Violation("own-answer", message)


@SOAK_CHECKS.register("customer")
def check_customer(history: SoakHistory) -> Iterator[Violation]:
    """Check that workers receive the customer of a request and never its key.

    A request with an unknown key must not reach a worker at all.
    """
    unknown = {
        each.request_id for each in history.exchanges if each.kind is Kind.UNKNOWN_KEY
    }
    for run in history.runs:
        if run.customer != CUSTOMER or run.has_key:
            message = (
                f"{run.request_id} was executed for {run.customer!r}, "
                f"key sent: {run.has_key}"
            )
            yield Violation("customer", message)
        if run.request_id in unknown:
            yield Violation(
                "customer", f"{run.request_id} was executed with an unknown key"
            )


@SOAK_CHECKS.register("proper-requests")
def check_proper_requests(history: SoakHistory) -> Iterator[Violation]:
    """Check that requests that every configuration allows are not rejected.

    Disturbed routers are checked too: a router without a configuration returns 503.
    """
    for seen in history.exchanges:
        if seen.kind in (Kind.UNKNOWN_KEY, Kind.REVOKED_KEY):
            continue
        if seen.status in (400, 401, 403, 404):
            message = f"{seen.request_id} got status {seen.status} from {seen.router}"
            yield Violation("proper-requests", message)


@SOAK_CHECKS.register("configuration")
def check_configuration(history: SoakHistory) -> Iterator[Violation]:
    """Check that each configuration takes effect in time and is not reverted.

    A moved route must reach the service of a configuration that may be in force, and a
    key must be refused or accepted as one of these configurations says.
    """
    runs_by_id = history.runs_by_id()
    for seen in history.exchanges:
        if seen.kind not in (Kind.MOVED, Kind.REVOKED_KEY) or not seen.status:
            continue
        bound_ms = CONFIGURATION_APPLY_MS + SCHEDULING_SLACK_MS
        allowed = list(_may_be_in_force(history, seen, bound_ms))
        undisturbed_from_ms = seen.sent_ms - bound_ms
        if not history.is_undisturbed(
            (seen.router, STORE), undisturbed_from_ms, seen.ended_ms
        ):
            continue
        runs = runs_by_id.get(seen.request_id, [])
        if seen.kind is Kind.MOVED:
            services = {config.moved_service for config in allowed}
            wrong = [run.service for run in runs if run.service not in services]
            if wrong:
                message = (
                    f"{seen.request_id} was executed by service {wrong[0]}, "
                    f"not one of {services}"
                )
                yield Violation("configuration", message)
        elif runs and not any(config.revoked_is_valid for config in allowed):
            message = f"{seen.request_id} was executed with a revoked key"
            yield Violation("configuration", message)
        elif seen.status == 401 and all(c.revoked_is_valid for c in allowed):
            yield Violation(
                "configuration", f"{seen.request_id} was refused with a valid key"
            )


def _may_be_in_force(
    history: SoakHistory, seen: ExchangeSeen, bound_ms: float
) -> Iterator[ConfigSeen]:
    """Yield the configurations that may be in force for a request."""
    for config, following in zip(
        history.configs, [*history.configs[1:], None], strict=True
    ):
        is_replaced = (
            following is not None
            and following.acknowledged_ms + bound_ms < seen.sent_ms
        )
        if config.acknowledged_ms <= seen.ended_ms and not is_replaced:
            yield config


@SOAK_CHECKS.register("drain")
def check_drain(history: SoakHistory) -> Iterator[Violation]:
    """Check that a draining worker gets no new requests after its drain time."""
    exchange_by_id = {each.request_id: each for each in history.exchanges}
    for drain in history.drains:
        bound_ms = drain.acknowledged_ms + DRAIN_MS + SCHEDULING_SLACK_MS
        for run in history.runs:
            seen = exchange_by_id.get(run.request_id)
            if run.worker != drain.worker or run.at_ms <= bound_ms or seen is None:
                continue
            targets = (seen.router, STORE, drain.worker)
            if history.is_undisturbed(targets, drain.acknowledged_ms, run.at_ms):
                since_drain_ms = run.at_ms - drain.acknowledged_ms
                message = (
                    f"{run.request_id} reached {run.worker} "
                    f"{since_drain_ms:.0f} ms after its drain"
                )
                yield Violation("drain", message)


@SOAK_CHECKS.register("planned-stop")
def check_planned_stop(history: SoakHistory) -> Iterator[Violation]:
    """Check that a planned stop leaves no request without a complete response.

    Requests sent during the stop count too, except one that crosses the close of its
    connection: it has no answer, and no worker began to execute it. Of the requests
    before, only those of the last `RESPONSE_SLACK_MS` count. One that was sent up to
    `EXCUSED_STOP_MS` after the signal may be cut if a worker of it was silent.
    """
    runs_by_id = history.runs_by_id()
    workers = {run.worker for run in history.runs}
    stops = [each for each in history.disturbances if each.fault == "stop"]
    for stop in stops:
        for seen in history.exchanges:
            if seen.router != stop.target or not seen.is_connected or seen.was_left:
                continue
            was_executed = seen.request_id in runs_by_id
            if not (seen.is_sent_whole or was_executed):
                continue
            is_before = (
                stop.begin_ms - RESPONSE_SLACK_MS <= seen.sent_ms <= stop.begin_ms
            )
            is_during = stop.begin_ms < seen.sent_ms <= stop.end_ms
            crossed = not (seen.status or was_executed)
            if seen.is_whole or not (is_before or is_during and not crossed):
                continue
            others = [
                each
                for each in history.disturbances_of(
                    (seen.router, STORE, *workers), seen.sent_ms, seen.ended_ms
                )
                if each is not stop
            ]
            is_excused = (
                seen.sent_ms <= stop.begin_ms + EXCUSED_STOP_MS
                and _was_at_silent_worker(history, seen, runs_by_id)
            )
            if not (others or is_excused):
                message = f"{seen.request_id} was cut off by the stop of {stop.target}"
                yield Violation("planned-stop", message)


def _was_at_silent_worker(
    history: SoakHistory, seen: ExchangeSeen, runs_by_id: dict[str, list[RunSeen]]
) -> bool:
    """Return whether a worker of a request was silent while the request was open."""
    workers = {run.worker for run in runs_by_id.get(seen.request_id, ())}
    return any(
        each.worker in workers
        and each.begin_ms <= seen.ended_ms
        and each.end_ms >= seen.sent_ms
        for each in history.silences
    )


@SOAK_CHECKS.register("answer-in-time")
def check_response_in_time(history: SoakHistory) -> Iterator[Violation]:
    """Check that each request gets its final response by the timeout of its route."""
    for seen in history.exchanges:
        took_ms = seen.ended_ms - seen.sent_ms
        bound_ms = ROUTE_TIMEOUT_MS + RESPONSE_SLACK_MS + SCHEDULING_SLACK_MS
        if not seen.is_connected or took_ms <= bound_ms:
            continue
        if history.is_undisturbed((seen.router,), seen.sent_ms, seen.ended_ms):
            message = f"{seen.request_id} was open for {took_ms:.0f} ms"
            yield Violation("answer-in-time", f"{message} by {seen.router}")


@SOAK_CHECKS.register("recovery")
def check_recovery(history: SoakHistory) -> Iterator[Violation]:
    """Check that routers are ready and requests are served after the last fault.

    Requests count from `CONFIGURATION_APPLY_MS` after the end of the last disturbance.
    """
    for router in history.unready:
        yield Violation("recovery", f"{router} is not ready after the faults")
    undisturbed_from_ms = (
        max((each.end_ms for each in history.disturbances), default=0.0)
        + CONFIGURATION_APPLY_MS
    )
    served_kinds = (Kind.SAFE, Kind.ONCE, Kind.STREAM, Kind.RESUMABLE)
    after_faults = [
        each
        for each in history.exchanges
        if each.sent_ms > undisturbed_from_ms
        and each.kind in served_kinds
        and not each.was_left
    ]
    served = [each for each in after_faults if each.status == 200 and each.is_whole]
    if after_faults and len(served) < MIN_SERVED_SHARE * len(after_faults):
        message = (
            f"{len(served)} of {len(after_faults)} requests "
            f"were served after the faults"
        )
        yield Violation("recovery", message)


@SOAK_CHECKS.register("crashing-part")
def check_crashing_part_is_blocked(history: SoakHistory) -> Iterator[Violation]:
    """Check that few requests with a part reach workers after it has crashed five.

    Requests of disturbed routers, and those after a time at which no router had been
    running for `SETTLE_MS`, are not checked.
    """
    exchange_by_id = {each.request_id: each for each in history.exchanges}
    for part in history.crashing_parts:
        if len(part.crash_times_ms) < TOLERATED_CRASHES:
            continue
        fifth_ms = part.crash_times_ms[TOLERATED_CRASHES - 1]
        late = []
        for run in history.runs:
            seen = exchange_by_id.get(run.request_id)
            bound_ms = fifth_ms + SETTLE_MS + SCHEDULING_SLACK_MS
            if seen is None or not bound_ms < run.at_ms <= part.end_ms:
                continue
            targets = (seen.router, STORE, run.worker)
            if (
                part.part_id in seen.prompt_parts
                and history.is_undisturbed(targets, run.at_ms, run.at_ms)
                and not _have_all_routers_restarted(history, part, run.at_ms)
            ):
                late.append(run.request_id)
        if len(late) > TOLERATED_REQUESTS:
            message = (
                f"{len(late)} requests with part {part.part_id:x} reached workers "
                f"after its fifth crash: {', '.join(late[:5])}"
            )
            yield Violation("crashing-part", message)


def _have_all_routers_restarted(
    history: SoakHistory, part: CrashingPart, until_ms: float
) -> bool:
    """Return whether all routers were stopped, or just started, at the same time."""
    routers = {each.router for each in history.exchanges}
    restarts = [each for each in history.disturbances if each.fault in ("kill", "stop")]
    return any(
        routers
        <= {
            each.target
            for each in restarts
            if each.begin_ms <= latest.begin_ms <= each.end_ms + SETTLE_MS
        }
        for latest in restarts
        if part.begin_ms <= latest.begin_ms <= until_ms
    )


@SOAK_CHECKS.register("sound-prompts")
def check_sound_prompts_begin(history: SoakHistory) -> Iterator[Violation]:
    """Check that sound streams begin while a part that they do not contain crashes.

    Compared are undisturbed requests with the same first part and customer, from
    2 x `SETTLE_MS` after the fifth crash, or the last if there are fewer. Half as many
    as at other times must begin.
    """
    workers = {run.worker for run in history.runs}
    sound = [
        seen
        for seen in history.exchanges
        if seen.kind is Kind.STREAM
        and seen.is_connected
        and not seen.was_left
        and all(
            each.fault == PART_CRASH
            for each in history.disturbances_of(
                (seen.router, STORE, *workers), seen.sent_ms, seen.ended_ms
            )
        )
    ]
    for part in history.crashing_parts:
        crashes_ms = [part.begin_ms, *part.crash_times_ms[:TOLERATED_CRASHES]]
        settled_ms = crashes_ms[-1] + 2 * SETTLE_MS
        during, outside = [], []
        for seen in sound:
            if settled_ms <= seen.sent_ms <= part.end_ms:
                during.append(seen.status == 200)
            elif not part.begin_ms <= seen.sent_ms <= part.end_ms + SETTLE_MS:
                outside.append(seen.status == 200)
        if min(len(during), len(outside)) < MIN_COMPARED:
            continue
        if sum(during) / len(during) < 0.5 * sum(outside) / len(outside):
            message = (
                f"{sum(during)} of {len(during)} sound streams began while part "
                f"{part.part_id:x} crashed workers, {sum(outside)} of {len(outside)} "
                f"at other times"
            )
            yield Violation("sound-prompts", message)


@SOAK_CHECKS.register("bounded-repeats")
def check_repeats(history: SoakHistory) -> Iterator[Violation]:
    """Check that all routers together repeat few requests of a service in any window.

    The requests are those of the window, the one before it or the one half a window
    before it, whichever has most. Those of all routes count, as routes may move.
    """
    sent_ms = sorted(seen.sent_ms for seen in history.exchanges)
    repeats_by_service: dict[str, list[float]] = defaultdict(list)
    for runs in history.runs_by_id().values():
        for run in sorted(runs, key=lambda each: each.at_ms)[1:]:
            repeats_by_service[run.service].append(run.at_ms)
    for service, repeats_ms in repeats_by_service.items():
        repeats_ms.sort()
        for begin_ms in repeats_ms:
            repeats = _count_in_window(repeats_ms, begin_ms)
            requests = max(
                _count_in_window(sent_ms, begin_ms - back * REPEAT_WINDOW_MS)
                for back in (0.0, 0.5, 1.0)
            )
            allowed = REPEAT_RATIO * requests + REPEAT_SLACK
            if repeats > allowed:
                message = f"{repeats} repeats at {service} from {begin_ms:.0f}"
                yield Violation("bounded-repeats", f"{message}, {allowed:.0f} allowed")
                break


def _count_in_window(times_ms: list[float], begin_ms: float) -> int:
    end_ms = begin_ms + REPEAT_WINDOW_MS
    return bisect_left(times_ms, end_ms) - bisect_left(times_ms, begin_ms)


@SOAK_CHECKS.register("own-end")
def check_unexpected_exit(history: SoakHistory) -> Iterator[Violation]:
    """Check that no router exits without being stopped."""
    for exit_seen in history.ends:
        if not exit_seen.was_asked:
            message = (
                f"{exit_seen.router} exited without being stopped, "
                f"code {exit_seen.exit_code}"
            )
            yield Violation("own-end", message)


@SOAK_CHECKS.register("stop-in-time")
def check_stop_in_time(history: SoakHistory) -> Iterator[Violation]:
    """Check that a router exits by itself within the limit of a planned stop.

    The limit counts from the signal, also for a router that is paused when it comes.
    """
    for exit_seen in history.ends:
        if exit_seen.was_asked and exit_seen.exit_code == HUNG_EXIT_CODE:
            message = (
                f"{exit_seen.router} was running at the limit of its planned stop; "
                f"noticed {exit_seen.after_ms:.0f} ms after the signal, own loop late "
                f"by {exit_seen.loop_lag_ms:.0f} ms at most; last line of its log: "
                f"{exit_seen.last_log_line}"
            )
            yield Violation("stop-in-time", message)
