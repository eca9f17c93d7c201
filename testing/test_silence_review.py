"""Silence, slowness and lost wake-ups where no other attempt can help."""

import asyncio
import contextlib
import json
import socket
import threading
import time

import pytest
import relay_fixtures
import test_platform_front
import test_relay
import test_slow_callers

from _arbutuswalk.base import events
from _arbutuswalk.limits import permits
from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import permit_client
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import silence
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import stated_limits
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import attempts

STREAM = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=True, max_attempts=2, timeout_s=8.0
)
IDEMPOTENT = STREAM._replace(kind=routeconfig.IDEMPOTENT, resumable=False)
LIMITED = routeconfig.Upstream("ops", 2, None, None)
SILENCE_S = 1.8
PIECES = 24
PIECE_INTERVAL_S = 0.1
HEARD_INTERVAL_S = 0.01


def make_relay(route, **options):
    return relay_fixtures.make_relay(
        relay_fixtures.make_config(route), **options
    )


def make_unreachable(name):
    """Returns an endpoint whose address refuses connections."""
    unreachable = relay_fixtures.ScriptedEndpoint(name=name)
    start = unreachable.start

    async def start_and_stop(relay):
        await start(relay)
        unreachable.stop()

    unreachable.start = start_and_stop
    return unreachable


def make_hanging(name, sockets):
    """Returns an endpoint that accepts no connection and refuses none."""
    hanging = relay_fixtures.ScriptedEndpoint(name=name)
    start = hanging.start

    async def start_and_fill(relay):
        await start(relay)
        hanging.stop()
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        sockets.append(listener)
        address = listener.getsockname()
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            sockets.append(filler)
        row = relay.directory.rows[name]
        endpoint = row.endpoint._replace(address=f"127.0.0.1:{address[1]}")
        relay.directory.rows[name] = row._replace(endpoint=endpoint)

    hanging.start = start_and_fill
    return hanging


@contextlib.asynccontextmanager
async def hearing(relay, *names):
    """Lets other requests receive something from endpoints all the time."""

    async def hear():
        while True:
            for name in names:
                relay.heard_at[name] = relay.now()
            await asyncio.sleep(HEARD_INTERVAL_S)

    task = asyncio.ensure_future(hear())
    try:
        yield
    finally:
        task.cancel()


async def send_body_slowly(head, writer):
    """Sends the pieces of an answer at short intervals."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
        b"Content-Length: %d\r\n\r\n" % PIECES
    )
    for _ in range(PIECES):
        await asyncio.sleep(PIECE_INTERVAL_S)
        writer.write(b"x")
    await writer.drain()


async def trickle_event(head, writer):
    """Sends one event at once and the next one byte by byte."""
    await relay_fixtures.send_stream((1, "a"), end=False)(head, writer)
    for byte in b"id: 2\ndata: " + b"b" * (PIECES - 14) + b"\n\n":
        await asyncio.sleep(PIECE_INTERVAL_S)
        writer.write(b"1\r\n%c\r\n" % byte)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def fall_silent(head, writer):
    await relay_fixtures.send_stream((1, "a"), end=False)(head, writer)
    await asyncio.sleep(SILENCE_S)
    data = b"id: 2\ndata: b\n\n"
    writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data))
    await writer.drain()


async def answer_late(head, writer):
    await asyncio.sleep(2.5)
    await relay_fixtures.send_answer()(head, writer)


class TestSuspicions:
    """An endpoint that failed another request may serve this one."""

    async def answer(self, step):
        relay = make_relay(IDEMPOTENT)
        first = relay_fixtures.ScriptedEndpoint(step, name="e1")
        other = relay_fixtures.ScriptedEndpoint(name="e2")
        await first.start(relay)
        await other.start(relay)
        relay.add_load("e2", 1, 0)
        answer = asyncio.ensure_future(test_relay.relay_to(relay))
        async with hearing(relay, "e2"):
            await asyncio.sleep(1.2)
            placement.mark_suspect(relay, "e1", "another request was lost")
            caller = await answer
        first.stop()
        other.stop()
        return caller, other

    async def test_an_answer_that_arrives_is_not_aborted(self):
        caller, other = await self.answer(send_body_slowly)
        assert caller.data == b"x" * PIECES
        assert not other.request_heads

    async def test_a_slow_endpoint_that_accepts_connections_is_not_left(self):
        caller, other = await self.answer(answer_late)
        assert caller.status == 200
        assert not other.request_heads

    async def test_an_endpoint_that_stops_accepting_them_later_is_left(self):
        relay = make_relay(IDEMPOTENT)
        first = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.stay_silent(), name="e1"
        )
        other = relay_fixtures.ScriptedEndpoint(name="e2")
        await first.start(relay)
        await other.start(relay)
        relay.add_load("e2", 1, 0)
        answer = asyncio.ensure_future(test_relay.relay_to(relay))
        await asyncio.sleep(1.3)
        assert relay.heard_at["e1"]
        first.stop()  # keeps the connection that it has accepted
        caller = await asyncio.wait_for(answer, 4)
        other.stop()
        assert caller.status == 200
        assert other.request_heads


class TestOtherEndpoints:
    async def play(self, step, *others, heard=()):
        """Returns the answer; the first endpoint can continue its stream."""
        relay = make_relay(STREAM)
        first = relay_fixtures.ScriptedEndpoint(
            step, relay_fixtures.send_stream((2, "b")), name="e1"
        )
        await first.start(relay)
        for load, other in enumerate(others, 1):
            await other.start(relay)
            relay.add_load(other.name, load, 0)
        async with hearing(relay, *heard):
            caller = await test_relay.relay_to(relay)
        first.stop()
        return caller

    async def test_slow_event_does_not_leave_for_one_that_is_unreachable(self):
        caller = await self.play(trickle_event, make_unreachable("e2"))
        assert caller.data.startswith(b"id: 1\ndata: a\n\nid: 2\ndata: b")
        assert caller.complete

    async def test_the_one_that_was_heard_is_tried_first(self):
        sockets = []
        hanging = [make_hanging(f"e{n}", sockets) for n in (2, 3, 4)]
        heard = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_stream((2, "b")), name="e5"
        )
        try:
            caller = await self.play(fall_silent, *hanging, heard, heard=["e5"])
        finally:
            for each in sockets:
                each.close()
        assert caller.data.endswith(b"id: 2\ndata: b\n\n")
        assert caller.complete

    async def test_refusal_by_the_next_one_does_not_end_the_stream(self):
        refusing = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_answer(
                status="503 Full", extra="X-Not-Executed: 1\r\n"
            ),
            name="e2",
        )
        caller = await self.play(fall_silent, refusing, heard=["e2"])
        assert caller.data.endswith(b"id: 2\ndata: b\n\n")
        assert caller.complete

    async def test_a_stream_that_moves_takes_one_retry(self):
        """Also if the first one that is tried cannot be reached any more."""
        relay = make_relay(STREAM)
        first = relay_fixtures.ScriptedEndpoint(fall_silent, name="e1")
        last = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_stream((2, "b")), name="e3"
        )
        for load, each in enumerate((first, make_unreachable("e2"), last)):
            await each.start(relay)
            relay.add_load(each.name, load, 0)
        async with hearing(relay, "e2", "e3"):
            caller = await test_relay.relay_to(relay)
        first.stop()
        last.stop()
        assert caller.complete
        assert last.request_heads
        assert len(relay.retry_window("ops").retries) == 1

    async def test_a_denied_permit_does_not_end_the_stream(self):
        """The next endpoint states a limit that is used up."""
        limited = relay_fixtures.ScriptedEndpoint(name="e2")
        start = limited.start

        async def start_limited(relay):
            await start(relay)
            statement = stated_limits.Statement(1, 0.2, relay.now())
            relay.stated_limits.record("e2", statement)

            async def deny(*_):
                return permit_client.LeaderDecision(
                    "leader", permits.Denied(wait_s=5.0), 1
                )

            relay.permits.ask_leader = deny

        limited.start = start_limited
        caller = await self.play(fall_silent, limited, heard=["e2"])
        assert caller.data.endswith(b"id: 2\ndata: b\n\n")
        assert caller.complete


class TestStalledEntry:
    """An endpoint in a thread of its own goes on while the entry stands."""

    STALL_S = 1.8

    async def play(self, events, running_s=0.3):
        """Returns the answer, and the requests that another endpoint got.

        Args:
            events: Waits in seconds, each before one event.
            running_s: Time in seconds before the stall.
        """
        listener = socket.create_server(("127.0.0.1", 0))

        def serve():
            accepted, _ = listener.accept()
            accepted.recv(65536)
            accepted.sendall(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
                b"Content-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for number, wait_s in enumerate(events, 1):
                time.sleep(wait_s)
                data = b"id: %d\ndata: x\n\n" % number
                with contextlib.suppress(OSError):
                    accepted.sendall(b"%x\r\n%b\r\n" % (len(data), data))
            with contextlib.suppress(OSError):
                accepted.sendall(b"0\r\n\r\n")
            accepted.close()

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        relay = make_relay(STREAM)
        first = relay_fixtures.ScriptedEndpoint(name="e1")
        other = relay_fixtures.ScriptedEndpoint(name="e2")
        await first.start(relay)
        await other.start(relay)
        relay.add_load("e2", 1, 0)
        row = relay.directory.rows["e1"]
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        relay.directory.rows["e1"] = row._replace(
            endpoint=row.endpoint._replace(address=address)
        )
        answer = asyncio.ensure_future(test_relay.relay_to(relay))
        async with hearing(relay, "e2"):
            await asyncio.sleep(running_s)
            time.sleep(self.STALL_S)  # noqa: ASYNC251
            caller = await answer
        await asyncio.to_thread(thread.join)
        listener.close()
        first.stop()
        other.stop()
        return caller, other.request_heads

    async def test_events_that_arrived_during_a_stall_end_the_silence(self):
        caller, other_heads = await self.play([PIECE_INTERVAL_S] * PIECES)
        assert caller.complete
        assert not other_heads

    @pytest.mark.parametrize("silent_s", [0.3, 1.0, 1.4])
    async def test_a_stall_counts_for_no_silence(self, silent_s):
        caller, other_heads = await self.play(
            [0.0, silent_s + self.STALL_S + 0.3], silent_s
        )
        assert caller.complete
        assert not other_heads

    async def test_a_stall_is_no_connect_timeout(self):
        once = IDEMPOTENT._replace(kind=routeconfig.ONCE, max_attempts=1)
        relay = make_relay(once)
        endpoint = relay_fixtures.ScriptedEndpoint(name="e1")
        await endpoint.start(relay)
        answer = asyncio.ensure_future(test_relay.relay_to(relay))
        await asyncio.sleep(0)  # the connection is being opened
        await asyncio.sleep(0)
        time.sleep(self.STALL_S)  # noqa: ASYNC251
        caller = await answer
        endpoint.stop()
        assert caller.status == 200

    async def test_a_stall_is_no_silence_of_a_model(self):
        """The endpoint of the chat front goes on after the entry does."""
        released = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
                b"Content-Type: text/event-stream\r\n\r\ndata: 1\n\n"
            )
            await released.wait()
            writer.write(b"data: [DONE]\n\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        order = attempts.Order(
            address=f"127.0.0.1:{port}",
            path="/",
            request_id="r",
            attempt_id="a",
            body={},
            priority=0,
            echo=True,
        )
        received = []
        run = asyncio.ensure_future(
            attempts.run(order, attempts.Deadlines(gap_s=1.0), received.extend)
        )
        while not received:
            await asyncio.sleep(0.01)
        time.sleep(self.STALL_S)  # noqa: ASYNC251
        asyncio.get_running_loop().call_later(0.3, released.set)
        result = await run
        server.close()
        assert isinstance(result, attempts.Completed)


class TestProbes:
    async def test_a_probe_keeps_to_the_connection_limit(self):
        """An endpoint that refuses one too many has not died."""
        config = relay_fixtures.make_config(IDEMPOTENT)
        relay = relay_fixtures.make_relay(config._replace(upstreams=(LIMITED,)))
        full = relay_fixtures.ScriptedEndpoint(answer_late, name="e1")
        relay.other_loads["e1"] = relay_state.Load(running=1)
        caller = await test_relay.relay_to(relay, full)
        assert caller.status == 200
        assert full.connection_count == 1

    async def test_a_silence_of_two_seconds_is_no_crash(self):
        relay = make_relay(STREAM)
        endpoint = relay_fixtures.ScriptedEndpoint(name="e1")
        await endpoint.start(relay)
        row = relay.directory.rows["e1"]
        silent_since = 100.0
        lost_at = silent_since + silence.LEAVE_AFTER_S
        crashes.record_lost_connection(
            relay.crashes, "attempt-1", ("f",), row.endpoint, lost_at
        )
        for now, heard_at in [
            (lost_at + 0.5, silent_since),
            (lost_at + 1.9, silent_since + 2.0),
        ]:
            relay.directory.rows["e1"] = row._replace(announced_at=heard_at)
            assert not crashes.resolve_suspects(
                relay.crashes, relay.directory, now, relay.options.heartbeat_s
            )
        assert not relay.crashes.suspects
        endpoint.stop()

    async def test_slow_answers_cost_few_connections(self):
        """Ten requests of a sound endpoint that takes 2.5 s each."""
        relay = make_relay(IDEMPOTENT)
        endpoints = [
            relay_fixtures.ScriptedEndpoint(
                *[answer_late] * 10, name=name, slots=20
            )
            for name in ("e1", "e2")
        ]
        for each in endpoints:
            await each.start(relay)
        callers = []
        for number in range(10):
            await asyncio.sleep(0.2 if number else 0.0)
            callers.append(asyncio.ensure_future(test_relay.relay_to(relay)))
        for caller in await asyncio.gather(*callers):
            assert caller.status == 200
        for each in endpoints:
            each.stop()
        connection_count = sum(each.connection_count for each in endpoints)
        assert connection_count <= 10 + 4

    async def test_an_endpoint_that_was_heard_costs_no_search_for_others(
        self, monkeypatch
    ):
        """Many requests that wait long are each checked four times a second."""
        searches = []
        search = placement.usable_endpoints

        def count(*args, **options):
            searches.append(args)
            return search(*args, **options)

        monkeypatch.setattr(placement, "usable_endpoints", count)
        relay = make_relay(IDEMPOTENT)
        slow = relay_fixtures.ScriptedEndpoint(answer_late, name="e1")
        other = relay_fixtures.ScriptedEndpoint(name="e2")
        await other.start(relay)
        relay.add_load("e2", 1, 0)
        async with hearing(relay, "e1", "e2"):
            caller = await test_relay.relay_to(relay, slow)
        other.stop()
        assert caller.status == 200
        assert not searches


class TestSlowCallers:
    async def test_the_end_of_a_stream_frees_the_endpoint_at_the_deadline(self):
        route = STREAM._replace(timeout_s=1.5, resumable=False, max_attempts=1)
        config = relay_fixtures.make_config(route)
        event = b"data: " + b"x" * 240_000 + b"\n\n"

        async def stream(head, writer):
            data = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
                b"Content-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n" + data + b"0\r\n\r\n"
            )
            await writer.drain()

        async with test_platform_front.RunningEntry(config, [stream]) as entry:
            (listening,) = entry.listener.server.sockets
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024)
            _, writer = await test_slow_callers.connect_busy_caller(entry)
            writer.write(test_slow_callers.REQUEST)
            await asyncio.sleep(3.0)
            assert entry.endpoint.request_heads
            assert not entry.relay.own_loads
            writer.close()

    async def test_a_connection_that_timed_out_tells_whether_it_was_not_read(
        self, monkeypatch
    ):
        recorded = []
        monkeypatch.setattr(
            events, "record", lambda *fields: recorded.append(fields)
        )
        step = relay_fixtures.send_answer(test_slow_callers.ANSWER)
        config = relay_fixtures.make_config(test_slow_callers.ROUTE)
        async with test_platform_front.RunningEntry(config, [step]) as entry:
            _, writer = await test_slow_callers.connect_busy_caller(entry)
            writer.write(test_slow_callers.REQUEST)
            await asyncio.sleep(0.5)
            (connection,) = entry.listener.server_state.connections
            assert connection.transport.get_write_buffer_size()
            connection.transport._fatal_error(TimeoutError(110, "timed out"))
            await asyncio.sleep(0.1)
            writer.close()
        (fields,) = [
            fields
            for fields in recorded
            if fields[0] == events.Event.CALLER_TIMED_OUT
        ]
        assert fields[3] is True


SLOW_REQUEST = test_platform_front.VALID_REQUEST.replace(b"1000", b"5000")


def change_config(relay, config):
    version = relay.routes_version + 1
    values = routeconfig.to_json(config._replace(version=version))
    control_watch.apply_routes(relay, json.loads(json.dumps(values)), "test")


def with_idle_timeout(config, idle_timeout_s):
    limits = config.limits._replace(idle_timeout_s=idle_timeout_s)
    return config._replace(limits=limits)


class TestConfigChanges:
    """A change of the configuration while requests are being served."""

    IDLE_S = 0.3

    def changes(self, config):
        """Returns configurations that take something from the requests."""
        other = config.routes[0]._replace(name="o", prefix="/o/")
        shorter = config.routes[0]._replace(timeout_s=0.1, objective_s=0.1)
        other_target = config.routes[0]._replace(
            targets=(routeconfig.Target("other", 1),)
        )
        other_upstream = routeconfig.Upstream("other", 1, None, None)
        return {
            "idle": with_idle_timeout(config, self.IDLE_S),
            "route": config._replace(routes=(other,)),
            "timeout": config._replace(routes=(shorter,)),
            "key": config._replace(workspaces=()),
            "upstream": config._replace(
                routes=(other_target,), upstreams=(other_upstream,)
            ),
            "head": config._replace(
                head_limits=routeconfig.HeadLimits(32, 0.2)
            ),
            "body": config._replace(
                limits=config.limits._replace(max_body_bytes=1)
            ),
        }

    CHANGES = ("idle", "route", "timeout", "key", "upstream", "head", "body")

    @pytest.mark.parametrize("change", CHANGES)
    async def test_a_request_that_runs_is_answered(self, change):
        route = IDEMPOTENT
        config = relay_fixtures.make_config(route)
        async with test_platform_front.RunningEntry(
            config, [answer_late]
        ) as entry:
            reader, writer = await entry.connect()
            writer.write(SLOW_REQUEST)
            while not entry.endpoint.request_heads:
                await asyncio.sleep(0.01)
            change_config(entry.relay, self.changes(config)[change])
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(2) == b"ok"
            writer.close()

    @pytest.mark.parametrize("change", CHANGES)
    async def test_a_request_that_is_lost_once_is_answered(self, change):
        """Its second attempt starts after the change."""
        config = relay_fixtures.make_config(IDEMPOTENT)
        async with test_platform_front.RunningEntry(config) as entry:
            released = asyncio.Event()

            async def lose(head, writer):
                await released.wait()
                relay_fixtures.reset_connection(writer)

            entry.endpoint.steps = [lose]
            other = relay_fixtures.ScriptedEndpoint(name="e2")
            await other.start(entry.relay)
            entry.relay.add_load("e2", 1, 0)
            reader, writer = await entry.connect()
            writer.write(SLOW_REQUEST)
            while not entry.endpoint.request_heads:
                await asyncio.sleep(0.01)
            change_config(entry.relay, self.changes(config)[change])
            released.set()
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)
            assert head.startswith(b"HTTP/1.1 200")
            other.stop()
            writer.close()

    @pytest.mark.parametrize("change", CHANGES)
    async def test_a_request_that_is_being_read_gets_an_answer(self, change):
        """The body ends later than the new time-outs permit idleness."""
        config = relay_fixtures.make_config(IDEMPOTENT)
        async with test_platform_front.RunningEntry(config) as entry:
            reader, writer = await entry.connect()
            writer.write(SLOW_REQUEST[:-2])
            await asyncio.sleep(0.05)
            change_config(entry.relay, self.changes(config)[change])
            await asyncio.sleep(3 * self.IDLE_S)
            writer.write(SLOW_REQUEST[-2:])
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)
            assert head.startswith(b"HTTP/1.1 ")
            writer.close()

    @pytest.mark.parametrize("change", CHANGES)
    async def test_requests_sent_together_are_all_answered(self, change):
        config = relay_fixtures.make_config(IDEMPOTENT)
        async with test_platform_front.RunningEntry(
            config, [answer_late]
        ) as entry:
            reader, writer = await entry.connect()
            writer.write(SLOW_REQUEST * 3)
            while not entry.endpoint.request_heads:
                await asyncio.sleep(0.01)
            change_config(entry.relay, self.changes(config)[change])
            received = b""
            async with asyncio.timeout(5):
                while received.count(b"HTTP/1.1 ") < 3:
                    data = await reader.read(65536)
                    assert data, received
                    received += data
            writer.close()

    async def test_requests_sent_together_are_all_answered_in_a_drain(self):
        async with test_platform_front.RunningEntry(
            relay_fixtures.make_config(IDEMPOTENT), [answer_late]
        ) as entry:
            reader, writer = await entry.connect()
            writer.write(SLOW_REQUEST * 2)
            while not entry.endpoint.request_heads:
                await asyncio.sleep(0.01)
            entry.relay.draining = True
            entry.listener.close_idle()
            received = await asyncio.wait_for(reader.read(), 5)
            while data := await reader.read(65536):
                received += data
            assert received.count(b"HTTP/1.1 200") == 2
            writer.close()

    async def test_a_request_that_arrives_with_the_idle_timeout_is_read(self):
        """Both are due after the entry stood still for a moment."""
        config = with_idle_timeout(
            relay_fixtures.make_config(IDEMPOTENT), self.IDLE_S
        )
        async with test_platform_front.RunningEntry(config) as entry:
            client = socket.create_connection(("127.0.0.1", entry.port))
            await asyncio.sleep(0.1)
            client.sendall(SLOW_REQUEST)
            time.sleep(2 * self.IDLE_S)  # noqa: ASYNC251
            await asyncio.sleep(0.3)
            client.settimeout(2)
            received = await asyncio.to_thread(client.recv, 65536)
            assert received.startswith(b"HTTP/1.1 200")
            client.close()

    async def test_a_lower_idle_timeout_keeps_an_answer_that_is_read_late(self):
        config = relay_fixtures.make_config(test_slow_callers.ROUTE)
        step = relay_fixtures.send_answer(test_slow_callers.ANSWER)
        async with test_platform_front.RunningEntry(config, [step]) as entry:
            change_config(entry.relay, with_idle_timeout(config, self.IDLE_S))
            reader, writer = await test_slow_callers.connect_busy_caller(entry)
            writer.write(test_slow_callers.REQUEST)
            await asyncio.sleep(4 * self.IDLE_S)
            received = b""
            async with asyncio.timeout(8):
                while data := await reader.read(4096):
                    received += data
            assert received.endswith(test_slow_callers.ANSWER)
            writer.close()
