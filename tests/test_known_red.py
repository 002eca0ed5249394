"""The list of tests that fail for a known fault."""

from conftest import KNOWN_RED, known_red

ENTRY = "test: tests/a.py::test_b\ncommand: pytest\nseen: a text with test: in it\n"


def test_only_listed_tests_are_passed_over():
    # Guards against a list that lets other tests fail unseen.
    assert known_red(ENTRY) == ["tests/a.py::test_b"]
    assert known_red("# test: tests/a.py::test_c\n") == []


def test_each_entry_says_what_was_seen_and_where_it_is_followed():
    # Guards against entries that nobody can follow up.
    text = KNOWN_RED.read_text("utf-8") if KNOWN_RED.exists() else ""
    count = len(known_red(text))
    for field in ("command:", "seed:", "seen:", "issue:"):
        lines = [line for line in text.splitlines() if line.startswith(field)]
        assert len(lines) == count, field
