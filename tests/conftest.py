"""Configuration shared by all tests."""

from gevent import monkey

monkey.patch_all()

from pathlib import Path  # noqa: E402

import pytest  # noqa: E402
from hypothesis import HealthCheck, settings  # noqa: E402

# Every run uses the same examples, and slow examples do not fail.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def listed_test_ids(content):
    """Return the ids of the tests listed in the content of KNOWN-RED.txt."""
    lines = content.splitlines()
    return [
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    ]


def _read_listed_test_ids():
    return listed_test_ids(KNOWN_RED.read_text("utf-8")) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures."""
    listed = set(_read_listed_test_ids())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def error_lines(text):
    """Return the lines of a failure that state the error, at most four."""
    return [line for line in text.splitlines() if line.startswith("E  ")][:4]


def pytest_terminal_summary(terminalreporter):
    """Print the outcome of each listed test."""
    for test_id in _read_listed_test_ids():
        reports = [
            (kind, report)
            for kind in ("xfailed", "xpassed")
            for report in terminalreporter.stats.get(kind, [])
            if report.nodeid == test_id
        ]
        outcome = reports[0][0] if reports else "not run"
        terminalreporter.write_line(f"KNOWN-RED {test_id}: {outcome}")
        for kind, report in reports:
            if kind == "xfailed":
                for line in error_lines(report.longreprtext):
                    terminalreporter.write_line(f"  {line}")
