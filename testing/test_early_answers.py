"""Answers that come, and end, while the request is still being sent."""

import asyncio
import contextlib

import relay_fixtures
import test_answer_ends
import test_mixed_answers
import test_platform_front
import test_tunnels
from arbutuswalk_platform import callers
from arbutuswalk_platform import entry
from arbutuswalk_platform import server

from _arbutuswalk.state import routeconfig

MAX_BODY_BYTES = 4_000_000
UPLOAD = b"u" * 3_500_000
"""More than the buffers of a connection on loopback hold."""
EARLY_ANSWER = (
    b"HTTP/1.1 200 OK\r\n"
    + test_mixed_answers.HEAD
    + b"Content-Type: text/event-stream\r\n\r\n"
    + test_answer_ends.STREAM
)


class EarlyEndpoint(relay_fixtures.ScriptedEndpoint):
    """Answers as soon as it has a request's head, and reads no body."""

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for step in self.steps:
                await step("", writer)
        writer.close()


async def end_and_reset(head, writer):
    """Ends the answer in order, then resets the connection of the upload."""
    writer.write_eof()
    await asyncio.sleep(0.05)
    relay_fixtures.reset_connection(writer)


EARLY_ENDS = {
    "reset": [relay_fixtures.send_bytes(EARLY_ANSWER, reset=True)],
    "reset later": [
        relay_fixtures.send_bytes(EARLY_ANSWER, reset=True, wait_s=0.05)
    ],
    "closed unread": [relay_fixtures.send_bytes(EARLY_ANSWER, close=True)],
    "ended, reset": [relay_fixtures.send_bytes(EARLY_ANSWER), end_and_reset],
}


@contextlib.asynccontextmanager
async def direct_relay(endpoint, route):
    relay = relay_fixtures.make_relay(make_config(route))
    await endpoint.start(relay)
    yield relay
    relay.pool.close()
    endpoint.stop()


@contextlib.asynccontextmanager
async def tunnelled_relay(endpoint, route):
    pair = test_tunnels.Pair(config=make_config(route))
    pair.endpoint = endpoint
    async with pair:
        yield pair.entry


def make_config(route):
    limits = routeconfig.Limits(MAX_BODY_BYTES, 15.0)
    return relay_fixtures.make_config(route)._replace(limits=limits)


async def upload(relay):
    """Returns what a caller reads from its connection while it uploads."""
    listener = server.Listener(
        address="127.0.0.1:0",
        app=callers.make_app(relay),
        limits=lambda: entry.connection_limits(relay),
    )
    await listener.start()
    port = listener.server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = test_platform_front.VALID_REQUEST.partition(b"Content-Length")[0]
    length = f"Content-Length: {len(UPLOAD)}\r\nConnection: close\r\n\r\n"
    writer.write(head + length.encode() + UPLOAD)
    data = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    await listener.stop()
    return test_answer_ends.Received(data)


class TestEarlyAnswers:
    """Guards against a part of an answer that looks complete (MIXED)."""

    @test_mixed_answers.each(
        "relay_to", {"direct": direct_relay, "tunnel": tunnelled_relay}
    )
    @test_mixed_answers.each("steps", EARLY_ENDS)
    @test_mixed_answers.each("route", test_mixed_answers.ROUTES)
    async def test_one_that_breaks_off_beside_the_upload_is_not_complete(
        self, route, steps, relay_to
    ):
        endpoint = EarlyEndpoint(*steps)
        async with relay_to(endpoint, route) as relay:
            relay.started_at -= 60
            received = await upload(relay)
        assert received.status in (200, 502)
        assert received.complete == (received.status == 502)
