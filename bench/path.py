"""Measure the latency that entry and sidecar add to a request to an engine.

Store, engine test double, entry and sidecar run as separate processes. Each prompt is
sent first directly to the engine, then through entry and sidecar. A client waits for
each response before its next request.

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
flags.DEFINE_integer("calls", 400, "Number of prompts, each sent on both paths.")
flags.DEFINE_integer("parallel", 1, "Concurrent clients.")

MAX_LATENCY_US = 10_000_000
"""Highest latency that the histograms record."""

PYTHON = ".venv/bin/python"

ENGINE_CONFIG = {
    "slots": 128,
    "prefill_tokens_per_s": 1e6,
    "decode_ms_base": 2.0,
    "decode_ms_per_running": 0.001,
    "kv_limit_tokens": 500_000,
}


def start_module(*arguments: str) -> tuple[subprocess.Popen, list[str]]:
    """Start a module as a process; return it and the words of its first output line."""
    process = subprocess.Popen(
        [PYTHON, "-m", *arguments], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    return process, process.stdout.readline().decode().split()


def settings_source(name: str, role: str, store: str, more_settings: str) -> str:
    """Return the settings file of one daemon; `more_settings` is appended."""
    callers = "callers = 127.0.0.1:0\n" if role == "entry" else ""
    return (
        f"[node]\nid = {name}\nrole = {role}\nzone = zone-a\nregion = region-a\n"
        f"[listen]\n{callers}links = 127.0.0.1:0\noperators = 127.0.0.1:0\n"
        f"[platform]\nstore = {store}\n{more_settings}"
    )


def start_processes(folder: Path) -> tuple[list[subprocess.Popen], dict[str, str]]:
    """Start store, engine, entry and sidecar and submit the configuration.

    Returns the processes (sidecar, entry, engine, store) and the addresses of the entry
    and the engine by name.
    """
    store, output_words = start_module(
        "wigeonwind.standins.main", "--kind=object-store", "--listen=127.0.0.1:0"
    )
    store_address = output_words[1]
    engine, output_words = start_module(
        "wigeonwind.standins.main",
        "--kind=engine",
        "--listen=127.0.0.1:0",
        f"--engine={json.dumps(ENGINE_CONFIG)}",
    )
    engine_address = output_words[1]
    (folder / "entry.ini").write_text(
        settings_source("entry-1", "entry", store_address, "")
    )
    entry, output_words = start_module(
        "wigeonwind.daemon", f"--settings={folder}/entry.ini"
    )
    addresses = dict(zip(output_words[1::2], output_words[2::2], strict=True))
    sidecar_settings = (
        f"seeds = {addresses['links']}\n"
        "[endpoint]\nservice = wigeon-llm\nkind = model\n"
    )
    source = settings_source(
        "side-1",
        "side",
        store_address,
        f"{sidecar_settings}address = {engine_address}\n",
    )
    (folder / "side.ini").write_text(source)
    sidecar, _ = start_module("wigeonwind.daemon", f"--settings={folder}/side.ini")
    submit_command = [
        PYTHON,
        "-m",
        "wigeonwind.tool.main",
        "text",
        "submit",
        str(CONFIGURATION_PATH),
    ]
    entry_flag = f"--entry={addresses['operators']}"
    subprocess.check_output([*submit_command, "--base-version=0", entry_flag])
    return [sidecar, entry, engine, store], {**addresses, "engine": engine_address}


def timed_request(client: HTTPClient, prompt: str) -> float:
    """Send one request and return its latency in milliseconds."""
    messages = [{"role": "user", "content": prompt}]
    body = json.dumps({"model": "barley-7b", "messages": messages}).encode()
    started_s = time.perf_counter()
    headers = {"Content-Type": "application/json"}
    response = client.request("POST", "/v1/chat/completions", body, headers)
    data = response.read()
    assert response.status_code == 200, data
    return (time.perf_counter() - started_s) * 1000.0


def make_client(address: SocketAddress) -> HTTPClient:
    """Return a client that keeps its connections open."""
    return HTTPClient(
        address.host, address.port, concurrency=FLAGS.parallel, network_timeout=20.0
    )


def measure(addresses: dict[str, SocketAddress]) -> dict[str, HdrHistogram]:
    """Send every prompt to each address in turn.

    Returns the histogram of the latencies in microseconds by name of the address.
    """
    clients = {name: make_client(address) for name, address in addresses.items()}
    histograms = {name: HdrHistogram(1, MAX_LATENCY_US, 3) for name in addresses}
    rng = Random(FLAGS.seed)
    prompts = [f"question {rng.random()} len=4" for _ in range(FLAGS.calls)]

    def run_client(client_prompts: list[str]) -> None:
        for prompt in client_prompts:
            for name, client in clients.items():
                latency_ms = timed_request(client, prompt)
                histograms[name].record_value(int(latency_ms * 1000.0))

    prompts_by_client = [prompts[n :: FLAGS.parallel] for n in range(FLAGS.parallel)]
    gevent.joinall(
        [
            gevent.spawn(run_client, client_prompts)
            for client_prompts in prompts_by_client
        ],
        raise_error=True,
    )
    return histograms


def resident_kb(process: subprocess.Popen) -> int:
    """Return the resident memory of a process in kB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def main(_argv: list[str]) -> None:
    """Print the latencies, their difference, and the memory of entry and sidecar."""
    with tempfile.TemporaryDirectory() as folder:
        processes, addresses = start_processes(Path(folder))
        try:
            gevent.sleep(3.0)
            histograms = measure(
                {
                    "direct": parse_address(addresses["engine"]),
                    "path": parse_address(addresses["callers"]),
                }
            )
            for percentile in (50.0, 99.0):
                values = {
                    name: histogram.get_value_at_percentile(percentile) / 1000.0
                    for name, histogram in histograms.items()
                }
                added = values["path"] - values["direct"]
                print(f"p{percentile:g}: {values} added {added:.2f} ms")
            print(f"sidecar {resident_kb(processes[0])} kB resident")
            print(f"entry {resident_kb(processes[1])} kB resident")
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait()


if __name__ == "__main__":
    app.run(main)
