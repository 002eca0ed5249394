"""The entry's fields of `/admin/status`: `classes` and `endpoints`."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from wigeonwind.decisions.interfaces import EndpointInfo, ReportedLoad
from wigeonwind.entry.recent_outcomes import RecentOutcomes

EndpointRow = tuple[EndpointInfo, ReportedLoad | None, bool]
"""An endpoint, its last load report and whether it is ejected."""


def entry_status(recent: RecentOutcomes, rows: Iterable[EndpointRow]) -> dict[str, Any]:
    """Return `classes`, counted at this entry in the last minute, and `endpoints`.

    `queue` of a class counts the attempts queued at the endpoints that this entry uses,
    including those of other entries.
    """
    rows = list(rows)
    waiting: Counter[str] = Counter()
    for _, load, _ in rows:
        if load is not None:
            waiting.update(dict(load.waiting_by_class))
    counts = recent.rows_by_class()
    empty: dict[str, Any] = {"whole": 0, "refused": 0, "failed": 0, "attainment": None}
    names = sorted({*counts, *waiting})
    classes = [
        {"class": name, "queue": waiting[name], **counts.get(name, empty)}
        for name in names
    ]
    return {"classes": classes, "endpoints": [_endpoint(*row) for row in rows]}


def _endpoint(
    info: EndpointInfo, load: ReportedLoad | None, ejected: bool
) -> dict[str, Any]:
    return {
        "endpoint": info.endpoint_id,
        "service": info.service,
        "zone": info.zone,
        "ready": load is not None and load.ready,
        "running": load.running if load else None,
        "slots": load.slots if load else None,
        "waiting": sum(count for _, count in load.waiting_by_class) if load else None,
        "ms_per_token": round(load.ms_per_token, 1) if load else None,
        "ejected": ejected,
    }
