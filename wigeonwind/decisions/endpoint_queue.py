"""The queue of one endpoint: order, admission and slots."""

from collections import deque
from collections.abc import Iterator
from random import Random

from wigeonwind.catalog import Catalog
from wigeonwind.decisions.interfaces import (
    Admitted,
    ExpireWork,
    QueueAction,
    QueueReport,
    Rejected,
    StartWork,
    WorkItem,
    WorkKey,
)
from wigeonwind.outcomes import ErrorCode


class EndpointQueue:
    """Strict priority by class, first come first served within a class."""

    def __init__(self, catalog: Catalog, slots: int, rng: Random) -> None:
        self._catalog = catalog
        self._slots = slots
        self._rng = rng
        self._waiting_by_class: dict[str, deque[WorkItem]] = {}
        self._waiting_by_key: dict[WorkKey, WorkItem] = {}
        self._running_by_key: dict[WorkKey, WorkItem] = {}

    def set_catalog(self, catalog: Catalog) -> None:
        """Use another version of the text for new work."""
        self._catalog = catalog

    def set_slots(self, slots: int) -> None:
        """Change the number of attempts the endpoint runs at a time."""
        self._slots = slots

    def offer(self, item: WorkItem, now_ms: float) -> Admitted | Rejected:
        """Admit one attempt, or refuse one of a class that is not known."""
        if item.class_name not in self._catalog.class_by_name:
            reason = f"class {item.class_name} is not configured"
            return Rejected(ErrorCode.UNKNOWN_CLASS.value, reason, 0.0)
        position = len(self._waiting_by_key)
        self._waiting_by_class.setdefault(item.class_name, deque()).append(item)
        self._waiting_by_key[item.key] = item
        return Admitted(position)

    def actions(self, now_ms: float) -> Iterator[QueueAction]:
        """Yield what to do now; each yielded action counts as carried out."""
        yield from self._expire(now_ms)
        while len(self._running_by_key) < self._slots and self._waiting_by_key:
            item = self._pop_most_urgent()
            self._running_by_key[item.key] = item
            yield StartWork(item)

    def _expire(self, now_ms: float) -> Iterator[ExpireWork]:
        for item in list(self._waiting_by_key.values()):
            if item.deadline_ms is not None and item.deadline_ms <= now_ms:
                self.withdraw(item.key)
                reason = "the deadline passed before the work could start"
                yield ExpireWork(item, Rejected(ErrorCode.DEADLINE.value, reason, 0.0))

    def _pop_most_urgent(self) -> WorkItem:
        names = [name for name, items in self._waiting_by_class.items() if items]
        item = self._waiting_by_class[min(names, key=self._priority)].popleft()
        del self._waiting_by_key[item.key]
        return item

    def _priority(self, class_name: str) -> int:
        request_class = self._catalog.class_by_name.get(class_name)
        return request_class.priority if request_class else 0

    def on_tokens(self, key: WorkKey, tokens: int, now_ms: float) -> None:
        """Record that running work has produced `tokens` more tokens."""

    def on_done(self, key: WorkKey, now_ms: float) -> None:
        """Record that started work has ended, whole, failed or cancelled."""
        self._running_by_key.pop(key, None)

    def withdraw(self, key: WorkKey) -> bool:
        """Give waiting work back; True if it was waiting and now never starts."""
        item = self._waiting_by_key.pop(key, None)
        if item is None:
            return False
        self._waiting_by_class[item.class_name].remove(item)
        return True

    def report(self, now_ms: float) -> QueueReport:
        """Return the present state."""
        waiting = tuple(
            (name, len(items)) for name, items in self._waiting_by_class.items()
        )
        running = len(self._running_by_key)
        return QueueReport(running, 0, self._slots, waiting, 0.0, 0.0, 0)
