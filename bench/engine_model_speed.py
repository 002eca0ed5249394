"""Measure the speed of the engine model, which runs in virtual time.

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
flags.DEFINE_float("requests_per_s", 300.0, "Requests per second of virtual time.")
flags.DEFINE_float("virtual_s", 60.0, "Simulated seconds.")
flags.DEFINE_integer("seed", 1, "Seed of arrivals and token counts.")
flags.DEFINE_bool("partial", False, "Report partial answers at each event.")

NEVER_MS = 1e18
"""Time of the next event of an engine that has none."""


def main(_argv: list[str]) -> None:
    """Run engines under Poisson arrivals and print the events and tokens per second."""
    rng = Random(FLAGS.seed)
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
    next_events = [(NEVER_MS, index) for index in range(len(models))]
    heapify(next_events)
    while True:
        next_ms, index = next_events[0]
        if min(next_ms, arrival_ms) > end_ms:
            break
        if arrival_ms <= next_ms:
            index = requests % len(models)
            token_counts = (rng.randint(50, 800), rng.randint(10, 200))
            models[index].submit(
                EngineRequest(f"r{requests}", *token_counts), arrival_ms
            )
            requests += 1
            position = next(
                at for at, item in enumerate(next_events) if item[1] == index
            )
            next_events[position] = (models[index].next_event_ms() or NEVER_MS, index)
            heapify(next_events)
            arrival_ms += rng.expovariate(FLAGS.requests_per_s) * 1000.0
            continue
        for event in models[index].advance(next_ms, FLAGS.partial):
            events += 1
            if isinstance(event, TokensProduced):
                tokens += event.count
        heapreplace(next_events, (models[index].next_event_ms() or NEVER_MS, index))
    elapsed_s = time.perf_counter() - started_s
    finished = sum(model.counters().finished for model in models)
    print(
        f"virtual {FLAGS.virtual_s:.0f} s in {elapsed_s:.2f} s: requests {requests}, "
        f"finished {finished}, events {events} ({events / elapsed_s:.0f}/s), "
        f"tokens {tokens} ({tokens / elapsed_s:.0f}/s)"
    )


if __name__ == "__main__":
    app.run(main)
