"""Keys and certificates of a process, read at start and reloaded on SIGHUP."""

import ssl
from collections.abc import Iterator
from pathlib import Path

from wigeonwind.addresses import parse_address
from wigeonwind.links.link import read_keys
from wigeonwind.links.link_types import LinkOptions
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.settings import LinkSettings, ListenSettings, Settings

LOOPBACK_PREFIX = "127."


def caller_tls_context(listen: ListenSettings) -> Ok[ssl.SSLContext | None] | Invalid:
    """Return the TLS context of the callers' listener, None if TLS is disabled."""
    if not listen.tls_certificate:
        return Ok(None)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    problem = load_certificate(
        context, "listen", listen.tls_certificate, listen.tls_key
    )
    return Ok(context) if problem is None else Invalid((problem,))


def load_certificate(
    context: ssl.SSLContext, section: str, certificate: str, key: str
) -> Problem | None:
    """Use a certificate for new connections.

    If it is invalid, keep the current one and return the problem.
    """
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(certificate, key)
        context.load_cert_chain(certificate, key)
    except (ssl.SSLError, OSError) as error:
        expected = "a certificate and its key"
        value = f"{certificate} ({error})"
        return Problem(section, "tls_certificate", value, expected)
    return None


def read_operators_key(path: str) -> str | Invalid:
    """Return the operators' key, "" if no file is set."""
    if not path:
        return ""
    try:
        key = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError):
        key = ""
    if key:
        return key
    # An empty or unreadable file must not disable authentication.
    expected = "a file with a key"
    return Invalid((Problem("listen", "operators_key_file", path, expected),))


def missing_key_problems(settings: Settings) -> Iterator[Problem]:
    """Yield a problem for each key that a listener outside loopback requires.

    Without the fleet key any process could join and send control commands, and without
    the operators' key anybody could change the configuration.
    """
    listen = settings.listen
    if not _is_loopback(listen.links) and not settings.links.key_file:
        expected = f"a key file, as the links listener is on {listen.links}"
        yield Problem("links", "key_file", "", expected)
    operators = listen.operators
    if operators and not _is_loopback(operators) and not listen.operators_key_file:
        expected = f"a key file, as the operators listener is on {operators}"
        yield Problem("listen", "operators_key_file", "", expected)


def _is_loopback(address: str) -> bool:
    return parse_address(address).host.startswith(LOOPBACK_PREFIX)


def reload_link_credentials(
    settings: LinkSettings, options: LinkOptions
) -> Iterator[Problem]:
    """Reload the fleet keys and certificates, for links that are opened later."""
    try:
        keys = read_keys(settings.key_file)
    except OSError:
        keys = (b"",)
    if settings.key_file and not keys[0]:
        expected = "a file with a key"
        yield Problem("links", "key_file", settings.key_file, expected)
    else:
        options.key, options.more_keys = keys[0], keys[1:]
    for context in (options.server_tls, options.client_tls):
        if context is not None:
            problem = load_certificate(
                context, "links", settings.tls_certificate, settings.tls_key
            )
            if problem is not None:
                yield problem
