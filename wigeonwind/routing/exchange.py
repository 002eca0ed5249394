"""One caller's request: its sends, retries, resumption, and its answer."""

from dataclasses import dataclass

from gevent import sleep

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.decisions.interfaces import GiveUp, NoEndpoint, RetryCause
from wigeonwind.decisions.placement import Send
from wigeonwind.outcomes import ErrorCode, Failure, Outcome
from wigeonwind.routing.answer_parser import Answer, keep_alive_ms
from wigeonwind.routing.caller_connection import CallerConnection, CallerGoneError
from wigeonwind.routing.endpoint_connection import ConnectFailure, EndpointConnection
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.event_stream import EventSplitter
from wigeonwind.routing.forwarding_context import ForwardingContext
from wigeonwind.routing.routed_request import RoutedRequest
from wigeonwind.routing.send_ends import (
    Broken,
    CallerGone,
    Delivered,
    Failed,
    NotRun,
    SendEnd,
    TimedOut,
)
from wigeonwind.routing.wire import AnswerFacts, SendFacts

MAX_SENDS = 6
"""Sends of one request, whatever its route allows; refused ones count."""

SILENCE_CHECK_MS = 100.0
"""Interval between looks whether the endpoint of a repeatable request is silent."""

SILENCE_FACTOR = 3.0
"""Silence of an endpoint, in latency targets, after which a repeatable request is sent
to another one. Within that time a live engine sends events of other streams."""

MIN_SILENCE_MS = 500.0
"""Least silence before that; shorter ones come from long prompts and slow links."""

ROOM_WAIT_SHARE = 0.6
"""Longest wait for room, in latency targets: later the request could not be on time,
and would take the place of one that can."""

ROOM_CHECK_MS = 25.0
"""Interval between looks whether an engine has room."""

LONG_RETRY_MS = 1_500.0
"""Retry-After of a long prompt that found no room; bursts last some seconds."""

MIN_TIME_LEFT_MS = 20.0
"""Time left below which a request is not sent: it could not be answered any more."""

MAX_WHOLE_BYTES = 16_000_000
"""Bound of an answer that is not a stream and is held until it is complete."""

RETRY_AFTER_MS = 250.0
"""Retry-After of a request that endpoints refused; queues of engines move that fast."""

RETRY_AFTER_SPREAD = 0.6
"""Random part of Retry-After, so that refused callers do not return together."""


@dataclass(frozen=True, slots=True)
class _Target:
    """Where a request is sent, and the endpoint whose KV cache is copied first."""

    endpoint: Endpoint
    fetch_from: Endpoint | None


class Exchange:
    """Forwards one request of one route and answers its caller."""

    def __init__(
        self,
        context: ForwardingContext,
        caller: CallerConnection,
        routed: RoutedRequest,
    ) -> None:
        self.context = context
        self.caller = caller
        self.routed = routed
        self.facts = facts = routed.facts
        self.route = route = routed.route
        self.began_ms = context.clock.now_ms()
        self.deadline_ms = self.began_ms + routed.wait_ms
        self.service = context.pick_service(route)
        self.work = context.work_of(
            self.service, routed.engine_priority, facts, route.target_ms
        )
        self._events = EventSplitter(facts.after_event)
        self._first_event_ms: float | None = None
        self._last_event_ms = 0.0
        self.longest_pause_ms = 0.0
        self._tried: set[str] = set()
        self._sends = 0
        self._endpoints_sent_to = 0
        self._may_have_run = False
        self._ran_before = False
        self._refused_reason = ""
        self.last_endpoint_id = ""
        self._connection: EndpointConnection | None = None
        self._fetch_from: SocketAddress | None = None
        self.waited_ms: int | None = None
        """Time before the first send, None if it was never sent."""
        self.expected_ms: int | None = None
        """Time to the first event that the last choice of an endpoint expected."""
        self._kept_failure: Failed | None = None

    def run(self) -> None:
        """Send the request until it is answered or nothing more can be tried."""
        self.caller.on_gone = self._on_caller_gone
        self.context.retry_of(self.service).on_request(self.began_ms)
        end: SendEnd = TimedOut()
        while True:
            if self.caller.is_gone:
                end = CallerGone()
                break
            if not self._wait_for_room():
                end = NotRun("engines have no room for long prompts", False)
                break
            target = self._choose()
            if isinstance(target, NoEndpoint):
                end = self._without_endpoint(target)
                break
            endpoint = target.endpoint
            end = self._send_to(target)
            if not self._goes_on(endpoint, end):
                break
        self._conclude(end)

    def _wait_for_room(self) -> bool:
        """Wait until an engine may take the request; False if that takes too long."""
        clock, choice = self.context.clock, self.context.choice
        exclude = frozenset(self._tried)
        turns = self.context.turns_of(self.service)
        if not len(turns) and choice.has_capacity(self.work, clock.now_ms(), exclude):
            return True
        if not self.work.is_long:
            return True
        limit_ms = self.began_ms + ROOM_WAIT_SHARE * self.route.target_ms
        ticket = turns.enter()
        try:
            while not self.caller.is_gone and clock.now_ms() < limit_ms:
                is_next = turns.is_next(ticket)
                if is_next and choice.has_capacity(self.work, clock.now_ms(), exclude):
                    return True
                sleep(ROOM_CHECK_MS / MS_PER_SECOND)
        finally:
            turns.leave(ticket)
        return self.caller.is_gone or not choice.is_busy(self.work, exclude)

    def _choose(self) -> _Target | NoEndpoint:
        now_ms = self.context.clock.now_ms()
        exclude = frozenset(self._tried)
        while True:
            chosen = self.context.choice.choose(self.work, now_ms, exclude)
            if isinstance(chosen, NoEndpoint):
                return chosen
            endpoint = self.context.endpoints.get(chosen.endpoint_id)
            if endpoint is not None:
                source = self.context.endpoints.get(chosen.fetch_from or "")
                return _Target(endpoint, source)
            exclude |= {chosen.endpoint_id}

    def _without_endpoint(self, none: NoEndpoint) -> SendEnd:
        if self._kept_failure is not None:
            return self._kept_failure
        if self._may_have_run:
            return Broken(self._refused_reason or none.reason)
        return NotRun(self._refused_reason or none.reason, was_sent=False)

    def _on_caller_gone(self) -> None:
        """Stop the endpoint's work; a call that may run only once is left to end."""
        connection = self._connection
        if connection is not None and self._ends_with_caller():
            connection.close()

    def _ends_with_caller(self) -> bool:
        return self.route.may_run_again or self.route.is_stream

    def _send_to(self, target: _Target) -> SendEnd:
        """Send the request to one endpoint and pass its answer on."""
        endpoint = target.endpoint
        self.last_endpoint_id = endpoint.instance_id
        connection = self._connect(endpoint)
        if isinstance(connection, ConnectFailure):
            self._tried.add(endpoint.key)
            now_ms = self.context.clock.now_ms()
            self.context.choice.on_unreachable(endpoint.key, now_ms)
            return NotRun(f"not connected: {connection.reason}", was_sent=False)
        self._connection = connection
        now_ms = self.context.clock.now_ms()
        left_ms = self.deadline_ms - now_ms
        if self.caller.is_gone or left_ms < MIN_TIME_LEFT_MS:
            connection.close()
            return CallerGone() if self.caller.is_gone else TimedOut()
        if self.waited_ms is None:
            self.waited_ms = round(now_ms - self.began_ms)
        source = target.fetch_from
        self._fetch_from = None if source is None else source.address
        sent = self.context.choice.on_sent(
            endpoint.key, self.work, now_ms, None if source is None else source.key
        )
        self.expected_ms = round(sent.expected_ms)
        self._sends += 1
        end: SendEnd = Broken("the exchange was cut short")
        try:
            end = self._exchange(connection, sent, left_ms)
        except CallerGoneError:
            end = CallerGone()
        finally:
            self._connection = None
            self._note_end(sent, end)
            if not isinstance(end, (Delivered, Failed, NotRun)):
                connection.close()
        return end

    def _connect(self, endpoint: Endpoint) -> EndpointConnection | ConnectFailure:
        connection = self.context.pool.idle_connection(endpoint)
        return connection or self.context.pool.open(endpoint)

    def _note_end(self, sent: Send, end: SendEnd) -> None:
        choice, now_ms = self.context.choice, self.context.clock.now_ms()
        if isinstance(end, NotRun):
            choice.on_refused(sent, now_ms)
            return
        failed = isinstance(end, (Broken, Failed))
        choice.on_ended(sent, not failed, now_ms)

    def _exchange(
        self, connection: EndpointConnection, sent: Send, left_ms: float
    ) -> SendEnd:
        """Write the request and read answers until the one that belongs to it."""
        try:
            connection.send(self._request_bytes(connection.endpoint, left_ms), left_ms)
        except OSError as error:
            if self.caller.is_gone:
                return CallerGone()
            # An endpoint may answer before it has read all, and close.
            self._may_have_run = True
            if not connection.has_answer():
                return Broken(f"not sent in full: {error}")
        self._may_have_run = True
        while True:
            answer = self._next_answer(connection, sent)
            if not isinstance(answer, Answer):
                return answer
            facts = self.context.wire.read_answer(answer.headers)
            if self._is_own(answer, facts):
                return self._pass_on(connection, sent, answer, facts)
            self.context.log.info(
                "an answer of another request was dropped",
                request_id=self.facts.request_id,
                endpoint=connection.endpoint.instance_id,
                answer_of=facts.request_id,
            )
            end = self._drain_stranger(connection, sent, answer)
            if end is not None:
                return end

    def _is_own(self, answer: Answer, facts: AnswerFacts) -> bool:
        if facts.request_id:
            return facts.request_id == self.facts.request_id
        return answer.status >= 300

    def _drain_stranger(
        self, connection: EndpointConnection, sent: Send, answer: Answer
    ) -> SendEnd | None:
        while not answer.is_complete:
            answer.take_body()
            end = self._receive_body(connection, sent, answer)
            if end is not None:
                return end
        return None

    def _receive_body(
        self, connection: EndpointConnection, sent: Send, answer: Answer
    ) -> SendEnd | None:
        """Take the next bytes; return an end if the body can never be complete."""
        end = self._receive(connection, sent)
        return None if answer.is_complete else end

    def _request_bytes(self, endpoint: Endpoint, left_ms: float) -> bytes:
        request, facts = self.routed.request, self.facts
        after = self._events.last_id if self.route.is_stream else None
        customer = self.routed.customer
        priority = self.work.priority if self.work.is_generation else None
        send = SendFacts(
            left_ms,
            endpoint.instance_id,
            priority,
            None if customer is None else customer.name,
            after,
            self._fetch_from,
        )
        head = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
        head += self.context.wire.endpoint_headers(facts, send)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            head += b"Content-Length: %d\r\n" % len(request.body)
        return head + b"\r\n" + request.body

    def _next_answer(
        self, connection: EndpointConnection, sent: Send
    ) -> Answer | SendEnd:
        while not connection.parser.heads:
            end = self._receive(connection, sent)
            if end is not None and not connection.parser.heads:
                return end
        return connection.parser.heads.popleft()

    def _receive(self, connection: EndpointConnection, sent: Send) -> SendEnd | None:
        """Take the next bytes of the endpoint; return an end if there are none."""
        clock = self.context.clock
        while True:
            left_ms = self.deadline_ms - clock.now_ms()
            if left_ms <= 0.0:
                return TimedOut()
            wait_ms = left_ms
            if self.route.may_run_again:
                wait_ms = min(left_ms, SILENCE_CHECK_MS)
            try:
                data = connection.receive(wait_ms)
            except TimeoutError:
                if wait_ms < left_ms and self._is_silent(connection.endpoint):
                    return Broken("the endpoint is silent")
                continue
            except OSError as error:
                if self.caller.is_gone:
                    return CallerGone()
                return Broken(f"connection lost: {error}")
            self.context.choice.on_received(sent, clock.now_ms())
            if not data:
                connection.is_ended = True
                connection.parser.feed_end()
                return Broken("the endpoint closed the connection")
            connection.parser.feed(data)
            if connection.parser.error:
                return Broken(connection.parser.error)
            return None

    def _is_silent(self, endpoint: Endpoint) -> bool:
        limit_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * self.route.target_ms)
        now_ms = self.context.clock.now_ms()
        if self.context.choice.silence_ms(endpoint.key, now_ms) <= limit_ms:
            return False
        return self._can_send_again()

    def _can_send_again(self) -> bool:
        return self._endpoints_sent_to + 1 < self.route.max_endpoints

    def _pass_on(
        self,
        connection: EndpointConnection,
        sent: Send,
        answer: Answer,
        facts: AnswerFacts,
    ) -> SendEnd:
        is_success = 200 <= answer.status < 300
        if is_success and (not facts.is_signed or facts.is_encoded):
            return Broken("a success without the endpoint's signature")
        if is_success and facts.is_event_stream:
            return self._pass_stream(connection, sent, answer, facts)
        body = self._whole_body(connection, sent, answer)
        if not isinstance(body, bytes):
            return body
        self._give_back(connection, answer)
        self.context.choice.on_started(sent, self.context.clock.now_ms())
        if facts.was_not_run or answer.status == 421:
            reason = f"the endpoint answered {answer.status}"
            is_stranger = answer.status == 421
            return NotRun(reason, was_sent=True, is_stranger=is_stranger)
        if not facts.is_signed:
            return Broken(f"an unsigned answer {answer.status}")
        answer.body.append(body)
        if answer.status >= 500:
            return Failed(answer, facts)
        return self._deliver(answer, facts)

    def _deliver(self, answer: Answer, facts: AnswerFacts) -> SendEnd:
        if self.caller.head_sent:
            return Broken(f"a resumed stream was answered {answer.status}")
        status, body = answer.status, answer.take_body()
        self.caller.send_whole(status, answer.reason, facts.forwarded, body)
        return Delivered(status)

    def _whole_body(
        self, connection: EndpointConnection, sent: Send, answer: Answer
    ) -> bytes | SendEnd:
        pieces = [answer.take_body()]
        size = len(pieces[0])
        while not answer.is_complete:
            end = self._receive_body(connection, sent, answer)
            if end is not None:
                return end
            pieces.append(answer.take_body())
            size += len(pieces[-1])
            if size > MAX_WHOLE_BYTES:
                return Broken(f"an answer of over {MAX_WHOLE_BYTES} bytes")
        return b"".join(pieces)

    def _pass_stream(
        self,
        connection: EndpointConnection,
        sent: Send,
        answer: Answer,
        facts: AnswerFacts,
    ) -> SendEnd:
        """Pass events on as they arrive; only whole ones."""
        self._events.drop_rest()
        while True:
            try:
                events = self._events.feed(answer.take_body())
            except ValueError as error:
                return Broken(str(error))
            if events:
                self._pass_events(sent, answer, facts, events)
            if answer.is_complete:
                break
            end = self._receive_body(connection, sent, answer)
            if end is not None:
                return end
        if self._events.has_rest:
            return Broken("the stream ended within an event")
        if not self.caller.head_sent:
            self.caller.send_head(answer.status, answer.reason, facts.forwarded, b"")
        self.caller.send_end()
        self._give_back(connection, answer)
        return Delivered(answer.status)

    def _pass_events(
        self, sent: Send, answer: Answer, facts: AnswerFacts, events: bytes
    ) -> None:
        now_ms = self.context.clock.now_ms()
        if not sent.is_started:
            self.context.choice.on_started(sent, now_ms)
        if self._first_event_ms is None:
            self._first_event_ms = now_ms
        else:
            pause_ms = now_ms - self._last_event_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_event_ms = now_ms
        if self.caller.head_sent:
            self.caller.send_piece(events)
        else:
            status, reason = answer.status, answer.reason
            self.caller.send_head(status, reason, facts.forwarded, events)

    def _give_back(self, connection: EndpointConnection, answer: Answer) -> None:
        """Keep the connection, unless it ended or more bytes came than were due."""
        parser = connection.parser
        is_clean = not (parser.heads or parser.is_inside or parser.error)
        if is_clean and parser.keeps_alive and not connection.is_ended:
            self.context.pool.give_back(connection, keep_alive_ms(answer))
        else:
            connection.close()

    def _goes_on(self, endpoint: Endpoint, end: SendEnd) -> bool:
        """Return whether the request is sent once more after a send ended."""
        if isinstance(end, (Delivered, TimedOut, CallerGone)):
            return False
        self._tried.add(endpoint.key)
        if isinstance(end, NotRun):
            self._refused_reason = end.reason
            if end.is_stranger:
                self.context.endpoints.on_stranger(endpoint)
            self._may_have_run = self._ran_before
            certain, cause = True, RetryCause.REFUSED
            if not end.was_sent:
                return self._sends_again(end, certain, cause, counts=False)
        else:
            self._ran_before = True
            certain, cause = False, RetryCause.FAILED
            if isinstance(end, Failed):
                self._kept_failure = end
        if not (isinstance(end, NotRun) and end.is_stranger):
            self._endpoints_sent_to += 1
        return self._sends_again(end, certain, cause, counts=True)

    def _sends_again(
        self, end: SendEnd, certain: bool, cause: RetryCause, counts: bool
    ) -> bool:
        now_ms = self.context.clock.now_ms()
        left_ms = self.deadline_ms - now_ms
        if self.caller.is_gone or left_ms < MIN_TIME_LEFT_MS:
            return False
        if len(self._tried) >= MAX_SENDS:
            return False
        if self._endpoints_sent_to >= self.route.max_endpoints:
            return False
        if self._ran_before and not self.route.may_run_again:
            return False
        if not counts:
            return True
        repeatable = self.route.may_run_again
        decision = self.context.retry_of(self.service).decide(
            self._endpoints_sent_to - 1, certain, repeatable, left_ms, now_ms, cause
        )
        self.context.on_retry(self, end, decision)
        return not isinstance(decision, GiveUp)

    def _conclude(self, end: SendEnd) -> None:
        """Answer the caller if that has not been done, and record the outcome."""
        context = self.context
        try:
            if isinstance(end, Failed):
                end = self._deliver(end.answer, end.facts)
            if not isinstance(end, (Delivered, CallerGone)):
                self._answer_failure(end)
        except CallerGoneError:
            # `abort` ends this way, too: then the answer was broken off on purpose.
            if not self.caller.was_aborted:
                end = CallerGone()
        context.on_end(self, end)

    def _answer_failure(self, end: SendEnd) -> None:
        if self.caller.head_sent:
            self.caller.abort()
        failure = self._failure_of(end)
        headers = self.context.wire.own_answer_headers(self.facts.request_id)
        self.caller.refuse(failure, self.facts.request_id, headers)

    def _failure_of(self, end: SendEnd) -> Failure:
        """Return what the caller is told; 503 promises that nothing has run."""
        if isinstance(end, NotRun) and not self._ran_before:
            spread = 1.0 + RETRY_AFTER_SPREAD * self.context.rng.random()
            return Failure(
                Outcome.NOT_RUN,
                ErrorCode.NO_ENDPOINT,
                f"no endpoint took the request: {end.reason}",
                503,
                (LONG_RETRY_MS if self.work.is_long else RETRY_AFTER_MS) * spread,
            )
        if isinstance(end, TimedOut):
            if not self._may_have_run:
                message = "the time was over before the request could be sent"
                return Failure(Outcome.NOT_RUN, ErrorCode.DEADLINE, message, 503)
            message = "no answer arrived in time"
            return Failure(Outcome.UNKNOWN, ErrorCode.DEADLINE, message, 504)
        reason = end.reason if isinstance(end, (Broken, NotRun)) else "unknown"
        message = f"the endpoint gave no whole answer: {reason}"
        return Failure(Outcome.UNKNOWN, ErrorCode.ENDPOINT_FAILED, message, 502)

    @property
    def first_event_after_ms(self) -> float | None:
        """Return the time from the request to its first event."""
        if self._first_event_ms is None:
            return None
        return self._first_event_ms - self.began_ms

    def is_on_time(self) -> bool:
        """Return whether what has been answered met the route's targets."""
        if not self.route.is_stream:
            took_ms = self.context.clock.now_ms() - self.began_ms
            return took_ms <= self.route.target_ms
        first_ms = self.first_event_after_ms
        if first_ms is None or first_ms > self.route.target_ms:
            return False
        return not self.route.max_pause_ms or (
            self.longest_pause_ms <= self.route.max_pause_ms
        )

    @property
    def copied_from(self) -> str | None:
        """Return the address from which the last endpoint copied KV cache."""
        return None if self._fetch_from is None else str(self._fetch_from)

    @property
    def sends(self) -> int:
        """Return how often the request was sent."""
        return self._sends
