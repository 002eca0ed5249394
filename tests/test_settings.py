"""Settings: all errors are reported, with section, key, value and expected value."""

from configparser import ConfigParser
from io import StringIO

import pytest

from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.settings import Section, Settings, read_settings, settings_reference

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


def optional_keys():
    """Yield the section, key and default of each optional setting of an entry."""
    for section, field in Settings.model_fields.items():
        model = type(field.default) if not field.is_required() else field.annotation
        if not issubclass(model, Section):
            continue  # Sidecars alone have the section `endpoint`.
        for key, setting in model.model_fields.items():
            if not setting.is_required() and key != "callers":
                yield section, key, setting.default


def settings_with(section, line):
    document = ConfigParser()
    document.read_string(VALID_SETTINGS)
    for each in {section} - set(document.sections()):
        document.add_section(each)
    key, _, value = line.partition(" = ")
    document.set(section, key, value)
    text = StringIO()
    document.write(text)
    return text.getvalue()


@pytest.mark.parametrize(("section", "key", "default"), list(optional_keys()))
def test_an_empty_value_means_a_missing_key_or_is_an_error(section, key, default):
    # Guards against an empty value that is taken for a default which is not empty.
    result = read_settings(settings_with(section, f"{key} = "))
    if default == "":
        assert isinstance(result, Ok)
        assert getattr(getattr(result.value, section), key) == ""
    else:
        assert isinstance(result, Invalid)


@pytest.mark.parametrize(
    ("section", "key"),
    [("drain", "grace_ms"), ("drain", "limit_ms"), ("trace", "sample")],
)
def test_0_is_kept_where_it_is_valid(section, key):
    # Guards against 0 that is taken for a missing value.
    result = read_settings(settings_with(section, f"{key} = 0"))
    assert isinstance(result, Ok)
    assert getattr(getattr(result.value, section), key) == 0
