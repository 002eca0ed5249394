"""Keys and certificates: access to services, links, control commands and the API."""

import shutil
import ssl
import subprocess
from pathlib import Path

import gevent
import pytest
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from sidecar_fakes import wait_until

from wigeonwind.links.link import LinkOptions, connect_link
from wigeonwind.links.messages import Hello, Order
from wigeonwind.outcomes import Failure, Invalid, Ok
from wigeonwind.runtime.demo import CONFIGURATION_PATH, settings_source, start_fleet
from wigeonwind.runtime.process import build_process
from wigeonwind.settings import read_settings

CALLER_KEY = "example key of tartu-maltsters"


def make_certificate(directory: Path, name: str) -> tuple[str, str]:
    certificate, key = directory / f"{name}.pem", directory / f"{name}.key"
    command = ["openssl", "req", "-x509", "-newkey", "ec", "-nodes", "-days", "2"]
    command += ["-pkeyopt", "ec_paramgen_curve:prime256v1", "-subj", f"/CN={name}"]
    command += ["-addext", "subjectAltName=IP:127.0.0.1"]
    command += ["-keyout", str(key), "-out", str(certificate)]
    subprocess.run(command, check=True, capture_output=True)
    return str(certificate), str(key)


@pytest.fixture
def certificate(tmp_path):
    if shutil.which("openssl") is None:
        pytest.skip("the certificate of this test needs the openssl command")
    return make_certificate(tmp_path, "first")


class ProcessSettings:
    """Settings of one process, to whose sections lines can be added."""

    def __init__(self, role="entry", endpoint=""):
        self.source = settings_source("p-1", role, "tartu-a", "127.0.0.1:1", "")
        self.source += endpoint

    def add(self, section, *lines):
        block = "\n".join([f"[{section}]", *lines])
        if f"[{section}]" in self.source:
            self.source = self.source.replace(f"[{section}]", block)
        else:
            self.source += block + "\n"
        return self

    def build(self):
        read = read_settings(self.source)
        return build_process(read.value) if isinstance(read, Ok) else read

    def start(self, processes):
        built = self.build()
        assert isinstance(built, Ok), built
        processes.append(built.value)
        return built.value, built.value.start()


@pytest.fixture
def processes():
    started = []
    yield started
    for process in started:
        process.stop()


def https_status(address, authority):
    context = ssl.create_default_context(cafile=authority)
    client = HTTPClient(
        address.host, address.port, ssl=True, ssl_context_factory=lambda: context
    )
    try:
        return client.request("GET", "/healthz").status_code
    finally:
        client.close()


def test_callers_over_tls_and_a_new_certificate_without_restart(
    certificate, tmp_path, processes
):
    # Guards against unencrypted HTTP despite TLS settings, and a new certificate that
    # takes effect only after a restart.
    file, key = certificate
    settings = ProcessSettings().add(
        "listen", f"tls_certificate = {file}", f"tls_key = {key}"
    )
    process, addresses = settings.start(processes)
    assert https_status(addresses.callers, file) == 200
    with pytest.raises((OSError, HTTPParseError)):
        plain = HTTPClient(addresses.callers.host, addresses.callers.port)
        plain.request("GET", "/healthz")
    other, other_key = make_certificate(tmp_path, "second")
    shutil.copy(other, file)
    assert process.reload() != (), "the key does not belong to the new certificate"
    shutil.copy(other_key, key)
    assert process.reload() == ()
    assert https_status(addresses.callers, other) == 200
    with pytest.raises(ssl.SSLError):
        https_status(addresses.callers, make_unrelated_certificate(tmp_path))


def make_unrelated_certificate(tmp_path):
    return make_certificate(tmp_path, "third")[0]


def test_a_caller_that_does_not_finish_the_handshake_is_dropped(certificate, processes):
    # Guards against connections that a silent TLS caller holds forever.
    file, key = certificate
    settings = ProcessSettings().add(
        "listen", f"tls_certificate = {file}", f"tls_key = {key}"
    )
    settings.add("limits", "read_timeout_ms = 100")
    _, addresses = settings.start(processes)
    sock = gevent.socket.create_connection(
        (addresses.callers.host, addresses.callers.port)
    )
    with gevent.Timeout(5.0):
        assert sock.recv(100) == b""
    assert https_status(addresses.callers, file) == 200


class Recorder:
    """Link handler that records the messages it receives."""

    def __init__(self):
        self.messages = []

    def on_up(self, link):
        pass

    def on_message(self, link, message):
        self.messages.append(message)

    def on_down(self, link, reason):
        pass


def join(address, key):
    def hello():
        return Hello("stranger", 1, "entry", "tartu-a", "", 0)

    return connect_link(address, hello, Recorder(), LinkOptions(key=key))


def test_without_the_fleet_key_no_process_joins_or_sends_commands(tmp_path, processes):
    # Guards against membership and control commands of an unauthenticated process.
    file = tmp_path / "fleet.key"
    file.write_text("old\n")
    endpoint = "[endpoint]\nservice = s\nkind = model\naddress = 127.0.0.1:1\n"
    settings = ProcessSettings("side", endpoint).add("links", f"key_file = {file}")
    process, addresses = settings.start(processes)
    commands = []
    process.sidecar._handler_by_type[Order] = lambda link, command: commands.append(
        command
    )
    command = Order("o1", 1, "load_model", "m", "2", "")
    counts = process.node.options.counts
    for number, key in enumerate((b"", b"wrong"), start=1):
        joined = join(addresses.links, key)
        if isinstance(joined, Ok):
            joined.value.send(command)
        wait_until(lambda number=number: counts.refused == number)
    assert process.node.members.record("stranger") is None
    assert counts.opened == 0 and commands == []
    file.write_text("new\nold\n")
    assert process.reload() == ()
    # The process signs with the new key now, which this peer does not accept.
    assert isinstance(join(addresses.links, b"old"), Failure)
    joined = join(addresses.links, b"new")
    assert isinstance(joined, Ok)
    joined.value.send(command)
    wait_until(lambda: commands == [command])
    file.write_text("")
    assert process.reload() != ()
    assert process.node.options.key == b"new"


def test_keys_are_required_outside_loopback():
    # Guards against a fleet that any host in its network can join.
    settings = ProcessSettings()
    settings.source = settings.source.replace(
        "links = 127.0.0.1", "links = 10.0.0.1"
    ).replace("operators = 127.0.0.1", "operators = 10.0.0.1")
    built = settings.build()
    assert isinstance(built, Invalid)
    named = {(each.section, each.key) for each in built.problems}
    assert named == {("links", "key_file"), ("listen", "operators_key_file")}


def test_callers_keys_and_operators_key_are_not_interchangeable(tmp_path, processes):
    # Guards against callers that can read or change the configuration, and against keys
    # in responses.
    file = tmp_path / "operators.key"
    file.write_text("operators-secret\n")
    settings = ProcessSettings().add("listen", f"operators_key_file = {file}")
    _, addresses = settings.start(processes)

    def status(address, path, key):
        client = HTTPClient(address.host, address.port)
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        response = client.request("GET", path, headers=headers)
        body = bytes(response.read())
        client.close()
        assert b"secret" not in body and CALLER_KEY.encode() not in body
        return response.status_code

    for key in ("", CALLER_KEY, "operators-secre", "é"):
        assert status(addresses.operators, "/admin/text", key) == 401
    assert status(addresses.operators, "/admin/text", "operators-secret") == 200
    assert status(addresses.callers, "/admin/text", "operators-secret") == 404
    file.write_text("next\n")
    processes[0].reload()
    assert status(addresses.operators, "/admin/text", "operators-secret") == 401


def test_no_key_appears_in_output_traces_metrics_or_errors(
    tmp_path, monkeypatch, capfd
):
    # Guards against keys in logs and traces, which more people may read.
    from wigeonwind.runtime.tracing import make_tracer
    from wigeonwind.settings import TraceSettings

    spans = tmp_path / "spans.jsonl"
    traced = TraceSettings(file=str(spans))
    monkeypatch.setattr(
        "wigeonwind.runtime.process.make_tracer",
        lambda _, name, role: make_tracer(traced, name, role),
    )
    key = "very-secret-key"
    fleet = start_fleet(CONFIGURATION_PATH.read_text())
    seen = []
    try:
        for path in ("/v1/chat/completions", "/svc/spot-desk/bookings", "/x"):
            for body in (b"{", b'{"model": "barley-7b", "messages": [{}]}'):
                client = HTTPClient(fleet.callers[0].host, fleet.callers[0].port)
                headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "k"}
                response = client.request("POST", path, body, headers)
                seen.append(bytes(response.read()) + str(response.headers).encode())
                client.close()
        seen += [each.metrics.render() for each in [*fleet.entries, *fleet.sidecars]]
    finally:
        fleet.stop()
    output = capfd.readouterr()
    seen += [spans.read_bytes(), output.out.encode(), output.err.encode()]
    assert spans.stat().st_size > 0
    assert not any(key.encode() in each for each in seen)
