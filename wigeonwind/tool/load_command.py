"""`wigeonctl load`: sends open-loop load to entries and reports the results."""

import json
import re
import sys
from collections.abc import Sequence
from dataclasses import asdict
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import gevent
from absl import flags

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.catalog import Catalog, LatencyTarget
from wigeonwind.checking.history import RequestSeen, write_history
from wigeonwind.load.arrivals import ARRIVALS, LoadStage, parse_stages
from wigeonwind.load.plan import ClassMix, LoadCustomer, LoadPlan
from wigeonwind.load.plot import write_plot
from wigeonwind.load.report import TABLE_TITLES, LoadReport, make_report, table_rows
from wigeonwind.load.runner import LoadRunner
from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.settings import ADDRESS_PATTERN
from wigeonwind.state.configuration import parse_catalog
from wigeonwind.tool.commands import ExitCode, command, format_table, print_error

MAX_RATE_PER_S = 2_000.0
MAX_DURATION_S = 3_600.0
MAX_REQUESTS = 1_000_000
PROGRESS_INTERVAL_S = 1.0


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_list(
        "target", [], "IP:PORT of one or more entries.", flag_values=values
    )
    flags.DEFINE_list(
        "stages",
        ["10:5"],
        "SECONDS:RATE or, for a ramp, SECONDS:RATE-RATE; rates in requests/s.",
        flag_values=values,
    )
    names = ", ".join(ARRIVALS.names())
    flags.DEFINE_string(
        "arrivals", "poisson", f"Arrival process: {names}.", flag_values=values
    )
    flags.DEFINE_list(
        "mix",
        ["chat:1:100:60"],
        "CLASS:WEIGHT:PROMPT_TOKENS:ANSWER_TOKENS; token counts are means.",
        flag_values=values,
    )
    flags.DEFINE_list(
        "customers", [], "NAME or NAME=API_KEY; default: anonymous.", flag_values=values
    )
    flags.DEFINE_string("model", "barley-7b", "Model to request.", flag_values=values)
    for name, default, help_text in (
        ("shared", 0.3, "Fraction of prompts that begin with a shared prefix."),
        ("returning", 0.2, "Fraction of prompts that continue a conversation."),
        ("bookings", 0.0, "Fraction of requests that are bookings."),
        (
            "booking-retries",
            0.2,
            "Fraction of bookings that repeat an idempotency key.",
        ),
    ):
        flags.DEFINE_float(name, default, help_text, 0.0, 1.0, flag_values=values)
    flags.DEFINE_string(
        "booking-service",
        "spot-desk",
        "Service that receives the bookings.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "booking-class", "desk", "Request class of the bookings.", flag_values=values
    )
    flags.DEFINE_integer("seed", 1, "Seed of the plan.", 0, flag_values=values)
    flags.DEFINE_integer(
        "max-requests",
        100_000,
        "Maximum number of requests.",
        1,
        MAX_REQUESTS,
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout",
        120.0,
        "Timeout of one request, in seconds.",
        0.1,
        3600.0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "text",
        "",
        "Configuration file to read the latency targets from.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "check-answers",
        False,
        "Exit with code 1 if an answer is wrong.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "allow-remote",
        False,
        "Allow entries on addresses other than loopback.",
        flag_values=values,
    )
    for name, help_text in (
        ("json", "File to write the report to, as JSON."),
        ("history", "File to write the result of each request to, as JSON Lines."),
        ("plot", "PNG file to write the plots to."),
    ):
        flags.DEFINE_string(name, "", help_text, flag_values=values)


@command(
    "load", "", "Send open-loop load to entries and report latencies.", _define_flags
)
def load(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Send the load described by the flags and report the results."""
    entries = _read_entries(values)
    stages = _read_load_stages(values)
    plan = _make_plan(values, stages) if stages else None
    latency_targets = _read_latency_targets(values["text"].value or "")
    if entries is None or plan is None or latency_targets is None:
        return ExitCode.USAGE
    timeout_s: float = values["timeout"].value or 120.0
    runner = LoadRunner(plan, entries, timeout_s * 1000)
    progress = gevent.spawn(_show_progress, runner)
    try:
        records = runner.run()
    finally:
        progress.kill()
    report = make_report(records, plan.seed, latency_targets)
    return _write_results(report, records, values)


def _read_entries(values: flags.FlagValues) -> list[SocketAddress] | None:
    addresses: list[str] = values["target"].value or []
    if not addresses:
        print_error("no entry given; set --target=IP:PORT,...")
        return None
    if not all(_is_address(address) for address in addresses):
        print_error("--target: expected IP:PORT, several separated by commas")
        return None
    entries = [parse_address(address) for address in addresses]
    remote = [e for e in entries if not ip_address(e.host).is_loopback]
    if remote and not values["allow-remote"].value:
        print_error(
            f"{remote[0]} is not a loopback address; add --allow-remote to allow it"
        )
        return None
    return entries


def _is_address(address: str) -> bool:
    if not re.match(ADDRESS_PATTERN, address):
        return False
    try:
        ip_address(address.partition(":")[0])
    except ValueError:
        return False
    return 0 < int(address.partition(":")[2]) <= 65535


def _read_load_stages(values: flags.FlagValues) -> tuple[LoadStage, ...] | None:
    stages = parse_stages(values["stages"].value or [])
    if isinstance(stages, Invalid):
        print_error(f"--stages: {stages.problems[0]}")
        return None
    seconds = sum(stage.duration_ms for stage in stages.value) / 1000
    rate = max(max(s.from_rate_per_s, s.to_rate_per_s) for s in stages.value)
    if seconds > MAX_DURATION_S or rate > MAX_RATE_PER_S:
        limits = f"{MAX_DURATION_S:g} s and {MAX_RATE_PER_S:g} requests/s"
        print_error(f"--stages: at most {limits}")
        return None
    return stages.value


def _make_plan(
    values: flags.FlagValues, stages: tuple[LoadStage, ...]
) -> LoadPlan | None:
    mix = [_parse_class_mix(spec) for spec in values["mix"].value or []]
    if not mix or not all(mix):
        print_error("--mix: expected CLASS:WEIGHT:PROMPT_TOKENS:ANSWER_TOKENS,...")
        return None
    if ARRIVALS.get(values["arrivals"].value or "") is None:
        print_error(f"--arrivals: expected one of {', '.join(ARRIVALS.names())}")
        return None
    specs: list[str] = values["customers"].value or []
    customers = [_parse_customer(spec) for spec in specs]
    # absl types every flag value as optional, but each of these has a default.
    value_by_flag: dict[str, Any] = {name: values[name].value for name in values}
    return LoadPlan(
        stages,
        tuple(each for each in mix if each),
        tuple(customers) or (LoadCustomer(""),),
        value_by_flag["arrivals"],
        value_by_flag["model"],
        shared_prefix_fraction=value_by_flag["shared"],
        continued_fraction=value_by_flag["returning"],
        booking_fraction=value_by_flag["bookings"],
        booking_retry_fraction=value_by_flag["booking-retries"],
        booking_service=value_by_flag["booking-service"],
        booking_class=value_by_flag["booking-class"],
        seed=value_by_flag["seed"],
        max_requests=value_by_flag["max-requests"],
    )


def _parse_customer(spec: str) -> LoadCustomer:
    name, _, api_key = spec.partition("=")
    return LoadCustomer(name, api_key)


def _parse_class_mix(spec: str) -> ClassMix | None:
    name, *numbers = spec.split(":")
    try:
        mix = ClassMix(name, *[float(number) for number in numbers])
    except (ValueError, TypeError):
        return None
    sizes = (mix.weight, mix.prompt_tokens, mix.answer_tokens)
    return mix if name and all(0 < size <= 10_000 for size in sizes) else None


def _read_latency_targets(path: str) -> dict[str, LatencyTarget] | None:
    if not path:
        return {}
    try:
        parsed = parse_catalog(Path(path).read_text(encoding="utf-8"), 1)
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"cannot read {path}: {error}")
        return None
    if not isinstance(parsed, Ok):
        print_error(f"--text: {parsed.problems[0]}")
        return None
    return target_by_class(parsed.value)


def target_by_class(catalog: Catalog) -> dict[str, LatencyTarget]:
    """Return the latency target of each request class."""
    return {name: each.target for name, each in catalog.class_by_name.items()}


def _show_progress(runner: LoadRunner) -> None:
    while True:
        gevent.sleep(PROGRESS_INTERVAL_S)
        progress = runner.progress
        print(
            f"sent {progress.sent}, in flight {progress.in_flight}, "
            f"whole {progress.whole}, refused {progress.refused}, "
            f"other {progress.other}",
            file=sys.stderr,
        )


def _write_results(
    report: LoadReport, records: Sequence[RequestSeen], values: flags.FlagValues
) -> ExitCode:
    try:
        if values["json"].value:
            content = json.dumps(asdict(report), indent=1)
            Path(values["json"].value).write_text(content, encoding="utf-8")
        if values["history"].value:
            write_history(values["history"].value, records)
        if values["plot"].value:
            write_plot(values["plot"].value, records)
    except OSError as error:
        print_error(f"cannot write the results: {error}")
        return ExitCode.USAGE
    print(format_table(TABLE_TITLES, table_rows(report)))
    print(f"seed {report.seed}: {report.late_sends} of {report.offered} sent late")
    if values["check-answers"].value:
        print(f"{report.wrong_answers} wrong answers")
        return ExitCode.INVALID if report.wrong_answers else ExitCode.DONE
    return ExitCode.DONE
