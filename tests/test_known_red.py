"""KNOWN-RED.txt, the list of tests that may fail because of known faults."""

from conftest import KNOWN_RED, known_red

ENTRY = "test: tests/a.py::test_b\ncommand: pytest\nseen: a text with test: in it\n"


def test_only_listed_tests_may_fail():
    # Guards against a list that also excuses failures of other tests.
    assert known_red(ENTRY) == ["tests/a.py::test_b"]
    assert known_red("# test: tests/a.py::test_c\n") == []


def test_each_entry_has_all_fields():
    # Guards against entries that lack the data to reproduce or track them.
    text = KNOWN_RED.read_text("utf-8") if KNOWN_RED.exists() else ""
    count = len(known_red(text))
    for field in ("command:", "seed:", "seen:", "issue:"):
        lines = [line for line in text.splitlines() if line.startswith(field)]
        assert len(lines) == count, field
