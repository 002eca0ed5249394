"""First checks of the decision modules."""

from random import Random

from wigeonwind.catalog import Catalog, LatencyTarget, RequestClass, TargetKind
from wigeonwind.decisions.endpoint_queue import EndpointQueue
from wigeonwind.decisions.interfaces import StartWork, WorkItem

TARGET = LatencyTarget(TargetKind.FIRST_TOKEN, 1500.0)
CATALOG = Catalog(
    1,
    class_by_name={
        "chat": RequestClass("chat", 0, TARGET, 4000.0),
        "dossier": RequestClass("dossier", 1, TARGET, 60000.0),
    },
)


def item(name, class_name):
    return WorkItem(name, 0, "llm", class_name, "c", 0.0, 10)


def test_urgent_work_starts_before_work_that_came_first():
    queue = EndpointQueue(CATALOG, 1, Random(1))
    queue.offer(item("a", "dossier"), 0.0)
    queue.offer(item("b", "chat"), 0.0)
    assert list(queue.actions(0.0)) == [StartWork(item("b", "chat"))]
    queue.on_done(("b", 0), 1.0)
    assert list(queue.actions(1.0)) == [StartWork(item("a", "dossier"))]
