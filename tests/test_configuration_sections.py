"""Splitting and comparing sources: incremental results must equal complete ones."""

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

SOURCE_LINES = st.lists(
    st.sampled_from(["[a]", "[b]", "[c]", "[d]", "x = 1", "x = 2", " [a]", "x[b]", ""]),
    max_size=12,
)


@pytest.fixture(autouse=True)
def _every_edit_counts_as_local(monkeypatch):
    monkeypatch.setattr(configuration_sections, "MAX_LOCAL_EDIT_SHARE", 1.0)


@st.composite
def edits(draw):
    """Draw a source, and the same source with some lines replaced."""
    lines = draw(SOURCE_LINES)
    start = draw(st.integers(0, len(lines)))
    end = draw(st.integers(start, len(lines)))
    edited = [*lines[:start], *draw(SOURCE_LINES), *lines[end:]]
    return "\n".join(lines), "\n".join(edited)


@given(edits())
def test_the_incremental_split_equals_the_full_split(pair):
    base = split_configuration(pair[0])
    if base.duplicates:
        return
    full, incremental = (
        split_configuration(pair[1]),
        split_configuration(pair[1], base.sections),
    )
    assert list(incremental.sections.source_by_name.items()) == list(
        full.sections.source_by_name.items()
    )
    assert incremental.sections.digest == full.sections.digest
    assert incremental.duplicates == full.duplicates


@given(edits())
def test_joining_the_sections_gives_the_normalised_source(pair):
    split = split_configuration(pair[1])
    if not split.duplicates:
        assert split.sections.source == normalise_source(pair[1])


@given(edits(), SOURCE_LINES)
def test_a_change_over_several_versions_gives_the_result_or_is_refused(pair, lines):
    sources = [*pair, "\n".join(lines)]
    splits = [split_configuration(source) for source in sources]
    if any(split.duplicates for split in splits):
        return
    first, second, third = (split.sections for split in splits)
    deltas = [
        split_configuration(sources[i + 1], splits[i].sections).delta for i in (0, 1)
    ]
    change = change_from_delta(third, merge_deltas(deltas, third))
    applied = apply_change(first, change)
    if applied is not None:
        assert applied[0].source == third.source
    elif not any(delta.is_reordered for delta in deltas):
        # Only a section that was removed and added again may prevent a change.
        assert set(deltas[0].removed) & deltas[1].added or deltas[0].added


def test_two_orders_of_the_same_sections_have_different_digests():
    assert split_configuration("[a]\n[b]\n").sections.digest != (
        split_configuration("[b]\n[a]\n").sections.digest
    )


def test_line_ends_and_byte_order_mark_are_normalised():
    sections = split_configuration("\ufeff; x\r\n[a]\r\nk = 1").sections
    assert sections.digest == split_configuration("; x\n[a]\nk = 1\n").sections.digest
    assert sections.source_by_name[PREAMBLE] == "; x\n"


@given(edits())
def test_chunks_with_reuse_equal_those_without_reuse(pair):
    old, new = (split_configuration(source).sections for source in pair)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(configuration_chunks, "MEAN_SECTIONS_PER_CHUNK", 2)
        reused = split_into_chunks(new, split_into_chunks(old))
        assert [c.source for c in reused] == [c.source for c in split_into_chunks(new)]
    assert "".join(chunk.source for chunk in reused) == new.source
