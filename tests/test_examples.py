"""The deployments in examples/: settings of every process that fit their texts."""

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
    # Guards against examples that do not start, clash, or differ from design.md 1.3.
    results = [
        read_settings(path.read_text())
        for path in sorted((EXAMPLES / name / "settings").glob("*.ini"))
    ]
    assert all(isinstance(result, Ok) for result in results), results
    settings = [result.value for result in results]
    text = parse_configuration((EXAMPLES / name / "text.ini").read_text(), 1, None)
    services = text.value.catalog.service_by_name
    entries = [each for each in settings if each.node.role == "entry"]
    sides = [each for each in settings if each.node.role == "side"]
    assert len({entry.node.zone for entry in entries}) == len(entries) == zones
    assert Counter(side.endpoint.service for side in sides) == count_by_service
    assert all(
        side.endpoint.kind == services[side.endpoint.service].kind.value
        for side in sides
    )
    used = [each.listen.links for each in settings]
    used += [each.listen.operators for each in settings]
    used += [each.listen.callers for each in entries]
    used += [side.endpoint.address for side in sides]
    assert len(set(used)) == len(used)
    assert len({each.node.id for each in settings}) == len(settings)
