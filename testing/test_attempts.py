"""Attempts over real connections: cut, silent, mismatched or refused."""

import asyncio
import socket
import time

import endless_endpoint
import pytest
import test_endless

from _arbutuswalk.streams import attempts

EVENT = b"data: {}\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
SHORT_DEADLINES = attempts.Deadlines(connect_s=2, first_byte_s=0.3, gap_s=0.3)
LONG_DEADLINES = attempts.Deadlines(connect_s=60, first_byte_s=60, gap_s=60)
"""Time-outs where the limits on answers are tested, not the time."""
MAX_LIMIT_WAIT_S = 15.0
"""Less than any time-out, and than the endpoint's sending: only a limit ends an
attempt within it."""
MAX_PROCESSOR_S = 1.0
MAX_SENT_BYTES = 16 * 1024 * 1024
"""What an endpoint may send until a limit ends the attempt, with the buffers of
its connection."""
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Cached-Tokens: 7\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PLAIN = HEAD + b"\r\n"


class Upstream:
    """Answers every connection with the same chunks of bytes."""

    def __init__(self, pieces, keep_open=False):
        self.pieces = pieces
        self.keep_open = keep_open
        self.requests = []

    async def serve(self, reader, writer):
        self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        for piece in self.pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if self.keep_open:
            await reader.read()
            await reader.read()
        writer.close()


async def run(pieces, **options):
    upstream = Upstream(pieces, **options)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    result_and_events = await run_at(f"127.0.0.1:{port}")
    server.close()
    return result_and_events


async def run_at(address, deadlines=SHORT_DEADLINES):
    events = []
    order = attempts.Order(
        address=address,
        path="/v1/completions",
        request_id="r",
        attempt_id="mine",
        body={"prompt": "x"},
        priority=3,
        echo=True,
    )
    result = await attempts.run(order, deadlines, events.extend)
    return result, events


class TestCompleteStreams:
    async def test_chunked(self):
        result, events = await run(
            [CHUNKED, chunk(EVENT), chunk(DONE_EVENT), b"0\r\n\r\n"]
        )
        assert result == attempts.Completed(cached_tokens=7)
        assert events == [b"data: {}", b"data: [DONE]"]

    async def test_split_after_every_byte(self):
        stream = CHUNKED + chunk(EVENT) + chunk(DONE_EVENT) + b"0\r\n\r\n"
        pieces = [stream[i : i + 1] for i in range(len(stream))]
        result, events = await run(pieces)
        assert isinstance(result, attempts.Completed)
        assert len(events) == 2

    async def test_end_event_suffices(self):
        result, _ = await run([CHUNKED, chunk(DONE_EVENT)], keep_open=True)
        assert isinstance(result, attempts.Completed)


class TestIncompleteStreams:
    @pytest.mark.parametrize(
        "pieces",
        [
            pytest.param([CHUNKED, chunk(EVENT)], id="cut"),
            pytest.param([CHUNKED, chunk(EVENT), b"0\r\n\r\n"], id="clean-end"),
            pytest.param([PLAIN, EVENT], id="clean-close"),
            pytest.param([HEAD[:30]], id="cut-in-the-headers"),
            pytest.param([b"garbage\r\n\r\n"], id="not-http"),
            pytest.param(
                [CHUNKED, chunk(b'data: {"error": "x"}\n\n')], id="error"
            ),
            pytest.param([CHUNKED, b"zz\r\n"], id="bad-chunk"),
            pytest.param([], id="nothing"),
        ],
    )
    async def test_broken_answer(self, pieces):
        result, events = await run(pieces)
        assert isinstance(result, attempts.Broke)
        assert b"data: [DONE]" not in events
        assert all(b"error" not in event for event in events)

    @pytest.mark.parametrize(
        "media_type", [b"text/plain", b"application/json", b"text/html"]
    )
    async def test_an_answer_that_is_no_event_stream_is_not_used(
        self, media_type
    ):
        """Guards against the text of an error inside a caller's stream."""
        head = HEAD + b"Content-Type: %b\r\n" % media_type
        body = b"upstream failure: no such session\n\n"
        result, events = await run(
            [head + b"Content-Length: %d\r\n\r\n" % len(body), body]
        )
        assert isinstance(result, attempts.Broke)
        assert events == []

    @pytest.mark.parametrize(
        "media_type",
        [b"text/event-stream", b"Text/Event-Stream; charset=utf-8"],
    )
    async def test_an_event_stream_is_used(self, media_type):
        head = CHUNKED.replace(
            b"X-Cached", b"Content-Type: %b\r\nX-Cached" % media_type
        )
        result, _ = await run([head, chunk(EVENT), chunk(DONE_EVENT)])
        assert isinstance(result, attempts.Completed)

    async def test_silence_before_the_first_byte(self):
        result, _ = await run([], keep_open=True)
        assert isinstance(result, attempts.Silent)

    async def test_silence_between_tokens(self):
        result, events = await run([CHUNKED, chunk(EVENT)], keep_open=True)
        assert result == attempts.Silent(after_s=0.3, cached_tokens=7)
        assert len(events) == 1

    async def test_mismatched_answer_is_not_used(self):
        head = CHUNKED.replace(b"mine", b"other")
        result, events = await run([head, chunk(EVENT), chunk(DONE_EVENT)])
        assert result == attempts.Crossed(got="other")
        assert events == []

    async def test_missing_echo_is_not_used(self):
        head = CHUNKED.replace(b"X-Attempt-Id: mine\r\n", b"")
        result, events = await run([head, chunk(EVENT), chunk(DONE_EVENT)])
        assert isinstance(result, attempts.Crossed)
        assert events == []

    async def test_declined(self):
        answer = HEAD.replace(b"200 OK", b"503 Busy")
        result, events = await run([answer + b"Content-Length: 4\r\n\r\nfull"])
        assert result == attempts.Declined(status=503, detail="full")
        assert events == []

    async def test_connection_refused(self):
        with socket.socket() as unused_socket:
            unused_socket.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused_socket.getsockname()[1]}"
        order = attempts.Order(address, "/", "r", "mine", {}, 1, True)
        result = await attempts.run(order, SHORT_DEADLINES, print)
        assert isinstance(result, attempts.NotConnected)


ERROR_HEAD = HEAD.replace(b"200 OK", b"500 Bad")


class TestAnswersWithoutEnd:
    """Full speed only: a trickle goes on while bytes come, as an event may.

    Neither the endpoint's thread nor this one may get a processor for a while,
    so that the bounds are of processor time and bytes.
    """

    @pytest.mark.parametrize(
        ("answer", "outcome"),
        [
            *(
                (answer, attempts.Broke)
                for answer in test_endless.HEADS.values()
            ),
            ((CHUNKED + b"1;a=", b"a"), attempts.Broke),
            ((CHUNKED + b"fffffff\r\ndata: ", b"a"), attempts.Broke),
            ((PLAIN + b"data: ", b"a"), attempts.Broke),
            ((ERROR_HEAD + b"\r\n", b"a"), attempts.Declined),
            (
                (ERROR_HEAD + b"Content-Length: 999999999999\r\n\r\n", b"a"),
                attempts.Declined,
            ),
        ],
        ids=[
            *test_endless.HEADS,
            "extension",
            "chunk",
            "close",
            "error",
            "long",
        ],
    )
    async def test_the_attempt_ends(self, answer, outcome):
        endpoint = endless_endpoint.EndlessEndpoint(*answer).listen()
        memory = endless_endpoint.resident_bytes()
        started_s = time.thread_time()
        async with asyncio.timeout(MAX_LIMIT_WAIT_S):
            result, events = await run_at(endpoint.address, LONG_DEADLINES)
        assert time.thread_time() - started_s < MAX_PROCESSOR_S
        assert isinstance(result, outcome)
        assert events == []
        growth = endless_endpoint.resident_bytes() - memory
        assert growth < test_endless.MAX_MEMORY_BYTES
        await test_endless.wait_until_closed(endpoint)
        assert endpoint.sent_bytes < MAX_SENT_BYTES
        endpoint.stop()
