"""HTTP client for the operators' API of an entry."""

import json
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from absl import flags
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from wigeonwind.addresses import SocketAddress, parse_address
from wigeonwind.key_file import read_key_file
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.settings import ADDRESS_PATTERN
from wigeonwind.tool.commands import ExitCode, print_error

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 60.0
"""An entry may retry the store for several seconds and then waits up to 5 s for the
zones to confirm."""


@dataclass(frozen=True)
class EntryResponse:
    """Status and JSON fields of an entry's response."""

    status: int
    fields: Mapping[str, Any]


@dataclass(frozen=True)
class NoResponse:
    """No entry answered; if `maybe_processed`, one may have handled the request."""

    reason: str
    maybe_processed: bool


class EntryClient:
    """Calls the first of several entries that answers.

    Every call is safe to repeat, a submission because it carries its id.
    """

    def __init__(self, addresses: Sequence[SocketAddress], key: str) -> None:
        self._addresses = addresses
        self._key = key

    def call(
        self, method: str, path: str, fields: Mapping[str, Any] | None = None
    ) -> EntryResponse | NoResponse:
        """Send the request to one entry after another until one answers."""
        body = b"" if fields is None else json.dumps(dict(fields)).encode()
        reasons: list[str] = []
        maybe_processed = False
        for address in self._addresses:
            result = self._call_one(address, method, path, body)
            if isinstance(result, EntryResponse):
                return result
            reasons.append(f"{address}: {result.reason}")
            maybe_processed = maybe_processed or result.maybe_processed
        return NoResponse("; ".join(reasons), maybe_processed)

    def _call_one(
        self, address: SocketAddress, method: str, path: str, body: bytes
    ) -> EntryResponse | NoResponse:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        client = HTTPClient(
            address.host,
            address.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=RESPONSE_TIMEOUT_S,
        )
        try:
            response = client.request(method, path, body, headers)
            fields = json.loads(response.read())
            return EntryResponse(response.status_code, fields)
        except ConnectionRefusedError:
            return NoResponse("connection refused", maybe_processed=False)
        except (OSError, HTTPParseError) as error:
            return NoResponse(str(error) or type(error).__name__, maybe_processed=True)
        except ValueError:
            return NoResponse("the response is not valid JSON", maybe_processed=True)
        finally:
            client.close()


def client_from_flags(values: flags.FlagValues) -> Ok[EntryClient] | Invalid:
    """Return a client for `--entry` and `--key-file`, or the invalid flag."""
    entries: list[str] = values["entry"].value or []
    malformed = [entry for entry in entries if not re.match(ADDRESS_PATTERN, entry)]
    if malformed or not entries:
        value = ", ".join(malformed)
        return Invalid((Problem("", "--entry", value, "IP:PORT of an entry"),))
    path = str(values["key-file"].value)
    try:
        key = read_key_file(path)
    except OSError as error:
        return Invalid((Problem("", "--key-file", path, f"a readable file ({error})"),))
    return Ok(EntryClient([parse_address(entry) for entry in entries], key))


def report_failed_call(result: EntryResponse | NoResponse) -> ExitCode | None:
    """Print why a call failed and return the exit code; None for a usable response."""
    if isinstance(result, NoResponse):
        print_error(f"no entry answered ({result.reason}); try another --entry")
        return ExitCode.UNAVAILABLE
    if result.status == 401:
        print_error("the entry rejected the operators' API key; set --key-file")
        return ExitCode.REFUSED
    if "error" in result.fields:
        message = result.fields["error"].get("message", "")
        print_error(f"the entry answered with status {result.status}: {message}")
        return ExitCode.USAGE
    return None


def call_entry(
    values: flags.FlagValues, method: str, path: str, fields: Any
) -> EntryResponse | ExitCode:
    """Call an entry; on failure print an error and return the exit code."""
    client: Ok[EntryClient] | Invalid = client_from_flags(values)
    if isinstance(client, Invalid):
        print_error(str(client.problems[0]))
        return ExitCode.USAGE
    result = client.value.call(method, path, fields)
    exit_code = report_failed_call(result)
    if exit_code is not None or isinstance(result, NoResponse):
        return exit_code or ExitCode.UNAVAILABLE
    return result
