"""Control commands to the engine model: loading, role changes, fencing tokens."""

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
    """The command in progress, the highest fencing token, and what the engine serves.

    The engine serves one version of a model, its adapters and a role.

    >>> control = ControlState(EngineConfig())
    >>> control.accept(EngineCommand(7, "change_role", role="decode"), 0.0).done_at_ms
    1000.0
    >>> control.accept(EngineCommand(6, "change_role", role="prefill"), 0.0)
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
        self.accepted_commands: list[EngineCommand] = []
        self._config = config

    @property
    def blocks_requests(self) -> bool:
        """Return whether the command in progress makes the engine refuse requests."""
        return bool(self.pending and self.pending.order.action != LOAD_ADAPTER)

    def accept(
        self, command: EngineCommand, now_ms: float
    ) -> CommandAccepted | CommandFenced | CommandFailed:
        """Start a command, or refuse it."""
        refused = self.refusal(command)
        if refused:
            return refused
        self.fence = max(self.fence, command.fence)
        self.accepted_commands.append(command)
        self.pending = CommandAccepted(command, now_ms + self._duration_ms(command))
        return self.pending

    def refusal(self, command: EngineCommand) -> CommandFenced | CommandFailed | None:
        """Return why the command would be refused now, None if it would not."""
        if command.action not in ACTIONS:
            return CommandFailed(f"unknown action {command.action!r}", may_retry=False)
        if self.obeys_fence and command.fence < self.fence:
            return CommandFenced(self.fence)
        if self.pending:
            return CommandFailed("another command is in progress", may_retry=True)
        return None

    def complete(self) -> None:
        """Apply the command in progress."""
        assert self.pending
        command = self.pending.order
        self.pending = None
        if command.action == CHANGE_ROLE:
            self.role = command.role
            return
        if command.action == LOAD_ADAPTER:
            self.adapter_versions[command.model] = command.version
            return
        self.adapter_versions.clear()
        self.model = command.model or self.model
        self.version = command.version or self.version

    def postpone(self, pause_ms: float) -> None:
        """Postpone the end of the command in progress."""
        if self.pending:
            done_at_ms = self.pending.done_at_ms + pause_ms
            self.pending = CommandAccepted(self.pending.order, done_at_ms)

    def reset(self) -> None:
        """Discard the state that does not outlive a crash.

        The model, its version and the role are kept: a restarted engine loads the same
        version of the model again.
        """
        self.pending = None
        self.adapter_versions.clear()
        self.fence = 0

    def _duration_ms(self, command: EngineCommand) -> float:
        requested = (command.model, command.version)
        if command.action == LOAD_MODEL and requested == (self.model, self.version):
            return 0.0
        if command.action == CHANGE_ROLE and command.role == self.role:
            return 0.0
        duration_ms_by_action = {
            LOAD_MODEL: self._config.load_model_ms,
            LOAD_ADAPTER: self._config.load_adapter_ms,
            CHANGE_ROLE: self._config.change_role_ms,
        }
        return duration_ms_by_action[command.action]
