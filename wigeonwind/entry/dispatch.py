"""Starts requests and routes the sidecars' messages to their attempts."""

from wigeonwind.entry.entry_context import EntryContext
from wigeonwind.entry.metrics_sink import NO_LABELS
from wigeonwind.entry.pending_attempts import Mailbox
from wigeonwind.entry.request_execution import RequestEvents, RequestExecution
from wigeonwind.entry.request_response import AdmittedRequest
from wigeonwind.links.link_types import Link
from wigeonwind.links.messages import (
    Chunk,
    Failed,
    Finished,
    Head,
    Queued,
    Refused,
    Started,
    WithdrawResult,
)

ATTEMPT_MESSAGES = (
    Chunk,
    Head,
    Queued,
    Started,
    Finished,
    Refused,
    Failed,
    WithdrawResult,
)
"""Types of messages that belong to one attempt of a request."""


class Dispatcher:
    """Starts requests and delivers each message to its attempt."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def on_message(self, link: Link, message: object) -> bool:
        """Deliver a message to its attempt; return False for other message types.

        A message that matches no attempt on its link is dropped and counted.
        """
        pending = self.context.pending
        if type(message) is Chunk:
            delivered = pending.deliver_chunk(link, message)
        elif isinstance(message, ATTEMPT_MESSAGES):
            delivered = pending.deliver(link, message)
        else:
            return False
        if not delivered:
            self.context.metrics.count("entry_dropped_messages", NO_LABELS)
        return True

    def execute(self, request: AdmittedRequest, mailbox: Mailbox) -> RequestExecution:
        """Return the execution of an admitted request, which `events` starts."""
        return RequestExecution(self.context, request, mailbox)

    def response_events(
        self, request: AdmittedRequest, mailbox: Mailbox
    ) -> RequestEvents:
        """Yield the response of an admitted request, then its end or its failure.

        Closing the generator cancels the attempt in flight.
        """
        return self.execute(request, mailbox).events()
