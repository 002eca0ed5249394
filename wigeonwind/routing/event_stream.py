"""Splitting of server-sent events, so that another endpoint can resume a stream."""

import re
from collections.abc import Iterator

MAX_EVENT_BYTES = 1_000_000
"""Largest partial event that is buffered; an engine's event holds a few tokens."""

MAX_SKIPPED_BYTES = 1_000_000
"""Most bytes in a row that are skipped as events which the caller has received."""

EVENT_END = b"\n\n"
"""The empty line that ends an event, if lines end with LF."""

ANY_EVENT_END = re.compile(rb"(?:\r?\n){2,}+")
"""Empty lines that end an event, where lines may end with CRLF."""

LONGEST_PART_OF_END = b"\r\n\r"
"""Longest incomplete ANY_EVENT_END."""

COMMENT = b":"
"""Prefix of a comment line, which keeps a connection in use and is no event."""

ID_FIELD = b"id:"
"""Prefix of the line with the id of an event."""

MAX_ID_DIGITS = 18
"""Most digits of an event id; a longer one is no id."""

FIRST_ID = 1
"""Id of the first event of a stream; later events have higher ids."""

EVENT = re.compile(rb"(?:[\w.-]*+(?::[^\n]*+)?+\r?+(?:\n|\Z))*+")
"""Lines of an event: fields and comments, not other text such as an error message. The
possessive quantifiers keep the time linear in the length of the event."""


class EventSplitter:
    r"""Returns complete events only, and keeps the id of the last one.

    Events with ids up to `last_id` are skipped, because an endpoint that resumes a
    stream may repeat them. `error` is set at bytes that are no event, at more than
    MAX_SKIPPED_BYTES without a new event, and where a resumed stream does not go on
    after `last_id`; all that follows is discarded.

    >>> events = EventSplitter(last_id=1)
    >>> events.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3")
    b'id: 2\ndata: b\n\n'
    >>> events.last_id, events.has_partial_event
    (2, True)
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.can_resume = True
        """Whether the last event had an id, after which a stream can be resumed."""
        self.error = ""
        self._partial_event = b""
        self._skipped_bytes = 0
        """Bytes of repeated events since the last new one."""
        self._is_first_of_run = False
        self._has_steps = False
        """Whether an id was followed by the next number."""
        self._has_gaps = False
        """Whether ids were left out within a run, as ids need only increase."""

    def begin_run(self) -> None:
        """Start the stream of another endpoint, which resumes after `last_id`."""
        self.discard_partial_event()
        self.error = ""
        self._is_first_of_run = self.last_id is not None

    @property
    def partial_bytes(self) -> int:
        """Return the size of the partial event that is buffered."""
        return len(self._partial_event)

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
        events, self._partial_event = _split(
            self._partial_event + data, len(self._partial_event)
        )
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is too long: over {MAX_EVENT_BYTES} bytes")
        return b"".join(self._new_events(events))

    def _new_events(self, events: list[tuple[bytes, bytes]]) -> Iterator[bytes]:
        """Yield the events that are passed on, with their ends."""
        for event, end in events:
            if not self.error and not EVENT.fullmatch(event):
                self.error = "the stream contains bytes that are no event"
            event_id = _event_id(event)
            if event_id is not None:
                self._check_id(event_id)
            if self.error:
                return
            if event_id is None:
                self.can_resume = self.can_resume and event.startswith(COMMENT)
                yield event + end
            elif self.last_id is None or event_id > self.last_id:
                self.last_id = event_id
                self.can_resume = True
                self._skipped_bytes = 0
                yield event + end
            else:
                self._skip(event + end)

    def _skip(self, event: bytes) -> None:
        self._skipped_bytes += len(event)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self.error = f"the stream repeats events, over {MAX_SKIPPED_BYTES} bytes"

    def _check_id(self, event_id: int) -> None:
        """Check that an event does not start a stream again or leave out events."""
        last_id = self.last_id if self.last_id is not None else FIRST_ID - 1
        has_gap = event_id > last_id + 1
        if self._is_first_of_run:
            self._is_first_of_run = False
            if event_id <= min(FIRST_ID, last_id):
                self.error = (
                    f"the stream was to resume after {last_id} and started again"
                )
            elif has_gap and self._has_steps and not self._has_gaps:
                self.error = f"the resumed stream lacks the events after {last_id}"
        elif event_id > last_id:
            self._has_gaps = self._has_gaps or has_gap
            self._has_steps = self._has_steps or not has_gap


def _split(data: bytes, searched: int = 0) -> tuple[list[tuple[bytes, bytes]], bytes]:
    r"""Return the complete events, each with its end, and the rest.

    The first `searched` bytes hold no whole end of an event.

    >>> _split(b"id: 1\r\n\r\nid: 2\r\n\r")
    ([(b'id: 1', b'\r\n\r\n')], b'id: 2\r\n\r')
    """
    if b"\r" not in data:
        head, end, rest = data.rpartition(EVENT_END)
        events = head.split(EVENT_END) if end else []
        return [(event, EVENT_END) for event in events], rest
    ends = ANY_EVENT_END.finditer(data, max(0, searched - len(LONGEST_PART_OF_END)))
    found, begin = [], 0
    for match in ends:
        found.append((data[begin : match.start()], match[0]))
        begin = match.end()
    return found, data[begin:]


def _event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            is_id = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_id else None
    return None
