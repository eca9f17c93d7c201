"""Requests that are read late in the grace period of an entry that stops."""

import asyncio
import collections
import signal
import socket
from typing import NamedTuple

import platform_fixtures
import pytest
import relay_fixtures
import test_platform_front
from arbutuswalk_platform import entry

from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import retry_reservation
from _arbutuswalk.relay import stopping
from _arbutuswalk.state import routeconfig

GRACE_S = 2.4
ACCEPT_S = 0.3
LATE_S = 1.0
"""When late requests are read: after listening has ended."""
TIMEOUT_S = 6.0
"""Time-out of routes on which work may go on beyond the grace."""
WAIT_S = 10.0
ENDLESS_S = 30.0

ONCE = relay_fixtures.make_route(
    kind=routeconfig.ONCE, max_attempts=1, timeout_s=TIMEOUT_S
)
IDEMPOTENT = relay_fixtures.make_route(timeout_s=TIMEOUT_S)
STREAM = relay_fixtures.make_route(
    kind=routeconfig.STREAM, max_attempts=1, timeout_s=TIMEOUT_S
)
RESUMABLE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=True, timeout_s=TIMEOUT_S
)
ROUTES_THAT_RUN_ONCE = pytest.mark.parametrize(
    "route", [ONCE, STREAM], ids=["once", "stream"]
)
ALL_ROUTES = pytest.mark.parametrize(
    "route",
    [ONCE, IDEMPOTENT, STREAM, RESUMABLE],
    ids=["once", "idempotent", "stream", "resumable"],
)


class Answer(NamedTuple):
    """What a caller got; status 0 stands for a closed connection.

    Attributes:
        took_s: Time from the first byte of the request to the end.
    """

    status: int
    head: bytes = b""
    body: bytes = b""
    took_s: float = 0.0

    @property
    def says_close(self):
        return b"connection: close" in self.head

    @property
    def is_true_refusal(self):
        return (
            self.status == 503
            and self.says_close
            and b"retry-after: " in self.head
        )


def encode_request(path="/a/x", *, request_id="attempt-1", body=b"body"):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Key: key\r\n"
        f"X-Deadline-Ms: 60000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_answer(reader):
    """Reads one answer with a length or in chunks."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        body = b""
        if b"content-length:" in head:
            length = head.partition(b"content-length:")[2].split(b"\r\n")[0]
            body = await reader.readexactly(int(length))
        else:
            size = -1
            while size:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, OSError):
        return Answer(0)
    return Answer(int(head.split()[1]), head, body)


def work(seconds, echo="attempt-1"):
    """Returns a step that answers after some time."""

    async def step(head, writer):
        await asyncio.sleep(seconds)
        await relay_fixtures.send_answer(b"data: 1\n\n", echo=echo)(
            head, writer
        )

    return step


class StoppingEntry(test_platform_front.RunningEntry):
    """An entry that stops, with a short grace period."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers = []
        self.grace_s = GRACE_S

    async def __aexit__(self, *exception):
        await super().__aexit__(*exception)
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0)

    async def connect(self):
        reader, writer = await super().connect()
        self.writers.append(writer)
        return reader, writer

    def start_to_stop(self):
        self.stopped = asyncio.ensure_future(self._stop())

    async def _stop(self):
        await entry._drain(self.relay, self.listener, self.grace_s)
        await self.listener.stop()

    async def read_answer(self, reader):
        return await asyncio.wait_for(read_answer(reader), WAIT_S)

    async def send_late_body(self, late_s=LATE_S):
        """Sends all but the last byte, stops, and sends the rest late."""
        reader, writer = await self.connect()
        data = encode_request()
        writer.write(data[:-1])
        await asyncio.sleep(0.1)
        self.start_to_stop()
        await asyncio.sleep(late_s)
        writer.write(data[-1:])
        answer = await self.read_answer(reader)
        await self.stopped
        return answer


@pytest.fixture
def accept_period(monkeypatch):
    monkeypatch.setattr(entry, "DRAIN_ACCEPT_S", ACCEPT_S)


def make_config(*routes, **upstream):
    config = relay_fixtures.make_config(*routes)
    return config._replace(
        upstreams=(config.upstreams[0]._replace(**upstream),)
    )


@pytest.mark.usefixtures("accept_period")
class TestReadLate:
    @ROUTES_THAT_RUN_ONCE
    async def test_one_that_may_run_once_and_outlast_the_grace_is_refused(
        self, route
    ):
        """Guards against LOST: it ran, and was cut without an answer."""
        config = make_config(route)
        async with StoppingEntry(config, [work(ENDLESS_S)]) as stopping_entry:
            answer = await stopping_entry.send_late_body()
            assert answer.is_true_refusal
            assert not stopping_entry.endpoint.request_heads

    async def test_a_resumable_stream_that_may_outlast_the_grace_is_refused(
        self,
    ):
        steps = [relay_fixtures.send_stream((1, "a"), end=False)]
        config = make_config(RESUMABLE)
        async with StoppingEntry(config, steps) as stopping_entry:
            answer = await stopping_entry.send_late_body()
            assert answer.is_true_refusal
            assert not stopping_entry.endpoint.request_heads

    @pytest.mark.parametrize(
        "route",
        [
            ONCE._replace(timeout_s=LATE_S + 1.4),
            STREAM._replace(timeout_s=LATE_S + 1.4),
            IDEMPOTENT,
        ],
        ids=["once", "stream", "idempotent"],
    )
    async def test_one_that_ends_inside_the_grace_is_answered(self, route):
        config = make_config(route)
        async with StoppingEntry(config, [work(0.05)]) as stopping_entry:
            stopping_entry.grace_s = GRACE_S + 1.0
            answer = await stopping_entry.send_late_body()
            assert (answer.status, answer.body) == (200, b"data: 1\n\n")
            assert answer.says_close

    async def test_an_idempotent_one_with_too_little_time_is_refused(self):
        config = make_config(IDEMPOTENT._replace(objective_s=1.0))
        async with StoppingEntry(config) as stopping_entry:
            answer = await stopping_entry.send_late_body()
            assert answer.is_true_refusal
            assert not stopping_entry.endpoint.request_heads

    async def test_a_refused_one_takes_nothing_from_the_quota(self):
        config = relay_fixtures.make_config(ONCE, rate_per_s=1.0, burst=100.0)
        async with StoppingEntry(config) as stopping_entry:
            bucket = stopping_entry.relay.quota_buckets["w"]
            level = bucket.level
            assert (await stopping_entry.send_late_body()).is_true_refusal
            assert bucket.level >= level

    @pytest.mark.parametrize("work_s", [0.6, 1.0])
    async def test_a_pipelined_one_behind_a_slow_one_is_answered(self, work_s):
        """Guards against LOST: it was read whole, and never answered."""
        config = make_config(ONCE._replace(timeout_s=1.3))
        steps = [work(work_s), work(0.05, echo="attempt-2")]
        async with StoppingEntry(config, steps) as stopping_entry:
            reader, writer = await stopping_entry.connect()
            writer.write(encode_request())
            await asyncio.sleep(0.1)
            stopping_entry.start_to_stop()
            await asyncio.sleep(ACCEPT_S + 0.1)
            writer.write(encode_request(request_id="attempt-2"))
            first = await stopping_entry.read_answer(reader)
            second = await stopping_entry.read_answer(reader)
            await stopping_entry.stopped
            assert first.status == 200
            assert not first.says_close
            assert second.is_true_refusal or second.status == 200
            assert second.says_close

    async def test_one_read_as_the_drain_ends_is_not_passed_on(self):
        config = make_config(ONCE)
        async with StoppingEntry(config, [work(ENDLESS_S)]) as stopping_entry:
            await entry._drain(
                stopping_entry.relay, stopping_entry.listener, GRACE_S
            )
            connection = stopping_entry.listener._make_connection()
            with socket.socket() as sock:
                transport = RecordingTransport(sock)
                connection.connection_made(transport)
                connection.data_received(encode_request())
                await asyncio.sleep(0.1)
                connection.connection_lost(None)
            assert transport.data.startswith(b"HTTP/1.1 503")
            assert not stopping_entry.endpoint.request_heads


class TestTimeLeft:
    @pytest.mark.parametrize(
        ("route", "left_s", "is_early", "has_time"),
        [
            (ONCE, TIMEOUT_S - 0.1, True, False),
            (ONCE, TIMEOUT_S + 0.2, False, True),
            (STREAM, TIMEOUT_S - 0.1, True, False),
            (STREAM, TIMEOUT_S + 0.2, False, True),
            (IDEMPOTENT, 0.9, True, False),
            (IDEMPOTENT, 1.1, False, True),
            (IDEMPOTENT._replace(objective_s=1.5), 1.4, False, False),
            (RESUMABLE, 0.9, True, False),
            (RESUMABLE, 1.1, True, True),
            (RESUMABLE, TIMEOUT_S - 0.1, False, False),
            (RESUMABLE, TIMEOUT_S + 0.2, False, True),
        ],
    )
    def test_it_is_needed_to_the_deadline_or_as_usual(
        self, route, left_s, is_early, has_time
    ):
        relay = relay_fixtures.make_relay(make_config(route))
        for i in range(100):
            took_s = 1.0 if i < 95 else 5.0
            relay.metrics.record("answer", 'route="r"', took_s)
        relay.now = lambda: 100.0
        request = relay_fixtures.make_request(relay)
        relay.stop = relay_state.Stop(
            accepts_until=100.0, answers_due_at=100.0 + left_s
        )
        read_at = 100.0 if is_early else 100.1
        assert stopping.has_time(relay, request, read_at) is has_time


class TestAcceptedLast:
    @pytest.mark.parametrize("ticks", range(4))
    @pytest.mark.parametrize("connections", [1, 20])
    async def test_one_is_answered_or_unread(
        self, monkeypatch, ticks, connections
    ):
        monkeypatch.setattr(entry, "DRAIN_ACCEPT_S", 0.0)
        config = make_config(ONCE._replace(timeout_s=0.5))
        steps = [work(0.05)] * connections
        async with StoppingEntry(config, steps) as stopping_entry:
            address = "127.0.0.1", stopping_entry.port
            socks = [
                socket.create_connection(address) for _ in range(connections)
            ]
            for sock in socks:
                sock.sendall(encode_request())
            for _ in range(ticks):
                await asyncio.sleep(0)
            stopping_entry.start_to_stop()
            answers = []
            for sock in socks:
                reader, writer = await asyncio.open_connection(sock=sock)
                stopping_entry.writers.append(writer)
                answers.append(await stopping_entry.read_answer(reader))
            await stopping_entry.stopped
            served = [answer for answer in answers if answer.status == 200]
            unserved = [answer for answer in answers if answer.status != 200]
            assert all(
                answer.status == 0 or answer.is_true_refusal
                for answer in unserved
            )
            assert len(stopping_entry.endpoint.request_heads) == len(served)


class RecordingTransport(asyncio.Transport):
    """Records what is written."""

    def __init__(self, sock):
        super().__init__({"socket": sock})
        self.data = b""
        self.closing = False

    def write(self, data):
        self.data += data

    def close(self):
        self.closing = True

    def is_closing(self):
        return self.closing

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0


@pytest.mark.usefixtures("accept_period")
class TestWaiting:
    async def send_two(self, stopping_entry):
        """Sends two requests, the second of which waits for a connection."""
        answers = []
        for request_id in ("attempt-1", "attempt-2"):
            reader, writer = await stopping_entry.connect()
            writer.write(encode_request(request_id=request_id))
            answers.append(
                asyncio.ensure_future(stopping_entry.read_answer(reader))
            )
            await asyncio.sleep(0.1)
        stopping_entry.start_to_stop()
        result = await asyncio.gather(*answers)
        await stopping_entry.stopped
        return result

    @ALL_ROUTES
    async def test_one_that_gets_a_connection_late_is_refused(self, route):
        """Guards against LOST: it was passed on late, and cut."""
        config = make_config(
            route._replace(objective_s=8.0), connection_limit=1
        )
        steps = [work(LATE_S), work(ENDLESS_S)]
        async with StoppingEntry(config, steps) as stopping_entry:
            first, second = await self.send_two(stopping_entry)
            assert first.status == 200
            assert second.is_true_refusal
            assert len(stopping_entry.endpoint.request_heads) == 1

    @ALL_ROUTES
    async def test_one_that_waits_to_the_end_is_refused(self, route):
        """Guards against a connection that is closed without an answer."""
        config = make_config(
            route._replace(objective_s=30.0, timeout_s=20.0),
            connection_limit=1,
        )
        steps = [work(ENDLESS_S)]
        async with StoppingEntry(config, steps) as stopping_entry:
            first, second = await self.send_two(stopping_entry)
            assert first.status == 504
            assert second.is_true_refusal
            assert len(stopping_entry.endpoint.request_heads) == 1

    async def test_one_whose_body_does_not_end_is_refused(self):
        async with StoppingEntry(make_config(IDEMPOTENT)) as stopping_entry:
            reader, writer = await stopping_entry.connect()
            writer.write(encode_request()[:-1])
            await asyncio.sleep(0.1)
            stopping_entry.start_to_stop()
            answer = await stopping_entry.read_answer(reader)
            assert answer.is_true_refusal
            await stopping_entry.stopped

    async def test_one_that_waits_for_the_configuration_is_refused(
        self, monkeypatch
    ):
        monkeypatch.setattr(entry, "DRAIN_ACCEPT_S", 5.0)
        async with StoppingEntry() as stopping_entry:
            relay = stopping_entry.relay
            relay.route_table = None
            relay.started_at = relay.now()
            stopping_entry.start_to_stop()
            await asyncio.sleep(GRACE_S - 1.3)
            reader, _ = await self.send(stopping_entry)
            answer = await stopping_entry.read_answer(reader)
            assert answer.is_true_refusal
            await stopping_entry.stopped

    async def test_the_configuration_comes_too_late(self, monkeypatch):
        monkeypatch.setattr(entry, "DRAIN_ACCEPT_S", 5.0)
        config = make_config(ONCE)
        async with StoppingEntry(config, [work(ENDLESS_S)]) as stopping_entry:
            relay = stopping_entry.relay
            table, relay.route_table = relay.route_table, None
            relay.started_at = relay.now()
            stopping_entry.start_to_stop()
            await asyncio.sleep(0.5)
            reader, _ = await self.send(stopping_entry)
            await asyncio.sleep(0.5)
            relay.route_table = table
            relay.notify_waiters()
            answer = await stopping_entry.read_answer(reader)
            assert answer.is_true_refusal
            assert not stopping_entry.endpoint.request_heads
            await stopping_entry.stopped

    async def send(self, stopping_entry):
        reader, writer = await stopping_entry.connect()
        writer.write(encode_request())
        return reader, writer


@pytest.mark.usefixtures("accept_period")
class TestFreedConnections:
    async def test_a_refused_one_passes_its_connection_on(self):
        """Guards against a request that waits behind one that is refused."""
        urgent = ONCE._replace(name="r1", priority=0, objective_s=8.0)
        short = IDEMPOTENT._replace(name="r2", prefix="/b/", priority=1)
        first = IDEMPOTENT._replace(name="r0", prefix="/c/")
        config = make_config(
            urgent, short._replace(objective_s=1.6), first, connection_limit=1
        )
        steps = [work(LATE_S - 0.1), work(0.05)]
        async with StoppingEntry(config, steps) as stopping_entry:
            stopping_entry.grace_s = 4.0
            stopping_entry.start_to_stop()
            answers = []
            for path in ("/c/x", "/a/x", "/b/x"):
                reader, writer = await stopping_entry.connect()
                writer.write(encode_request(path)[:-1])
                await asyncio.sleep(0.05)
                if path != "/b/x":
                    writer.write(b"y")
                answers.append(
                    asyncio.ensure_future(stopping_entry.read_answer(reader))
                )
            await asyncio.sleep(LATE_S - 0.4)
            writer.write(b"y")
            first, refused, served = await asyncio.gather(*answers)
            await stopping_entry.stopped
            assert first.status == 200
            assert refused.is_true_refusal
            assert served.status == 200


@pytest.mark.usefixtures("accept_period")
class TestFurtherAttempts:
    async def play(self, config, *steps):
        """Stops an entry while the first attempt of a request runs."""
        async with StoppingEntry(config, steps[:1]) as stopping_entry:
            other = relay_fixtures.ScriptedEndpoint(*steps[1:], name="e2")
            await other.start(stopping_entry.relay)
            stopping_entry.relay.suspect_until["e2"] = (
                stopping_entry.relay.now() + 60
            )
            reader, writer = await stopping_entry.connect()
            writer.write(encode_request())
            await asyncio.sleep(0.1)
            stopping_entry.start_to_stop()
            answer = await stopping_entry.read_answer(reader)
            await stopping_entry.stopped
            other.stop()
            assert len(stopping_entry.endpoint.request_heads) == 1
            return answer, len(other.request_heads)

    async def test_none_starts_that_cannot_end_inside_the_grace(self):
        lost = relay_fixtures.send_bytes(b"", wait_s=LATE_S)

        async def break_off(head, writer):
            await lost(head, writer)
            writer.transport.abort()

        config = make_config(IDEMPOTENT._replace(objective_s=1.0))
        answer, others = await self.play(config, break_off, work(ENDLESS_S))
        assert answer.status == 502
        assert answer.says_close
        assert others == 0

    async def test_one_that_has_time_left_is_started(self):
        async def break_off(head, writer):
            await asyncio.sleep(LATE_S)
            writer.transport.abort()

        config = make_config(IDEMPOTENT)
        answer, others = await self.play(config, break_off, work(0.05))
        assert answer.status == 200
        assert others == 1

    @pytest.mark.parametrize("has_time", [False, True])
    async def test_no_endpoint_is_left_for_one_that_cannot_follow(
        self, has_time
    ):
        relay = relay_fixtures.make_relay(make_config(RESUMABLE))
        endpoint = relay_fixtures.ScriptedEndpoint(name="e1")
        await endpoint.start(relay)
        endpoint.stop()
        reservation = retry_reservation.RetryReservation(
            relay=relay, request=relay_fixtures.make_request(relay)
        )
        now = relay.now()
        relay.stop = relay_state.Stop(
            accepts_until=now, answers_due_at=now + 10.0 * has_time
        )
        for name in relay.directory.rows:
            relay.heard_at[name] = relay.now()
        reserved = reservation.reserve(relay.started_at, needs_sound=False)
        assert reserved is has_time

    async def test_one_refused_by_an_endpoint_late_is_not_sent_again(self):
        async def refuse(head, writer):
            await asyncio.sleep(LATE_S)
            writer.write(
                b"HTTP/1.1 503 Full\r\nX-Attempt-Id: attempt-1\r\n"
                b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )

        answer, others = await self.play(
            make_config(ONCE), refuse, work(ENDLESS_S)
        )
        assert answer.is_true_refusal
        assert others == 0


@pytest.mark.usefixtures("accept_period")
class TestStillAtWork:
    @ALL_ROUTES
    async def test_one_without_an_answer_at_the_end_gets_504(self, route):
        """Guards against LOST: the connection ended without an answer."""
        config = make_config(route)
        async with StoppingEntry(
            config, [relay_fixtures.send_bytes(b"")]
        ) as stopping_entry:
            reader, writer = await stopping_entry.connect()
            writer.write(encode_request())
            await asyncio.sleep(0.1)
            stopping_entry.start_to_stop()
            answer = await stopping_entry.read_answer(reader)
            assert answer.status == 504
            assert answer.says_close
            await asyncio.wait_for(
                stopping_entry.endpoint.connection_lost.wait(), WAIT_S
            )
            await stopping_entry.stopped

    async def test_a_stream_goes_on_to_the_end_of_the_grace(self):
        async def stream(head, writer):
            await relay_fixtures.send_stream((1, "a"), end=False)(head, writer)
            await asyncio.sleep(GRACE_S - entry.SHUTDOWN_MARGIN_S - 0.2)
            data = b"id: 2\ndata: b\n\n"
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data))

        config = make_config(STREAM)
        async with StoppingEntry(config, [stream]) as stopping_entry:
            reader, writer = await stopping_entry.connect()
            writer.write(encode_request())
            await asyncio.sleep(0.05)
            stopping_entry.start_to_stop()
            answer = await stopping_entry.read_answer(reader)
            assert answer.body.endswith(b"data: b\n\n")
            await stopping_entry.stopped


class WorkingEndpoint(relay_fixtures.ScriptedEndpoint):
    """Works for the time that a request's path states, in milliseconds.

    Attributes:
        started: Ids of the requests that it has run.
    """

    # The test sends hundreds of requests at once. Connections beyond the
    # backlog would wait for the kernel to repeat its SYN after a second.
    backlog = socket.SOMAXCONN

    def __init__(self):
        super().__init__(name="i-1")
        self.steps = self
        self.started = collections.Counter()

    def pop(self, _):
        """Returns the next step of the script, which never ends."""
        return self._work

    async def _work(self, head, writer):
        path = head.split()[1]
        (request_id,) = (
            line.partition(":")[2].strip()
            for line in head.split("\r\n")
            if line.lower().startswith("x-attempt-id:")
        )
        self.started[request_id] += 1
        work_ms = int(path.rpartition("/")[2])
        await work(work_ms / 1000, echo=request_id)(head, writer)


class Call(NamedTuple):
    """One request of the test with processes.

    Attributes:
        id: Its id.
        at_s: When its last byte is sent, in seconds after SIGTERM.
        path: Route and work.
        way: What of it is sent before.
    """

    id: str
    at_s: float
    path: str
    way: str


PROCESS_GRACE_S = 6
SLOT_S = 0.2
LAST_HEAD_S = 2.2
"""When the last heads are sent: idle connections are closed later."""
ROUTES = {
    "/once/": ("non_idempotent", 2000, 1),
    "/long/": ("non_idempotent", 20_000, 1),
    "/again/": ("idempotent", 20_000, 2),
}
WORK_MS = (20, 1000)
KEPT, NEW, LATE_BODY, LATE_HEAD = "kept", "new", "late body", "late head"


def make_process_config():
    config = platform_fixtures.make_config(2, *ROUTES)
    config["services"][0]["connection_limit"] = 5000
    for route, (kind, timeout_ms, attempts) in zip(
        config["routes"], ROUTES.values(), strict=True
    ):
        route |= {
            "route_kind": kind,
            "timeout_ms": timeout_ms,
            "max_attempts": attempts,
            "target_latency_ms": 300,
        }
    return config


def make_calls():
    slots = int(PROCESS_GRACE_S / SLOT_S)
    calls = [
        (slot * SLOT_S, f"{prefix}{work_ms}", way)
        for slot in range(slots)
        for prefix in ROUTES
        for work_ms in WORK_MS
        for way in (KEPT, NEW, LATE_BODY, LATE_HEAD)
    ]
    return [Call(f"c{i}", *values) for i, values in enumerate(calls)]


async def make_call(call, address, stop_at):
    """Sends one request in its way; returns the answer.

    A connection that is closed or refused before the request has been sent
    whole counts as an answer with status -1.
    """
    loop = asyncio.get_running_loop()
    data = encode_request(call.path, request_id=call.id)
    sent_before = {
        KEPT: 0,
        NEW: 0,
        LATE_BODY: len(data) - 1,
        LATE_HEAD: 40,
    }[call.way]
    sent_at = stop_at + call.at_s
    try:
        if call.way == NEW:
            await asyncio.sleep(max(0, sent_at - loop.time()))
        reader, writer = await asyncio.open_connection(*address)
        if call.way == KEPT:
            warm_up = encode_request("/again/0", request_id=f"w{call.id}")
            writer.write(warm_up)
            assert (await read_answer(reader)).status == 200
        if sent_before:
            begin_at = min(sent_at - 0.3, stop_at + LAST_HEAD_S)
            await asyncio.sleep(max(0, begin_at - loop.time()))
            writer.write(data[:sent_before])
        begun_at = loop.time()
        await asyncio.sleep(max(0, sent_at - loop.time()))
        if reader.at_eof() or reader.exception():
            writer.close()
            return Answer(-1)
        writer.write(data[sent_before:])
    except OSError:
        return Answer(-1)
    answer = await asyncio.wait_for(read_answer(reader), 30)
    writer.close()
    return answer._replace(took_s=loop.time() - begun_at)


def explain_fault(call, answer, runs):
    """Returns what is wrong with the outcome of a call, empty if nothing is."""
    is_repeatable = call.path.startswith("/again/")
    if runs > 1 and not is_repeatable:
        return "run twice"
    if answer.status == 200:
        return "" if runs and answer.body == b"data: 1\n\n" else "not whole"
    if answer.status == 503:
        if runs:
            return "refused, though it has run"
        return "" if answer.is_true_refusal else "refusal without close"
    if answer.status in (0, -1):
        return "cut while it ran" if runs else ""
    if answer.status in (502, 504):
        if not runs:
            return "failed, though it has not run"
        timeout_ms = ROUTES[call.path.rpartition("/")[0] + "/"][1]
        is_over = answer.took_s >= timeout_ms / 1000
        return "" if is_repeatable or is_over else "given up while it ran"
    return f"status {answer.status}"


class TestProcess:
    @pytest.fixture
    async def cluster(self, tmp_path):
        new_cluster = platform_fixtures.PlatformCluster(tmp_path)
        new_cluster.bounds = {
            **platform_fixtures.BOUND_SETTINGS,
            "grace_s": PROCESS_GRACE_S,
        }
        new_cluster.entry_ips = new_cluster.entry_ips[:1]
        async with platform_fixtures.running(new_cluster):
            yield new_cluster

    async def test_every_request_in_the_grace_is_answered_or_unread(
        self, cluster
    ):
        """Guards against LOST: late requests ran and were cut."""
        (ip,) = cluster.entry_ips
        for control_ip in cluster.control_ips:
            cluster.start_control(control_ip)
        cluster.start_entry(ip)
        endpoint = WorkingEndpoint()
        await cluster.start_heartbeats(endpoint, slots=1000)
        status, _ = await cluster.call_control(
            "POST", "/v1/Configuration.Replace", make_process_config()
        )
        assert status == 200
        await cluster.wait_for_status(ip, 200, "/again/0")
        calls = make_calls()
        stop_at = asyncio.get_running_loop().time() + 3.0
        tasks = [
            asyncio.ensure_future(
                make_call(call, (ip, cluster.callers_port), stop_at)
            )
            for call in calls
        ]
        await asyncio.sleep(stop_at - asyncio.get_running_loop().time())
        process = cluster.processes[ip]
        process.send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*tasks)
        exit_code = await asyncio.to_thread(process.wait, 10)
        stopped_s = asyncio.get_running_loop().time() - stop_at
        faults = [
            (fault, call, answer.status)
            for call, answer in zip(calls, answers, strict=True)
            if (fault := explain_fault(call, answer, endpoint.started[call.id]))
        ]
        statuses = collections.Counter(
            (call.way, answer.status)
            for call, answer in zip(calls, answers, strict=True)
        )
        print(sorted(statuses.items()))
        assert faults == []
        assert exit_code == 0
        assert stopped_s < PROCESS_GRACE_S
        for way in (KEPT, NEW, LATE_BODY):
            assert statuses[way, 200]
        assert statuses[LATE_BODY, 503]
