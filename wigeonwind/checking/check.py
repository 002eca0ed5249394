"""Checks of a history against all promises."""

from wigeonwind.checking import promise_changes as promise_changes
from wigeonwind.checking import promise_requests as promise_requests
from wigeonwind.checking.history import History
from wigeonwind.checking.promises import CHECKERS, Violation


def check_history(history: History) -> tuple[Violation, ...]:
    """Return the violations of all promises.

    The imports of the checker modules fill `CHECKERS`.
    """
    found = [violation for _, check in CHECKERS for violation in check(history)]
    return tuple(found)
