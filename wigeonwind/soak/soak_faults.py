"""Faults of the soak, drawn by seed; several may be in progress at a time."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random

import gevent

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.registry import Registry
from wigeonwind.soak.loopback_proxy import LoopbackProxy, ProxyFault
from wigeonwind.soak.soak_fleet import (
    DESKS,
    DRAIN_MS,
    ENGINES,
    SoakFleet,
    SoakRouter,
    SoakWorker,
)
from wigeonwind.soak.soak_records import (
    ALL_TARGETS,
    PART_CRASH,
    STORE,
    CrashingPart,
    Silence,
    soak_now_ms,
)
from wigeonwind.standins.platform_store import ObjectsByKind
from wigeonwind.standins.platform_worker import (
    Behaviour,
    ConnectionReset,
    ExtraResponse,
    NoResponse,
    NotExecuted,
    StaleResponse,
    TruncatedResponse,
)

RELIST_AFTER_S = 1.5
"""Time after the store's recovery until lapsed entries are registered again; the
platform guarantees at most 2 s."""

MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
PAUSED_STOP_SHARE = 0.25
"""Share of the stop signals that come to a paused process."""

MAX_STOP_PAUSE_S = 2.5
REMOVAL_DELAY_S = 0.5
"""Time for which a worker still serves after the end of its drain."""

CRASHING_PART = "engine-crashing-part"
CRASHING_PART_S = 13.0
"""Time for which a part crashes engines: some seconds for the crashes, and the time
after which sound requests must be served again."""

CRASHING_PART_SHARE = 0.5
"""Share of the runs of sufficient length in which a part crashes engines."""

CRASH_POLL_S = 0.05

STORE_RETURN = "store-returns"
STORE_RETURN_SHARE = 0.5
"""Share of the runs in which the store returns from a copy, once to three times."""

MAX_COPY_AGE_S = 5.0
MAX_UNNOTICED_S = 4.0
"""Time until a router whose calls do not fail has an answer of the new era: the longest
wait of its watch."""

SILENCE = "worker-silent"
SILENCE_SHARE = 0.5
"""Share of the runs in which sound workers fall silent."""

MAX_SILENCES = 6
"""Most workers that fall silent in a run; one may be drawn repeatedly."""

MIN_SILENCE_S, MAX_SILENCE_S = 1.0, 1.6
"""Duration of one silence. The platform says that a sound worker may be silent for a
second or so."""

WORKER_FAULTS: tuple[Behaviour, ...] = (
    TruncatedResponse(),
    StaleResponse(),
    ExtraResponse(),
    ConnectionReset(),
    NoResponse(),
    NotExecuted(),
)


@dataclass
class FaultContext:
    """The fleet that a fault acts on; `rng` draws its target and parameters.

    `pause_rng` draws the pauses of processes that get a stop signal.
    """

    fleet: SoakFleet
    rng: Random
    pause_rng: Random

    def draw_duration_s(self) -> float:
        """Draw the duration of a fault."""
        return self.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def draw_stop_pause_s(self) -> float:
        """Draw the pause of a process at its stop signal, 0 for most."""
        if self.pause_rng.random() >= PAUSED_STOP_SHARE:
            return 0.0
        return self.pause_rng.uniform(MIN_FAULT_S, MAX_STOP_PAUSE_S)

    def draw_worker(self) -> SoakWorker:
        """Draw a worker."""
        return self.rng.choice(self.fleet.workers)

    def draw_available_router(self) -> SoakRouter | None:
        """Draw a router that no other fault stops or pauses; None if there is none."""
        available = [each for each in self.fleet.routers if not each.is_under_fault]
        return self.rng.choice(available) if available else None


FaultAction = Callable[[FaultContext], None]
SOAK_FAULTS: Registry[FaultAction] = Registry("soak fault")


def draw_faults(
    seed: int, seconds: float, gap_s: float, only: tuple[str, ...]
) -> Iterator[tuple[float, str]]:
    """Yield (start time in seconds, fault name), ordered by time.

    CRASHING_PART, with at most one start, STORE_RETURN and SILENCE have random sources
    of their own.
    """
    names = [name for name in SOAK_FAULTS.names() if not only or name in only]
    faults = []
    if CRASHING_PART in names:
        names.remove(CRASHING_PART)
        rng = Random(f"{CRASHING_PART}/{seed}")
        is_drawn = bool(only) or rng.random() < CRASHING_PART_SHARE
        latest_s = seconds - CRASHING_PART_S
        if is_drawn and latest_s > 1.0:
            faults.append((rng.uniform(1.0, latest_s), CRASHING_PART))
    if STORE_RETURN in names:
        names.remove(STORE_RETURN)
        rng = Random(f"{STORE_RETURN}/{seed}")
        if only or rng.random() < STORE_RETURN_SHARE:
            faults += [
                (rng.uniform(1.0, max(1.0, seconds)), STORE_RETURN)
                for _ in range(rng.randint(1, 3))
            ]
    if SILENCE in names:
        names.remove(SILENCE)
        rng = Random(f"{SILENCE}/{seed}")
        if only or rng.random() < SILENCE_SHARE:
            faults += [
                (rng.uniform(1.0, max(1.0, seconds)), SILENCE)
                for _ in range(rng.randint(1, MAX_SILENCES))
            ]
    rng = Random(f"faults/{seed}")
    at_s = 1.0 + rng.expovariate(1.0 / gap_s)
    while names and at_s < seconds:
        faults.append((at_s, rng.choice(names)))
        at_s += rng.expovariate(1.0 / gap_s)
    yield from sorted(faults)


@contextmanager
def _disturbance(context: FaultContext, target: str, fault: str) -> Iterator[None]:
    """Record a disturbance for the duration of a `with` block."""
    disturbance = context.fleet.begin_disturbance(target, fault)
    try:
        yield
    finally:
        disturbance.end_ms = soak_now_ms()


def _inject_proxy_fault(
    context: FaultContext, proxy: LoopbackProxy, target: str, fault: ProxyFault
) -> None:
    with _disturbance(context, target, fault.value):
        proxy.fault = fault
        gevent.sleep(context.draw_duration_s())
        proxy.fault = ProxyFault.NONE


@SOAK_FAULTS.register("store-busy")
def _return_store_errors(context: FaultContext) -> None:
    with _disturbance(context, STORE, "busy"):
        context.fleet.store.faults.status = context.rng.choice((429, 503))
        gevent.sleep(context.draw_duration_s())
        context.fleet.store.faults.status = 0


@SOAK_FAULTS.register("store-lapse")
def _expire_entries(context: FaultContext) -> None:
    """Make the store unavailable; half of the entries lapse and are restored later."""
    fleet = context.fleet
    with _disturbance(context, STORE, "lapse"):
        fleet.store.faults.status = 503
        gevent.sleep(context.draw_duration_s())
        lapsed_count = 1 + len(fleet.workers) // 2
        lapsed = context.rng.sample(fleet.workers, lapsed_count)
        for worker in lapsed:
            fleet.store.remove("servers", worker.name)
        fleet.store.compact()
        fleet.store.faults.status = 0
        gevent.sleep(RELIST_AFTER_S)
        for worker in lapsed:
            if worker in fleet.workers:
                fleet.store.put("servers", worker.name, worker.entry())


@SOAK_FAULTS.register(STORE_RETURN)
def _return_store_from_copy(context: FaultContext) -> None:
    """Let the store return from a copy; what it has lost is written again later."""
    store, rng = context.fleet.store, context.rng
    copy = store.state.copy()
    gevent.sleep(rng.uniform(0.0, MAX_COPY_AGE_S))
    with _disturbance(context, STORE, "return"):
        is_away = rng.random() < 0.5
        if is_away:
            store.faults.status = 503
            gevent.sleep(rng.uniform(0.05, MAX_FAULT_S))
        latest = store.state.copy().objects_by_kind
        store.return_from(copy, is_noticed_by_watches=is_away or rng.random() < 0.5)
        if is_away:
            store.faults.status = 0
        copied = store.state.copy().objects_by_kind
        gevent.sleep(rng.uniform(0.1, RELIST_AFTER_S))
        _write_again(context, copied, latest)
        gevent.sleep(MAX_UNNOTICED_S)


def _write_again(
    context: FaultContext, copied: ObjectsByKind, latest: ObjectsByKind
) -> None:
    """Write what the operator and the workers know, unless it has changed since."""
    fleet = context.fleet
    state, names = fleet.store.state, {each.name for each in fleet.workers}
    for kind, name in (("config", "main"), *(("servers", each) for each in names)):
        stored = latest.get(kind, {}).get(name)
        before = copied.get(kind, {}).get(name)
        is_unchanged = state.objects_by_kind.get(kind, {}).get(name) == before
        if stored is not None and is_unchanged and stored != before:
            fleet.store.put(kind, name, stored.spec)
    for name in set(state.objects_by_kind.get("servers", {})) - names:
        fleet.store.remove("servers", name)


@SOAK_FAULTS.register("store-silent")
def _silence_store(context: FaultContext) -> None:
    with _disturbance(context, STORE, "silent"):
        context.fleet.store.faults.is_silent = True
        gevent.sleep(context.draw_duration_s())
        context.fleet.store.faults.is_silent = False


@SOAK_FAULTS.register("store-forgets")
def _compact_store(context: FaultContext) -> None:
    """Drop the event history of the store, so that watches must list again."""
    context.fleet.store.compact()


@SOAK_FAULTS.register("store-loses-answers")
def _lose_store_responses(context: FaultContext) -> None:
    """Let the store apply its next writes without a response."""
    context.fleet.store.faults.unanswered_writes += context.rng.randint(1, 3)


@SOAK_FAULTS.register("store-turns-one-away")
def _disconnect_store_from_router(context: FaultContext) -> None:
    """Block or reset the connections between one router and the store."""
    router = context.rng.choice(context.fleet.routers)
    fault = context.rng.choice(
        (ProxyFault.SILENT, ProxyFault.ONE_WAY, ProxyFault.REFUSED)
    )
    if fault is ProxyFault.REFUSED:
        router.store_proxy.reset_all()
    _inject_proxy_fault(context, router.store_proxy, router.name, fault)


@SOAK_FAULTS.register("store-connections-mute")
def _mute_store_connections(context: FaultContext) -> None:
    router = context.rng.choice(context.fleet.routers)
    with _disturbance(context, router.name, "mute"):
        router.store_proxy.mute_open_connections()


@SOAK_FAULTS.register("router-kill")
def _kill_router(context: FaultContext) -> None:
    router = context.draw_available_router()
    if router is not None:
        _restart_router(context, router, is_planned=False)


@SOAK_FAULTS.register("routers-killed-together")
def _kill_all_routers(context: FaultContext) -> None:
    """Kill all routers at once, except those that another fault stops or pauses."""
    available = [each for each in context.fleet.routers if not each.is_under_fault]
    kills = [
        gevent.spawn(_restart_router, context, router, is_planned=False)
        for router in available
    ]
    gevent.joinall(kills)


@SOAK_FAULTS.register("router-stop")
def _stop_router(context: FaultContext) -> None:
    router = context.draw_available_router()
    if router is not None:
        pause_s = context.draw_stop_pause_s()
        _restart_router(context, router, is_planned=True, pause_s=pause_s)


@SOAK_FAULTS.register("routers-stop-in-turn")
def _stop_routers_in_turn(context: FaultContext) -> None:
    """Restart one router after another, as a rollout does."""
    for router in list(context.fleet.routers):
        if not router.is_under_fault:
            _restart_router(context, router, is_planned=True)


def _restart_router(
    context: FaultContext,
    router: SoakRouter,
    is_planned: bool,
    pause_s: float = 0.0,
) -> None:
    fleet = context.fleet
    router.is_under_fault = True
    with _disturbance(context, router.name, "stop" if is_planned else "kill"):
        if pause_s:
            with _disturbance(context, router.name, "pause"):
                fleet.end_router(router, is_planned, pause_s)
        else:
            fleet.end_router(router, is_planned)
        gevent.sleep(context.rng.uniform(0.0, 0.5))
        fleet.start_router(router)
        with gevent.Timeout(MAX_FAULT_S, False):
            while not fleet.is_ready(router):
                gevent.sleep(0.05)
    router.is_under_fault = False


@SOAK_FAULTS.register("router-pause")
def _freeze_router(context: FaultContext) -> None:
    router = context.draw_available_router()
    if router is None or router.process is None:
        return
    router.is_under_fault = True
    with _disturbance(context, router.name, "pause"):
        router.process.freeze()
        gevent.sleep(context.draw_duration_s())
        router.process.thaw()
    router.is_under_fault = False


@SOAK_FAULTS.register("router-hang-up")
def _send_sighup_to_router(context: FaultContext) -> None:
    """Let a router reload its settings, which must affect no request."""
    router = context.draw_available_router()
    if router is not None and router.process is not None:
        router.process.send_sighup()


@SOAK_FAULTS.register("worker-path")
def _disconnect_worker(context: FaultContext) -> None:
    """Block or reset the connections between the routers and a worker."""
    worker = context.draw_worker()
    fault = context.rng.choice(
        (ProxyFault.SILENT, ProxyFault.ONE_WAY, ProxyFault.REFUSED)
    )
    _inject_proxy_fault(context, worker.proxy, worker.name, fault)


@SOAK_FAULTS.register("worker-slow")
def _delay_worker(context: FaultContext) -> None:
    worker = context.draw_worker()
    with _disturbance(context, worker.name, "slow"):
        worker.proxy.delay_ms = context.rng.uniform(20.0, 300.0)
        gevent.sleep(context.draw_duration_s())
        worker.proxy.delay_ms = 0.0


@SOAK_FAULTS.register(SILENCE)
def _silence_worker(context: FaultContext) -> None:
    """Let a sound worker send nothing for a second or so, one to three times."""
    worker, rng = context.draw_worker(), context.rng
    for _ in range(rng.randint(1, 3)):
        silence = Silence(worker.name, soak_now_ms())
        context.fleet.history.silences.append(silence)
        worker.proxy.holds_responses = True
        gevent.sleep(rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S))
        worker.proxy.holds_responses = False
        silence.end_ms = soak_now_ms()
        gevent.sleep(rng.uniform(0.0, 0.5))


@SOAK_FAULTS.register("worker-connections-reset")
def _reset_worker_connections(context: FaultContext) -> None:
    worker = context.draw_worker()
    with _disturbance(context, worker.name, "reset"):
        worker.proxy.reset_all()


@SOAK_FAULTS.register("worker-connections-mute")
def _mute_worker_connections(context: FaultContext) -> None:
    worker = context.draw_worker()
    with _disturbance(context, worker.name, "mute"):
        worker.proxy.mute_open_connections()


@SOAK_FAULTS.register("worker-garbles")
def _send_faulty_responses(context: FaultContext) -> None:
    """Let a worker answer its next requests with faults of `WORKER_FAULTS`."""
    worker = context.draw_worker()
    with _disturbance(context, worker.name, "garble"):
        faults = context.rng.choices(WORKER_FAULTS, k=context.rng.randint(1, 6))
        worker.double.scripted.extend(faults)
        gevent.sleep(context.draw_duration_s())
        worker.double.scripted.clear()


@SOAK_FAULTS.register("worker-crash")
def _crash_worker(context: FaultContext) -> None:
    """Crash a worker and start another, with the same id in half of the cases."""
    fleet, worker = context.fleet, context.draw_worker()
    name = worker.name if context.rng.random() < 0.5 else ""
    with _disturbance(context, worker.name, "crash"):
        fleet.remove_worker(worker)
        gevent.sleep(context.draw_duration_s())
        fleet.add_worker(worker.service, name)


@SOAK_FAULTS.register(CRASHING_PART)
def _crash_engines_by_part(context: FaultContext) -> None:
    """Let a prompt part crash each engine; another one replaces it after some time."""
    fleet = context.fleet
    part = CrashingPart(context.rng.getrandbits(31), soak_now_ms())
    fleet.history.crashing_parts.append(part)
    fleet.crashing.part_ids.add(part.part_id)
    crashed: list[SoakWorker] = []
    replacements: list[gevent.Greenlet] = []

    def replace_crashed() -> None:
        for worker in fleet.workers:
            if worker.double.crash_times_ms and worker not in crashed:
                crashed.append(worker)
                part.crash_times_ms += worker.double.crash_times_ms
                replacements.append(gevent.spawn(_replace_worker, context, worker))

    until_ms = part.begin_ms + CRASHING_PART_S * MS_PER_SECOND
    while soak_now_ms() < until_ms:
        gevent.sleep(CRASH_POLL_S)
        replace_crashed()
    fleet.crashing.part_ids.discard(part.part_id)
    part.end_ms = soak_now_ms()
    # Requests that are being prefilled still crash their workers.
    gevent.sleep(2 * fleet.crashing.prefill_ms / MS_PER_SECOND)
    replace_crashed()
    gevent.joinall(replacements)


def _replace_worker(context: FaultContext, worker: SoakWorker) -> None:
    """Start another worker some seconds after a crash; until then the entry remains."""
    fleet = context.fleet
    with _disturbance(context, worker.name, PART_CRASH):
        gevent.sleep(context.rng.uniform(1.0, 2.5))
        if worker in fleet.workers:
            fleet.remove_worker(worker)
            fleet.add_worker(worker.service)


@SOAK_FAULTS.register("worker-drain")
def _drain_worker(context: FaultContext) -> None:
    """Add a worker, then drain another of its service and remove it."""
    fleet, worker = context.fleet, context.draw_worker()
    if len([each for each in fleet.workers if each.service == worker.service]) < 2:
        return
    fleet.add_worker(worker.service)
    fleet.drain_worker(worker)
    gevent.sleep(DRAIN_MS / MS_PER_SECOND + REMOVAL_DELAY_S)
    if worker in fleet.workers:
        fleet.remove_worker(worker)


@SOAK_FAULTS.register("configuration")
def _change_configurations(context: FaultContext) -> None:
    rng = context.rng
    for _ in range(rng.randint(1, 3)):
        context.fleet.change_configuration(
            rng.choice((ENGINES, DESKS)), revoked_is_valid=rng.random() < 0.5
        )
        gevent.sleep(rng.uniform(0.0, 0.3))


@SOAK_FAULTS.register("everything-stands-still")
def _freeze_all_routers(context: FaultContext) -> None:
    """Freeze all routers at once, as a pause of their host would.

    Routers that another fault stops or pauses are excepted.
    """
    available = [each for each in context.fleet.routers if not each.is_under_fault]
    with _disturbance(context, ALL_TARGETS, "pause"):
        for router in available:
            router.is_under_fault = True
            if router.process is not None:
                router.process.freeze()
        gevent.sleep(context.draw_duration_s() / 2.0)
        for router in available:
            if router.process is not None:
                router.process.thaw()
            router.is_under_fault = False
