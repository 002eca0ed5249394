"""`wigeonctl load`: open-loop load on entries, with a report and a history file."""

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
from wigeonwind.load.arrivals import ARRIVALS, LoadStage, read_stages
from wigeonwind.load.plan import ClassMix, LoadCustomer, LoadPlan
from wigeonwind.load.plot import write_plot
from wigeonwind.load.report import TABLE_TITLES, LoadReport, make_report, table_rows
from wigeonwind.load.runner import LoadRunner
from wigeonwind.outcomes import Invalid, Ok
from wigeonwind.settings import ADDRESS_PATTERN
from wigeonwind.state.configuration import parse_catalog
from wigeonwind.tool.commands import ExitCode, command, format_table, print_error

MAX_RATE_PER_S = 2_000.0
MAX_SECONDS = 3_600.0
MAX_REQUESTS = 1_000_000
PROGRESS_INTERVAL_S = 1.0


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_list("target", [], "IP:PORT of entries.", flag_values=values)
    flags.DEFINE_list(
        "stages",
        ["10:5"],
        "SECONDS:RATE or, as a ramp, SECONDS:RATE-RATE; requests/s.",
        flag_values=values,
    )
    names = ", ".join(ARRIVALS.names())
    flags.DEFINE_string("arrivals", "poisson", f"One of {names}.", flag_values=values)
    flags.DEFINE_list(
        "mix",
        ["chat:1:100:60"],
        "CLASS:WEIGHT:PROMPT_TOKENS:ANSWER_TOKENS; lengths are means.",
        flag_values=values,
    )
    flags.DEFINE_list(
        "customers", [], "NAME or NAME=API_KEY; default none.", flag_values=values
    )
    flags.DEFINE_string("model", "barley-7b", "Model to ask.", flag_values=values)
    for name, default, text in (
        ("shared", 0.3, "Share of prompts that begin with a common prefix."),
        ("returning", 0.2, "Share of prompts that continue a conversation."),
        ("bookings", 0.0, "Share of requests that are bookings."),
        ("booking-retries", 0.2, "Share of bookings that repeat a key."),
    ):
        flags.DEFINE_float(name, default, text, 0.0, 1.0, flag_values=values)
    flags.DEFINE_string(
        "booking-service", "spot-desk", "Service that books.", flag_values=values
    )
    flags.DEFINE_string(
        "booking-class", "desk", "Class of bookings.", flag_values=values
    )
    flags.DEFINE_integer("seed", 1, "Seed of the plan.", 0, flag_values=values)
    flags.DEFINE_integer(
        "max-requests", 100_000, "Most requests.", 1, MAX_REQUESTS, flag_values=values
    )
    flags.DEFINE_float(
        "timeout", 120.0, "Seconds for one request.", 0.1, 3600.0, flag_values=values
    )
    flags.DEFINE_string(
        "text", "", "Configuration text, for the targets.", flag_values=values
    )
    flags.DEFINE_bool(
        "check-answers", False, "Exit with 1 for a wrong answer.", flag_values=values
    )
    flags.DEFINE_bool(
        "allow-remote", False, "Allow targets beyond loopback.", flag_values=values
    )
    for name, text in (
        ("json", "File for the report."),
        ("history", "File for what each caller saw, JSON lines."),
        ("plot", "PNG file for plots."),
    ):
        flags.DEFINE_string(name, "", text, flag_values=values)


@command("load", "", "Send open-loop load to entries and report latencies.", _define)
def load(arguments: Sequence[str], values: flags.FlagValues) -> ExitCode:
    """Run a load plan."""
    entries = _entries(values)
    stages = _stages(values)
    plan = _plan(values, stages) if stages else None
    targets = _targets(values["text"].value or "")
    if entries is None or plan is None or targets is None:
        return ExitCode.USAGE
    timeout_s: float = values["timeout"].value or 120.0
    runner = LoadRunner(plan, entries, timeout_s * 1000)
    progress = gevent.spawn(_show_progress, runner)
    try:
        seen = runner.run()
    finally:
        progress.kill()
    report = make_report(seen, plan.seed, targets)
    return _write(report, seen, values)


def _entries(values: flags.FlagValues) -> list[SocketAddress] | None:
    texts: list[str] = values["target"].value or []
    if not texts:
        print_error("no entry; give --target=IP:PORT,…")
        return None
    if not all(_is_address(text) for text in texts):
        print_error("--target: expected IP:PORT, several with commas between")
        return None
    entries = [parse_address(text) for text in texts]
    remote = [e for e in entries if not ip_address(e.host).is_loopback]
    if remote and not values["allow-remote"].value:
        print_error(f"{remote[0]} is not on this machine; add --allow-remote")
        return None
    return entries


def _is_address(text: str) -> bool:
    if not re.match(ADDRESS_PATTERN, text):
        return False
    try:
        ip_address(text.partition(":")[0])
    except ValueError:
        return False
    return 0 < int(text.partition(":")[2]) <= 65535


def _stages(values: flags.FlagValues) -> tuple[LoadStage, ...] | None:
    stages = read_stages(values["stages"].value or [])
    if isinstance(stages, Invalid):
        print_error(f"--stages: {stages.problems[0]}")
        return None
    seconds = sum(stage.duration_ms for stage in stages.value) / 1000
    rate = max(max(s.from_rate_per_s, s.to_rate_per_s) for s in stages.value)
    if seconds > MAX_SECONDS or rate > MAX_RATE_PER_S:
        limits = f"{MAX_SECONDS:g} s and {MAX_RATE_PER_S:g} requests/s"
        print_error(f"--stages: at most {limits}")
        return None
    return stages.value


def _plan(values: flags.FlagValues, stages: tuple[LoadStage, ...]) -> LoadPlan | None:
    mix = [_read_mix(text) for text in values["mix"].value or []]
    if not mix or not all(mix):
        print_error("--mix: expected CLASS:WEIGHT:PROMPT_TOKENS:ANSWER_TOKENS, …")
        return None
    if ARRIVALS.get(values["arrivals"].value or "") is None:
        print_error(f"--arrivals: expected one of {', '.join(ARRIVALS.names())}")
        return None
    names: list[str] = values["customers"].value or []
    customers = [_read_customer(text) for text in names]
    # absl types every value as one that may be missing; each has a default here.
    given: dict[str, Any] = {name: values[name].value for name in values}
    return LoadPlan(
        stages,
        tuple(each for each in mix if each),
        tuple(customers) or (LoadCustomer(""),),
        given["arrivals"],
        given["model"],
        shared_prefix_fraction=given["shared"],
        continued_fraction=given["returning"],
        booking_fraction=given["bookings"],
        booking_retry_fraction=given["booking-retries"],
        booking_service=given["booking-service"],
        booking_class=given["booking-class"],
        seed=given["seed"],
        max_requests=given["max-requests"],
    )


def _read_customer(text: str) -> LoadCustomer:
    name, _, api_key = text.partition("=")
    return LoadCustomer(name, api_key)


def _read_mix(text: str) -> ClassMix | None:
    name, *numbers = text.split(":")
    try:
        mix = ClassMix(name, *[float(number) for number in numbers])
    except (ValueError, TypeError):
        return None
    sizes = (mix.weight, mix.prompt_tokens, mix.answer_tokens)
    return mix if name and all(0 < size <= 10_000 for size in sizes) else None


def _targets(path: str) -> dict[str, LatencyTarget] | None:
    if not path:
        return {}
    try:
        parsed = parse_catalog(Path(path).read_text(encoding="utf-8"), 1)
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"cannot read the text: {error}")
        return None
    if not isinstance(parsed, Ok):
        print_error(f"--text: {parsed.problems[0]}")
        return None
    return targets_of(parsed.value)


def targets_of(catalog: Catalog) -> dict[str, LatencyTarget]:
    """Return the target of each class."""
    return {name: each.target for name, each in catalog.class_by_name.items()}


def _show_progress(runner: LoadRunner) -> None:
    while True:
        gevent.sleep(PROGRESS_INTERVAL_S)
        now = runner.progress
        print(
            f"sent {now.sent}, open {now.open}, whole {now.whole}, "
            f"refused {now.refused}, other {now.other}",
            file=sys.stderr,
        )


def _write(
    report: LoadReport, seen: Sequence[RequestSeen], values: flags.FlagValues
) -> ExitCode:
    try:
        if values["json"].value:
            text = json.dumps(asdict(report), indent=1)
            Path(values["json"].value).write_text(text, encoding="utf-8")
        if values["history"].value:
            write_history(values["history"].value, seen)
        if values["plot"].value:
            write_plot(values["plot"].value, seen)
    except OSError as error:
        print_error(f"cannot write the results: {error}")
        return ExitCode.USAGE
    print(format_table(TABLE_TITLES, table_rows(report)))
    print(f"seed {report.seed}: {report.late_sends} of {report.offered} left late")
    if values["check-answers"].value:
        print(f"{report.wrong_answers} wrong answers")
        return ExitCode.INVALID if report.wrong_answers else ExitCode.DONE
    return ExitCode.DONE
