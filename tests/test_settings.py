"""Settings: all errors are reported, with section, key, value and expected value."""

from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.settings import read_settings, settings_reference

VALID_SETTINGS = """
[node]
id = entry-1
role = entry
zone = tartu-a
region = ee-south
[listen]
callers = 127.0.0.1:8080
links = 127.0.0.1:9000
[platform]
store = 127.0.0.1:7000
seeds = 127.0.0.1:9001, 127.0.0.1:9002
"""


def problems_of(source: str) -> list[str]:
    result = read_settings(source)
    assert isinstance(result, Invalid)
    return [str(problem) for problem in result.problems]


def test_a_valid_file_returns_typed_settings():
    result = read_settings(VALID_SETTINGS)
    assert isinstance(result, Ok)
    assert result.value.node.zone == "tartu-a"
    assert result.value.links.subset_size == 20


def test_an_unknown_key_is_an_error():
    found = problems_of(VALID_SETTINGS + "stroe = 127.0.0.1:1\n")
    assert found == ["[platform] stroe = '127.0.0.1:1': expected a known key"]


def test_all_errors_are_reported_together():
    bad = VALID_SETTINGS.replace("entry-1", "Entry 1").replace(
        "127.0.0.1:7000", "store.local:1"
    )
    assert len(problems_of(bad)) == 2


def test_a_sidecar_requires_an_endpoint():
    found = problems_of(VALID_SETTINGS.replace("role = entry", "role = side"))
    assert any("[endpoint]" in line for line in found)


def test_an_address_out_of_range_is_refused():
    found = problems_of(VALID_SETTINGS.replace("127.0.0.1:7000", "127.0.0.999:7000"))
    assert found[0].startswith("[platform] store = '127.0.0.999:7000'")


def test_a_syntax_error_is_reported_with_its_line():
    assert "line 2" in problems_of("[node]\nnonsense\n")[0]


def test_the_reference_lists_every_section():
    page = settings_reference()
    for name in ("node", "listen", "platform", "links", "endpoint", "drain"):
        assert f"## [{name}]" in page
