"""Endpoints that answer before they have read the request, and are reset."""

import pytest
from routing_fleet import configuration, running_fleet

from wigeonwind.standins.platform_worker import RawBytes

REQUEST_BYTES = 4_000_000
"""More than the buffers of a connection hold, so that the request is still written."""

RECEIVE_BUFFER_BYTES = 16_384
GAP_MS = 200.0

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: 1\n\n"


def answer_and_reset(path, *parts):
    """Return the caller's reply to a long request that is answered and reset."""
    limits = configuration()["limits"] | {"max_body_bytes": REQUEST_BYTES}
    with running_fleet(1, config=configuration(limits=limits)) as fleet:
        (worker,) = fleet.workers
        worker.limit_receive_buffer(RECEIVE_BUFFER_BYTES)
        worker.early_answer = RawBytes(parts, gap_ms=GAP_MS)
        return fleet.call(path, "POST", b"a" * REQUEST_BYTES)


@pytest.mark.parametrize(
    ("path", "parts"),
    [
        ("/once/x", [HEAD + b"\r\nhalf of the body"]),
        ("/once/x", [HEAD + b"Connection: close\r\n\r\nhalf of the body"]),
        ("/stream/x", [STREAM_HEAD + b"\r\n" + EVENT]),
    ],
)
def test_an_answer_without_length_that_is_reset_is_not_complete(path, parts):
    # Guards against a reset that only the write of the request sees, after which the
    # end of the input looks like the orderly end of the answer.
    reply = answer_and_reset(path, *parts)
    assert not (reply.status == 200 and reply.is_whole)


def test_an_answer_with_length_is_complete_though_its_connection_is_reset():
    # Guards against whole answers that are lost because the request was not read.
    reply = answer_and_reset("/once/x", HEAD + b"Content-Length: 5\r\n\r\nwhole")
    assert (reply.status, reply.body, reply.is_whole) == (200, b"whole", True)
