"""Every way in which an answer can end, against what its caller is told."""

import asyncio

import httptools
import pytest
import relay_fixtures
import test_platform_front

from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import framing

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(9, 13)]
STREAM = b"".join(EVENTS)
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
    b"Content-Type: text/event-stream\r\n"
)
ROUTE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=False, max_attempts=1, timeout_s=3.0
)
RESUMABLE_ROUTE = ROUTE._replace(resumable=True, max_attempts=2)
ONCE_ROUTE = relay_fixtures.make_route(
    kind=routeconfig.ONCE, max_attempts=1, timeout_s=3.0
)
REQUEST = test_platform_front.VALID_REQUEST.replace(b": 1000", b": 3000")


def frame_by_length(body):
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def frame_in_chunks(body):
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return head + chunk + b"0\r\n\r\n"


def frame_by_connection_end(body):
    return HEAD + b"\r\n" + body


def frame_by_identity_coding(body):
    return HEAD + b"Transfer-Encoding: identity\r\n\r\n" + body


FRAMINGS = {
    "length": frame_by_length,
    "chunks": frame_in_chunks,
    "connection end": frame_by_connection_end,
    "identity coding": frame_by_identity_coding,
}
WHOLE_BODIES = {
    "last event": STREAM,
    "comment": STREAM + b": end\n\n",
    "comment line": STREAM + b": end\n",
    "blank lines": STREAM + b"\n\n\n",
    "CRLF lines": STREAM.replace(b"\n", b"\r\n"),
    "CR lines": STREAM.replace(b"\n", b"\r"),
}
BROKEN_BODIES = {
    "inside the first event": EVENTS[0][:-4],
    "inside a field name": STREAM[: -len(b"ta: 12\n\n")],
    "inside an id": STREAM[: -len(b"2\ndata: 12\n\n")],
    "inside a value": STREAM[: -len(b"2\n\n")],
    "before the line end": STREAM[: -len(b"\n\n")],
    "before the blank line": STREAM[: -len(b"\n")],
    "before the blank line, CRLF": STREAM.replace(b"\n", b"\r\n")[:-2],
    "comment in an event": STREAM + b": note\nid: 13\n",
}
CUTS = {
    "length not reached": frame_by_length(STREAM)[:-1],
    "inside a chunk size": frame_in_chunks(STREAM)[
        : len(frame_in_chunks(b"")) - len(b"0\r\n\r\n") + 1
    ],
    "inside a chunk": frame_in_chunks(STREAM)[: -len(b"\n\r\n0\r\n\r\n")],
    "no last chunk": frame_in_chunks(STREAM)[: -len(b"0\r\n\r\n")],
    "inside the last chunk": frame_in_chunks(STREAM)[: -len(b"\r\n")],
    "inside the head": HEAD,
}
BROKEN_ENDS = {
    **{
        f"{place}, {framing_name}": relay_fixtures.send_bytes(
            frame(body), close=True
        )
        for place, body in BROKEN_BODIES.items()
        for framing_name, frame in FRAMINGS.items()
    },
    **{
        f"{place}, closed": relay_fixtures.send_bytes(data, close=True)
        for place, data in CUTS.items()
    },
    **{
        f"{place}, reset": relay_fixtures.send_bytes(
            data, reset=True, wait_s=0.02
        )
        for place, data in CUTS.items()
    },
    "no event, connection end": relay_fixtures.send_bytes(
        frame_by_connection_end(b""), close=True
    ),
    "last event, connection end, reset": relay_fixtures.send_bytes(
        frame_by_connection_end(STREAM), reset=True, wait_s=0.02
    ),
}


class Received:
    """What a caller reads from a connection, as its HTTP parser sees it."""

    def __init__(self, data):
        self.body = b""
        self.complete = False
        self.parser = httptools.HttpResponseParser(self)
        self.parser.feed_data(data)
        self.status = self.parser.get_status_code()

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.complete = True


async def request_answer(running_entry):
    """Returns what a caller receives until its connection ends."""
    reader, writer = await running_entry.connect()
    request = REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    writer.write(request)
    data = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    return Received(data)


async def play(route, *steps):
    """Returns what the caller gets and the requests that endpoints got."""
    config = relay_fixtures.make_config(route)
    async with test_platform_front.RunningEntry(config) as running_entry:
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        running_entry.endpoint.steps = second.steps = list(steps)
        await second.start(running_entry.relay)
        received = await request_answer(running_entry)
        second.stop()
        heads = running_entry.endpoint.request_heads + second.request_heads
        return received, heads


def by_id(table):
    return pytest.mark.parametrize("end", list(table.values()), ids=list(table))


def every_framing(table):
    return pytest.mark.parametrize(
        ("body", "frame"),
        [
            (body, frame)
            for body in table.values()
            for frame in FRAMINGS.values()
        ],
        ids=[f"{body}, {frame}" for body in table for frame in FRAMINGS],
    )


class TestWholeStreams:
    @every_framing(WHOLE_BODIES)
    async def test_a_whole_stream_is_complete_for_its_caller(self, body, frame):
        end = relay_fixtures.send_bytes(frame(body), close=True)
        received, heads = await play(ROUTE, end)
        assert (received.status, received.body) == (200, body)
        assert received.complete
        assert len(heads) == 1


class TestBrokenStreams:
    @by_id(BROKEN_ENDS)
    async def test_a_broken_off_stream_is_not_complete_for_its_caller(
        self, end
    ):
        received, heads = await play(ROUTE, end)
        assert not received.complete or received.status == 502
        assert len(heads) == 1

    @by_id(BROKEN_ENDS)
    async def test_a_broken_off_stream_is_resumed_after_its_last_event(
        self, end
    ):
        async def resume(head, writer):
            last_event = EVENTS[0].split(b"\n")[0].decode()[len("id: ") :]
            rest = EVENTS
            for line in head.split("\r\n"):
                name, _, value = line.partition(": ")
                if name == "last-event-id":
                    last_event = value
                    rest = EVENTS[int(value) - 9 + 1 :]
            assert last_event in {"9", "10", "11", "12"}
            writer.write(frame_in_chunks(b"".join(rest)))

        received, heads = await play(RESUMABLE_ROUTE, end, resume)
        assert (received.status, received.body) == (200, STREAM)
        assert received.complete
        assert len(heads) == 2

    @by_id(BROKEN_ENDS)
    async def test_a_resumption_that_breaks_off_is_not_complete(self, end):
        first = relay_fixtures.send_stream((8, "8"), end=False, close=True)
        received, heads = await play(RESUMABLE_ROUTE, first, end)
        assert received.status == 200
        assert not received.complete
        assert len(heads) == 2

    @pytest.mark.parametrize("frame", list(FRAMINGS.values()), ids=FRAMINGS)
    async def test_a_large_event_that_breaks_off_is_not_complete(
        self, frame, monkeypatch
    ):
        monkeypatch.setattr(framing, "MAX_EVENT_BYTES", 1000)
        body = EVENTS[0] + b"id: 10\ndata: " + 5000 * b"x"
        end = relay_fixtures.send_bytes(frame(body), close=True)
        received, _ = await play(ROUTE, end)
        assert received.status == 200
        assert not received.complete


class TestPlainAnswers:
    @pytest.mark.parametrize("frame", list(FRAMINGS.values()), ids=FRAMINGS)
    async def test_a_whole_answer_is_complete(self, frame):
        end = relay_fixtures.send_bytes(frame(b"half"), close=True)
        received, _ = await play(ONCE_ROUTE, end)
        assert (received.status, received.body) == (200, b"half")
        assert received.complete

    @pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("data", list(CUTS.values()), ids=CUTS)
    async def test_a_broken_off_answer_is_a_failure(self, data, reset):
        end = relay_fixtures.send_bytes(
            data, close=not reset, reset=reset, wait_s=0.02
        )
        received, _ = await play(ONCE_ROUTE, end)
        assert received.status == 502

    async def test_an_answer_that_its_reset_ends_is_a_failure(self):
        data = frame_by_connection_end(b"half")
        end = relay_fixtures.send_bytes(data, reset=True, wait_s=0.02)
        received, _ = await play(ONCE_ROUTE, end)
        assert received.status == 502
