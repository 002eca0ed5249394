"""Logs and metrics from which the cause of a failed request can be found by its id."""

import re
from pathlib import Path

import pytest
from routing_fleet import RoutingFleet, configuration
from structlog.testing import capture_logs

from wigeonwind.standins.platform_worker import (
    ConnectionReset,
    EventStream,
    NotExecuted,
)

PAGE = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"


def log_lines_for(fleet, request_id, path, method="GET", body=b""):
    """Send a request and return the log lines with its request id."""
    with capture_logs() as lines:
        fleet.call(path, method, body, request_id=request_id)
        fleet.wait_for(lambda: any(each["event"] in FINAL_EVENTS for each in lines))
    return [each for each in lines if each.get("request_id") == request_id]


FINAL_EVENTS = ("request ended", "request refused")


@pytest.fixture
def fleet():
    running = RoutingFleet(1)
    yield running
    running.stop()


def test_refused_request_is_logged_with_its_endpoint(fleet):
    # Guards against a refused request whose cause cannot be found in the log.
    fleet.workers[0].default = NotExecuted()
    lines = log_lines_for(fleet, "a1", "/safe/x")
    final_line = lines[-1]
    assert (final_line["outcome"], final_line["reason"]) == (
        "not-run",
        "the endpoint answered 503",
    )
    assert final_line["endpoint"] == "w0"
    assert final_line["config_version"] == 1


def test_broken_request_is_logged_with_its_endpoint(fleet):
    # Guards against a broken request whose endpoint cannot be found in the log.
    fleet.workers[0].default = ConnectionReset()
    final_line = log_lines_for(fleet, "a2", "/once/x", "POST", b"a")[-1]
    assert final_line["outcome"] == "broken"
    assert "connection" in final_line["reason"]
    assert (final_line["endpoint"], final_line["sends"]) == ("w0", 1)


def test_broken_stream_is_logged_with_its_first_event(fleet):
    # Guards against a broken stream that looks like one that never began.
    fleet.workers[0].default = EventStream(cut_after=2)
    final_line = log_lines_for(fleet, "a3", "/stream/x", "POST", b"a")[-1]
    assert final_line["outcome"] == "broken"
    assert final_line["first_event_ms"] is not None


def test_configuration_change_is_logged(fleet):
    # Guards against a request that fails after a configuration change that the log does
    # not show.
    config = configuration(7)
    config["routes"] = config["routes"][1:]
    with capture_logs() as changes:
        fleet.store.put("config", "main", config)
        fleet.wait_for(lambda: fleet.router.configuration.table.version == 7)
    final_line = log_lines_for(fleet, "a4", "/safe/x")[-1]
    assert (final_line["status"], final_line["config_version"]) == (404, 7)
    change = next(
        each for each in changes if "configuration version applied" in each["event"]
    )
    assert (change["before"], change["version"]) == (1, 7)


def test_every_metric_is_documented(fleet):
    # Guards against a metric that operators cannot look up.
    fleet.call("/safe/x")
    fleet.call("/none/x", request_id="r2")
    metrics_text = fleet.router.metrics.render().decode()
    names = set(re.findall(r"^# TYPE (\S+)", metrics_text, re.M))
    names = {name for name in names if not name.endswith("_created")}
    listed = set(re.findall(r"`(wigeonwind_\w+)", PAGE.read_text(encoding="utf-8")))
    assert names <= listed
