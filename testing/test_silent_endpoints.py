"""Sound endpoints that fall silent in the middle of a request and go on."""

import asyncio
import socket

import pytest
import relay_fixtures
import test_relay

from _arbutuswalk.state import routeconfig

SILENCE_S = 1.8
"""Longer than the time-outs for silence, shorter than callers' patience."""
RESUMABLE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=True, max_attempts=2, timeout_s=6.0
)
ONCE = relay_fixtures.make_route(
    kind=routeconfig.ONCE, max_attempts=1, timeout_s=8.0
)
SEGMENT_BYTES = 1448
"""Segment size of an Ethernet link; that of loopback is larger."""
RECEIVE_BUFFER_BYTES = 16 * 1024
LARGE_BODY_BYTES = 8 * 1024 * 1024


def fall_silent(*events, before=1):
    """Returns a step that sends events with a silence after the first ones."""

    async def step(head, writer):
        first, rest = events[:before], events[before:]
        await relay_fixtures.send_stream(*first, end=False)(head, writer)
        await asyncio.sleep(SILENCE_S)
        for number, text in rest:
            data = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return step


def make_relay(route, **options):
    return relay_fixtures.make_relay(
        relay_fixtures.make_config(route), **options
    )


class TestStreams:
    @pytest.mark.parametrize(
        ("route", "others", "options"),
        [
            (RESUMABLE._replace(max_attempts=1), ["ready"], {}),
            (RESUMABLE, ["ready"], {"retry_ratio": 0.0, "retry_extra": 0.0}),
            (RESUMABLE, [], {}),
            (RESUMABLE, ["leaving"], {}),
        ],
        ids=["attempts", "retry budget", "no other", "other leaving"],
    )
    async def test_silence_does_not_end_a_stream_that_cannot_be_resumed(
        self, route, others, options
    ):
        relay = make_relay(route, **options)
        silent = relay_fixtures.ScriptedEndpoint(
            fall_silent((1, "a"), (2, "b")), name="e1"
        )
        await silent.start(relay)
        for state in others:
            other = relay_fixtures.ScriptedEndpoint(name="e2", state=state)
            await other.start(relay)
            # The least loaded endpoint is chosen.
            relay.add_load("e2", 1, 0)
        caller = await test_relay.relay_to(relay)
        assert caller.data.endswith(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        assert caller.complete

    async def test_silence_does_not_end_a_stream_on_its_last_attempt(self):
        relay = make_relay(RESUMABLE)
        endpoints = [
            relay_fixtures.ScriptedEndpoint(name=name) for name in ("e1", "e2")
        ]
        steps = [
            relay_fixtures.send_stream((1, "a"), end=False, close=True),
            fall_silent((2, "b"), (3, "c")),
        ]
        endpoints[0].steps = endpoints[1].steps = steps
        caller = await test_relay.relay_to(relay, *endpoints)
        assert caller.data.endswith(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
        assert caller.complete


class LateReader:
    """An endpoint that begins to read a request after a silence."""

    async def start(self, relay):
        listener = socket.socket()
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        self.endpoint = relay_fixtures.ScriptedEndpoint()
        await self.endpoint.start(relay)
        self.endpoint.server.close()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        row = relay.directory.rows["e1"]
        relay.directory.rows["e1"] = row._replace(
            endpoint=row.endpoint._replace(address=address)
        )
        self.server = await asyncio.start_server(
            self.serve, sock=listener, limit=2 * LARGE_BODY_BYTES
        )
        return self

    async def serve(self, reader, writer):
        writer.transport.pause_reading()
        try:
            await asyncio.sleep(2 * SILENCE_S)
            writer.transport.resume_reading()
            await self.endpoint.serve(reader, writer)
        finally:
            writer.close()

    def stop(self):
        self.server.close()


class TestRequests:
    async def test_an_endpoint_may_read_a_request_late(self):
        relay = make_relay(ONCE)
        caller = await test_relay.relay_to(
            relay, LateReader(), body=b"x" * LARGE_BODY_BYTES
        )
        assert (caller.status, caller.data) == (200, b"ok")

    async def test_a_call_that_may_not_be_repeated_waits(self):
        relay = make_relay(ONCE)
        silent = relay_fixtures.ScriptedEndpoint(late_answer, name="e1")
        other = relay_fixtures.ScriptedEndpoint(name="e2")
        await other.start(relay)
        relay.add_load("e2", 1, 0)
        caller = await test_relay.relay_to(relay, silent)
        assert caller.status == 200
        assert not other.request_heads

    async def test_an_unreachable_endpoint_is_left_if_another_may_answer(self):
        relay = make_relay(RESUMABLE._replace(kind=routeconfig.IDEMPOTENT))
        silent = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.stay_silent(), name="e1"
        )
        other = relay_fixtures.ScriptedEndpoint(name="e2")
        await silent.start(relay)
        await other.start(relay)
        relay.add_load("e2", 1, 0)
        answer = asyncio.ensure_future(test_relay.relay_to(relay))
        while not silent.request_heads:
            await asyncio.sleep(0.01)
        silent.stop()  # accepts no more connections, and keeps this one
        caller = await asyncio.wait_for(answer, 2 * SILENCE_S)
        assert caller.status == 200
        assert len(other.request_heads) == 1

    async def test_a_slow_endpoint_that_responds_is_not_left(self):
        relay = make_relay(RESUMABLE._replace(kind=routeconfig.IDEMPOTENT))
        slow = relay_fixtures.ScriptedEndpoint(late_answer, name="e1")
        other = relay_fixtures.ScriptedEndpoint(name="e2")
        await other.start(relay)
        relay.add_load("e2", 1, 0)
        caller = await test_relay.relay_to(relay, slow)
        assert caller.status == 200
        assert not other.request_heads


async def late_answer(head, writer):
    await asyncio.sleep(SILENCE_S)
    await relay_fixtures.send_answer()(head, writer)


class TestOtherEndpoints:
    """A stream leaves a silent endpoint for one that was heard since."""

    async def stall(self, *others, **options):
        relay = make_relay(RESUMABLE, **options)
        silent = relay_fixtures.ScriptedEndpoint(
            fall_silent((1, "a"), (2, "b")), name="e1"
        )
        await silent.start(relay)
        for other in others:
            await other.start(relay)
            relay.add_load(other.name, 1, 0)
        return await test_relay.relay_to(relay)

    def make_unreachable(self, name):
        """Returns an endpoint whose address refuses connections."""
        unreachable = relay_fixtures.ScriptedEndpoint(name=name)
        start = unreachable.start

        async def start_and_stop(relay):
            await start(relay)
            unreachable.stop()

        unreachable.start = start_and_stop
        return unreachable

    async def test_one_that_cannot_be_reached_is_not_chosen(self):
        caller = await self.stall(self.make_unreachable("e2"))
        assert caller.data.endswith(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        assert caller.complete

    async def test_an_attempt_that_was_not_sent_takes_one_retry_only(self):
        """The budget permits one retry; e2 ends before it can be used."""
        relay = make_relay(RESUMABLE, retry_ratio=0.0, retry_extra=2.6)
        relay.started_at -= 60
        broken = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_stream((1, "a"), end=False, close=True),
            name="e1",
        )
        unreachable = self.make_unreachable("e2")
        last = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_stream((2, "b")), name="e3"
        )
        for load, each in enumerate((broken, unreachable, last)):
            await each.start(relay)
            relay.add_load(each.name, load, 0)
        window = relay.retry_window("ops")
        limit = window.use(relay.now(), relay.entry_count).limit
        assert 1 <= limit < 2
        caller = await test_relay.relay_to(relay)
        assert caller.complete
        assert len(last.request_heads) == 1
