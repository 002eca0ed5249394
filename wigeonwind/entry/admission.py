"""Admission of callers' requests: identity, class, deadline, limits."""

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
from wigeonwind.entry.http_call import HttpCall
from wigeonwind.entry.replies import refusal
from wigeonwind.entry.request_response import AdmittedRequest
from wigeonwind.outcomes import ErrorCode, Failure, Ok

TIMEOUT_HEADER = "x-request-timeout-ms"
CLASS_HEADER = "x-request-class"

NO_CONFIGURATION_RETRY_AFTER_MS = 2000.0
"""A new entry finds the text at its peers within this time."""


@dataclass(frozen=True)
class RequestSpec:
    """What a request asks for, apart from who asks."""

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
    """A caller whose identity is known, with the catalog its request keeps."""

    directory: CustomerDirectory
    caller: Caller

    @property
    def catalog(self) -> Catalog:
        """Return the catalog under which the request is admitted."""
        return self.directory.catalog


class Admission:
    """The checks every request passes before work is spent on it."""

    def __init__(
        self, clock: Clock, limits: LimitDecisions, request_timeout_ms: float
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._request_timeout_ms = request_timeout_ms
        self._directory: CustomerDirectory | None = None
        self._key_index = KeyIndex()

    @property
    def has_catalog(self) -> bool:
        """Return whether a text is in force."""
        return self._directory is not None

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version for new requests; version 0 is no text at all."""
        if catalog.version == 0:
            return
        self._key_index.update(catalog.customer_by_name)
        self._directory = CustomerDirectory(catalog, self._key_index)
        self._limits.set_catalog(catalog)

    def identify(self, call: HttpCall) -> Ok[IdentifiedCaller] | Failure:
        """Find the caller's customer."""
        directory = self._directory
        if directory is None:
            message = "this entry has no configuration yet"
            return refusal(
                ErrorCode.NO_ENDPOINT, message, NO_CONFIGURATION_RETRY_AFTER_MS
            )
        found = identify(directory, call.header_by_name)
        if isinstance(found, Failure):
            return found
        return Ok(IdentifiedCaller(directory, found.value))

    def admit(
        self,
        call: HttpCall,
        identified: IdentifiedCaller,
        spec: RequestSpec,
        traceparent: str,
    ) -> Ok[AdmittedRequest] | Failure:
        """Admit one request; each admitted request must be given back by `end`."""
        requested_class = call.header_by_name.get(CLASS_HEADER, "")
        chosen = choose_class(
            identified.catalog, spec.service, identified.caller, requested_class
        )
        if isinstance(chosen, Failure):
            return chosen
        timeout = self._timeout_ms(call)
        if isinstance(timeout, Failure):
            return timeout
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
        """Give back the concurrency of an admitted request."""
        now_ms = self._clock.now_ms()
        self._limits.on_ended(request.customer, request.request_class.name, now_ms)

    def _check_limits(
        self, caller: Caller, request_class: RequestClass, spec: RequestSpec
    ) -> Failure | None:
        now_ms = self._clock.now_ms()
        checked = self._limits.check(
            caller.name, request_class.name, spec.prompt_tokens, now_ms
        )
        if isinstance(checked, Limited):
            message = f"over the limit {checked.limit}"
            return refusal(ErrorCode.RATE_LIMITED, message, checked.retry_after_ms)
        return None

    def _timeout_ms(self, call: HttpCall) -> Ok[float] | Failure:
        text = call.header_by_name.get(TIMEOUT_HEADER, "")
        if not text:
            return Ok(self._request_timeout_ms)
        if not (text.isascii() and text.isdigit() and len(text) < 12 and int(text) > 0):
            message = "X-Request-Timeout-Ms must be a whole number of milliseconds"
            return refusal(ErrorCode.BAD_REQUEST, message)
        return Ok(min(float(text), self._request_timeout_ms))
