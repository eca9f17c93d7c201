"""Callers that acknowledge an answer but read it late or slowly."""

import asyncio
import socket

import relay_fixtures
import test_platform_front

from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import connection as connections

BUSY_S = 2.5
"""Longer than the time after which a dead peer is given up."""
SEGMENT_BYTES = 1448
"""Segment size of an Ethernet link; that of loopback is larger."""
RECEIVE_BUFFER_BYTES = 16 * 1024
READ_BYTES = 4096
ANSWER = b"x" * 1_000_000
EVENT = b"data: " + b"x" * 200 + b"\n\n"
EVENT_COUNT = 3000
ROUTE = relay_fixtures.make_route(
    kind=routeconfig.ONCE, max_attempts=1, timeout_s=12.0
)
STREAM_ROUTE = ROUTE._replace(kind=routeconfig.STREAM)
REQUEST = test_platform_front.VALID_REQUEST.replace(b": 1000", b": 12000")


def make_small_socket():
    """Returns a socket that takes little of what nobody reads."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    return sock


async def connect_busy_caller(running_entry):
    """Returns a connection on which nothing is read ahead."""
    sock = make_small_socket()
    address = ("127.0.0.1", running_entry.port)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return await asyncio.open_connection(sock=sock, limit=READ_BYTES)


async def read_late(route, step, busy_s):
    """Returns the bytes that a caller receives until its connection ends."""
    config = relay_fixtures.make_config(route)
    async with test_platform_front.RunningEntry(config, [step]) as entry:
        reader, writer = await connect_busy_caller(entry)
        writer.write(
            REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        )
        await asyncio.sleep(busy_s)
        received = b""
        async with asyncio.timeout(8):
            while data := await reader.read(READ_BYTES):
                received += data
        writer.close()
    return received


class TestAnswers:
    async def test_an_answer_that_is_read_late_is_not_reset(self):
        received = await read_late(
            ROUTE, relay_fixtures.send_answer(ANSWER), BUSY_S
        )
        assert received.endswith(b"\r\n\r\n" + ANSWER)


class TestWaits:
    def make_exchange(self):
        return connections.Exchange(expected_id="1", has_body=True)

    async def test_a_change_that_precedes_the_wait_ends_it(self):
        exchange = self.make_exchange()
        exchange.changed.set()
        assert await exchange.wait_for_change(1.0)
        exchange.take_body()
        exchange.fail("lost while the body was being sent")
        assert await exchange.wait_for_change(0.05)

    async def test_a_change_ends_one_wait_only(self):
        exchange = self.make_exchange()
        exchange.changed.set()
        assert await exchange.wait_for_change(1.0)
        assert not await exchange.wait_for_change(0.05)


class TestStreams:
    async def test_the_rest_of_a_stream_that_is_read_late_is_delivered(self):
        async def stream(head, writer):
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
                b"Content-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(EVENT_COUNT):
                writer.write(b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()

        received = await read_late(STREAM_ROUTE, stream, 1.0)
        assert received.endswith(b"0\r\n\r\n")
        assert received.count(EVENT) == EVENT_COUNT


class TestDeadCallers:
    async def test_the_kernel_gives_up_a_caller_that_never_responds(self):
        async with test_platform_front.RunningEntry() as entry:
            _, writer = await entry.connect()
            async with asyncio.timeout(2):
                connection = await entry.accepted_connection()
            sock = connection.transport.get_extra_info("socket")
            writer.close()
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            timeout_ms = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            assert 15_000 <= timeout_ms <= 60_000

    async def test_one_that_never_reads_is_closed_at_the_timeout(self):
        """Its answer must not stay in memory for as long as it responds."""
        route = STREAM_ROUTE._replace(timeout_s=1.5)
        config = relay_fixtures.make_config(route)

        async def stream(head, writer):
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
                b"Content-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
                await writer.drain()

        async with test_platform_front.RunningEntry(config, [stream]) as entry:
            _, writer = await connect_busy_caller(entry)
            writer.write(REQUEST)
            async with asyncio.timeout(10):
                await entry.endpoint.connection_lost.wait()
            writer.close()
