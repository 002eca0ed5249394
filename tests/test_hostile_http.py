"""Request smuggling: requests that two servers could parse differently."""

import json

import pytest
from entry_fakes import EntryUnderTest, respond_with_words
from test_entry_http import CHUNKED, POST, send_raw

# Sent after each request on its connection; it must not be answered.
SECOND = "GET /v1/models HTTP/1.1\r\nX-Customer: named\r\n\r\n"


@pytest.fixture
def entry():
    running = EntryUnderTest()
    yield running
    running.role.stop()


@pytest.mark.parametrize(
    "data",
    [
        f"{POST}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        f"{POST}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        f"{POST}Content-Length: 2\r\nContent-Length: 2\r\n\r\n{{}}",
        f"{POST}Content-Length: 2, 2\r\n\r\n{{}}",
        f"{POST}Content-Length: -2\r\n\r\n{{}}",
        f"{POST}Content-Length: +2\r\n\r\n{{}}",
        f"{POST}Content-Length : 2\r\n\r\n{{}}",
        f"{POST}X-A: 1\r\n Content-Length: 5\r\n\r\n",
        f"{POST}X-A: 1\r\n\tfolded\r\n\r\n",
        f"{POST}X-A: 1\nContent-Length: 2\r\n\r\n{{}}",
        f"{POST}X-A: a\0b\r\n\r\n",
        f"{POST}no colon\r\n\r\n",
        POST.replace("\r\n", "\n") + "\n",
        f"{POST}Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n",
        CHUNKED.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n") + "0\r\n",
        f"{CHUNKED}-1\r\n",
        f"{CHUNKED}+2\r\n{{}}\r\n0\r\n\r\n",
        f"{CHUNKED}0x2\r\n{{}}\r\n0\r\n\r\n",
        f"{CHUNKED}2\n{{}}\n0\n\n",
        f"{CHUNKED}2\r\n{{}}XX0\r\n\r\n",
    ],
)
def test_ambiguous_requests_are_refused_and_the_connection_is_closed(entry, data):
    # Guards against a request smuggled inside another one, which would run with the
    # identity of a caller that shares the connection through the load balancer.
    sidecar = entry.add_sidecar(respond_with_words("x"))
    reply = send_raw(entry, (data + SECOND).encode("latin-1"))
    assert reply.count(b"HTTP/1.1 ") == 1
    head, _, body = reply.partition(b"\r\n\r\n")
    assert head.split()[1] in (b"400", b"501") and b"X-Outcome: not-run" in head
    assert json.loads(body)["code"] == "bad_request"
    assert sidecar.submits == []
