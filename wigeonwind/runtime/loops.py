"""Background loops of a process, none of which may end unnoticed."""

from collections.abc import Callable

from gevent import Greenlet, spawn
from structlog import get_logger

log = get_logger("wigeonwind.loops")


class SupervisedLoops:
    """Starts loops, and has the process stopped if one ends by an error.

    A process that lost a loop would keep running with part of its functions missing.
    `on_loop_failure` is called once, in a greenlet of its own, as stopping may block.
    """

    def __init__(self, on_loop_failure: Callable[[], None]) -> None:
        self.on_loop_failure = on_loop_failure
        self._greenlets: list[Greenlet] = []
        self._is_broken = False

    def start(self, loop: Callable[[], None]) -> None:
        """Run a loop that ends by `stop` or by an error only."""
        greenlet = spawn(loop)
        greenlet.link_exception(self._on_error)
        self._greenlets.append(greenlet)

    def stop(self) -> None:
        """Stop all loops at once."""
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        self._greenlets = []

    def _on_error(self, greenlet: Greenlet) -> None:
        if self._is_broken:
            return
        self._is_broken = True
        log.error("a loop ended by an error", error=repr(greenlet.exception))
        spawn(self.on_loop_failure)
