"""Streams that broke off, and whose next endpoint answers with an error."""

import pytest
import relay_fixtures
import test_answer_ends

FIRST_EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (i, i) for i in (1, 2))
ERROR = b"upstream failure: no such session"
ERROR_EVENTS = b"id: 1\ndata: error\n\n"
ROUTE = test_answer_ends.RESUMABLE_ROUTE


def encode(status, body, *headers, has_length=True):
    lines = [b"HTTP/1.1 " + status, b"X-Attempt-Id: attempt-1", *headers]
    if has_length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_in_chunks(status, body, *headers):
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return encode(
        status,
        chunk + b"0\r\n\r\n",
        b"Transfer-Encoding: chunked",
        *headers,
        has_length=False,
    )


NOT_EXECUTED = b"X-Not-Executed: 1"
TEXT = b"Content-Type: text/plain"
JSON = b"Content-Type: application/json"
EVENT_STREAM = b"Content-Type: text/event-stream"
FAILURES = {
    "500": encode(b"500 Failed", ERROR, TEXT),
    "500 in chunks": encode_in_chunks(b"500 Failed", ERROR, TEXT),
    "500 without length": encode(b"500 Failed", ERROR, has_length=False),
    "500 without body": encode(b"500 Failed", b""),
    "500 with events": encode(b"500 Failed", ERROR_EVENTS, EVENT_STREAM),
    "500 cut": encode(b"500 Failed", ERROR, TEXT)[:-5],
    "502": encode(b"502 Bad", ERROR),
    "503 not run": encode(b"503 Full", ERROR, NOT_EXECUTED),
    "421": encode(b"421 Misdirected", ERROR),
    "404": encode(b"404 No", ERROR),
    "302": encode(b"302 Elsewhere", ERROR, b"Location: /x"),
    "410 with events": encode(b"410 Gone", ERROR_EVENTS, EVENT_STREAM),
    "no HTTP": ERROR + b"\r\n\r\n",
    "cut head": encode(b"500 Failed", ERROR)[:40],
    "cut head of a success": encode(b"200 OK", ERROR)[:40],
    "nothing": b"",
    "204": encode(b"204 None", b"", has_length=False),
    "205": encode(b"205 Reset", b""),
    "200 text": encode(b"200 OK", ERROR, TEXT),
    "200 text of lines": encode(b"200 OK", ERROR + b"\n\n", TEXT),
    "200 text in chunks": encode_in_chunks(b"200 OK", ERROR + b"\n\n", TEXT),
    "200 comment": encode(b"200 OK", b": error\n\n", TEXT),
    "200 object": encode(b"200 OK", b'{"error": "failed"}\n\n', JSON),
    "200 page": encode(
        b"200 OK", b"<p>failed</p>\n\n", b"Content-Type: text/html"
    ),
    "200 text without length": encode(
        b"200 OK", ERROR + b"\n\n", TEXT, has_length=False
    ),
    "200 empty text": encode(b"200 OK", b"", TEXT),
}
BREAKS = {
    "closed": relay_fixtures.send_stream(
        (1, "1"), (2, "2"), end=False, close=True
    ),
    "inside an event": relay_fixtures.send_stream(
        (1, "1"), (2, "2"), extra="id: 3\nda", end=False, close=True
    ),
    "head in the last chunk": relay_fixtures.send_stream(
        (1, "1"),
        (2, "2"),
        extra="HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno",
        end=False,
        close=True,
    ),
}


class TestNextEndpointContinues:
    @pytest.mark.parametrize(
        "first_type",
        [b"", b"Content-Type: Text/Event-Stream; charset=utf-8\r\n"],
        ids=["none", "with a parameter"],
    )
    async def test_an_event_stream_continues_one_of_any_type(self, first_type):
        first = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n%b"
            b"Content-Length: 999\r\n\r\nid: 1\ndata: 1\n\n" % first_type
        )
        received, heads = await test_answer_ends.play(
            ROUTE,
            relay_fixtures.send_bytes(first, close=True),
            relay_fixtures.send_stream((2, "2")),
        )
        assert (received.status, received.body) == (200, FIRST_EVENTS)
        assert received.complete
        assert len(heads) == 2


class TestNextEndpointFails:
    @pytest.mark.parametrize("broken", list(BREAKS.values()), ids=BREAKS)
    @pytest.mark.parametrize("failure", list(FAILURES.values()), ids=FAILURES)
    async def test_the_caller_gets_whole_events_and_no_end(
        self, broken, failure
    ):
        """Guards against errors inside streams, and streams that look whole."""
        following = relay_fixtures.send_bytes(failure, close=True)
        received, heads = await test_answer_ends.play(ROUTE, broken, following)
        assert (received.status, received.body) == (200, FIRST_EVENTS)
        assert not received.complete
        assert len(heads) == 2
