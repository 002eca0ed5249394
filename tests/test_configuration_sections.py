"""Splitting and comparing texts: shortcuts must agree with the plain way."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonwind.state import configuration_chunks, configuration_sections
from wigeonwind.state.configuration_chunks import split_into_chunks
from wigeonwind.state.configuration_diff import apply_change, change_from_delta
from wigeonwind.state.configuration_sections import (
    PREAMBLE,
    merge_deltas,
    normalise_source,
    split_configuration,
)

LINES = st.lists(
    st.sampled_from(["[a]", "[b]", "[c]", "[d]", "x = 1", "x = 2", " [a]", "x[b]", ""]),
    max_size=12,
)


@pytest.fixture(autouse=True)
def _every_edit_counts_as_local(monkeypatch):
    monkeypatch.setattr(configuration_sections, "MAX_LOCAL_EDIT_SHARE", 1.0)


@st.composite
def edits(draw):
    """Draw a text, and the same text with some lines replaced."""
    lines = draw(LINES)
    start = draw(st.integers(0, len(lines)))
    end = draw(st.integers(start, len(lines)))
    edited = [*lines[:start], *draw(LINES), *lines[end:]]
    return "\n".join(lines), "\n".join(edited)


@given(edits())
def test_the_split_of_a_local_edit_agrees_with_the_whole_split(pair):
    base = split_configuration(pair[0])
    if base.duplicates:
        return
    plain, quick = (
        split_configuration(pair[1]),
        split_configuration(pair[1], base.sections),
    )
    assert list(quick.sections.source_by_name.items()) == list(
        plain.sections.source_by_name.items()
    )
    assert quick.sections.digest == plain.sections.digest
    assert quick.duplicates == plain.duplicates


@given(edits())
def test_a_split_text_joins_to_itself(pair):
    split = split_configuration(pair[1])
    if not split.duplicates:
        assert split.sections.source == normalise_source(pair[1])


@given(edits(), LINES)
def test_a_change_over_several_versions_gives_the_text_or_is_refused(pair, lines):
    texts = [*pair, "\n".join(lines)]
    splits = [split_configuration(text) for text in texts]
    if any(split.duplicates for split in splits):
        return
    first, second, third = (split.sections for split in splits)
    steps = [
        split_configuration(texts[i + 1], splits[i].sections).delta for i in (0, 1)
    ]
    change = change_from_delta(third, merge_deltas(steps, third))
    applied = apply_change(first, change)
    if applied is not None:
        assert applied[0].source == third.source
    elif not any(step.is_reordered for step in steps):
        # Only a section that left and came back may make the whole text necessary.
        assert set(steps[0].removed) & steps[1].added or steps[0].added


def test_two_orders_of_the_same_sections_have_different_digests():
    assert split_configuration("[a]\n[b]\n").sections.digest != (
        split_configuration("[b]\n[a]\n").sections.digest
    )


def test_line_ends_and_byte_order_mark_do_not_matter():
    text = split_configuration("\ufeff; x\r\n[a]\r\nk = 1").sections
    assert text.digest == split_configuration("; x\n[a]\nk = 1\n").sections.digest
    assert text.source_by_name[PREAMBLE] == "; x\n"


@given(edits())
def test_parts_reused_from_an_earlier_cut_are_those_of_a_new_cut(pair):
    old, new = (split_configuration(text).sections for text in pair)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(configuration_chunks, "MEAN_SECTIONS_PER_CHUNK", 2)
        again = split_into_chunks(new, split_into_chunks(old))
        assert [p.source for p in again] == [p.source for p in split_into_chunks(new)]
    assert "".join(part.source for part in again) == new.source
