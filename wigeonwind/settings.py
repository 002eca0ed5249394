"""The settings file of a process (INI), validated so that all errors are reported."""

import re
from configparser import ConfigParser
from configparser import Error as ConfigError
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wigeonwind.addresses import is_valid_address, parse_address_list
from wigeonwind.outcomes import Invalid, Ok, Problem

ADDRESS_PATTERN = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
"""An IPv4 address and a port; host names are rejected, as no resolver is assumed."""

Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]
OptionalAddress = Annotated[str, Field(pattern=rf"^$|{ADDRESS_PATTERN}")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
AddressList = Annotated[
    str, Field(pattern=r"^$|^[0-9.:]+(\s*,\s*[0-9.:]+)*$", validate_default=True)
]


class Section(BaseModel):
    """Base of all sections: immutable, and unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(Section):
    """Identity and location of this process."""

    id: Name = Field(description="Unique name of this VM.")
    role: Literal["entry", "side"] = Field(
        description="Role of the process: `entry` or `side` (sidecar)."
    )
    zone: Name = Field(description="Availability zone of the VM.")
    region: Name = Field(description="Region of the VM.")


class ListenSettings(Section):
    """Addresses on which this process listens."""

    callers: OptionalAddress = Field(
        "", description="HTTP listener for callers (entry only)."
    )
    links: Address = Field(description="Listener for links from other processes.")
    operators: OptionalAddress = Field(
        "", description="HTTP listener for wigeonctl, health and metrics."
    )
    metrics_for_callers: bool = Field(
        False, description="Also serve /metrics to callers."
    )
    operators_key_file: str = Field(
        "", description="File with the key that wigeonctl must present."
    )
    tls_certificate: str = Field(
        "", description="Certificate file for TLS with callers; empty for plain HTTP."
    )
    tls_key: str = Field("", description="Private key file of `tls_certificate`.")


class PlatformSettings(Section):
    """Addresses of the platform's services."""

    store: Address = Field(description="Address of the object store.")
    vm_list: OptionalAddress = Field("", description="Address of the VM list service.")
    seeds: AddressList = Field(
        "", description="Link addresses of other processes, used to join."
    )


class LinkSettings(Section):
    """Links between processes."""

    subset_size: int = Field(
        20, ge=1, le=200, description="Sidecars of each service that an entry links to."
    )
    heartbeat_ms: int = Field(
        2000, ge=50, le=60000, description="Interval between heartbeats."
    )
    timeout_ms: int = Field(
        5000,
        ge=100,
        le=300000,
        description="Time without received data after which a link is closed.",
    )
    report_ms: int = Field(
        1000, ge=50, le=60000, description="Interval between load reports."
    )
    key_file: str = Field("", description="File with the shared key of the fleet.")
    tls_certificate: str = Field("", description="Certificate file for TLS.")
    tls_key: str = Field("", description="Private key file for TLS.")
    tls_authority: str = Field("", description="CA file that verifies peers.")


class EndpointSettings(Section):
    """The endpoint of a sidecar."""

    service: Name = Field(description="Service the endpoint belongs to.")
    kind: Literal["model", "plain"] = Field(
        description="Kind of the endpoint: `model` or `plain`."
    )
    address: Address = Field(description="HTTP address of the endpoint.")
    checks_fence: bool = Field(
        False, description="Whether the endpoint itself rejects stale fencing tokens."
    )


class LimitSettings(Section):
    """Bounds on what callers can send."""

    max_body_bytes: int = Field(
        4_000_000,
        ge=1024,
        le=100_000_000,
        description="Maximum size of a request body.",
    )
    max_header_bytes: int = Field(
        16_384, ge=1024, le=1_000_000, description="Maximum size of a request head."
    )
    max_connections: int = Field(
        2_000,
        ge=1,
        le=100_000,
        description="Maximum number of open connections of callers.",
    )
    read_timeout_ms: int = Field(
        10_000, ge=100, le=600_000, description="Time limit for reading one request."
    )
    request_timeout_ms: int = Field(
        600_000, ge=100, le=3_600_000, description="Time limit for one request."
    )


class DrainSettings(Section):
    """Graceful shutdown."""

    grace_ms: int = Field(
        2_000,
        ge=0,
        le=300_000,
        description="Time an entry keeps accepting until the load balancer reacts.",
    )
    limit_ms: int = Field(
        120_000, ge=0, le=3_600_000, description="Time limit for a graceful shutdown."
    )


class TraceSettings(Section):
    """Export of trace spans."""

    file: str = Field("", description="File to which spans are appended as JSON lines.")
    otlp: OptionalAddress = Field("", description="Address of an OTLP/HTTP collector.")
    sample: float = Field(
        1.0, ge=0.0, le=1.0, description="Fraction of requests traced, 0 to 1."
    )


class Settings(Section):
    """All settings of one process."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    links: LinkSettings = LinkSettings()
    endpoint: EndpointSettings | None = None
    limits: LimitSettings = LimitSettings()
    drain: DrainSettings = DrainSettings()
    trace: TraceSettings = TraceSettings()


def read_settings(source: str) -> Ok[Settings] | Invalid:
    """Validate the content of a settings file; return the settings or all errors."""
    parser = ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    try:
        parser.read_string(source)
    except ConfigError as error:
        return Invalid((_syntax_problem(error),))
    values = {name: dict(parser[name]) for name in parser.sections()}
    try:
        settings = Settings.model_validate(values)
    except ValidationError as error:
        return Invalid(tuple(_problems(error)))
    problems = tuple(_constraint_problems(settings))
    return Invalid(problems) if problems else Ok(settings)


def _syntax_problem(error: ConfigError) -> Problem:
    match = re.search(r"line:?\s+(\d+)", str(error))
    line = int(match.group(1)) if match else 0
    first_line = str(error).splitlines()[0]
    return Problem("", "", first_line, "INI sections with key = value lines", line)


def _problems(error: ValidationError) -> list[Problem]:
    return [_problem_of(detail) for detail in error.errors()]


def _problem_of(detail: object) -> Problem:
    assert isinstance(detail, dict)
    place = [str(part) for part in detail["loc"]] + ["", ""]
    expected = str(detail["msg"])
    value = str(detail.get("input", ""))
    if detail["type"] == "extra_forbidden":
        expected = "a known section" if not place[1] else "a known key"
    if detail["type"] == "missing":
        expected = "this setting to be present"
        value = ""
    return Problem(place[0], place[1], value, expected)


def _constraint_problems(settings: Settings) -> list[Problem]:
    """Return violations of constraints between settings."""
    problems = []
    if settings.node.role == "side" and settings.endpoint is None:
        problems.append(Problem("endpoint", "", "", "a section for role side"))
    if settings.node.role == "entry" and not settings.listen.callers:
        problems.append(Problem("listen", "callers", "", "an address for role entry"))
    if bool(settings.listen.tls_certificate) != bool(settings.listen.tls_key):
        expected = "tls_certificate and tls_key together"
        value = settings.listen.tls_certificate
        problems.append(Problem("listen", "tls_certificate", value, expected))
    if settings.links.timeout_ms <= settings.links.heartbeat_ms:
        value = str(settings.links.timeout_ms)
        expected = f"more than heartbeat_ms = {settings.links.heartbeat_ms}"
        problems.append(Problem("links", "timeout_ms", value, expected))
    for section, key, addresses in _address_settings(settings):
        if not _are_valid_addresses(addresses):
            problems.append(
                Problem(section, key, addresses, "an IPv4 address and a port")
            )
    return problems


def _are_valid_addresses(addresses: str) -> bool:
    """Return whether a comma-separated list holds only IPv4 addresses with a port.

    >>> _are_valid_addresses("10.0.0.1:80, 10.0.0.2:80"), _are_valid_addresses(":")
    (True, False)
    """
    try:
        return all(map(is_valid_address, parse_address_list(addresses)))
    except ValueError:
        return False


def _address_settings(settings: Settings) -> list[tuple[str, str, str]]:
    """Return the section, key and value of each setting that holds addresses."""
    listen = settings.listen
    platform = settings.platform
    endpoint = settings.endpoint.address if settings.endpoint else ""
    return [
        ("listen", "callers", listen.callers),
        ("listen", "links", listen.links),
        ("listen", "operators", listen.operators),
        ("platform", "store", platform.store),
        ("platform", "vm_list", platform.vm_list),
        ("platform", "seeds", platform.seeds),
        ("endpoint", "address", endpoint),
        ("trace", "otlp", settings.trace.otlp),
    ]


def settings_reference() -> str:
    """Return docs/settings.md.

    It is generated from the model that validates settings, so that it cannot differ
    from the checks.
    """
    lines = [
        "# Settings reference",
        "",
        "Generated by `wigeonctl settings reference`.",
        "",
        "An empty value (`key =`) means the same as a missing key where the default is",
        "empty: no listener, service, file or key. Elsewhere it is an error. 0 is",
        "never taken for a missing value.",
        "",
    ]
    for name, field in Settings.model_fields.items():
        lines += _section_reference(name, _section_model(field.annotation))
    return "\n".join(lines)


def _format_default(default: object) -> str:
    """Return a default as it is written in the settings file."""
    if isinstance(default, bool):
        return "`yes`" if default else "`no`"
    return f"`{default}`" if default != "" else "empty"


def _section_model(annotation: object) -> type[Section]:
    options = [annotation, *getattr(annotation, "__args__", ())]
    for option in options:
        if isinstance(option, type) and issubclass(option, Section):
            return option
    raise AssertionError(f"not a section: {annotation}")


def _section_reference(name: str, section: type[Section]) -> list[str]:
    lines = [f"## [{name}]", "", str(section.__doc__), ""]
    lines += ["| key | default | meaning |", "|---|---|---|"]
    for key, field in section.model_fields.items():
        default = "required" if field.is_required() else _format_default(field.default)
        lines.append(f"| `{key}` | {default} | {field.description} |")
    return [*lines, ""]
