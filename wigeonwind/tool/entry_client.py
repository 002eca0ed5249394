"""Calls the operators' interface of an entry."""

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
ANSWER_TIMEOUT_S = 60.0
"""An entry may try the store for some seconds and wait 5 s for the zones."""


@dataclass(frozen=True)
class EntryAnswer:
    """Status and JSON fields of an entry's answer."""

    status: int
    fields: Mapping[str, Any]


@dataclass(frozen=True)
class NoAnswer:
    """No entry answered; `maybe_done` says that one may have got the request."""

    reason: str
    maybe_done: bool


class EntryClient:
    """Calls one of several entries; the next one is tried when one does not answer.

    All calls may be repeated: a submission carries its id.
    """

    def __init__(self, addresses: Sequence[SocketAddress], key: str) -> None:
        self._addresses = addresses
        self._key = key

    def call(
        self, method: str, path: str, fields: Mapping[str, Any] | None = None
    ) -> EntryAnswer | NoAnswer:
        """Make one call."""
        body = b"" if fields is None else json.dumps(dict(fields)).encode()
        reasons: list[str] = []
        maybe_done = False
        for address in self._addresses:
            result = self._call_one(address, method, path, body)
            if isinstance(result, EntryAnswer):
                return result
            reasons.append(f"{address}: {result.reason}")
            maybe_done = maybe_done or result.maybe_done
        return NoAnswer("; ".join(reasons), maybe_done)

    def _call_one(
        self, address: SocketAddress, method: str, path: str, body: bytes
    ) -> EntryAnswer | NoAnswer:
        headers = {"Content-Type": "application/json"}
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        client = HTTPClient(
            address.host,
            address.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=ANSWER_TIMEOUT_S,
        )
        try:
            response = client.request(method, path, body, headers)
            answer = json.loads(response.read())
            return EntryAnswer(response.status_code, answer)
        except ConnectionRefusedError:
            return NoAnswer("connection refused", maybe_done=False)
        except (OSError, HTTPParseError) as error:
            return NoAnswer(str(error) or type(error).__name__, maybe_done=True)
        except ValueError:
            return NoAnswer("the answer is no JSON", maybe_done=True)
        finally:
            client.close()


def client_from_flags(values: flags.FlagValues) -> Ok[EntryClient] | Invalid:
    """Return a client for the flags `--entry` and `--key-file`."""
    entries: list[str] = values["entry"].value or []
    wrong = [entry for entry in entries if not re.match(ADDRESS_PATTERN, entry)]
    if wrong or not entries:
        value = ", ".join(wrong)
        return Invalid((Problem("", "--entry", value, "IP:PORT of an entry"),))
    file = str(values["key-file"].value)
    try:
        key = read_key_file(file)
    except OSError as error:
        return Invalid((Problem("", "--key-file", file, f"a file ({error})"),))
    return Ok(EntryClient([parse_address(entry) for entry in entries], key))


def exit_code_of(result: EntryAnswer | NoAnswer) -> ExitCode | None:
    """Report a call that brought no usable answer; None if it did."""
    if isinstance(result, NoAnswer):
        print_error(f"no entry answered ({result.reason}); try another --entry")
        return ExitCode.UNAVAILABLE
    if result.status == 401:
        print_error("the entry refused the operators' key; give --key-file")
        return ExitCode.REFUSED
    if "error" in result.fields:
        message = result.fields["error"].get("message", "")
        print_error(f"the entry answered {result.status}: {message}")
        return ExitCode.USAGE
    return None


def call_entry(
    values: flags.FlagValues, method: str, path: str, fields: Any
) -> EntryAnswer | ExitCode:
    """Call an entry; print what went wrong and return the exit code if it did."""
    client: Ok[EntryClient] | Invalid = client_from_flags(values)
    if isinstance(client, Invalid):
        print_error(str(client.problems[0]))
        return ExitCode.USAGE
    result = client.value.call(method, path, fields)
    failed = exit_code_of(result)
    if failed is not None or isinstance(result, NoAnswer):
        return failed or ExitCode.UNAVAILABLE
    return result
