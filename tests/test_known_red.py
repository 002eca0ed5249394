"""KNOWN-RED.txt, the list of tests that may fail because of known faults."""

from conftest import KNOWN_RED, listed_test_ids

ENTRY = "test: tests/a.py::test_b\ncommand: pytest\nseen: a text with test: in it\n"


def test_only_listed_tests_may_fail():
    # Guards against a list that also excuses failures of other tests.
    assert listed_test_ids(ENTRY) == ["tests/a.py::test_b"]
    assert listed_test_ids("# test: tests/a.py::test_c\n") == []


def test_each_entry_has_all_fields():
    # Guards against entries that lack the data to reproduce or track them.
    content = KNOWN_RED.read_text("utf-8") if KNOWN_RED.exists() else ""
    count = len(listed_test_ids(content))
    for field in ("command:", "seed:", "seen:", "issue:"):
        lines = [line for line in content.splitlines() if line.startswith(field)]
        assert len(lines) == count, field
