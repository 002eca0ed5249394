"""Control commands to the engine model: what it serves, and fencing tokens."""

from wigeonwind.standins.engine_types import (
    CommandAccepted,
    CommandFailed,
    CommandFenced,
    EngineCommand,
    EngineConfig,
)

LOAD_MODEL = "load_model"
LOAD_ADAPTER = "load_adapter"
CHANGE_ROLE = "change_role"
ACTIONS = (LOAD_MODEL, LOAD_ADAPTER, CHANGE_ROLE)


class ControlState:
    """The order in progress, the highest fencing token and what the engine serves.

    >>> book = ControlState(EngineConfig())
    >>> book.accept(EngineCommand(7, "change_role", role="decode"), 0.0).done_at_ms
    1000.0
    >>> book.accept(EngineCommand(6, "change_role", role="prefill"), 0.0)
    CommandFenced(highest=7)
    """

    def __init__(self, config: EngineConfig) -> None:
        self.obeys_fence = config.obeys_fence
        self.model = config.model
        self.version = config.version
        self.role = config.role
        self.adapter_versions: dict[str, str] = {}
        self.fence = 0
        self.pending: CommandAccepted | None = None
        self.accepted: list[EngineCommand] = []
        self._config = config

    @property
    def blocks_requests(self) -> bool:
        """Return whether the order in progress keeps new requests out."""
        return bool(self.pending and self.pending.order.action != LOAD_ADAPTER)

    def accept(
        self, order: EngineCommand, now_ms: float
    ) -> CommandAccepted | CommandFenced | CommandFailed:
        """Begin an order, or refuse it."""
        refused = self.refusal(order)
        if refused:
            return refused
        self.fence = max(self.fence, order.fence)
        self.accepted.append(order)
        self.pending = CommandAccepted(order, now_ms + self._duration_ms(order))
        return self.pending

    def refusal(self, order: EngineCommand) -> CommandFenced | CommandFailed | None:
        """Return why the order would not be taken now, None if it would."""
        if order.action not in ACTIONS:
            return CommandFailed(f"unknown action {order.action!r}", may_retry=False)
        if self.obeys_fence and order.fence < self.fence:
            return CommandFenced(self.fence)
        if self.pending:
            return CommandFailed("another order is being carried out", may_retry=True)
        return None

    def complete(self) -> None:
        """Let the order in progress take effect."""
        assert self.pending
        order = self.pending.order
        self.pending = None
        if order.action == CHANGE_ROLE:
            self.role = order.role
            return
        if order.action == LOAD_ADAPTER:
            self.adapter_versions[order.model] = order.version
            return
        self.adapter_versions.clear()
        self.model = order.model or self.model
        self.version = order.version or self.version

    def postpone(self, pause_ms: float) -> None:
        """Let the order in progress end later."""
        if self.pending:
            done_at_ms = self.pending.done_at_ms + pause_ms
            self.pending = CommandAccepted(self.pending.order, done_at_ms)

    def reset(self) -> None:
        """Lose what a restart loses; the model is loaded again from its version."""
        self.pending = None
        self.adapter_versions.clear()
        self.fence = 0

    def _duration_ms(self, order: EngineCommand) -> float:
        requested = (order.model, order.version)
        if order.action == LOAD_MODEL and requested == (self.model, self.version):
            return 0.0
        if order.action == CHANGE_ROLE and order.role == self.role:
            return 0.0
        duration_ms_by_action = {
            LOAD_MODEL: self._config.load_model_ms,
            LOAD_ADAPTER: self._config.load_adapter_ms,
            CHANGE_ROLE: self._config.change_role_ms,
        }
        return duration_ms_by_action[order.action]
