"""Tests that the settings in examples/ match their configurations."""

from collections import Counter
from pathlib import Path

import pytest

from wigeonwind.outcomes import Ok
from wigeonwind.settings import read_settings
from wigeonwind.state.configuration import parse_configuration

EXAMPLES = Path(__file__).parents[1] / "examples"


@pytest.mark.parametrize(
    ("name", "zones", "count_by_service"),
    [
        ("polluvili", 3, {"wigeon-llm": 5, "spot-desk": 3}),
        ("guild", 4, {"wigeon-desk": 5, "syndic-app": 4}),
    ],
)
def test_settings_of_each_process(name, zones, count_by_service):
    # Guards against examples that do not start because settings are invalid or an
    # address or id is used twice, and against sizes that differ from design.md 1.3.
    results = [
        read_settings(path.read_text())
        for path in sorted((EXAMPLES / name / "settings").glob("*.ini"))
    ]
    assert all(isinstance(result, Ok) for result in results), results
    settings = [result.value for result in results]
    configuration = parse_configuration(
        (EXAMPLES / name / "text.ini").read_text(), 1, None
    )
    services = configuration.value.catalog.service_by_name
    entries = [each for each in settings if each.node.role == "entry"]
    sidecars = [each for each in settings if each.node.role == "side"]
    assert len({entry.node.zone for entry in entries}) == len(entries) == zones
    assert Counter(sidecar.endpoint.service for sidecar in sidecars) == count_by_service
    assert all(
        sidecar.endpoint.kind == services[sidecar.endpoint.service].kind.value
        for sidecar in sidecars
    )
    addresses = [each.listen.links for each in settings]
    addresses += [each.listen.operators for each in settings]
    addresses += [each.listen.callers for each in entries]
    addresses += [sidecar.endpoint.address for sidecar in sidecars]
    assert len(set(addresses)) == len(addresses)
    assert len({each.node.id for each in settings}) == len(settings)
