"""Refusals and requests sent ahead, over real connections."""

import asyncio

import relay_fixtures
import test_platform_front

from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import client_memory

REQUEST = test_platform_front.VALID_REQUEST
HEAD = REQUEST.partition(b"\r\n\r\n")[0]
SENT_AHEAD = 300


async def read_to_end(reader):
    async with asyncio.timeout(10):
        return await reader.read()


class TestRequestsSentAhead:
    async def test_all_are_answered_in_order(self):
        async with test_platform_front.RunningEntry() as entry:
            reader, writer = await entry.connect()
            requests = [
                REQUEST.replace(b"body", b"%04d" % i) for i in range(SENT_AHEAD)
            ]
            writer.write(b"".join(requests))
            async with asyncio.timeout(20):
                for _ in requests:
                    assert (await reader.readuntil(b"ok")).startswith(
                        b"HTTP/1.1 200"
                    )
            bodies = entry.endpoint.request_bodies
            assert bodies == [b"%04d" % i for i in range(SENT_AHEAD)]
            writer.close()

    async def test_one_refused_after_another_does_not_cut_its_answer(self):
        large = HEAD.replace(b"Length: 4", b"Length: 100001") + b"\r\n\r\nx"
        async with test_platform_front.RunningEntry() as entry:
            reader, writer = await entry.connect()
            writer.write(REQUEST + large)
            data = await read_to_end(reader)
            assert data.startswith(b"HTTP/1.1 200")
            assert data.endswith(b"ok")
            assert len(entry.endpoint.request_bodies) == 1
            writer.close()

    async def test_what_the_socket_holds_is_charged_until_it_is_read(self):
        """The system counts unread bytes as memory of the process."""
        released = asyncio.Event()

        async def answer(head, writer):
            await released.wait()
            await relay_fixtures.send_answer()(head, writer)

        async with test_platform_front.RunningEntry(steps=[answer]) as entry:
            account = entry.listener.account
            reader, writer = await entry.connect()
            writer.write(SENT_AHEAD * REQUEST)
            async with asyncio.timeout(20):
                while not account.held_bytes > client_memory.UNREAD_BYTES:
                    await asyncio.sleep(0.01)
                (connection,) = entry.listener.server_state.connections
                assert account.held_bytes == (
                    client_memory.CONNECTION_BYTES
                    + client_memory.UNREAD_BYTES
                    + len(connection.unparsed)
                    + sum(connection.charges)
                )
                released.set()
                for _ in range(SENT_AHEAD):
                    await reader.readuntil(b"ok")
            assert account.held_bytes == client_memory.CONNECTION_BYTES
            writer.close()

    async def test_an_answer_that_is_awaited_ends_with_its_caller(self):
        """The endpoint went on if another request had been sent ahead."""
        async with test_platform_front.RunningEntry(
            steps=[relay_fixtures.send_bytes(b"")]
        ) as entry:
            _, writer = await entry.connect()
            writer.write(2 * REQUEST)
            async with asyncio.timeout(10):
                while not entry.endpoint.request_heads:
                    await asyncio.sleep(0.01)
                writer.transport.abort()
                await entry.endpoint.connection_lost.wait()


class TestChunks:
    async def test_blank_lines_in_a_body_are_parsed_in_few_pieces(self):
        """Each one cost as much as a request: one client held up all others."""
        head = HEAD.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")
        body = 16 * 1024 * b"\r\n\r\n"
        request = head + b"\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        pieces = []
        async with test_platform_front.RunningEntry() as entry:
            reader, writer = await entry.connect()
            await asyncio.sleep(0.05)
            (connection,) = entry.listener.server_state.connections
            feed = connection.feed
            connection.feed = lambda data: (pieces.append(data), feed(data))
            writer.write(request + REQUEST)
            async with asyncio.timeout(10):
                for _ in range(2):
                    await reader.readuntil(b"ok")
            assert entry.endpoint.request_bodies == [body, b"body"]
            writer.close()
        assert len(pieces) < len(request) / 512


class TestRefusals:
    async def test_an_announced_body_is_refused_before_it_is_sent(self):
        async with test_platform_front.RunningEntry() as entry:
            reader, writer = await entry.connect()
            writer.write(HEAD.replace(b"Length: 4", b"Length: 100001"))
            writer.write(b"\r\n\r\n")
            data = await read_to_end(reader)
            assert data.startswith(b"HTTP/1.1 413 ")
            assert b"connection: close" in data
            assert not entry.endpoint.request_heads
            writer.close()

    async def test_a_body_that_does_not_arrive_is_refused(self):
        config = relay_fixtures.make_config(relay_fixtures.make_route())
        config = config._replace(limits=routeconfig.Limits(0, 0.2))
        async with test_platform_front.RunningEntry(config) as entry:
            reader, writer = await entry.connect()
            writer.write(HEAD + b"\r\n\r\nbo")
            data = await read_to_end(reader)
            assert data.startswith(b"HTTP/1.1 408 ")
            assert not entry.endpoint.request_heads
            writer.close()

    async def test_an_unread_body_gives_way_with_a_promise(self):
        async with test_platform_front.RunningEntry() as entry:
            reader, writer = await entry.connect()
            writer.write(HEAD + b"\r\n\r\nbo")
            account = entry.listener.account
            async with asyncio.timeout(5):
                while (
                    not account.holders
                    or not next(iter(account.holders)).body_bytes
                ):
                    await asyncio.sleep(0.01)
            (connection,) = account.holders
            account.charge(connection, account.limits.memory_bytes)
            data = await read_to_end(reader)
            assert data.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 1\r\n" in data
            assert not entry.endpoint.request_heads
            assert account.held_bytes == 0
            writer.close()
