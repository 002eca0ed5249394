"""Splitting of server-sent events, so that another endpoint can resume a stream."""

MAX_EVENT_BYTES = 1_000_000
"""Largest partial event that is buffered; an engine's event holds a few tokens."""

EVENT_END = b"\n\n"
"""The empty line that ends an event."""

ID_FIELD = b"id:"
"""Prefix of the line with the id of an event."""


class EventSplitter:
    r"""Returns complete events only, and keeps the id of the last one.

    Events with ids up to `last_id` are skipped, because an endpoint that resumes a
    stream may repeat them.

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
        """Return whether a partial event is buffered."""
        return bool(self._partial_event)

    def discard_partial_event(self) -> None:
        """Discard the partial event of an endpoint that cannot complete it."""
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Add the next bytes and return the events that they complete.

        Raises ValueError if a partial event exceeds MAX_EVENT_BYTES.
        """
        head, separator, partial_event = (self._partial_event + data).rpartition(
            EVENT_END
        )
        self._partial_event = partial_event
        if len(partial_event) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is too long: over {MAX_EVENT_BYTES} bytes")
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
    """Return the numeric id of an event, None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
