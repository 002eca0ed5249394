"""Measure what the whole path adds to a call of the engine, with real processes.

The same prompts go straight to the engine double and through entry and sidecar, in
turn, from one client that waits for each answer.

    python -m bench.path --seed=1 --calls=400
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402
from random import Random  # noqa: E402

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402
from gevent import subprocess  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from wigeonwind.addresses import SocketAddress, parse_address  # noqa: E402
from wigeonwind.runtime.demo import CONFIGURATION_PATH  # noqa: E402

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the prompts.")
flags.DEFINE_integer("calls", 400, "Calls of each kind.")
flags.DEFINE_integer("parallel", 1, "Clients at a time.")

BUSY_US = 10_000_000
"""Longest latency that is told apart, in microseconds."""

PYTHON = ".venv/bin/python"

ENGINE = {
    "slots": 128,
    "prefill_tokens_per_s": 1e6,
    "decode_ms_base": 2.0,
    "decode_ms_per_running": 0.001,
    "kv_limit_tokens": 500_000,
}


def start(*words: str) -> tuple[subprocess.Popen, list[str]]:
    """Start a program and return it with the words of its first line."""
    child = subprocess.Popen(
        [PYTHON, "-m", *words], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    return child, child.stdout.readline().decode().split()


def settings_of(name: str, role: str, store: str, rest: str) -> str:
    """Return the settings of one daemon."""
    callers = "callers = 127.0.0.1:0\n" if role == "entry" else ""
    return (
        f"[node]\nid = {name}\nrole = {role}\nzone = zone-a\nregion = region-a\n"
        f"[listen]\n{callers}links = 127.0.0.1:0\noperators = 127.0.0.1:0\n"
        f"[platform]\nstore = {store}\n{rest}"
    )


def start_path(folder: Path) -> tuple[list[subprocess.Popen], dict[str, str]]:
    """Start store, engine, entry and sidecar; return them and their addresses."""
    store, words = start(
        "wigeonwind.standins.main", "--kind=object-store", "--listen=127.0.0.1:0"
    )
    store_at = words[1]
    engine, words = start(
        "wigeonwind.standins.main",
        "--kind=engine",
        "--listen=127.0.0.1:0",
        f"--engine={json.dumps(ENGINE)}",
    )
    engine_at = words[1]
    (folder / "entry.ini").write_text(settings_of("entry-1", "entry", store_at, ""))
    entry, words = start("wigeonwind.daemon", f"--settings={folder}/entry.ini")
    at = dict(zip(words[1::2], words[2::2], strict=True))
    rest = f"seeds = {at['links']}\n[endpoint]\nservice = wigeon-llm\nkind = model\n"
    source = settings_of("side-1", "side", store_at, f"{rest}address = {engine_at}\n")
    (folder / "side.ini").write_text(source)
    side, _ = start("wigeonwind.daemon", f"--settings={folder}/side.ini")
    tool = [
        PYTHON,
        "-m",
        "wigeonwind.tool.main",
        "text",
        "submit",
        str(CONFIGURATION_PATH),
    ]
    flag = f"--entry={at['operators']}"
    subprocess.check_output([*tool, "--base-version=0", flag])
    return [side, entry, engine, store], {**at, "engine": engine_at}


def call(client: HTTPClient, prompt: str) -> float:
    """Make one call and return its latency in milliseconds."""
    messages = [{"role": "user", "content": prompt}]
    body = json.dumps({"model": "barley-7b", "messages": messages}).encode()
    began = time.perf_counter()
    headers = {"Content-Type": "application/json"}
    response = client.request("POST", "/v1/chat/completions", body, headers)
    data = response.read()
    assert response.status_code == 200, data
    return (time.perf_counter() - began) * 1000.0


def client_of(address: SocketAddress) -> HTTPClient:
    """Return a client with kept connections."""
    return HTTPClient(
        address.host, address.port, concurrency=FLAGS.parallel, network_timeout=20.0
    )


def measure(addresses: dict[str, SocketAddress]) -> dict[str, HdrHistogram]:
    """Call each address in turn with the same prompts."""
    clients = {name: client_of(address) for name, address in addresses.items()}
    histograms = {name: HdrHistogram(1, BUSY_US, 3) for name in addresses}
    random = Random(FLAGS.seed)
    prompts = [f"question {random.random()} len=4" for _ in range(FLAGS.calls)]

    def work(own: list[str]) -> None:
        for prompt in own:
            for name, client in clients.items():
                latency_ms = call(client, prompt)
                histograms[name].record_value(int(latency_ms * 1000.0))

    parts = [prompts[n :: FLAGS.parallel] for n in range(FLAGS.parallel)]
    gevent.joinall([gevent.spawn(work, part) for part in parts], raise_error=True)
    return histograms


def resident_kb(child: subprocess.Popen) -> int:
    """Return the resident memory of a child in kB."""
    lines = Path(f"/proc/{child.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def main(_argv: list[str]) -> None:
    """Print latencies, what the path adds, and the memory of the daemons."""
    with tempfile.TemporaryDirectory() as folder:
        children, at = start_path(Path(folder))
        try:
            gevent.sleep(3.0)
            found = measure(
                {
                    "direct": parse_address(at["engine"]),
                    "path": parse_address(at["callers"]),
                }
            )
            for share in (50.0, 99.0):
                values = {
                    name: histogram.get_value_at_percentile(share) / 1000.0
                    for name, histogram in found.items()
                }
                added = values["path"] - values["direct"]
                print(f"p{share:g}: {values} added {added:.2f} ms")
            print(f"sidecar {resident_kb(children[0])} kB resident")
            print(f"entry {resident_kb(children[1])} kB resident")
        finally:
            for child in children:
                child.terminate()
            for child in children:
                child.wait()


if __name__ == "__main__":
    app.run(main)
