"""Server-sent events, kept apart so that a stream can go on at another endpoint."""

MAX_EVENT_BYTES = 1_000_000
"""Bound of one unfinished event; an event of an engine holds a few tokens."""

EVENT_END = b"\n\n"
"""The empty line that ends an event."""

ID_FIELD = b"id:"
"""Start of the line that carries an event's id."""


class EventSplitter:
    r"""Passes on whole events only, and remembers the id of the last one.

    Events up to `last_id` are left out: an endpoint that resumes a stream may repeat
    them.

    >>> events = EventSplitter(last_id=1)
    >>> events.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3")
    b'id: 2\ndata: b\n\n'
    >>> events.last_id, events.has_partial_event
    (2, True)
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._partial_event = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether an unfinished event is held back."""
        return bool(self._partial_event)

    def discard_partial_event(self) -> None:
        """Forget an unfinished event: its endpoint is gone."""
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Take the next bytes; return the events that they complete.

        Raise ValueError where an event grows too long.
        """
        head, separator, partial_event = (self._partial_event + data).rpartition(
            EVENT_END
        )
        self._partial_event = partial_event
        if len(partial_event) > MAX_EVENT_BYTES:
            raise ValueError("an event of the stream is too long")
        if not separator:
            return b""
        events = head.split(EVENT_END)
        return b"".join(event + separator for event in events if self._is_new(event))

    def _is_new(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True


def _event_id(event: bytes) -> int | None:
    """Return the number in the id line of an event, None if there is none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
