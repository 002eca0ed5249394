"""Finds running attempts that can no longer meet their target (`finish_late = no`)."""

from collections.abc import Iterable, Iterator

from wigeonwind.catalog import Catalog, RequestClass, TargetKind
from wigeonwind.side.attempt_table import Attempt


def attempts_past_target(
    attempts: Iterable[Attempt], catalog: Catalog, now_ms: float
) -> Iterator[Attempt]:
    """Yield attempts of a class with `finish_late = no` that have missed its target."""
    class_by_name = {
        name: request_class
        for name, request_class in catalog.class_by_name.items()
        if not request_class.finish_late
    }
    if not class_by_name:
        return
    for attempt in attempts:
        request_class = class_by_name.get(attempt.spec.class_name)
        if request_class is not None and _has_missed_target(
            attempt, request_class, now_ms
        ):
            yield attempt


def _has_missed_target(
    attempt: Attempt, request_class: RequestClass, now_ms: float
) -> bool:
    """Return whether the attempt can no longer meet the target of its class.

    The mean time between tokens can recover until the last token, so that target is
    never missed before the end. Calls to plain services are not cancelled, as it would
    be unknown whether they took effect.
    """
    if not attempt.spec.may_pause or attempt.is_booking:
        return False
    target = request_class.target
    is_past_limit = now_ms - attempt.spec.arrived_ms > target.limit_ms
    if target.kind is TargetKind.FIRST_TOKEN:
        has_token = attempt.first_token_ms is not None or attempt.spec.resume_tokens > 0
        return is_past_limit and not has_token
    return is_past_limit and target.kind is TargetKind.WHOLE
