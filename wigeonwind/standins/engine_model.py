"""A deterministic model of a continuous-batching engine in virtual time.

Each iteration yields one token for every decoding request and prefills a bounded number
of prompt tokens, so prefill delays the running batch. Equal iterations are computed
together; the result does not depend on how often `advance` is called. All times are
milliseconds of one monotonic clock.
"""

from collections.abc import Iterator

from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.standins.engine_batch import TIME_TOLERANCE_MS, BatchScheduler
from wigeonwind.standins.engine_decode import IterationRun, RequestState, Stage
from wigeonwind.standins.engine_orders import LOAD_MODEL, ControlState
from wigeonwind.standins.engine_reports import LoadHistory
from wigeonwind.standins.engine_types import (
    KV_DROP,
    KV_EXPORT,
    CacheEventBatch,
    CommandAccepted,
    CommandFailed,
    CommandFenced,
    EngineCommand,
    EngineConfig,
    EngineCounters,
    EngineEvent,
    EngineLoad,
    EngineRequest,
    KvExported,
    KvImported,
    KvRefused,
    RefusalReason,
    RequestAccepted,
    RequestRefused,
    RequestStopped,
    RequestUnknown,
)
from wigeonwind.standins.prefix_cache import PrefixCache


class EngineModel:
    """One engine. Every call first advances the engine to the given `now_ms`.

    >>> engine = EngineModel(EngineConfig(decode_ms_base=10, decode_ms_per_running=0))
    >>> engine.submit(EngineRequest("a", 80, 3), 0.0)
    RequestAccepted(request_id='a')
    >>> engine.next_event_ms()
    20.0
    >>> first, rest, done = engine.advance(100.0)
    >>> list(first.times()), list(rest.times())
    ([(0, 20.0)], [(1, 30.0), (2, 40.0)])
    >>> done
    RequestDone(request_id='a', at_ms=40.0, tokens=3, cached_tokens=0)
    """

    def __init__(self, config: EngineConfig) -> None:
        assert config.decode_ms_base > 0, "an iteration must take time"
        self.config = config
        self.event_lag_ms = config.event_lag_ms
        self.control = ControlState(config)
        self.load_history = LoadHistory(config.report_lag_ms)
        self._cache = PrefixCache(
            config.prefix_cache_tokens, config.event_gap, config.seed
        )
        self._scheduler = BatchScheduler(config, self._cache)
        self._iterations: IterationRun | None = None
        # Tokens of KV cache outside the KV memory, and when they are available.
        self._host_kv_by_request: dict[str, tuple[int, float]] = {}
        self._last_seq = 0
        self._current_ms = 0.0
        self._crashed = False
        self._crash_after_tokens: int | None = None
        self._frozen_at_ms: float | None = None
        self._record_load(0.0)

    @property
    def crashed(self) -> bool:
        """Return whether the engine has crashed and has not been restarted."""
        return self._crashed

    @property
    def frozen(self) -> bool:
        """Return whether the engine makes no progress."""
        return self._frozen_at_ms is not None

    def counters(self) -> EngineCounters:
        """Return the counters since the engine was created."""
        return self._scheduler.counters()

    def advance(self, now_ms: float, partial: bool = True) -> Iterator[EngineEvent]:
        """Advance the engine to `now_ms` and yield the events since the last call.

        Without `partial`, a request's tokens after the first are reported in one event
        when the request ends, pauses or is lost, which is much faster.
        """
        self._advance_to(now_ms)
        return iter(self._scheduler.take_events(partial))

    def next_event_ms(self) -> float | None:
        """Return when the next first token, end of a request or state change is due.

        A state change is the end of a KV transfer or of a control command. Other tokens
        of running requests may come earlier: see `next_token_ms`. None if nothing is
        due.
        """
        iterations = self._iterations
        end_ms = iterations.end_ms(iterations.count) if iterations else None
        return self._next_ms(end_ms)

    def next_token_ms(self) -> float | None:
        """Return when the iteration in progress ends or a state change is due.

        None if nothing is due.
        """
        iterations = self._iterations
        end_ms = iterations.end_ms(iterations.done + 1) if iterations else None
        return self._next_ms(end_ms)

    def _next_ms(self, iterations_end_ms: float | None) -> float | None:
        if self._scheduler.events:
            return self._current_ms
        if self.frozen or self._crashed:
            return None
        times = [iterations_end_ms]
        if iterations_end_ms is None:
            times.append(self._scheduler.next_transfer_ms())
        if self.control.pending:
            times.append(self.control.pending.done_at_ms)
        return min((at for at in times if at is not None), default=None)

    def _advance_to(self, now_ms: float) -> None:
        if self.frozen or self._crashed:
            return
        now_ms = max(now_ms, self._current_ms)
        command = self.control.pending
        if command and command.done_at_ms <= now_ms + TIME_TOLERANCE_MS:
            self._advance_batch(command.done_at_ms)
            self.control.complete()
        self._advance_batch(now_ms)
        self._current_ms = now_ms

    def _advance_batch(self, now_ms: float) -> None:
        while not self._crashed:
            iterations = self._iterations
            if iterations is None:
                ready_ms = self._scheduler.next_transfer_ms()
                if ready_ms is None or ready_ms > now_ms + TIME_TOLERANCE_MS:
                    return
                self._plan_iterations(ready_ms)
                continue
            done_count = iterations.count_done_at(now_ms, TIME_TOLERANCE_MS)
            if done_count <= iterations.done:
                return
            self._apply_iterations(iterations, done_count)

    def _apply_iterations(self, iterations: IterationRun, done_count: int) -> None:
        before = self._scheduler.decode_tokens
        self._scheduler.apply_iterations(iterations, done_count)
        end_ms = iterations.end_ms(done_count)
        self._current_ms = max(self._current_ms, end_ms)
        if self._crash_after_tokens is not None:
            self._crash_after_tokens -= self._scheduler.decode_tokens - before
            if self._crash_after_tokens <= 0:
                self._crash_at(end_ms)
                return
        if done_count == iterations.count:
            self._plan_iterations(end_ms)
        self._record_load(end_ms)

    def _plan_iterations(self, at_ms: float) -> None:
        self._iterations = self._scheduler.plan_iterations(
            at_ms, self._crash_after_tokens
        )

    def _replan(self, now_ms: float) -> None:
        """Plan new iterations after the one in progress, or now if there is none."""
        if self._iterations:
            self._iterations.truncate()
        elif not self.frozen and not self._crashed:
            self._plan_iterations(now_ms)
        self._record_load(now_ms)

    def submit(
        self, request: EngineRequest, now_ms: float
    ) -> RequestAccepted | RequestRefused:
        """Queue a request, or refuse it; a refused request has not run."""
        self._advance_to(now_ms)
        reason = self._refusal_reason(request)
        if reason:
            self._scheduler.refused_count += 1
            return RequestRefused(request.request_id, reason)
        kv_owner = request.kv_id.rpartition(":")[0] or request.request_id
        kv_tokens, ready_ms = self._host_kv_by_request.pop(kv_owner, (0, now_ms))
        self._last_seq += 1
        context = request.prompt_tokens + request.resume_tokens
        state = RequestState(request, self._last_seq)
        state.host_tokens = min(kv_tokens, context)
        self._scheduler.enqueue(state, ready_ms, now_ms)
        self._replan(now_ms)
        return RequestAccepted(request.request_id)

    def _refusal_reason(self, request: EngineRequest) -> RefusalReason | None:
        if self._crashed:
            return RefusalReason.CRASHED
        if self.control.blocks_requests:
            return RefusalReason.LOADING
        if request.request_id in self._scheduler.state_by_id:
            return RefusalReason.DUPLICATE
        total_tokens = request.prompt_tokens + request.output_tokens
        if total_tokens > self.config.kv_limit_tokens:
            return RefusalReason.TOO_LARGE
        return None

    def pause(
        self, request_id: str, kv: str, now_ms: float
    ) -> RequestStopped | RequestUnknown:
        """Preempt a request; one that is paused already counts as unknown.

        `kv` is the treatment of its KV cache: keep, export or drop. Kept KV cache stays
        in the engine's KV memory. Exported KV cache is moved out of that memory and
        transferred back after `resume`. Dropped KV cache is recomputed after `resume`.
        """
        self._advance_to(now_ms)
        state = self._scheduler.current_state(request_id)
        if state is None or state.stage is Stage.PAUSED:
            return RequestUnknown(request_id)
        self._scheduler.remove(state, Stage.PAUSED)
        dropped = 0
        if kv == KV_DROP:
            dropped = self._scheduler.discard(state)
        if kv == KV_EXPORT:
            tokens = state.kv_tokens + state.host_tokens
            self._host_kv_by_request[request_id] = (tokens, now_ms)
            self._scheduler.free_kv(state)
        self._replan(now_ms)
        return RequestStopped(request_id, state.produced, dropped)

    def resume(self, request_id: str, now_ms: float) -> RequestStopped | RequestUnknown:
        """Queue a paused request again at its original position.

        A request that is not paused counts as unknown.
        """
        self._advance_to(now_ms)
        state = self._scheduler.current_state(request_id)
        if state is None or state.stage is not Stage.PAUSED:
            return RequestUnknown(request_id)
        ready_ms = now_ms
        if request_id in self._host_kv_by_request:
            state.host_tokens, _ = self._host_kv_by_request.pop(request_id)
            ready_ms += self._transfer_ms(state.host_tokens)
        self._scheduler.enqueue(state, ready_ms, now_ms)
        self._replan(now_ms)
        return RequestStopped(request_id, state.produced, 0)

    def cancel(self, request_id: str, now_ms: float) -> RequestStopped | RequestUnknown:
        """Remove a request and drop the tokens computed for it."""
        self._advance_to(now_ms)
        state = self._scheduler.current_state(request_id)
        if state is None:
            return RequestUnknown(request_id)
        self._host_kv_by_request.pop(request_id, None)
        dropped = self._scheduler.discard(state)
        self._scheduler.remove(state, Stage.REMOVED)
        self._replan(now_ms)
        return RequestStopped(request_id, state.produced, dropped)

    def export_kv(self, request_id: str, now_ms: float) -> KvExported | RequestUnknown:
        """Copy the KV cache of a request; any engine can import the returned id."""
        self._advance_to(now_ms)
        state = self._scheduler.current_state(request_id)
        if state is None:
            return RequestUnknown(request_id)
        kv_tokens = state.kv_tokens + state.host_tokens
        tokens, _ = self._host_kv_by_request.get(request_id, (kv_tokens, 0.0))
        return KvExported(f"{request_id}:{tokens}", tokens)

    def import_kv(self, kv_id: str, now_ms: float) -> KvImported | KvRefused:
        """Import exported KV cache for the next `submit` that refers to it.

        A request refers to KV cache by its `kv_id`, or without one by its request id.
        """
        self._advance_to(now_ms)
        request_id, _, tokens = kv_id.rpartition(":")
        if self._crashed:
            return KvRefused("crashed")
        if not request_id or not tokens.isdigit():
            return KvRefused("unknown kv_id")
        count = int(tokens)
        ready_ms = now_ms + self._transfer_ms(count)
        self._host_kv_by_request[request_id] = (count, ready_ms)
        return KvImported(request_id, count)

    def _transfer_ms(self, tokens: int) -> float:
        return tokens * MS_PER_SECOND / self.config.kv_transfer_tokens_per_s

    def load_report(self, now_ms: float) -> EngineLoad:
        """Return the newest load that is at least `load_history.lag_ms` old."""
        self._advance_to(now_ms)
        if not self.frozen and not self._crashed:
            self._record_load(now_ms)
        return self.load_history.read(now_ms)

    def current_load(self) -> EngineLoad:
        """Return the load without lag, for checkers."""
        return self._measure_load(self._current_ms)

    def cache_events(self, after: int, now_ms: float) -> CacheEventBatch:
        """Return cache events with a number above `after`.

        The events lag by `event_lag_ms`, and the configured share of them is missing.
        """
        self._advance_to(now_ms)
        return self._cache.events(after, now_ms - self.event_lag_ms)

    def _record_load(self, now_ms: float) -> None:
        if self.load_history.is_due(now_ms):
            self.load_history.record(self._measure_load(now_ms), now_ms)

    def _measure_load(self, now_ms: float) -> EngineLoad:
        scheduler = self._scheduler
        paused = scheduler.paused_count
        running = scheduler.running_count
        return EngineLoad(
            running=running,
            waiting=len(scheduler.state_by_id) - paused - running,
            paused=paused,
            kv_used_tokens=scheduler.kv_used_tokens,
            kv_limit_tokens=self.config.kv_limit_tokens,
            tokens_per_s=running * MS_PER_SECOND / scheduler.step_ms,
            measured_at_ms=now_ms,
            model=self.control.model,
            version=self.control.version,
            role=self.control.role,
        )

    def accept_command(
        self, command: EngineCommand, now_ms: float
    ) -> CommandAccepted | CommandFenced | CommandFailed:
        """Start a control command, or refuse it.

        Loading a model loses all requests of the previous model. While a model is
        loaded or the role changes, new requests are refused. A command for the current
        model and version or role takes effect at once and loses no request. An engine
        that does not check fencing tokens accepts a command with an old one.
        """
        self._advance_to(now_ms)
        if self._crashed or self.frozen:
            return CommandFailed("the engine has crashed or is frozen", may_retry=True)
        result = self.control.accept(command, now_ms)
        if isinstance(result, CommandAccepted):
            is_load = command.action == LOAD_MODEL and result.done_at_ms > now_ms
            if is_load:
                self._fail_all_requests("model unloaded", now_ms)
            self._advance_to(now_ms)
        return result

    def _fail_all_requests(self, reason: str, now_ms: float) -> None:
        self._scheduler.fail_all(reason, now_ms)
        self._cache.clear(now_ms)
        self._host_kv_by_request.clear()
        self._iterations = None

    def set_straggle(self, factor: float, now_ms: float) -> None:
        """Multiply the duration of every later iteration by `factor`."""
        self._advance_to(now_ms)
        self._scheduler.straggle_factor = factor
        self._replan(now_ms)

    def set_event_gap(self, share: float) -> None:
        """Omit this share (0 to 1) of later cache events."""
        self._cache.event_gap = share

    def crash(self, now_ms: float, after_tokens: int = 0) -> None:
        """Crash now, or once `after_tokens` more tokens have been generated."""
        self._advance_to(now_ms)
        if not after_tokens:
            self._crash_at(now_ms)
            return
        self._crash_after_tokens = after_tokens
        self._replan(now_ms)

    def restart(self, now_ms: float) -> None:
        """Restart a crashed engine without requests; cancel a scheduled crash."""
        self._crash_after_tokens = None
        if self._crashed:
            self._crashed = False
            self._current_ms = max(self._current_ms, now_ms)

    def _crash_at(self, now_ms: float) -> None:
        self._fail_all_requests("crashed", now_ms)
        self._crashed = True
        self._crash_after_tokens = None
        self.control.reset()

    def freeze(self, now_ms: float) -> None:
        """Stop all progress; requests are still accepted."""
        self._advance_to(now_ms)
        if self._frozen_at_ms is None:
            self._frozen_at_ms = now_ms

    def unfreeze(self, now_ms: float) -> None:
        """Continue from the state in which the engine was frozen."""
        if self._frozen_at_ms is None:
            return
        pause_ms = max(0.0, now_ms - self._frozen_at_ms)
        self._frozen_at_ms = None
        self._current_ms = max(self._current_ms, now_ms)
        if self._iterations:
            self._iterations.start_ms += pause_ms
        self.control.postpone(pause_ms)
        self._replan(now_ms)
