"""Measure how fast engine models run in virtual time.

Run: .venv/bin/python -m bench.engine_model_speed --engines=10 --requests_per_s=300
"""

import time
from heapq import heapify, heapreplace
from random import Random

from absl import app, flags

from wigeonwind.standins.engine_model import EngineModel
from wigeonwind.standins.engine_types import EngineConfig, EngineRequest, TokensProduced

FLAGS = flags.FLAGS
flags.DEFINE_integer("engines", 10, "Number of engines.")
flags.DEFINE_float("requests_per_s", 300.0, "Requests a second of virtual time.")
flags.DEFINE_float("virtual_s", 60.0, "Virtual seconds simulated.")
flags.DEFINE_integer("seed", 1, "Seed of arrivals and lengths.")
flags.DEFINE_bool("partial", False, "Report unfinished progress at each event.")

NEVER_MS = 1e18


def main(_argv: list[str]) -> None:
    """Run engines under Poisson arrivals and print the rates."""
    random = Random(FLAGS.seed)
    config = EngineConfig(
        slots=64,
        prefill_tokens_per_s=40_000.0,
        decode_ms_per_running=0.1,
        kv_limit_tokens=200_000,
    )
    models = [EngineModel(config) for _ in range(FLAGS.engines)]
    started_s = time.perf_counter()
    requests = events = tokens = 0
    arrival_ms = 0.0
    end_ms = FLAGS.virtual_s * 1000.0
    due = [(NEVER_MS, index) for index in range(len(models))]
    heapify(due)
    while True:
        next_ms, index = due[0]
        if min(next_ms, arrival_ms) > end_ms:
            break
        if arrival_ms <= next_ms:
            index = requests % len(models)
            size = (random.randint(50, 800), random.randint(10, 200))
            models[index].submit(EngineRequest(f"r{requests}", *size), arrival_ms)
            requests += 1
            position = next(at for at, item in enumerate(due) if item[1] == index)
            due[position] = (models[index].next_event_ms() or NEVER_MS, index)
            heapify(due)
            arrival_ms += random.expovariate(FLAGS.requests_per_s) * 1000.0
            continue
        for event in models[index].advance(next_ms, FLAGS.partial):
            events += 1
            if isinstance(event, TokensProduced):
                tokens += event.count
        heapreplace(due, (models[index].next_event_ms() or NEVER_MS, index))
    took_s = time.perf_counter() - started_s
    finished = sum(model.counters().finished for model in models)
    print(
        f"virtual {FLAGS.virtual_s:.0f} s in {took_s:.2f} s: requests {requests}, "
        f"finished {finished}, events {events} ({events / took_s:.0f}/s), "
        f"tokens {tokens} ({tokens / took_s:.0f}/s)"
    )


if __name__ == "__main__":
    app.run(main)
