"""Parsing of the configuration: every problem is reported at its line."""

import pytest

from wigeonwind.catalog import TargetKind
from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.state.configuration import parse_catalog

GOOD = """\
; a comment
[defaults]
allow_anonymous = no
requests_per_s = 50

[service wigeon-llm]
kind = model
models = barley-7b
model_version = 1
classes = chat, dossier
default_class = chat
depends_on = spot-desk

[service spot-desk]
kind = plain
classes = desk
bookings = claim                 ; claim | endpoint

[class chat]
priority = 0
target = first-token 1500ms
max_wait = 4s
min_share = 5%
requests_per_s = 40

[class dossier]
priority = 2
target = whole 2m
max_wait = 10m

[class desk]
priority = 1
target = whole 2s
max_wait = 2s

[customer tartu-maltsters]
weight = 2
keys = KEY
classes = chat, desk
requests_per_s = 20
""".replace("KEY", "a" * 64)


def problems_of(source: str) -> list[str]:
    result = parse_catalog(source, 1)
    assert isinstance(result, Invalid), "no problem was reported"
    return [str(problem) for problem in result.problems]


def test_a_valid_source_is_parsed_into_typed_values():
    result = parse_catalog(GOOD, 7)
    assert isinstance(result, Ok)
    catalog = result.value
    assert catalog.version == 7
    chat = catalog.class_by_name["chat"]
    assert (chat.target.kind, chat.target.limit_ms) == (TargetKind.FIRST_TOKEN, 1500.0)
    assert (chat.min_share, chat.max_wait_ms) == (0.05, 4000.0)
    assert catalog.service_by_name["spot-desk"].default_class == "desk"
    assert catalog.customer_by_name["tartu-maltsters"].keys == ("a" * 64,)
    assert catalog.default_limit.requests_per_s == 50.0


# Each case: replaced source, its replacement, the line of the problem, its message.
PROBLEM_CASES = [
    ("models = barley", "modles = barley", 8, "a known key"),
    ("target = first-token 1500ms\n", "", 19, "a target such as first-token"),
    ("first-token 1500ms", "soon 1500ms", 21, "first-token, between-tokens or whole"),
    ("max_wait = 4s", "max_wait = 4", 22, "a duration above 0 such as"),
    ("min_share = 5%", "min_share = 0%", 23, "never starves"),
    ("min_share = 5%", "min_share = 96%", 10, "at most 100%"),
    ("classes = desk\n", "", 14, "at least one class"),
    ("classes = desk\n", "classes = desks\n", 16, "one of chat, desk, dossier"),
    ("default_class = chat", "default_class = desk", 11, "one of the classes"),
    ("= spot-desk\n", "= spot-dusk\n", 12, "one of spot-desk, wigeon-llm"),
    ("bookings = claim", "depends_on = wigeon-llm", 12, "no cycle"),
    ("kind = plain", "kind = simple", 15, "model or plain"),
    ("kind = model", "kind = plain", 8, "no models for kind = plain"),
    ("requests_per_s = 40", "requests_per_s = 0", 24, "0 would shut out"),
    ("requests_per_s = 20", "concurrency = 0", 40, "0 would shut out"),
    ("classes = chat, desk", "classes = chess", 39, "one of chat, desk, dossier"),
    ("classes = chat, desk", "classes =", 39, "at least one class, or no key"),
    ("classes = chat, desk", "classes = ,", 39, "at least one class, or no key"),
    ("[customer tartu", "[customer Tartu", 36, "lower-case letters"),
    ("[class desk]", "[clas desk]", 31, "[class NAME]"),
    ("weight = 2", "weight 2", 37, "a line key = value"),
    ("weight = 2", "weight = 2\nweight = 3", 38, "the key only once"),
    ("; a comment", "weight = 2", 1, "a section before the first key"),
]


@pytest.mark.parametrize(("old", "new", "line", "words"), PROBLEM_CASES)
def test_a_problem_is_reported_at_its_line(old: str, new: str, line: int, words: str):
    assert old in GOOD
    found = problems_of(GOOD.replace(old, new, 1))
    assert any(f"line {line}: " in text and words in text for text in found), found


def test_a_section_too_large_for_the_store_is_refused():
    # A chunk above the value limit of the store can never be written, so each
    # submission would fail as if the store were down.
    large = GOOD.replace("weight = 2", "weight = 2\n;" + "x" * 200_000)
    assert any("at most 200000" in text for text in problems_of(large))
