"""The cause of a failed request can be found from its id, by logs and metrics alone."""

import re
from pathlib import Path

import pytest
from routing_fleet import RoutingFleet, configuration
from structlog.testing import capture_logs

from wigeonwind.standins.platform_worker import Events, NotRun, Reset

PAGE = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"


def lines_of(made, request_id, path, method="GET", body=b""):
    """Send a request and return the log lines that carry its id."""
    with capture_logs() as lines:
        made.call(path, method, body, request_id=request_id)
        made.wait_for(lambda: any(each["event"] in ENDS for each in lines))
    return [each for each in lines if each.get("request_id") == request_id]


ENDS = ("request ended", "request refused")


@pytest.fixture
def fleet():
    made = RoutingFleet(1)
    yield made
    made.stop()


def test_a_refusal_names_the_endpoint_that_refused(fleet):
    # Guards against a refused request whose cause cannot be found afterwards.
    fleet.workers[0].usual = NotRun()
    lines = lines_of(fleet, "a1", "/safe/x")
    end = lines[-1]
    assert (end["outcome"], end["reason"]) == ("not-run", "the endpoint answered 503")
    assert end["endpoint"] == "w0"
    assert end["config_version"] == 1


def test_a_lost_endpoint_is_named(fleet):
    # Guards against a lost request whose endpoint cannot be found afterwards.
    fleet.workers[0].usual = Reset()
    end = lines_of(fleet, "a2", "/once/x", "POST", b"a")[-1]
    assert end["outcome"] == "broken"
    assert "connection" in end["reason"]
    assert (end["endpoint"], end["sends"]) == ("w0", 1)


def test_a_broken_stream_tells_how_far_it_came(fleet):
    # Guards against a broken stream that cannot be told from one that never began.
    fleet.workers[0].usual = Events(cut_after=2)
    end = lines_of(fleet, "a3", "/stream/x", "POST", b"a")[-1]
    assert end["outcome"] == "broken"
    assert end["first_event_ms"] is not None


def test_a_change_of_the_configuration_can_be_seen(fleet):
    # Guards against a request that fails after a change, with no trace of the change.
    config = configuration(7)
    config["routes"] = config["routes"][1:]
    with capture_logs() as changes:
        fleet.store.put("config", "main", config)
        fleet.wait_for(lambda: fleet.router.configuration.table.version == 7)
    end = lines_of(fleet, "a4", "/safe/x")[-1]
    assert (end["status"], end["config_version"]) == (404, 7)
    change = next(each for each in changes if "in force" in each["event"])
    assert (change["before"], change["version"]) == (1, 7)


def test_every_metric_of_a_routing_process_is_explained(fleet):
    # Guards against a metric that alarms somebody who cannot look it up.
    fleet.call("/safe/x")
    fleet.call("/none/x", request_id="r2")
    page = fleet.router.metrics.render().decode()
    names = set(re.findall(r"^# TYPE (\S+)", page, re.M))
    names = {name for name in names if not name.endswith("_created")}
    listed = set(re.findall(r"`(wigeonwind_\w+)", PAGE.read_text(encoding="utf-8")))
    assert names <= listed
