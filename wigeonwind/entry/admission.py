"""Admission control: identity, request class, deadline and limits of a request."""

from dataclasses import dataclass

from wigeonwind.catalog import Catalog, RequestClass, Service
from wigeonwind.clock import Clock
from wigeonwind.decisions.interfaces import LimitDecisions, Limited
from wigeonwind.entry.caller_identity import (
    Caller,
    CustomerDirectory,
    KeyIndex,
    choose_class,
    identify,
)
from wigeonwind.entry.drain_times import DrainTimes
from wigeonwind.entry.http_call import HttpCall
from wigeonwind.entry.replies import refusal, stopping_refusal
from wigeonwind.entry.request_durations import RequestDurations, RequestKind
from wigeonwind.entry.request_response import AdmittedRequest
from wigeonwind.outcomes import ErrorCode, Failure, Ok

TIMEOUT_HEADER = "x-request-timeout-ms"
CLASS_HEADER = "x-request-class"

NO_CONFIGURATION_RETRY_AFTER_MS = 2000.0
"""A new entry receives the configuration from its peers within this time."""


@dataclass(frozen=True)
class RequestSpec:
    """What a request asks for, independent of the customer that sent it.

    The fields have the meaning of those of AdmittedRequest.
    """

    service: Service
    path: str
    headers: list[list[str]]
    stream: bool
    prompt_tokens: int
    model: str = ""
    prefix_keys: tuple[int, ...] = ()
    endpoint_deduplicates: bool = False


@dataclass(frozen=True)
class IdentifiedCaller:
    """An identified caller and the directory of the catalog for its request."""

    directory: CustomerDirectory
    caller: Caller

    @property
    def catalog(self) -> Catalog:
        """Return the catalog that the request is admitted with."""
        return self.directory.catalog


class Admission:
    """Checks every request before it is dispatched."""

    def __init__(
        self,
        clock: Clock,
        limits: LimitDecisions,
        request_timeout_ms: float,
        drain_times: DrainTimes,
        durations: RequestDurations,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._request_timeout_ms = request_timeout_ms
        self._drain_times = drain_times
        self._durations = durations
        self._directory: CustomerDirectory | None = None
        self._key_index = KeyIndex()

    @property
    def has_catalog(self) -> bool:
        """Return whether the entry has a configuration."""
        return self._directory is not None

    def set_catalog(self, catalog: Catalog) -> None:
        """Use `catalog` for new requests; version 0 means that there is none yet."""
        if catalog.version == 0:
            return
        self._key_index.update(catalog.customer_by_name)
        self._directory = CustomerDirectory(catalog, self._key_index)
        self._limits.set_catalog(catalog)

    def identify(self, call: HttpCall) -> Ok[IdentifiedCaller] | Failure:
        """Identify the customer that sent the request."""
        directory = self._directory
        if directory is None:
            message = "this entry has not received its configuration yet"
            return refusal(
                ErrorCode.NO_ENDPOINT, message, NO_CONFIGURATION_RETRY_AFTER_MS
            )
        caller = identify(directory, call.header_by_name)
        if isinstance(caller, Failure):
            return caller
        return Ok(IdentifiedCaller(directory, caller.value))

    def admit(
        self,
        call: HttpCall,
        identified: IdentifiedCaller,
        spec: RequestSpec,
        traceparent: str,
    ) -> Ok[AdmittedRequest] | Failure:
        """Admit one request; the caller must pass it to `end` when it has ended.

        It is refused if its class, its timeout or a limit of its customer forbids it,
        or if the drain of the entry leaves no time for it.
        """
        requested_class = call.header_by_name.get(CLASS_HEADER, "")
        chosen = choose_class(
            identified.catalog, spec.service, identified.caller, requested_class
        )
        if isinstance(chosen, Failure):
            return chosen
        timeout = self._timeout_ms(call)
        if isinstance(timeout, Failure):
            return timeout
        if not self._has_time(spec, chosen.value, timeout.value):
            return stopping_refusal()
        limited = self._check_limits(identified.caller, chosen.value, spec)
        if limited is not None:
            return limited
        deadline_ms = self._clock.now_ms() + timeout.value
        request = AdmittedRequest(
            call.request_id,
            identified.catalog,
            spec.service,
            chosen.value,
            identified.caller.name,
            call.method,
            spec.path,
            spec.headers,
            call.body,
            spec.stream,
            spec.prompt_tokens,
            deadline_ms,
            spec.model,
            spec.prefix_keys,
            traceparent,
            spec.endpoint_deduplicates,
        )
        return Ok(request)

    def end(self, request: AdmittedRequest) -> None:
        """Release the concurrency slot of an admitted request."""
        now_ms = self._clock.now_ms()
        self._limits.on_ended(request.customer, request.request_class.name, now_ms)

    def _has_time(
        self, spec: RequestSpec, request_class: RequestClass, timeout_ms: float
    ) -> bool:
        """Return whether a drain leaves the time that the request is expected to take.

        A request with a shorter timeout of its own ends with that.
        """
        if not self._drain_times.is_draining:
            return True
        kind = RequestKind(spec.service.name, request_class.name, spec.stream)
        needed_ms = min(self._durations.expected_ms(kind), timeout_ms)
        return needed_ms < self._drain_times.ending_in_ms()

    def _check_limits(
        self, caller: Caller, request_class: RequestClass, spec: RequestSpec
    ) -> Failure | None:
        now_ms = self._clock.now_ms()
        checked = self._limits.check(
            caller.name, request_class.name, spec.prompt_tokens, now_ms
        )
        if isinstance(checked, Limited):
            message = f"limit exceeded: {checked.limit}"
            return refusal(ErrorCode.RATE_LIMITED, message, checked.retry_after_ms)
        return None

    def _timeout_ms(self, call: HttpCall) -> Ok[float] | Failure:
        timeout_text = call.header_by_name.get(TIMEOUT_HEADER, "")
        if not timeout_text:
            return Ok(self._request_timeout_ms)
        if not (
            timeout_text.isascii()
            and timeout_text.isdigit()
            and len(timeout_text) < 12
            and int(timeout_text) > 0
        ):
            message = (
                "X-Request-Timeout-Ms must be a positive whole number of milliseconds"
            )
            return refusal(ErrorCode.BAD_REQUEST, message)
        return Ok(min(float(timeout_text), self._request_timeout_ms))
