"""The requests in flight of one entry, and the messages that belong to them."""

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
"""Messages that belong to one attempt of one request."""


class Dispatcher:
    """Starts requests and hands each message to its attempt."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def on_message(self, link: Link, message: object) -> bool:
        """Hand a message to its attempt; False if it is of another kind.

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
        """Return the run of one admitted request."""
        return RequestExecution(self.context, request, mailbox)

    def response_events(
        self, request: AdmittedRequest, mailbox: Mailbox
    ) -> RequestEvents:
        """Yield the answer of an admitted request, then its end or its failure.

        Closing the generator cancels the attempt in flight.
        """
        return self.execute(request, mailbox).events()
