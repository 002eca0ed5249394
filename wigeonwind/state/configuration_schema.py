"""Keys of each kind of section, and parsing of one section into catalog data."""

import re
from configparser import (
    DuplicateOptionError,
    MissingSectionHeaderError,
    ParsingError,
    RawConfigParser,
)
from configparser import Error as ConfigError
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    ValidationError,
)
from pydantic_core import PydanticCustomError

from wigeonwind.catalog import (
    BookingMode,
    Customer,
    LatencyTarget,
    Limit,
    RequestClass,
    Service,
    ServiceKind,
    TargetKind,
)
from wigeonwind.outcomes import Invalid, Ok, Problem

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MODEL_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
KEY_PATTERN = re.compile(r"[0-9a-f]{64}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)")
PERCENT_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*%")

MS_BY_UNIT = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
"""Milliseconds in each unit of a duration."""

MAX_DURATION_MS = 24 * 3_600_000.0
MAX_NUMBER = 1e12
PRIORITY_LEVELS = 100
"""Number of priorities; they range from 0 (most urgent) to PRIORITY_LEVELS - 1."""

EXPECTED_DURATION = "a duration above 0 such as 1500ms, 4s or 2m"


def _expected(what: str) -> PydanticCustomError:
    return PydanticCustomError("expected", what)  # type: ignore[arg-type]


def parse_duration_ms(text: str) -> float | None:
    """Return a duration in milliseconds, or None if `text` is not a valid one.

    >>> parse_duration_ms("1500ms"), parse_duration_ms("2m"), parse_duration_ms("2")
    (1500.0, 120000.0, None)
    """
    match = DURATION_PATTERN.fullmatch(text.strip())
    if match is None:
        return None
    value = float(match.group(1)) * MS_BY_UNIT[match.group(2)]
    return value if 0 < value <= MAX_DURATION_MS else None


def _duration(text: str) -> float:
    value = parse_duration_ms(text)
    if value is None:
        raise _expected(EXPECTED_DURATION)
    return value


def _share(text: str) -> float:
    match = PERCENT_PATTERN.fullmatch(text.strip())
    value = float(match.group(1)) / 100.0 if match else 0.0
    if not 0 < value <= 1:
        raise _expected("a share above 0% up to 100%, so that the class never starves")
    return value


def _number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value <= MAX_NUMBER:
        raise _expected("a number above 0 (0 would shut out all requests)")
    return value


def _count(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_NUMBER:
        raise _expected("a whole number above 0 (0 would shut out all requests)")
    return int(text)


def _priority(text: str) -> int:
    if not text.isascii() or not text.isdigit() or int(text) >= PRIORITY_LEVELS:
        raise _expected(f"a whole number from 0 (most urgent) to {PRIORITY_LEVELS - 1}")
    return int(text)


def _yes_or_no(text: str) -> bool:
    if text not in ("yes", "no"):
        raise _expected("yes or no")
    return text == "yes"


def _target(text: str) -> LatencyTarget:
    kind, _, limit = text.partition(" ")
    limit_ms = parse_duration_ms(limit)
    if limit_ms is None or kind not in {option.value for option in TargetKind}:
        raise _expected(
            "first-token, between-tokens or whole, then a duration, "
            "such as first-token 1500ms"
        )
    return LatencyTarget(TargetKind(kind), limit_ms)


def _list_of(pattern: re.Pattern[str], what: str) -> BeforeValidator:
    """Return a validator for a list separated by commas or white space."""

    def check(text: str) -> tuple[str, ...]:
        entries = [entry for entry in re.split(r"[,\s]+", text) if entry]
        invalid = [entry for entry in entries if not pattern.fullmatch(entry)]
        if invalid:
            raise _expected(f"{what}, separated by commas; {invalid[0]!r} is not valid")
        if len(set(entries)) < len(entries):
            raise _expected("a list without duplicates")
        return tuple(entries)

    return BeforeValidator(check)


def _require_class(names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the names; an empty list would be taken for all classes."""
    if not names:
        raise _expected("at least one class, or no key `classes` to allow all")
    return names


def _optional_match(pattern: re.Pattern[str], what: str) -> BeforeValidator:
    def check(text: str) -> str:
        if text and not pattern.fullmatch(text):
            raise _expected(what)
        return text

    return BeforeValidator(check)


NAME_RULE = "names of lower-case letters, digits and hyphens"
Names = Annotated[tuple[str, ...], _list_of(NAME_PATTERN, NAME_RULE)]
Models = Annotated[tuple[str, ...], _list_of(MODEL_PATTERN, "model names")]
Keys = Annotated[
    tuple[str, ...],
    _list_of(KEY_PATTERN, "SHA-256 digests of API keys, 64 hexadecimal digits each"),
]
Methods = Annotated[tuple[str, ...], _list_of(METHOD_PATTERN, "HTTP methods")]
AllowedClasses = Annotated[Names, AfterValidator(_require_class)]
Name = Annotated[str, _optional_match(NAME_PATTERN, "one name")]
Version = Annotated[
    str, _optional_match(re.compile(r"[A-Za-z0-9._-]{1,63}"), "a version name")
]
Number = Annotated[float, BeforeValidator(_number)]
Count = Annotated[int, BeforeValidator(_count)]
Duration = Annotated[float, BeforeValidator(_duration)]
Share = Annotated[float, BeforeValidator(_share)]
Flag = Annotated[bool, BeforeValidator(_yes_or_no)]


class _Section(BaseModel):
    """Base class of all sections; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", arbitrary_types_allowed=True)


class _Limited(_Section):
    """The three limit keys that several kinds of section have in common."""

    requests_per_s: Number | None = None
    tokens_per_s: Number | None = None
    concurrency: Count | None = None

    def limit(self) -> Limit:
        """Return the limits as catalog data."""
        return Limit(self.requests_per_s, self.tokens_per_s, self.concurrency)


@dataclass(frozen=True)
class Defaults:
    """The values of the section `[defaults]`."""

    allow_anonymous: bool = False
    limit: Limit = Limit()


SectionValue = Service | RequestClass | Customer | Defaults


class DefaultsSection(_Limited):
    """Keys of `[defaults]`."""

    allow_anonymous: Flag = False

    def value(self, name: str) -> SectionValue:
        """Return the catalog data; `name` is not used."""
        return Defaults(self.allow_anonymous, self.limit())


class ServiceSection(_Section):
    """Keys of `[service NAME]`."""

    kind: Literal["model", "plain"]
    models: Models = ()
    model_version: Version = ""
    classes: Names = ()
    default_class: Name = ""
    concurrency: Count = 8
    unrepeatable_methods: Methods = Service.unrepeatable_methods
    bookings: Literal["claim", "endpoint"] = "claim"
    depends_on: Names = ()

    def value(self, name: str) -> SectionValue:
        """Return the service called `name`."""
        return Service(
            name=name,
            kind=ServiceKind(self.kind),
            models=self.models,
            default_class=self.default_class or (self.classes or ("",))[0],
            classes=self.classes,
            unrepeatable_methods=self.unrepeatable_methods,
            bookings=BookingMode(self.bookings),
            depends_on=self.depends_on,
            model_version=self.model_version,
            concurrency=self.concurrency,
        )


class ClassSection(_Limited):
    """Keys of `[class NAME]`."""

    priority: Annotated[int, BeforeValidator(_priority)]
    target: Annotated[LatencyTarget, BeforeValidator(_target)]
    max_wait: Duration
    min_share: Share = RequestClass.min_share
    finish_late: Flag = True

    def value(self, name: str) -> SectionValue:
        """Return the request class called `name`."""
        return RequestClass(
            name=name,
            priority=self.priority,
            target=self.target,
            max_wait_ms=self.max_wait,
            min_share=self.min_share,
            limit=self.limit(),
            finish_late=self.finish_late,
        )


class CustomerSection(_Limited):
    """Keys of `[customer NAME]`."""

    weight: Number = 1.0
    keys: Keys = ()
    classes: AllowedClasses = ()

    def value(self, name: str) -> SectionValue:
        """Return the customer called `name`."""
        return Customer(name, self.weight, self.limit(), self.keys, self.classes)


SECTION_BY_KIND: dict[str, Any] = {
    "defaults": DefaultsSection,
    "service": ServiceSection,
    "class": ClassSection,
    "customer": CustomerSection,
}

EXPECTED_HEADER = "[defaults], [service NAME], [class NAME] or [customer NAME]"

EXPECTED_BY_REQUIRED_KEY = {
    "target": "a target such as first-token 1500ms",
    "max_wait": EXPECTED_DURATION + " (without one the class might wait forever)",
    "kind": "model or plain",
    "priority": f"a whole number from 0 (most urgent) to {PRIORITY_LEVELS - 1}",
}


class _SectionParser(RawConfigParser):
    """Parser of the INI dialect: `=` is the only delimiter, keys keep their case."""

    def __init__(self, strict: bool) -> None:
        super().__init__(
            delimiters=("=",),
            inline_comment_prefixes=(";",),
            strict=strict,
            empty_lines_in_values=False,
            default_section="\0",
            interpolation=None,
        )

    def optionxform(self, optionstr: str) -> str:
        return optionstr

    def parse_keys(self, source: str) -> dict[str, str]:
        """Return the keys of the only section in `source`.

        Raises ConfigError if the syntax is wrong.
        """
        for name in self.sections():
            self.remove_section(name)
        self.read_string(source)
        return self.parsed_keys()

    def parsed_keys(self) -> dict[str, str]:
        """Return the keys parsed so far."""
        names = self.sections()
        return dict(self.items(names[0], raw=True)) if names else {}


class SectionReader:
    """Parses and validates sections one by one.

    All sections share one INI parser, because creating a parser costs more than reading
    a section (73 us against 48 us).
    """

    def __init__(self) -> None:
        self._strict = _SectionParser(strict=True)
        self._lenient = _SectionParser(strict=False)

    def read(self, name: str, source: str) -> Ok[SectionValue] | Invalid:
        """Parse one section; the line of a problem counts from 1 at the header."""
        kind, _, item = name.partition(" ")
        section = SECTION_BY_KIND.get(kind)
        if section is None or (kind == "defaults") != (item == ""):
            return Invalid((Problem(name, "", f"[{name}]", EXPECTED_HEADER, 1),))
        problems: list[Problem] = []
        if item and not NAME_PATTERN.fullmatch(item):
            problems.append(Problem(name, "", item, f"one of the {NAME_RULE}", 1))
        values = self._read_keys(name, source, problems)
        try:
            model = section.model_validate(values)
        except ValidationError as error:
            known_keys = ", ".join(sorted(section.model_fields))
            problems += [
                _validation_problem(name, source, known_keys, d) for d in error.errors()
            ]
            return Invalid(tuple(problems))
        return Invalid(tuple(problems)) if problems else Ok(model.value(item))

    def _read_keys(
        self, name: str, source: str, problems: list[Problem]
    ) -> dict[str, str]:
        """Return the keys of a section; syntax errors are appended to `problems`."""
        try:
            return self._strict.parse_keys(source)
        except DuplicateOptionError as error:
            text = f"the key only once in [{name}]"
            line = error.lineno or 0
            problems.append(Problem(name, error.option, "", text, line))
        except MissingSectionHeaderError as error:
            # This subclass of ParsingError has no list `errors`.
            text = str(error.line).strip()
            problems.append(Problem(name, "", text, "a header [SECTION]", error.lineno))
        except ParsingError as error:
            problems += [_syntax_problem(name, line) for line in error.errors]
        except ConfigError as error:
            message = str(error).splitlines()[0]
            problems.append(Problem(name, "", message, "INI lines", 1))
        return self._read_leniently(source)

    def _read_leniently(self, source: str) -> dict[str, str]:
        """Return the keys that can be parsed, so that their values are checked too."""
        try:
            return self._lenient.parse_keys(source)
        except ConfigError:
            return self._lenient.parsed_keys()


def _syntax_problem(name: str, error: tuple[int, str]) -> Problem:
    line, text = error
    text = text.strip("'").removesuffix("\\n")
    return Problem(name, "", text, "a line key = value", line)


def _validation_problem(
    name: str, source: str, known_keys: str, detail: Any
) -> Problem:
    key = str(detail["loc"][0])
    value = str(detail.get("input", ""))
    expected = str(detail["msg"])
    if detail["type"] == "extra_forbidden":
        expected = f"a known key ({known_keys})"
    elif detail["type"] == "missing":
        value = ""
        expected = EXPECTED_BY_REQUIRED_KEY.get(key, "this key to be present")
    elif detail["type"] == "literal_error":
        expected = str(detail["ctx"]["expected"]).replace("'", "")
    return Problem(name, key, value, expected, line_of_key(source, key))


def line_of_key(source: str, key: str) -> int:
    """Return the 1-based line of `key` in the source of a section, or 1 if absent."""
    for line, text in enumerate(source.splitlines(), 1):
        if text.partition("=")[0].strip() == key:
            return line
    return 1
