"""Simulates entries, endpoints and engines of a scenario in virtual time.

The entries decide with the modules of `wigeonwind.decisions`, as the daemon does. The
network is modelled as a fixed delay per hop.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from wigeonwind.clock import ManualClock
from wigeonwind.decisions.interfaces import (
    AttemptSpec,
    Chosen,
    EndpointChoice,
    EndpointInfo,
    Rejected,
    ReportedLoad,
    Resend,
    RetryCause,
    RouteRequest,
)
from wigeonwind.decisions.retry import RetryPolicy
from wigeonwind.experiments.policies import OracleChoice, Policy
from wigeonwind.experiments.results import Outcome
from wigeonwind.experiments.scenario import HOP_MS, Arrival, Fault, Scenario, arrivals
from wigeonwind.experiments.simulated_endpoint import Attempt, SimulatedEndpoint
from wigeonwind.standins.engine_model import EngineModel
from wigeonwind.standins.engine_types import RequestDone, TokensProduced

DRAIN_LIMIT_MS = 900_000.0
"""A run ends at the latest this long after `end_ms` of the scenario. Requests that are
still in flight then stay unfinished."""

CACHE_EVENT_INTERVAL_MS = 500.0
"""Interval at which sidecars forward cache events to entries."""

MAX_ATTEMPTS = 4
"""Maximum number of attempts of one request, as in the daemon."""

CALLER_RETRY_DELAY_MS = 500.0
"""Delay after which a caller that timed out sends its request again."""

TimerCallback = Callable[[float], None]


class SimulatedEntry:
    """One entry, with its endpoint choice and its retry policy."""

    def __init__(
        self, name: str, zone: str, choice: EndpointChoice, retry: RetryPolicy
    ) -> None:
        self.name = name
        self.zone = zone
        self.choice = choice
        self.retry = retry


class Simulation:
    """One run of a scenario under a policy; `run` may be called only once.

    It is the `AttemptObserver` of its endpoints.
    """

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.clock = ManualClock()
        self.outcomes: list[Outcome] = []
        self._seed = seed
        self._rng = Random(f"{seed}/bench")
        self._timers: list[tuple[float, int, TimerCallback]] = []
        self._timer_numbers = count()
        self._outcome_by_id: dict[str, Outcome] = {}
        self._entry_by_request: dict[str, SimulatedEntry] = {}
        self._endpoint_by_key: dict[tuple[str, int], SimulatedEndpoint] = {}
        self._unfinished = 0
        self.endpoints = [self._make_endpoint(n) for n in range(len(scenario.engines))]
        self.entries = [self._make_entry(n) for n in range(scenario.entries)]
        self._endpoint_by_id = {each.endpoint_id: each for each in self.endpoints}

    def _make_endpoint(self, number: int) -> SimulatedEndpoint:
        scenario = self.scenario
        config = scenario.engines[number]
        rng = Random(f"{self._seed}/queue/{number}")
        queue = self.policy.make_queue(scenario.catalog, config, scenario.service, rng)
        zone = scenario.zones[number]
        endpoint_id = f"endpoint-{number}"
        return SimulatedEndpoint(
            endpoint_id, zone, EngineModel(config), queue, self, self._schedule
        )

    def _make_entry(self, number: int) -> SimulatedEntry:
        zones = sorted(set(self.scenario.zones))
        zone = zones[number % len(zones)]
        rng = Random(f"{self._seed}/entry/{number}")
        choice = self.policy.make_choice(zone, rng)
        endpoint_infos = tuple(
            EndpointInfo(e.endpoint_id, e.zone, self.scenario.service, ("model-1",))
            for e in self.endpoints
        )
        if isinstance(choice, OracleChoice):
            choice.set_wait_function(self._true_wait)
        choice.set_endpoints(endpoint_infos, 0.0)
        return SimulatedEntry(f"entry-{number}", zone, choice, RetryPolicy(rng))

    def _true_wait(self, endpoint_id: str, priority: int, now_ms: float) -> float:
        return self._endpoint_by_id[endpoint_id].true_wait(priority, now_ms)

    def _schedule(self, at_ms: float, callback: TimerCallback) -> None:
        heappush(self._timers, (at_ms, next(self._timer_numbers), callback))

    def run(self) -> list[Outcome]:
        """Run the simulation and return the outcome of each request."""
        for arrival in arrivals(self.scenario, self._seed):
            self._schedule(arrival.at_ms, partial(self._on_arrival, arrival))
            self._unfinished += 1
        for fault in self.scenario.faults:
            self._schedule(fault.at_ms, partial(self._apply_fault, fault))
        self._schedule(0.0, self._send_load_reports)
        self._schedule(0.0, self._forward_cache_events)
        limit_ms = self.scenario.end_ms + DRAIN_LIMIT_MS
        while self._timers and self._unfinished and self._timers[0][0] <= limit_ms:
            at_ms, _, callback = heappop(self._timers)
            self.clock.advance_to(at_ms)
            callback(at_ms)
        return self.outcomes

    def _send_load_reports(self, now_ms: float) -> None:
        for endpoint in self.endpoints:
            load = endpoint.load(now_ms)
            delay_ms = self.scenario.report_delay_ms
            load = replace(load, age_ms=load.age_ms + delay_ms)
            deliver = partial(self._deliver_load_report, endpoint.endpoint_id, load)
            self._schedule(now_ms + delay_ms, deliver)
        self._schedule(
            now_ms + self.scenario.report_interval_ms, self._send_load_reports
        )

    def _deliver_load_report(
        self, endpoint_id: str, load: ReportedLoad, now_ms: float
    ) -> None:
        for entry in self.entries:
            entry.choice.on_load(endpoint_id, load, now_ms)

    def _forward_cache_events(self, now_ms: float) -> None:
        for endpoint in self.endpoints:
            for event in endpoint.new_cache_events(now_ms):
                for entry in self.entries:
                    entry.choice.on_cache_event(
                        endpoint.endpoint_id,
                        event.prefix,
                        event.kind == "stored",
                        now_ms,
                    )
        self._schedule(now_ms + CACHE_EVENT_INTERVAL_MS, self._forward_cache_events)

    def _apply_fault(self, fault: Fault, now_ms: float) -> None:
        for number, endpoint in enumerate(self.endpoints):
            if number != fault.engine and endpoint.zone != fault.zone:
                continue
            if fault.kind == "crash":
                endpoint.crash(now_ms)
            elif fault.kind == "restart":
                endpoint.engine.restart(now_ms)
            elif fault.kind == "straggle":
                endpoint.engine.set_straggle(fault.value, now_ms)
                endpoint.slowdown = fault.value
            elif fault.kind == "freeze":
                endpoint.engine.freeze(now_ms)
            elif fault.kind == "unfreeze":
                endpoint.engine.unfreeze(now_ms)

    def _on_arrival(self, arrival: Arrival, now_ms: float) -> None:
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        self._outcome_by_id[arrival.request_id] = outcome
        entry = self._rng.choice(self.entries)
        self._entry_by_request[arrival.request_id] = entry
        entry.retry.on_request(now_ms)
        self._send(arrival, frozenset(), now_ms)
        self._schedule_caller_timeout(arrival, now_ms)

    def _schedule_caller_timeout(self, arrival: Arrival, now_ms: float) -> None:
        if self.scenario.caller_timeout_ms:
            due_ms = now_ms + self.scenario.caller_timeout_ms
            self._schedule(due_ms, partial(self._on_caller_timeout, arrival))

    def _on_caller_timeout(self, arrival: Arrival, now_ms: float) -> None:
        """Cancel the request, and send it again if the caller has retries left.

        Do nothing if it has a first token, was refused, or is not of the urgent class.
        """
        outcome = self._outcome_by_id[arrival.request_id]
        if outcome.first_ms is not None or outcome.refused:
            return
        if arrival.class_name != self.scenario.urgent_class:
            return
        key = (arrival.request_id, outcome.attempts - 1)
        endpoint = self._endpoint_by_key.pop(key, None)
        if endpoint is not None:
            endpoint.cancel(key, now_ms)
        if len(outcome.reasons) >= self.scenario.caller_retries:
            self._finish(outcome, refused=True)
            return
        outcome.reasons.append("caller gave up")
        self._schedule(
            now_ms + CALLER_RETRY_DELAY_MS, partial(self._send, arrival, frozenset())
        )
        self._schedule_caller_timeout(arrival, now_ms + CALLER_RETRY_DELAY_MS)

    def _send(self, arrival: Arrival, exclude: frozenset[str], now_ms: float) -> None:
        outcome = self._outcome_by_id[arrival.request_id]
        entry = self._entry_by_request[arrival.request_id]
        request = self._route_request(arrival)
        choice = entry.choice.choose(request, now_ms, exclude)
        if not isinstance(choice, Chosen) and exclude:
            choice = entry.choice.choose(request, now_ms, frozenset())
        if not isinstance(choice, Chosen):
            self._finish(outcome, refused=True)
            return
        endpoint = self._endpoint_by_id[choice.endpoint_id]
        resume_tokens = outcome.delivered if self.policy.resumes else 0
        spec = AttemptSpec(
            arrival.request_id,
            outcome.attempts,
            self.scenario.service,
            arrival.class_name,
            arrival.customer,
            now_ms,
            arrival.prompt_tokens,
            resume_tokens=resume_tokens,
        )
        outcome.attempts += 1
        entry.choice.on_sent(choice.endpoint_id, request, now_ms)
        attempt = Attempt(arrival, spec, request.priority)
        self._endpoint_by_key[spec.key] = endpoint
        self._schedule(now_ms + HOP_MS, partial(self._deliver, endpoint, attempt))

    def _deliver(
        self, endpoint: SimulatedEndpoint, attempt: Attempt, at_ms: float
    ) -> None:
        if attempt.spec.key in self._endpoint_by_key:
            endpoint.offer(attempt, at_ms)

    def _route_request(self, arrival: Arrival) -> RouteRequest:
        return RouteRequest(
            self.scenario.service,
            arrival.class_name,
            self.scenario.catalog.class_by_name[arrival.class_name].priority,
            arrival.prompt_tokens,
            "model-1",
            tuple(key.key for key in arrival.prefix_keys),
        )

    def _finish(self, outcome: Outcome, refused: bool) -> None:
        outcome.refused = refused
        self._unfinished -= 1

    def _end_attempt(self, attempt: Attempt, ok: bool, at_ms: float) -> str:
        """Record the end of an attempt at the entry and return the endpoint id.

        `ok` is False if the endpoint failed.
        """
        endpoint = self._endpoint_by_key.pop(attempt.spec.key)
        entry = self._entry_by_request[attempt.arrival.request_id]
        request = self._route_request(attempt.arrival)
        entry.choice.on_ended(endpoint.endpoint_id, request, ok, at_ms)
        return endpoint.endpoint_id

    def on_started(self, attempt: Attempt, at_ms: float) -> None:
        """Record that the engine has accepted the request."""
        outcome = self._outcome_by_id[attempt.arrival.request_id]
        if outcome.started_ms is None:
            outcome.started_ms = at_ms

    def on_tokens(self, attempt: Attempt, tokens: TokensProduced) -> None:
        """Record tokens of the answer at the time at which the caller receives them."""
        outcome = self._outcome_by_id[attempt.arrival.request_id]
        entry = self._entry_by_request[attempt.arrival.request_id]
        endpoint = self._endpoint_by_key[attempt.spec.key]
        outcome.computed_tokens += tokens.count
        at_ms = tokens.last_ms + HOP_MS
        if outcome.first_ms is None:
            outcome.first_ms = tokens.first_ms + HOP_MS
        if tokens.first:
            wait_ms = tokens.first_ms - attempt.spec.arrived_ms
            entry.choice.on_first_token(endpoint.endpoint_id, wait_ms, at_ms)
        entry.choice.on_tokens(endpoint.endpoint_id, tokens.count, at_ms)
        outcome.delivered = max(outcome.delivered, tokens.index + tokens.count)
        outcome.last_ms = at_ms

    def on_done(self, attempt: Attempt, done: RequestDone) -> None:
        """Record the end of a complete answer."""
        outcome = self._outcome_by_id[attempt.arrival.request_id]
        outcome.done_ms = done.at_ms + HOP_MS
        outcome.cached_tokens += done.cached_tokens
        self._end_attempt(attempt, True, outcome.done_ms)
        self._finish(outcome, refused=False)

    def on_lost(self, attempt: Attempt, at_ms: float, started: bool) -> None:
        """Send the request to another endpoint if the retry policy allows it."""
        endpoint_id = self._end_attempt(attempt, False, at_ms)
        outcome = self._outcome_by_id[attempt.arrival.request_id]
        cause = RetryCause.FAILED if started else RetryCause.HANDED_BACK
        if outcome.delivered:
            cause = RetryCause.INTERRUPTED
        self._resend(attempt, cause, endpoint_id, at_ms)

    def on_refused(self, attempt: Attempt, rejected: Rejected, at_ms: float) -> None:
        """Try one other endpoint; report a second refusal to the caller."""
        # A refusal does not count as a failure of the endpoint.
        endpoint_id = self._end_attempt(attempt, True, at_ms)
        outcome = self._outcome_by_id[attempt.arrival.request_id]
        outcome.refusals += 1
        if outcome.refusals > 1:
            self._finish(outcome, refused=True)
        else:
            self._resend(attempt, RetryCause.REFUSED, endpoint_id, at_ms)

    def _resend(
        self, attempt: Attempt, cause: RetryCause, endpoint_id: str, at_ms: float
    ) -> None:
        arrival = attempt.arrival
        outcome = self._outcome_by_id[arrival.request_id]
        entry = self._entry_by_request[arrival.request_id]
        certainly_not_run = cause in (RetryCause.REFUSED, RetryCause.HANDED_BACK)
        decision = entry.retry.decide(
            outcome.attempts - 1, certainly_not_run, True, None, at_ms, cause
        )
        if outcome.attempts >= MAX_ATTEMPTS or not isinstance(decision, Resend):
            self._finish(outcome, refused=certainly_not_run)
            return
        exclude = frozenset([endpoint_id])
        self._schedule(at_ms + decision.delay_ms, partial(self._send, arrival, exclude))

    def on_dropped(self, attempt: Attempt, tokens: int) -> None:
        """Record KV cache tokens dropped by a pause."""
        outcome = self._outcome_by_id[attempt.arrival.request_id]
        outcome.dropped_tokens += tokens
