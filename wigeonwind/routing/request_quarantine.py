"""Admission of requests with regard to the parts that may crash their endpoint.

A request with a blocked part is refused. Of the requests with a suspect part, one at a
time in the fleet is sent, as its trial, to an endpoint with few requests that has no
other trial; the others wait for the result.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from random import Random

from gevent import sleep
from gevent.event import Event
from structlog import get_logger

from wigeonwind.clock import MS_PER_SECOND, Clock
from wigeonwind.decisions.latency_choice import LatencyChooser
from wigeonwind.decisions.peer_loads import short_id
from wigeonwind.decisions.quarantine import (
    Blocked,
    NeedsTrial,
    Quarantine,
    SuspectRow,
    SuspectStatus,
)
from wigeonwind.routing.discovery import EndpointSet
from wigeonwind.routing.endpoint_connection import ConnectionPool
from wigeonwind.routing.endpoint_monitor import EndpointMonitor, UnansweredSend
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.request_keys import format_key
from wigeonwind.routing.send_outcomes import Quarantined
from wigeonwind.routing.suspect_messages import (
    MAX_MESSAGES,
    MAX_ROWS,
    MAX_TRIALS,
    SuspectMessage,
)

TRIAL_POLL_MS = 25.0
"""Interval of the check whether the trial of a suspect has ended."""

TRIAL_NOTICE_MS = 25.0
"""Time between the notice of a trial to the peers and its send, several times as long
as a datagram takes. If two routers announce trials that exclude each other, the one
with the lower id goes on."""

PEER_TRIAL_AGE_MS = 1_000.0
"""Age at which a peer's trial no longer counts; messages repeat it while it lasts."""

REPEAT_MS = 500.0
"""Time for which each message repeats a change, as datagrams may be lost."""

SUSPECT_RETRY_AFTER_MS = 500.0
"""Retry-After of a request that waited for a trial in vain; trials take about as long
as the first event of a stream."""

MAX_RETRY_AFTER_MS = 60_000.0
"""Longest Retry-After of a blocked request."""

RETRY_AFTER_JITTER = 0.2
"""Largest random extension of Retry-After, as a fraction of it, so that callers do not
return at the same time."""

log = get_logger("wigeonwind.quarantine")


@dataclass(frozen=True, slots=True)
class Admission:
    """A request may be sent; if it is a trial, only to `trial_at`.

    `trial_keys` are the suspects that it tries, empty if it is not a trial.
    """

    trial_at: Endpoint | None = None
    trial_keys: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class QuarantineObserver:
    """Callbacks for metrics: an endpoint crashed, a trial ended with a result."""

    on_crash: Callable[[str, int], None]
    on_trial_ended: Callable[[str], None]


class RequestQuarantine:
    """The suspects, trials and blocks that one router knows of and applies."""

    def __init__(
        self,
        local_id: str,
        clock: Clock,
        rng: Random,
        pool: ConnectionPool,
        endpoints: EndpointSet,
        chooser: LatencyChooser,
        observer: QuarantineObserver,
    ) -> None:
        self._local_id = local_id
        self._clock = clock
        self._rng = rng
        self._endpoints = endpoints
        self._chooser = chooser
        self._observer = observer
        self._quarantine = Quarantine()
        self._trial_at_by_key: dict[int, Endpoint] = {}
        self._had_trials = False
        """Whether the last message to the peers named trials."""
        self._sent_keys: set[int] = set()
        """Keys of the last full messages, until all keys have been sent."""
        self._peer_trials_by_sender: dict[str, tuple[float, dict[int, int]]] = {}
        self.monitor = EndpointMonitor(clock, pool, endpoints, self._on_crash)
        endpoints.on_draining = self._on_endpoint_draining
        self.changed = Event()
        """Set when there is something new for the peers."""

    def admit(
        self,
        service: str,
        keys: tuple[int, ...],
        exclude: Collection[str],
        limit_ms: float,
        is_caller_gone: Callable[[], bool],
    ) -> Admission | Quarantined:
        """Return how a request may be sent; wait for a trial until `limit_ms`.

        `exclude` are keys of endpoints that it must not be sent to. A request whose
        caller has gone is admitted.
        """
        while True:
            now_ms = self._clock.now_ms()
            verdict = self._quarantine.verdict(keys, now_ms)
            if isinstance(verdict, Blocked):
                return Quarantined(
                    f"a part of the request crashed {verdict.crashes} endpoints",
                    self._retry_after_ms(verdict),
                )
            if not isinstance(verdict, NeedsTrial) or is_caller_gone():
                return Admission()
            admission = self._try_to_start_trial(service, verdict.keys, exclude)
            if admission is not None:
                return admission
            if now_ms >= limit_ms:
                return Quarantined(
                    "a part of the request may have crashed an endpoint, and another "
                    "request with it is being tried",
                    SUSPECT_RETRY_AFTER_MS * (1.0 + self._rng.random()),
                )
            sleep(TRIAL_POLL_MS / MS_PER_SECOND)

    def _retry_after_ms(self, verdict: Blocked) -> float:
        """Return when to try again; an answer elsewhere may end the block sooner."""
        retry_after_ms = min(verdict.remaining_ms, MAX_RETRY_AFTER_MS)
        return retry_after_ms * (1.0 + RETRY_AFTER_JITTER * self._rng.random())

    def is_free_of_suspects(self, keys: tuple[int, ...]) -> bool:
        """Return whether a request may still be sent to any endpoint."""
        verdict = self._quarantine.verdict(keys, self._clock.now_ms())
        return not isinstance(verdict, (Blocked, NeedsTrial))

    def _try_to_start_trial(
        self, service: str, keys: tuple[int, ...], exclude: Collection[str]
    ) -> Admission | None:
        """Start a trial; return None while another one is in the way."""
        busy = self._trials_in_the_way(keys, self._peer_trials_by_sender)
        local = {short_id(at.key) for at in self._trial_at_by_key.values()}
        if busy is None or any(key in self._trial_at_by_key for key in keys):
            return None
        endpoint = self._trial_endpoint(service, exclude, busy | local)
        if endpoint is None:
            return None
        for key in keys:
            self._trial_at_by_key[key] = endpoint
        self.changed.set()
        is_alone = False
        try:
            sleep(TRIAL_NOTICE_MS / MS_PER_SECOND)
            is_alone = self._has_no_prior_trial(endpoint, keys)
        finally:
            if not is_alone:
                self._forget_trial(keys)
        if not is_alone:
            return None
        log.info(
            "trial of suspect request keys started",
            keys=[format_key(key) for key in keys],
            endpoint=endpoint.instance_id,
        )
        return Admission(endpoint, keys)

    def _has_no_prior_trial(self, endpoint: Endpoint, keys: tuple[int, ...]) -> bool:
        """Return whether no trial of a prior peer excludes one that was announced.

        Returns False too if keys have been cleared or blocked in the meantime.
        """
        prior = [each for each in self._peer_trials_by_sender if each < self._local_id]
        busy = self._trials_in_the_way(keys, prior)
        verdict = self._quarantine.verdict(keys, self._clock.now_ms())
        is_free = busy is not None and short_id(endpoint.key) not in busy
        return is_free and verdict == NeedsTrial(keys)

    def _trials_in_the_way(
        self, keys: Iterable[int], senders: Iterable[str]
    ) -> set[int] | None:
        """Return the endpoints with trials of peers, None if they try one of `keys`."""
        since_ms = self._clock.now_ms() - PEER_TRIAL_AGE_MS
        busy: set[int] = set()
        for sender in senders:
            received_ms, trial_at_by_key = self._peer_trials_by_sender[sender]
            if received_ms < since_ms:
                continue
            if any(key in trial_at_by_key for key in keys):
                return None
            busy.update(trial_at_by_key.values())
        return busy

    def _trial_endpoint(
        self, service: str, exclude: Collection[str], busy: Collection[int]
    ) -> Endpoint | None:
        """Return the endpoint with the fewest requests that has no trial."""
        for endpoint_id in self._chooser.by_load(service, self._clock.now_ms()):
            endpoint = self._endpoints.get(endpoint_id)
            if endpoint is None or endpoint_id in exclude:
                continue
            has_crashed = self.monitor.has_crashed(endpoint_id)
            if not has_crashed and short_id(endpoint_id) not in busy:
                return endpoint
        return None

    def _forget_trial(self, keys: Iterable[int]) -> None:
        for key in keys:
            self._trial_at_by_key.pop(key, None)
        self.changed.set()

    def end_trial(self, admission: Admission, result: str) -> None:
        """Let other requests with the keys be tried; `result` is how this one ended."""
        assert admission.trial_at is not None
        self._forget_trial(admission.trial_keys)
        self._observer.on_trial_ended(result)
        log.info(
            "trial of suspect request keys ended",
            keys=[format_key(key) for key in admission.trial_keys],
            endpoint=admission.trial_at.instance_id,
            result=result,
        )

    def judge_closed_answer(
        self, send: UnansweredSend, trial: Admission | None
    ) -> None:
        """Record an answer that ended with its connection, unless by a crash.

        `trial` is the trial that the request was, if any. `send` must be recorded as
        lost, so that it counts as evidence of a crash.
        """
        has_crashed = True
        try:
            has_crashed = self.monitor.check(send.endpoint)
            if not has_crashed:
                self.on_answered(send)
        finally:
            if trial is not None:
                self.end_trial(trial, "broken" if has_crashed else "answered")

    def on_answered(self, send: UnansweredSend) -> None:
        """Record that an answer shows that the endpoint can run a request."""
        self.monitor.remove(send)
        cleared = self._quarantine.on_answered(send.keys, self._clock.now_ms())
        if cleared:
            self.changed.set()
        for key in cleared:
            log.info(
                "suspect request key cleared by an answer",
                key=format_key(key),
                request_id=send.request_id,
                endpoint=send.endpoint.instance_id,
            )

    def _on_crash(self, endpoint: Endpoint, sends: Collection[UnansweredSend]) -> None:
        self._observer.on_crash(endpoint.service, len(sends))
        blocked = self._quarantine.on_crash(
            short_id(endpoint.key), [send.keys for send in sends], self._clock.now_ms()
        )
        self.changed.set()
        self._enforce(blocked, f"crash of {endpoint.instance_id}")

    def _on_endpoint_draining(self, endpoint: Endpoint) -> None:
        """Forget a crash that was the end of a planned stop, reported too late."""
        if self.monitor.has_crashed(endpoint.key):
            log.info(
                "crash of a draining endpoint ignored", endpoint=endpoint.instance_id
            )
            self._quarantine.void_crash(short_id(endpoint.key), self._clock.now_ms())
            self.changed.set()

    def on_message(self, message: SuspectMessage) -> None:
        """Apply what a peer knows."""
        now_ms = self._clock.now_ms()
        if not message.is_full:
            self._peer_trials_by_sender[message.sender] = (now_ms, dict(message.trials))
        blocked = self._quarantine.merge(message.rows, now_ms)
        self._enforce(blocked, f"message of {message.sender}")

    def _enforce(self, blocked: Iterable[int], source: str) -> None:
        """Log blocked keys and give up the requests with them that have no answer."""
        now_ms = self._clock.now_ms()
        for key in blocked:
            verdict = self._quarantine.verdict((key,), now_ms)
            sends = [
                send
                for send in self.monitor.not_begun_with(key)
                if isinstance(self._quarantine.verdict(send.keys, now_ms), Blocked)
            ]
            log.warning(
                "request key blocked; it crashes endpoints",
                key=format_key(key),
                crashes=verdict.crashes if isinstance(verdict, Blocked) else None,
                source=source,
                given_up=len(sends),
            )
            for send in sends:
                send.was_aborted = True
                send.abort()

    def change_messages(self, sender: str) -> Iterator[SuspectMessage]:
        """Yield the trials and recent changes for all peers.

        After the last trial, one message without any says so. Of the keys on trial, the
        lowest are named, so that routers which try the same keys name the same ones.
        """
        now_ms = self._clock.now_ms()
        trials = tuple(
            (key, short_id(at.key)) for key, at in sorted(self._trial_at_by_key.items())
        )[:MAX_TRIALS]
        rows = self._quarantine.rows_changed(now_ms - REPEAT_MS, now_ms)
        had_trials, self._had_trials = self._had_trials, bool(trials)
        if not rows and not trials and not had_trials:
            return
        yield SuspectMessage(sender, False, tuple(rows[:MAX_ROWS]), trials)
        further = rows[MAX_ROWS : MAX_ROWS * MAX_MESSAGES]
        yield from _full_messages(sender, further)

    def full_messages(self, sender: str) -> Iterator[SuspectMessage]:
        """Yield all evidence; the next calls go on with what is too much for one."""
        rows = self._quarantine.rows(self._clock.now_ms())
        unsent = [row for row in rows if row.key not in self._sent_keys]
        if not unsent:
            self._sent_keys.clear()
            unsent = rows
        unsent = unsent[: MAX_ROWS * MAX_MESSAGES]
        if len(unsent) < len(rows):
            self._sent_keys.update(row.key for row in unsent)
        yield from _full_messages(sender, unsent)

    def run_maintenance(self) -> None:
        """Drop what is outdated; call periodically."""
        now_ms = self._clock.now_ms()
        self.monitor.drop_expired()
        self._quarantine.drop_expired(now_ms)
        for sender, (received_ms, _) in list(self._peer_trials_by_sender.items()):
            if now_ms - received_ms > PEER_TRIAL_AGE_MS:
                del self._peer_trials_by_sender[sender]

    def statuses(self) -> list[SuspectStatus]:
        """Return the suspects and blocked keys."""
        return list(self._quarantine.statuses(self._clock.now_ms()))

    def lift(self, key: int) -> bool:
        """Clear a key by an operator's order; return False if it is no suspect."""
        is_lifted = self._quarantine.lift(key, self._clock.now_ms())
        if is_lifted:
            self.changed.set()
            log.warning("request key cleared by an operator", key=format_key(key))
        return is_lifted


def _full_messages(sender: str, rows: Sequence[SuspectRow]) -> Iterator[SuspectMessage]:
    for start in range(0, len(rows), MAX_ROWS):
        yield SuspectMessage(sender, True, tuple(rows[start : start + MAX_ROWS]), ())
