"""Forwarding of one request: sends, retries, resumed streams and the response."""

from collections.abc import Callable
from dataclasses import dataclass

from wigeonwind.addresses import SocketAddress
from wigeonwind.decisions.interfaces import GiveUp, NoEndpoint, RetryCause
from wigeonwind.decisions.placement import Send
from wigeonwind.routing.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
)
from wigeonwind.routing.capacity_wait import wait_for_capacity
from wigeonwind.routing.endpoint_connection import ConnectFailure, EndpointConnection
from wigeonwind.routing.endpoints import Endpoint
from wigeonwind.routing.event_stream import EventSplitter
from wigeonwind.routing.final_failures import failure_for
from wigeonwind.routing.forwarding_context import ForwardingContext
from wigeonwind.routing.header_codec import ResponseMetadata, SendMetadata
from wigeonwind.routing.request_keys import request_keys
from wigeonwind.routing.request_quarantine import Admission
from wigeonwind.routing.response_limits import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_DISCARDED_RESPONSES,
    Reservation,
)
from wigeonwind.routing.response_parser import (
    BODYLESS_STATUSES,
    Response,
    has_head_within,
    keep_alive_ms,
)
from wigeonwind.routing.routed_request import RoutedRequest
from wigeonwind.routing.send_outcomes import (
    Broken,
    CallerDisconnected,
    Delivered,
    Failed,
    NotRun,
    Quarantined,
    SendOutcome,
    Stopped,
    TimedOut,
)
from wigeonwind.routing.send_window import SendWindow
from wigeonwind.routing.suspect_watch import SuspectWatch
from wigeonwind.runtime.loop_monitor import name_work

MAX_TRIED_ENDPOINTS = 6
"""Most endpoints that one request tries, whatever its route allows. Refusals and failed
connection attempts count."""

SILENCE_POLL_MS = 100.0
"""Interval of the check whether the endpoint of a repeatable request is silent."""

SILENCE_FACTOR = 3.0
"""Silence limit, as a multiple of the latency target: a repeatable request is sent to
another endpoint if the first one sends no data for so long. A live engine sends events
of other streams within that time."""

MIN_SILENCE_LIMIT_MS = 500.0
"""Lower bound of the silence limit; long prompts and slow links cause silences that are
shorter than this."""

BEGUN_SILENCE_LIMIT_MS = 1_500.0
"""Lower bound of the silence limit of an answer that has begun. A sound endpoint may be
silent for about a second; callers give up after two or more."""

MIN_TRIAL_WAIT_MS = 500.0
"""Least time for which a request waits while another one tries a suspect part of it."""

MISDIRECTED = 421
"""Status of an endpoint that is not the one which the request is for, as its address
has been given to another one (RFC 9110 section 15.5.20)."""

MAX_LOGGED_CHARS = 80

BUFFERS_FULL = "too many bytes of incomplete responses are buffered"

MIN_REMAINING_MS = 20.0
"""Time to the deadline below which a request is not sent, as no response could arrive
in time."""


OpenSendWindow = Callable[[RoutedRequest, float, float], SendWindow]
"""Returns the send window of a request from its arrival and deadline, clock readings in
milliseconds."""


@dataclass(frozen=True, slots=True)
class _Destination:
    """The endpoint of the next send.

    `fetch_from` is the endpoint whose KV cache of the prompt is copied first, None
    without a copy.
    """

    endpoint: Endpoint
    fetch_from: Endpoint | None


class Exchange:
    """Forwards one request to endpoints and the response to its caller."""

    def __init__(
        self,
        context: ForwardingContext,
        caller: CallerConnection,
        routed: RoutedRequest,
        open_send_window: OpenSendWindow,
    ) -> None:
        self.context = context
        self.caller = caller
        self.routed = routed
        self.metadata = metadata = routed.metadata
        self.route = route = routed.route
        self.started_ms = context.clock.now_ms()
        self.deadline_ms = self.started_ms + routed.timeout_ms
        self._send_window = open_send_window(routed, self.started_ms, self.deadline_ms)
        self.service = context.pick_service(route)
        self.placement_request = context.placement_request_of(
            self.service, routed.engine_priority, metadata, route
        )
        self.keys = request_keys(self.service, routed.request, metadata)
        """Keys of the parts of the request, see `request_keys`."""
        self._watch = SuspectWatch(
            context.clock,
            context.quarantine,
            self.service,
            metadata.request_id,
            self.keys,
        )
        self._events = EventSplitter(metadata.last_event_id)
        self._first_event_ms: float | None = None
        self._last_event_ms = 0.0
        self._last_data_ms = 0.0
        """When the last send began, or its endpoint has last sent bytes."""
        self.longest_pause_ms = 0.0
        self._tried_keys: set[str] = set()
        self._sends = 0
        self._endpoints_sent_to = 0
        self._may_have_run = False
        """Whether the request may have run, in the last send or an earlier one."""
        self._may_have_run_earlier = False
        """Whether the request may have run in a send before the last one."""
        self._refusal_reason = ""
        """Reason of the last refusal, empty without one."""
        self.last_endpoint_id = ""
        self._connection: EndpointConnection | None = None
        """The connection of the send, None once it is back in the pool."""
        self._fetch_from: SocketAddress | None = None
        self.waited_ms: int | None = None
        """Time from the arrival of the request to its first send, None if not sent."""
        self.expected_ms: int | None = None
        """Time to the first event that was estimated for the last send."""
        self._last_failure: Failed | None = None
        self._retry_decided_ms: float | None = None
        """When the budget was asked for the next send, None if that is no retry."""
        self._is_stopped = False
        """Whether the process has reached the end of a planned stop."""

    def run(self) -> None:
        """Send the request until there is a response or no further send is allowed."""
        try:
            self._run()
        finally:
            self._watch.end_trial("unfinished")

    def _run(self) -> None:
        self.caller.on_disconnect = self._on_caller_disconnect
        self.context.retry_policy_of(self.service).on_request(self.started_ms)
        outcome: SendOutcome = TimedOut()
        while True:
            if self.caller.is_disconnected:
                outcome = CallerDisconnected()
                break
            admission = self._admit()
            if isinstance(admission, Quarantined):
                outcome = self._last_failure or admission
                break
            if self.caller.is_disconnected:
                continue
            if self._is_stopped or self._send_window.is_over:
                break
            if admission.trial_at is None:
                if not self._wait_for_capacity():
                    outcome = NotRun("no engine has capacity for long prompts", False)
                    break
                is_free = self.context.quarantine.is_free_of_suspects(self.keys)
                if self._send_window.is_over or not is_free:
                    continue
            destination = self._choose(admission)
            if isinstance(destination, NoEndpoint):
                outcome = self._outcome_without_endpoint(destination)
                break
            endpoint = destination.endpoint
            if not self._confirm_retry():
                outcome = self._outcome_without_endpoint(
                    NoEndpoint("the retry budget is exhausted", 0.0)
                )
                break
            outcome = self._send_to(destination)
            if not self._should_retry(endpoint, outcome):
                break
        self._finish(outcome)

    def _admit(self) -> Admission | Quarantined:
        """Wait until the request may be sent with regard to suspect parts."""
        wait_ms = max(self.route.target_ms, MIN_TRIAL_WAIT_MS)
        return self._watch.admit(
            self._tried_keys,
            min(self.started_ms + wait_ms, self.deadline_ms - MIN_REMAINING_MS),
            self._must_end_wait,
        )

    def _wait_for_capacity(self) -> bool:
        """Wait for an engine with capacity; return False if that takes too long."""
        return wait_for_capacity(
            self.context,
            self.placement_request,
            self.started_ms,
            self.deadline_ms - MIN_REMAINING_MS,
            frozenset(self._tried_keys),
            self._must_end_wait,
        )

    def _must_end_wait(self) -> bool:
        if self.caller.is_disconnected or self._is_stopped:
            return True
        return not (self._may_have_run or self._send_window.check_in_wait())

    def _may_send(self) -> bool:
        """Return whether a planned stop allows a send now.

        One that may have run is always allowed, as it can't be refused as not run.
        """
        return self._may_have_run or self._send_window.check()

    def _choose(self, admission: Admission) -> _Destination | NoEndpoint:
        if admission.trial_at is not None:
            return _Destination(admission.trial_at, None)
        now_ms = self.context.clock.now_ms()
        exclude = frozenset(self._tried_keys)
        while True:
            chosen = self.context.chooser.choose(
                self.placement_request, now_ms, exclude
            )
            if isinstance(chosen, NoEndpoint):
                return chosen
            endpoint = self.context.endpoints.get(chosen.endpoint_id)
            if endpoint is not None:
                source = self.context.endpoints.get(chosen.fetch_from or "")
                return _Destination(endpoint, source)
            exclude |= {chosen.endpoint_id}

    def _confirm_retry(self) -> bool:
        """Return whether a retry that has waited is still within the budget."""
        decided_ms, self._retry_decided_ms = self._retry_decided_ms, None
        if decided_ms is None:
            return True
        policy = self.context.retry_policy_of(self.service)
        return policy.confirm(decided_ms, self.context.clock.now_ms())

    def _outcome_without_endpoint(self, no_endpoint: NoEndpoint) -> SendOutcome:
        if self._last_failure is not None:
            return self._last_failure
        if self._may_have_run:
            return Broken(self._refusal_reason or no_endpoint.reason)
        return NotRun(self._refusal_reason or no_endpoint.reason, was_sent=False)

    def _on_caller_disconnect(self) -> None:
        """Close the connection of the send, which cancels the request at the endpoint.

        A request that may run only once and is not a stream is left to complete.
        """
        if self._cancels_on_disconnect():
            self._close_connection()

    def end_by_stop(self) -> None:
        """Let the exchange send its final response now, as the process is to exit."""
        self._is_stopped = True
        self.deadline_ms = min(self.deadline_ms, self.context.clock.now_ms())
        self._close_connection()

    def _close_connection(self) -> None:
        """Close the connection of the send, unless another request may use it."""
        if self._connection is not None:
            self._connection.close()

    def respond_by_stop(self) -> None:
        """Send the final response of an exchange that `end_by_stop` did not wake.

        It may still be opening a connection.
        """
        if self.caller.head_sent or self.caller.is_disconnected:
            return
        self._may_have_run = self._may_have_run or self._connection is not None
        try:
            self._send_failure(Stopped())
        except CallerDisconnectedError:
            pass

    def _cancels_on_disconnect(self) -> bool:
        return self.route.is_repeatable or self.route.is_stream

    def _send_to(self, destination: _Destination) -> SendOutcome:
        """Send the request to one endpoint and relay its response."""
        outcome: SendOutcome = Broken("the exchange was interrupted")
        try:
            outcome = self._send_once(destination)
        finally:
            is_broken = isinstance(outcome, Broken)
            self._watch.end_trial("broken" if is_broken else "unfinished")
        return outcome

    def _send_once(self, destination: _Destination) -> SendOutcome:
        endpoint = destination.endpoint
        self.last_endpoint_id = endpoint.instance_id
        connection = self._connect(endpoint)
        if isinstance(connection, ConnectFailure):
            self._tried_keys.add(endpoint.key)
            self.context.quarantine.monitor.on_connect_failure(endpoint, connection)
            now_ms = self.context.clock.now_ms()
            self.context.chooser.on_unreachable(endpoint.key, now_ms)
            return NotRun(f"connection failed: {connection.reason}", was_sent=False)
        self._connection = connection
        now_ms = self.context.clock.now_ms()
        remaining_ms = self.deadline_ms - now_ms
        if self.caller.is_disconnected or remaining_ms < MIN_REMAINING_MS:
            connection.close()
            return CallerDisconnected() if self.caller.is_disconnected else TimedOut()
        if not self._may_send():
            connection.close()
            return Stopped()
        if self.waited_ms is None:
            self.waited_ms = round(now_ms - self.started_ms)
        source = destination.fetch_from
        self._fetch_from = None if source is None else source.address
        send = self.context.chooser.on_sent(
            endpoint.key,
            self.placement_request,
            now_ms,
            None if source is None else source.key,
        )
        self.expected_ms = round(send.expected_ms)
        self._sends += 1
        self._last_data_ms = now_ms
        self._watch.on_sent(endpoint, self._close_connection)
        name_work(f"request {self.metadata.request_id} at {endpoint.instance_id}")
        outcome: SendOutcome = Broken("the exchange was interrupted")
        try:
            outcome = self._send_and_relay(connection, send, remaining_ms)
        except CallerDisconnectedError:
            outcome = CallerDisconnected()
        finally:
            self._record_outcome(send, outcome)
            is_lost = isinstance(outcome, Broken) and not self._is_stopped
            unanswered = self._watch.end_send(is_lost)
            if not isinstance(outcome, (Delivered, Failed, NotRun)):
                self._close_connection()
            self._connection = None
        if unanswered is not None and unanswered.was_aborted:
            return Broken("given up: a part of the request crashes endpoints")
        if connection.is_lost and is_lost:
            self._watch.check_endpoint(endpoint, unanswered)
        return outcome

    def _connect(self, endpoint: Endpoint) -> EndpointConnection | ConnectFailure:
        idle = self.context.pool.acquire_idle(endpoint, self.metadata.request_id)
        if idle is not None:
            return idle
        connection = self.context.pool.open(endpoint)
        if isinstance(connection, EndpointConnection):
            self.context.quarantine.monitor.on_connected(endpoint)
        return connection

    def _record_outcome(self, send: Send, outcome: SendOutcome) -> None:
        chooser, now_ms = self.context.chooser, self.context.clock.now_ms()
        if isinstance(outcome, NotRun):
            chooser.on_refused(send, now_ms)
            return
        failed = isinstance(outcome, (Broken, Failed)) and not self._is_stopped
        chooser.on_ended(send, not failed, now_ms)

    def _send_and_relay(
        self, connection: EndpointConnection, send: Send, remaining_ms: float
    ) -> SendOutcome:
        """Write the request, then read responses until the one that belongs to it."""
        if self.caller.head_sent and not self._can_resume():
            return Broken("the stream that has begun cannot be resumed")
        connection.request_ids.append(self.metadata.request_id)
        try:
            connection.send(
                self._request_bytes(connection.endpoint, remaining_ms), remaining_ms
            )
        except OSError as error:
            if self.caller.is_disconnected:
                return CallerDisconnected()
            # An endpoint may respond and close before it has read the whole request.
            self._may_have_run = True
            connection.is_lost = True
            has_answer = connection.has_unread_data()
            self.context.log.info(
                "request not sent in full",
                request_id=self.metadata.request_id,
                endpoint=connection.endpoint.instance_id,
                error=str(error),
                has_answer=has_answer,
            )
            if not has_answer:
                return Broken(f"request not sent in full: {error}")
        self._may_have_run = True
        for _ in range(MAX_DISCARDED_RESPONSES + 1):
            response = self._next_response(connection, send)
            if not isinstance(response, Response):
                return response
            metadata = self._read_head(connection, response)
            if self._matches_request(metadata):
                return self._relay_response(connection, send, response, metadata)
            if not metadata.request_id:
                return Broken("response without a request id")
            connection.has_sent_foreign_response = True
            self.context.log.info(
                "discarded the response to another request",
                request_id=self.metadata.request_id,
                endpoint=connection.endpoint.instance_id,
                answer_of=metadata.request_id,
            )
            outcome = self._discard_response(connection, send, response)
            if outcome is not None:
                return outcome
        return Broken(
            f"more than {MAX_DISCARDED_RESPONSES} responses to other requests"
        )

    def _read_head(
        self, connection: EndpointConnection, response: Response
    ) -> ResponseMetadata:
        """Decode the head of a response, and note whether its endpoint leaves."""
        metadata = self.context.header_codec.decode_response_headers(response.headers)
        # Another endpoint has answered 421, which uses the address now.
        if response.status != MISDIRECTED:
            self._note_announcement(connection.endpoint, metadata)
        return metadata

    def _note_announcement(
        self, endpoint: Endpoint, metadata: ResponseMetadata
    ) -> None:
        if metadata.is_leaving:
            self.context.endpoints.on_leaving_announced(endpoint)
        elif metadata.odd_announcement:
            self.context.log.warning(
                "ignored an announcement that says nothing known",
                endpoint=endpoint.instance_id,
                value=metadata.odd_announcement[:MAX_LOGGED_CHARS],
            )

    def _can_resume(self) -> bool:
        """Return whether a new run can go on after what the caller has received."""
        return self.route.is_stream and self._events.can_resume

    def _matches_request(self, metadata: ResponseMetadata) -> bool:
        """Return whether a response belongs to the request.

        One without the request id may be the repeated refusal of another request,
        also as the first response on a connection.
        """
        return metadata.request_id == self.metadata.request_id

    def _discard_response(
        self, connection: EndpointConnection, send: Send, response: Response
    ) -> SendOutcome | None:
        limit = connection.received_bytes + MAX_BUFFERED_BODY_BYTES
        while not response.is_complete:
            response.take_body()
            if connection.received_bytes > limit:
                return Broken("a response to another request is too long")
            outcome = self._receive_body(connection, send, response)
            if outcome is not None:
                return outcome
        return None

    def _receive_body(
        self, connection: EndpointConnection, send: Send, response: Response
    ) -> SendOutcome | None:
        """Receive the next bytes; return an outcome if the body stays incomplete."""
        outcome = self._receive(connection, send)
        return None if response.is_complete else outcome

    def _request_bytes(self, endpoint: Endpoint, remaining_ms: float) -> bytes:
        request, metadata = self.routed.request, self.metadata
        last_event_id = self._events.last_id if self.route.is_stream else None
        customer = self.routed.customer
        priority = (
            self.placement_request.priority
            if self.placement_request.is_generation
            else None
        )
        send_metadata = SendMetadata(
            remaining_ms,
            endpoint.instance_id,
            priority,
            None if customer is None else customer.name,
            last_event_id,
            self._fetch_from,
        )
        head = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
        head += self.context.header_codec.encode_request_headers(
            metadata, send_metadata
        )
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            head += b"Content-Length: %d\r\n" % len(request.body)
        return head + b"\r\n" + request.body

    def _next_response(
        self, connection: EndpointConnection, send: Send
    ) -> Response | SendOutcome:
        while not connection.parser.responses:
            outcome = self._receive(connection, send)
            if outcome is not None and not connection.parser.responses:
                return outcome
        return connection.parser.responses.popleft()

    def _receive(
        self, connection: EndpointConnection, send: Send
    ) -> SendOutcome | None:
        """Receive the next bytes; return an outcome if no more can be received."""
        clock = self.context.clock
        while True:
            remaining_ms = self.deadline_ms - clock.now_ms()
            if remaining_ms <= 0.0:
                return TimedOut()
            wait_ms = remaining_ms
            if self.route.is_repeatable:
                wait_ms = min(remaining_ms, SILENCE_POLL_MS)
            try:
                data = connection.receive(wait_ms)
            except TimeoutError:
                if wait_ms < remaining_ms and self._should_abandon(connection.endpoint):
                    return Broken("no data from the endpoint within the silence limit")
                continue
            except OSError as error:
                if self.caller.is_disconnected:
                    return CallerDisconnected()
                connection.is_lost = True
                return Broken(f"connection lost: {error}")
            self._last_data_ms = clock.now_ms()
            self.context.chooser.on_received(send, self._last_data_ms)
            if not data:
                connection.is_closed_by_endpoint = True
                connection.is_lost = True
                if connection.has_write_failed:
                    return Broken("the connection ended while the request was sent")
                connection.parser.feed_end()
                return Broken("the endpoint closed the connection too early")
            connection.parser.feed(data)
            for headers in connection.parser.take_interim_heads():
                interim = self.context.header_codec.decode_response_headers(headers)
                self._note_announcement(connection.endpoint, interim)
            if connection.parser.error:
                return Broken(connection.parser.error)
            return None

    def _should_abandon(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is silent and the request can be sent elsewhere.

        Otherwise the request waits: a sound endpoint may go on after a silence.
        """
        limit_ms = max(MIN_SILENCE_LIMIT_MS, SILENCE_FACTOR * self.route.target_ms)
        if self.caller.head_sent:
            # A stop must not cut an answer whose endpoint may still be at work, and
            # the other endpoint may refuse.
            if self._send_window.is_in_stop or not self._can_resume():
                return False
            limit_ms = max(limit_ms, BEGUN_SILENCE_LIMIT_MS)
        now_ms = self.context.clock.now_ms()
        # The chooser knows nothing of an endpoint that has left the candidates.
        silence_ms = min(
            self.context.chooser.silence_ms(endpoint.key, now_ms),
            now_ms - self._last_data_ms,
        )
        return silence_ms > limit_ms and self._can_send_elsewhere(endpoint, now_ms)

    def _can_send_elsewhere(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Return whether the budgets and the other endpoints allow one more send."""
        if self._endpoints_sent_to + 1 >= self.route.max_endpoints:
            return False
        if len(self._tried_keys) + 1 >= MAX_TRIED_ENDPOINTS or not self._may_send():
            return False
        if not self.context.retry_policy_of(self.service).has_budget(now_ms):
            return False
        return any(
            each.service == self.service
            and each.key != endpoint.key
            and each.key not in self._tried_keys
            for each in self.context.endpoints.all()
        )

    def _relay_response(
        self,
        connection: EndpointConnection,
        send: Send,
        response: Response,
        metadata: ResponseMetadata,
    ) -> SendOutcome:
        is_success = 200 <= response.status < 300
        if is_success and (not metadata.is_signed or metadata.is_encoded):
            return Broken("success response that is unsigned or has a content encoding")
        if is_success and metadata.was_not_run:
            return Broken("success response that says that the request was not run")
        has_body = response.status not in BODYLESS_STATUSES
        if is_success and has_body and metadata.is_event_stream:
            return self._relay_stream(connection, send, response, metadata)
        body = self._read_full_body(connection, send, response)
        if not isinstance(body, bytes):
            return body
        self.context.chooser.on_started(send, self.context.clock.now_ms())
        is_misdirected = response.status == MISDIRECTED
        if metadata.was_not_run or is_misdirected:
            self._release_connection(connection, response)
            reason = f"the endpoint answered {response.status}"
            return NotRun(reason, was_sent=True, is_misdirected=is_misdirected)
        if not metadata.is_signed:
            return Broken(f"unsigned response with status {response.status}")
        if response.ends_with_head:
            return Broken("the endpoint closed the connection after the head")
        if connection.parser.error and has_head_within(body):
            # The bytes that follow are the rest of the body.
            return Broken("another response within the body of a response")
        response.body.append(body)
        self._release_connection(connection, response)
        if response.status >= 500:
            return Failed(response, metadata)
        if is_success:
            self._watch.on_answer_complete(response.is_ended_by_close)
        return self._deliver(response, metadata)

    def _deliver(self, response: Response, metadata: ResponseMetadata) -> SendOutcome:
        if self.caller.head_sent:
            return Broken(f"resuming the stream failed with status {response.status}")
        status, body = response.status, response.take_body()
        self.caller.send_response(
            status, response.reason, metadata.forwarded_headers, body
        )
        return Delivered(status)

    def _read_full_body(
        self, connection: EndpointConnection, send: Send, response: Response
    ) -> bytes | SendOutcome:
        body = bytearray()
        with Reservation(self.context.buffer_budget) as buffered:
            while True:
                body += response.take_body()
                if not buffered.resize(len(body)):
                    return Broken(BUFFERS_FULL)
                if len(body) > MAX_BUFFERED_BODY_BYTES:
                    return Broken(f"response body over {MAX_BUFFERED_BODY_BYTES} bytes")
                if response.is_complete:
                    return bytes(body)
                outcome = self._receive_body(connection, send, response)
                if outcome is not None:
                    return outcome

    def _relay_stream(
        self,
        connection: EndpointConnection,
        send: Send,
        response: Response,
        metadata: ResponseMetadata,
    ) -> SendOutcome:
        """Relay complete events as they arrive, then the end of the stream."""
        self._events.begin_run()
        with Reservation(self.context.buffer_budget) as partial_event:
            while True:
                try:
                    events = self._events.feed(response.take_body())
                except ValueError as error:
                    return Broken(str(error))
                if events:
                    self._relay_events(send, response, metadata, events)
                if self._events.error:
                    return Broken(self._events.error)
                if response.is_complete:
                    break
                if not partial_event.resize(self._events.partial_bytes):
                    self._events.discard_partial_event()
                    return Broken(BUFFERS_FULL)
                outcome = self._receive_body(connection, send, response)
                if outcome is not None:
                    return outcome
        return self._end_stream(connection, response, metadata)

    def _end_stream(
        self,
        connection: EndpointConnection,
        response: Response,
        metadata: ResponseMetadata,
    ) -> SendOutcome:
        if self._events.has_partial_event:
            return Broken("the stream ended with a partial event")
        if response.ends_with_head:
            return Broken("the endpoint closed the connection after the head")
        if not self.caller.head_sent:
            self.caller.send_head(
                response.status, response.reason, metadata.forwarded_headers, b""
            )
        self.caller.finish_body()
        self._watch.on_answer_complete(response.is_ended_by_close)
        self._release_connection(connection, response)
        return Delivered(response.status)

    def _relay_events(
        self, send: Send, response: Response, metadata: ResponseMetadata, events: bytes
    ) -> None:
        now_ms = self.context.clock.now_ms()
        if not send.is_started:
            self.context.chooser.on_started(send, now_ms)
        self._watch.on_events()
        if self._first_event_ms is None:
            self._first_event_ms = now_ms
        else:
            pause_ms = now_ms - self._last_event_ms
            self.context.chooser.on_event_gap(send, pause_ms)
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_event_ms = now_ms
        if self.caller.head_sent:
            self.caller.send_chunk(events)
        else:
            status, reason = response.status, response.reason
            self.caller.send_head(status, reason, metadata.forwarded_headers, events)

    def _release_connection(
        self, connection: EndpointConnection, response: Response
    ) -> None:
        """Return the connection to the pool, or close it if it cannot be reused.

        It cannot if the endpoint has sent a response to another request, if bytes
        follow the response, if the request was not sent in full, or if the endpoint
        closes the connection.
        """
        parser = connection.parser
        is_clean = not (parser.responses or parser.has_partial_message or parser.error)
        is_clean = is_clean and not connection.has_sent_foreign_response
        is_clean = is_clean and not connection.has_write_failed
        self._connection = None
        if is_clean and parser.keeps_alive and not connection.is_closed_by_endpoint:
            self.context.pool.release(connection, keep_alive_ms(response))
        else:
            connection.close()

    def _should_retry(self, endpoint: Endpoint, outcome: SendOutcome) -> bool:
        """Record the outcome of a send and return whether to send the request again."""
        if isinstance(outcome, (Delivered, TimedOut, CallerDisconnected, Stopped)):
            return False
        self._tried_keys.add(endpoint.key)
        if isinstance(outcome, NotRun):
            self._refusal_reason = outcome.reason
            if outcome.is_misdirected:
                self.context.endpoints.on_misdirected(endpoint)
            self._may_have_run = self._may_have_run_earlier
            certainly_not_run, cause = True, RetryCause.REFUSED
            if not outcome.was_sent:
                return self._may_retry(
                    outcome, certainly_not_run, cause, uses_budget=False
                )
        else:
            self._may_have_run_earlier = True
            certainly_not_run, cause = False, RetryCause.FAILED
            if isinstance(outcome, Failed):
                self._last_failure = outcome
        if not (isinstance(outcome, NotRun) and outcome.is_misdirected):
            self._endpoints_sent_to += 1
        return self._may_retry(outcome, certainly_not_run, cause, uses_budget=True)

    def _may_retry(
        self,
        outcome: SendOutcome,
        certainly_not_run: bool,
        cause: RetryCause,
        uses_budget: bool,
    ) -> bool:
        now_ms = self.context.clock.now_ms()
        remaining_ms = self.deadline_ms - now_ms
        if self.caller.is_disconnected or remaining_ms < MIN_REMAINING_MS:
            return False
        if len(self._tried_keys) >= MAX_TRIED_ENDPOINTS:
            return False
        if self._endpoints_sent_to >= self.route.max_endpoints:
            return False
        if self._may_have_run_earlier and not self.route.is_repeatable:
            return False
        if not self._may_send():
            return False
        if not uses_budget:
            return True
        repeatable = self.route.is_repeatable
        decision = self.context.retry_policy_of(self.service).decide(
            self._endpoints_sent_to - 1,
            certainly_not_run,
            repeatable,
            remaining_ms,
            now_ms,
            cause,
        )
        self.context.on_retry(self, outcome, decision)
        if isinstance(decision, GiveUp):
            return False
        self._retry_decided_ms = now_ms
        return True

    def _finish(self, outcome: SendOutcome) -> None:
        """Respond to the caller unless that was done, and report the final outcome."""
        context = self.context
        is_stopped = self._is_stopped or self._send_window.is_over
        if is_stopped and not isinstance(
            outcome, (CallerDisconnected, Delivered, Failed)
        ):
            outcome = Stopped()
        try:
            if isinstance(outcome, Failed):
                outcome = self._deliver(outcome.response, outcome.metadata)
            if not isinstance(outcome, (Delivered, CallerDisconnected)):
                self._send_failure(outcome)
        except CallerDisconnectedError:
            # `abort` raises this error as well; then the caller has not disconnected.
            if not self.caller.was_aborted:
                outcome = CallerDisconnected()
        context.on_outcome(self, outcome)

    def _send_failure(self, outcome: SendOutcome) -> None:
        if self.caller.head_sent:
            self.caller.abort()
        failure = failure_for(
            outcome,
            self._may_have_run,
            self._may_have_run_earlier,
            self.placement_request.is_long,
            self.context.rng,
        )
        headers = self.context.header_codec.local_response_headers(
            self.metadata.request_id
        )
        self.caller.send_failure(failure, self.metadata.request_id, headers)

    @property
    def first_event_after_ms(self) -> float | None:
        """Return the time from the request to its first event, None without one."""
        if self._first_event_ms is None:
            return None
        return self._first_event_ms - self.started_ms

    def is_on_time(self) -> bool:
        """Return whether the response so far has met the targets of the route."""
        if not self.route.is_stream:
            took_ms = self.context.clock.now_ms() - self.started_ms
            return took_ms <= self.route.target_ms
        first_ms = self.first_event_after_ms
        if first_ms is None or first_ms > self.route.target_ms:
            return False
        return not self.route.max_pause_ms or (
            self.longest_pause_ms <= self.route.max_pause_ms
        )

    @property
    def copied_from(self) -> str | None:
        """Return the address from which the last endpoint was to copy KV cache."""
        return None if self._fetch_from is None else str(self._fetch_from)

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run the request."""
        return self._may_have_run

    @property
    def sends(self) -> int:
        """Return the number of sends."""
        return self._sends
