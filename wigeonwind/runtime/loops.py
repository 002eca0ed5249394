"""Supervision of the background loops of a process."""

from collections.abc import Callable

from gevent import Greenlet, spawn
from structlog import get_logger

log = get_logger("wigeonwind.loops")


class SupervisedLoops:
    """Runs background loops, and stops the process if one of them fails.

    Otherwise the process would keep running without the function of that loop.
    `on_loop_failure` is called once, in a new greenlet, as stopping may block.
    """

    def __init__(self, on_loop_failure: Callable[[], None]) -> None:
        self.on_loop_failure = on_loop_failure
        self._greenlets: list[Greenlet] = []
        self._has_failed = False

    def start(self, loop: Callable[[], None]) -> None:
        """Run a loop in a new greenlet and watch it for errors."""
        greenlet = spawn(loop)
        greenlet.link_exception(self._on_exception)
        self._greenlets.append(greenlet)

    def stop(self) -> None:
        """Kill all loops without waiting."""
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        self._greenlets = []

    def _on_exception(self, greenlet: Greenlet) -> None:
        if self._has_failed:
            return
        self._has_failed = True
        log.error(
            "background loop failed; stopping the process",
            error=repr(greenlet.exception),
        )
        spawn(self.on_loop_failure)
