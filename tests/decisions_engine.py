"""Simulated batching engine in virtual time, driven by an EndpointQueue."""

from random import Random

from wigeonwind.catalog import Catalog, LatencyTarget, RequestClass, TargetKind
from wigeonwind.decisions.endpoint_queue import EndpointQueue
from wigeonwind.decisions.interfaces import (
    Admitted,
    AttemptSpec,
    ExpireAttempt,
    PauseAttempt,
    Rejected,
)

STEP_MS = 20.0
"""Time between tokens of a running answer; equals the initial estimate of the queue."""


def request_class(name, priority, kind, limit_ms, max_wait_ms, **options):
    target = LatencyTarget(TargetKind(kind), limit_ms)
    return RequestClass(name, priority, target, max_wait_ms, **options)


CLASSES = (
    request_class("chat", 0, "first-token", 1500.0, 4000.0),
    request_class("tagging", 1, "whole", 20_000.0, 60_000.0),
    request_class("dossier", 2, "whole", 300_000.0, 600_000.0),
)
CATALOG = Catalog(1, class_by_name={each.name: each for each in CLASSES})


def attempt_spec(name, class_name, at_ms=0.0, customer="c", **options):
    return AttemptSpec(name, 0, "llm", class_name, customer, at_ms, 100, **options)


class Engine:
    """Runs the attempts that the queue starts, each for its given number of tokens."""

    def __init__(self, slots, seed=1, catalog=CATALOG, **options):
        self.queue = EndpointQueue(catalog, slots, Random(seed), **options)
        self.now_ms = 0.0
        self.remaining_tokens = {}
        self.running = {}
        self.started_ms = {}
        self.finished_ms = {}
        self.rejected = {}
        self.expired = {}
        self.actions = []

    def offer(self, spec, tokens):
        result = self.queue.offer(spec, self.now_ms)
        if isinstance(result, Rejected):
            self.rejected[spec.request_id] = result
        else:
            assert isinstance(result, Admitted)
            self.remaining_tokens[spec.key] = tokens
        return result

    def act(self):
        for action in self.queue.due_actions(self.now_ms):
            self.actions.append(action)
            spec = action.spec
            if isinstance(action, ExpireAttempt):
                self.expired[spec.request_id] = action.rejection
            elif isinstance(action, PauseAttempt):
                del self.running[spec.key]
            else:
                self.running[spec.key] = spec
                self.started_ms.setdefault(spec.request_id, self.now_ms)

    def step(self):
        """Carry out the actions of the queue, then generate a token of each answer."""
        self.act()
        self.now_ms += STEP_MS
        for key, spec in list(self.running.items()):
            self.queue.on_tokens(key, 1, self.now_ms)
            self.remaining_tokens[key] -= 1
            if self.remaining_tokens[key] <= 0:
                del self.running[key]
                self.queue.on_done(key, self.now_ms)
                self.finished_ms[spec.request_id] = self.now_ms
