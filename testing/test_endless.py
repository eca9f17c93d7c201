"""Answers without end: bounded in time, memory and processor time."""

import asyncio
import contextlib
import time

import endless_endpoint
import pytest
import relay_fixtures
from arbutuswalk_platform import callers
from arbutuswalk_platform import server

from _arbutuswalk.base import events
from _arbutuswalk.relay import answer_buffers
from _arbutuswalk.relay import attempts
from _arbutuswalk.relay import relaying
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import connection
from _arbutuswalk.streams import framing

TIMEOUT_S = 0.5
LONG_TIMEOUT_S = 8.0
"""Time-out where the limits on answers are tested, not the time."""
ANSWER_LATENESS_S = 0.25
MAX_MEMORY_BYTES = 4 * answer_buffers.MAX_ANSWER_BYTES
"""Growth that one request may cause: its answer as it is received, joined,
passed on and freed."""
CLOSE_WAIT_S = 2.0
MAX_REASON_CHARACTERS = 200
SAMPLE_INTERVAL_S = 0.01
MAX_KEPT_BYTES = 256 * 1024
KEPT_BODY_BYTES = 1024

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Server-Signature: s\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
HEADS = {
    "one header": (HEAD + b"X-Long: ", b"a"),
    "one header name": (HEAD, b"a"),
    "many headers": (HEAD, b"X-A: b\r\n"),
    "empty headers": (HEAD, b"a:\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"a"),
    "folded lines": (HEAD + b"X-Long: a\r\n", b" b\r\n"),
    "empty lines": (b"", b"\r\n"),
    "interim responses": (b"", INTERIM),
    "interim headers": (b"HTTP/1.1 103 Early Hints\r\n", b"X-A: b\r\n"),
}
OTHER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno"
)
GARBAGE = {
    "letters": (b"", b"garbage "),
    "zeros": (b"", b"\x00"),
    "late garbage": (b"HTTP/1.1 200 OK\r\n", b"\x00\xff"),
    "upgrade": (
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
        b"Connection: upgrade\r\n\r\n",
        b"data",
    ),
    "answers to others": (b"", OTHER_ANSWER),
    "body of another answer": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n",
        b"a",
    ),
}
BODIES = {
    "until the close": (HEAD + b"\r\n", b"a"),
    "declared length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"a"),
    "huge chunk": (CHUNKED + b"fffffffffffff\r\n", b"a"),
    "chunk extension": (CHUNKED + b"1;a=", b"a"),
    "chunk size": (CHUNKED, b"0"),
    "trailer": (CHUNKED + b"0\r\nX-Long: ", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "trailers after a chunk": (
        CHUNKED + b"1\r\na\r\n0\r\n",
        b"X-A: b\r\n",
    ),
}
REJECTED = {**HEADS, **GARBAGE, **BODIES}
"""Bytes that are rejected before the timeout if they come at full speed."""
ALL = {**REJECTED, "small chunks": (CHUNKED, b"1\r\na\r\n")}


def each(cases):
    return pytest.mark.parametrize(
        "answer", list(cases.values()), ids=list(cases)
    )


both_speeds = pytest.mark.parametrize(
    "trickle", [False, True], ids=["full speed", "trickle"]
)


def make_request(path="/a/x"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
        "X-Attempt-Id: attempt-1\r\nX-Key: key\r\n"
        "X-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


class Answer:
    """What a caller received until its connection ended or was complete.

    Attributes:
        data: Received bytes; of a large body only the last ones.
        size: Number of received bytes.
        took_s: Time to the end.
    """

    def __init__(self):
        self.data = b""
        self.size = 0
        self.took_s = 0.0

    def add(self, data):
        self.size += len(data)
        self.data += data
        if len(self.data) > MAX_KEPT_BYTES:
            head, separator, body = self.data.partition(b"\r\n\r\n")
            self.data = head + separator + body[-KEPT_BODY_BYTES:]

    @property
    def status(self):
        return int(self.data.split()[1]) if self.data else 0

    @property
    def looks_complete(self):
        head, _, body = self.data.partition(b"\r\n\r\n")
        if b"transfer-encoding: chunked" in head.lower():
            return body.endswith(b"0\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) == int(line.partition(b":")[2])
        return False


class EntryUnderTest:
    """An entry whose route /a/ may be answered endlessly, and /b/ is sound."""

    def __init__(self, **route):
        endless = relay_fixtures.make_route(
            **{"timeout_s": TIMEOUT_S, "max_attempts": 1, **route}
        )
        sound = relay_fixtures.make_route(
            name="sound",
            prefix="/b/",
            targets=(routeconfig.Target("sound", 1),),
        )
        config = relay_fixtures.make_config(endless, sound)
        upstreams = tuple(
            routeconfig.Upstream(name, 100, None, None)
            for name in ("ops", "sound")
        )
        config = config._replace(upstreams=upstreams)
        self.relay = relay_fixtures.make_relay(config)
        self.relay.started_at -= 60
        self.sound_endpoint = relay_fixtures.ScriptedEndpoint(
            name="sound", upstream="sound"
        )
        self.listener = server.Listener(
            address="127.0.0.1:0", app=callers.make_app(self.relay)
        )
        self.slowest_s = 0.0
        self.memory_growth = 0
        self.tasks = []

    async def __aenter__(self):
        await self.sound_endpoint.start(self.relay)
        await self.listener.start()
        self.port = self.listener.server.sockets[0].getsockname()[1]
        await self.request("/b/x")
        self.first_memory = endless_endpoint.resident_bytes()
        self.tasks = [
            asyncio.ensure_future(self.observe_other_requests()),
            asyncio.ensure_future(self.observe_memory()),
        ]
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        self.sound_endpoint.stop()
        self.relay.pool.close()
        await self.listener.stop()

    async def observe_other_requests(self):
        while True:
            answer = await self.request("/b/x")
            assert answer.status == 200
            self.slowest_s = max(self.slowest_s, answer.took_s)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def observe_memory(self):
        while True:
            grown = endless_endpoint.resident_bytes() - self.first_memory
            self.memory_growth = max(self.memory_growth, grown)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def request(self, path="/a/x"):
        answer = Answer()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        started_at = time.monotonic()
        writer.write(make_request(path))
        async with asyncio.timeout(10):
            while data := await reader.read(65536):
                answer.add(data)
                if answer.looks_complete:
                    break
        answer.took_s = time.monotonic() - started_at
        writer.close()
        return answer

    def make_attempt_request(self):
        return relay_fixtures.make_request(self.relay)

    async def relay_directly(self, request):
        caller = relay_fixtures.RecordingCaller()
        await relaying.relay_request(
            self.relay, request, caller.make_delivery(self.relay, request)
        )
        return caller

    def assert_unharmed(self, answer):
        assert answer.took_s < TIMEOUT_S + ANSWER_LATENESS_S
        assert self.memory_growth < MAX_MEMORY_BYTES
        objective_s = self.relay.route_table.config.routes[1].objective_s
        assert self.slowest_s < objective_s


@pytest.fixture
def logged(monkeypatch):
    """Events recorded by the entry, as (event, fields)."""
    recorded = []
    monkeypatch.setattr(
        events, "record", lambda *fields: recorded.append(fields)
    )
    return recorded


@contextlib.asynccontextmanager
async def playing(answer, *, trickle=False, **route):
    async with EntryUnderTest(**route) as entry:
        endpoint = endless_endpoint.EndlessEndpoint(*answer, trickle=trickle)
        endpoint.listen().announce(entry.relay)
        try:
            yield entry, endpoint
        finally:
            endpoint.stop()


async def wait_until_closed(endpoint):
    async with asyncio.timeout(CLOSE_WAIT_S):
        while len(endpoint.ends) < endpoint.connection_count:
            await asyncio.sleep(0.01)


def ended_attempts(logged):
    return [
        fields[1:]
        for fields in logged
        if fields[0] == events.Event.ATTEMPT_ENDED
    ]


class TestAnswersToRequests:
    @both_speeds
    @each(ALL)
    async def test_the_caller_gets_a_failure_in_time(
        self, answer, trickle, logged
    ):
        route = {"kind": routeconfig.ONCE}
        async with playing(answer, trickle=trickle, **route) as (
            entry,
            endpoint,
        ):
            received = await entry.request()
            assert received.status in (502, 504)
            entry.assert_unharmed(received)
            await wait_until_closed(endpoint)
            assert not entry.relay.pool.idle.get(endpoint.address)
            ((_, endpoint_id, _, reason, _),) = ended_attempts(logged)
            assert endpoint_id == "endless"
            assert 0 < len(reason) < MAX_REASON_CHARACTERS

    @each(REJECTED)
    async def test_an_idempotent_request_is_answered_by_another_endpoint(
        self, answer
    ):
        route = {"kind": routeconfig.IDEMPOTENT, "max_attempts": 2}
        async with playing(answer, **route) as (entry, endpoint):
            other = relay_fixtures.ScriptedEndpoint(name="other", slots=1)
            entry.relay.suspect_until["other"] = entry.relay.now() + 60
            await other.start(entry.relay)
            received = await entry.request()
            other.stop()
            assert endpoint.request_heads
            assert (received.status, received.data[-2:]) == (200, b"ok")
            entry.assert_unharmed(received)
            assert "endless" in entry.relay.suspect_until
            await wait_until_closed(endpoint)


NOT_RUN = (
    b"HTTP/1.1 503 Full\r\nX-Attempt-Id: attempt-1\r\nX-Not-Executed: 1\r\n"
)
REJECTIONS = {
    "until the close": (NOT_RUN + b"\r\n", b"a"),
    "declared length": (NOT_RUN + b"Content-Length: 99999999\r\n\r\n", b"a"),
    "chunk extension": (
        NOT_RUN + b"Transfer-Encoding: chunked\r\n\r\n1;a=",
        b"a",
    ),
}


class TestRejections:
    """An endpoint states in the head that it has not run the request."""

    @both_speeds
    @each(REJECTIONS)
    async def test_another_endpoint_runs_it_at_once(self, answer, trickle):
        route = {"kind": routeconfig.ONCE, "timeout_s": 2.0}
        async with playing(answer, trickle=trickle, **route) as (
            entry,
            endpoint,
        ):
            other = relay_fixtures.ScriptedEndpoint(name="other")
            entry.relay.suspect_until["other"] = entry.relay.now() + 60
            await other.start(entry.relay)
            received = await entry.request()
            other.stop()
            assert received.status == 200
            assert received.took_s < attempts.REJECTION_BODY_WAIT_S + 0.25
            await wait_until_closed(endpoint)

    @both_speeds
    @each(REJECTIONS)
    async def test_the_refusal_of_the_only_one_is_passed_on(
        self, answer, trickle
    ):
        route = {"kind": routeconfig.ONCE}
        async with playing(answer, trickle=trickle, **route) as (
            entry,
            endpoint,
        ):
            received = await entry.request()
            assert received.status == 503
            entry.assert_unharmed(received)
            await wait_until_closed(endpoint)


MANY = 48


class TestManyAnswers:
    """All callers of an endpoint get answers without end at once."""

    @pytest.mark.parametrize("name", list(BODIES))
    async def test_the_memory_for_all_is_limited(self, name):
        route = {"kind": routeconfig.ONCE, "timeout_s": LONG_TIMEOUT_S}
        async with playing(BODIES[name], **route) as (entry, endpoint):
            entry.relay.pool.connect_s = LONG_TIMEOUT_S
            received = await asyncio.gather(
                *(entry.request() for _ in range(MANY))
            )
            assert not [
                answer.data
                for answer in received
                if answer.status not in (502, 504)
            ]
            assert entry.memory_growth < 2 * answer_buffers.MAX_TOTAL_BYTES
            assert entry.relay.answer_buffers.total == 0
            await wait_until_closed(endpoint)

    def test_answers_that_grow_together_leave_no_gaps_in_the_heap(self):
        part = connection.MAX_READ_BYTES * b"a"
        bodies = [answer_buffers.Body() for _ in range(MANY)]
        for _ in range(20):
            for body in bodies:
                body.add(part)
                body.add(b"b")
        for body in bodies:
            assert body.join() == 20 * (part + b"b")
            sizes = [len(block) for block in body.blocks]
            assert max(sizes) < answer_buffers.BLOCK_BYTES + len(part)
            assert min(sizes[:-1]) >= answer_buffers.BLOCK_BYTES

    def test_the_largest_answer_fails(self):
        buffers = answer_buffers.AnswerBuffers()
        part = answer_buffers.MAX_ANSWER_BYTES // 4
        small, *large = (
            connection.Exchange(expected_id="", has_body=True) for _ in range(6)
        )
        buffers.add(small, 1)
        for each in large:
            buffers.add(each, 3 * part)
        buffers.add(large[0], part - 1)
        assert buffers.total == answer_buffers.MAX_TOTAL_BYTES
        assert not any(each.failure for each in (small, *large))
        buffers.add(small, 1)
        assert large[0].failure
        assert not any(each.failure for each in (small, *large[1:]))
        for each in (small, *large):
            buffers.remove(each)
        assert buffers.total == 0


EVENTS = {
    "one line": b"data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    "one event": b"data: a\n",
}
ENDLESS_EVENT_STARTS = {
    "until the close": HEAD + b"\r\n",
    "declared length": HEAD + b"Content-Length: 999999999999\r\n\r\n",
    "huge chunk": CHUNKED + b"fffffffffffff\r\n",
}
STREAM_BODIES = {
    **EVENTS,
    "events": b"data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n\n",
    "empty events": b"\n\n",
    "no events": b"\xff",
}
FIRST_EVENT = b"id: 1\ndata: first\n\n"


class TestStreams:
    """Streams are passed on until the timeout, and buffered within limits."""

    @pytest.mark.parametrize(
        "start", list(ENDLESS_EVENT_STARTS.values()), ids=ENDLESS_EVENT_STARTS
    )
    @pytest.mark.parametrize(
        "body", list(STREAM_BODIES.values()), ids=STREAM_BODIES
    )
    async def test_a_stream_ends_incomplete_at_the_timeout(
        self, start, body, logged
    ):
        answer = (start + FIRST_EVENT, body)
        async with playing(answer, kind=routeconfig.STREAM) as (
            entry,
            endpoint,
        ):
            received = await entry.request()
            assert received.status == 200
            assert not received.looks_complete
            assert received.size > framing.MAX_EVENT_BYTES
            entry.assert_unharmed(received)
            await wait_until_closed(endpoint)
            assert not entry.relay.pool.idle.get(endpoint.address)
            assert len(ended_attempts(logged)) == 1

    async def test_a_trickled_stream_ends_incomplete_at_the_timeout(self):
        answer = (CHUNKED + b"ffff\r\n" + FIRST_EVENT, b"a")
        async with playing(answer, trickle=True, kind=routeconfig.STREAM) as (
            entry,
            endpoint,
        ):
            received = await entry.request()
            assert FIRST_EVENT in received.data
            assert not received.looks_complete
            entry.assert_unharmed(received)
            await wait_until_closed(endpoint)

    @both_speeds
    @pytest.mark.parametrize("body", list(EVENTS.values()), ids=EVENTS)
    async def test_an_endless_event_is_replaced_by_another_endpoints(
        self, body, trickle
    ):
        """A byte now and then kept a stream without events from resuming."""
        answer = (CHUNKED + b"fffffffffffff\r\n" + FIRST_EVENT, body)
        route = {
            "kind": routeconfig.STREAM,
            "resumable": True,
            "max_attempts": 2,
            "timeout_s": 4.0,
        }
        async with playing(answer, trickle=trickle, **route) as (
            entry,
            endpoint,
        ):
            other = relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_stream((1, "again"), (2, "second")),
                name="other",
            )
            entry.relay.suspect_until["other"] = entry.relay.now() + 60
            await other.start(entry.relay)
            received = await entry.request()
            other.stop()
            assert received.looks_complete
            assert FIRST_EVENT in received.data
            assert b"id: 2\ndata: second\n\n" in received.data
            assert b"aa" not in received.data.partition(FIRST_EVENT)[2]
            assert received.took_s < 2.0
            await wait_until_closed(endpoint)

    async def test_a_caller_that_does_not_read_is_cut_off_at_the_timeout(self):
        answer = (HEAD + b"\r\n", STREAM_BODIES["events"])
        async with playing(answer, kind=routeconfig.STREAM) as (
            entry,
            endpoint,
        ):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", entry.port, limit=1024
            )
            started_at = time.monotonic()
            writer.write(make_request())
            await reader.readuntil(b"\r\n\r\n")
            await wait_until_closed(endpoint)
            assert endpoint.ends[0] - started_at < (
                TIMEOUT_S + ANSWER_LATENESS_S
            )
            assert entry.memory_growth < MAX_MEMORY_BYTES
            writer.close()

    @pytest.mark.parametrize("size", [1, 7, 4096, 70_000])
    async def test_a_large_event_is_passed_on_unchanged(
        self, size, monkeypatch
    ):
        monkeypatch.setattr(framing, "MAX_EVENT_BYTES", 10_000)
        route = relay_fixtures.make_route(kind=routeconfig.STREAM)
        relay = relay_fixtures.make_relay(relay_fixtures.make_config(route))
        caller = relay_fixtures.RecordingCaller()
        caller_delivery = caller.make_delivery(
            relay, relay_fixtures.make_request(relay)
        )
        line = b"data: " + 20_000 * b"x"
        large = line + b"\n" + line + b"\n\n"
        small = b"id: 3\ndata: y\n\n"
        stream = FIRST_EVENT + large + small + b"id: 4\n" + large + b"rest"
        for start in range(0, len(stream), size):
            await caller_delivery.send_events(stream[start : start + size])
            if caller_delivery.has_large_event:
                await caller_delivery.send_event_part()
        await caller_delivery.finish_stream()
        assert caller.data == stream


ANSWER = HEAD + b"Content-Length: 2\r\n\r\nok"
EXTRA_BYTES = {
    "letters": b"a",
    "zeros": b"\x00",
    "line ends": b"\r\n",
    "answers": ANSWER,
    "answers to others": OTHER_ANSWER,
    "interim responses": INTERIM,
}


class TestBytesAfterAnAnswer:
    """A complete answer is passed on; its connection carries no other one."""

    async def request_twice(self, entry, endpoint, logged):
        for number in (1, 2):
            received = await entry.request()
            assert received.status == 200
            assert received.data.endswith(b"\r\n\r\nok")
            entry.assert_unharmed(received)
            await wait_until_closed(endpoint)
            assert endpoint.connection_count == number
            assert not entry.relay.pool.idle.get(endpoint.address)
        lines = [
            fields[1:]
            for fields in logged
            if fields[0] == events.Event.UNEXPECTED_BYTES
        ]
        assert [address for address, _ in lines] == 2 * [endpoint.address]
        assert all(len(reason) < MAX_REASON_CHARACTERS for _, reason in lines)

    @both_speeds
    @pytest.mark.parametrize(
        "extra", list(EXTRA_BYTES.values()), ids=EXTRA_BYTES
    )
    async def test_bytes_that_follow_at_once(self, extra, trickle, logged):
        async with playing((ANSWER, extra), trickle=trickle) as (
            entry,
            endpoint,
        ):
            await self.request_twice(entry, endpoint, logged)

    @both_speeds
    @pytest.mark.parametrize(
        "extra", list(EXTRA_BYTES.values()), ids=EXTRA_BYTES
    )
    async def test_bytes_on_an_idle_connection(self, extra, trickle, logged):
        async with playing((ANSWER, extra), trickle=trickle) as (
            entry,
            endpoint,
        ):
            endpoint.pause_s = 0.1
            await self.request_twice(entry, endpoint, logged)

    async def test_bytes_while_the_request_is_not_read(self, logged):
        size = 90_000
        async with playing((ANSWER, b"a")) as (entry, endpoint):
            head = make_request().partition(b"\r\n\r\n")[0]
            head = head.replace(b"Length: 4", b"Length: %d" % size)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", entry.port
            )
            writer.write(head + b"\r\n\r\n" + size * b"x")
            assert (await reader.readuntil(b"\r\n")).split()[1] == b"200"
            await wait_until_closed(endpoint)
            writer.close()

    async def test_unread_bytes_are_not_taken_for_the_next_answer(self):
        """An idle connection was reused before its bytes had been read."""
        unsigned = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
        async with playing((ANSWER, unsigned)) as (entry, endpoint):
            endpoint.pause_s = 0.1
            first = entry.make_attempt_request()
            assert (await entry.relay_directly(first)).data == b"ok"
            # The event loop does not read while the endpoint sends.
            time.sleep(0.2)
            second = entry.make_attempt_request()
            assert (await entry.relay_directly(second)).data == b"ok"
            assert endpoint.connection_count == 2
