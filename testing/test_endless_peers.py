"""Bytes without end from processes of the system, and for copied caches."""

import asyncio
import types

import aiohttp
import endless_endpoint
import fakes
import pytest
import relay_fixtures
import test_endless
import test_fetching
import test_tunnels

from _arbutuswalk.agreement import transfer
from _arbutuswalk.entry import migration
from _arbutuswalk.relay import config_fetch
from _arbutuswalk.relay import tunnel_server
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import tunnels
from _arbutuswalk.wire import codec
from _arbutuswalk.wire.gen.arbutus import ttypes

BLOCK = bytes(64 * 1024)
TIMEOUT_S = 3.0
MAX_MEMORY_BYTES = 4 * migration.MAX_CACHE_BYTES


class TestTunnels:
    """Guards against replies that fill the memory of the asking entry."""

    @pytest.mark.parametrize("length", [0, 100, 16 * 1024 * 1024, 2**32 - 1])
    async def test_a_reply_is_bounded(self, length):
        handshake = tunnels.Handshake()
        handshake.data_received(codec.LENGTH_PREFIX.pack(length))
        for _ in range(100):
            handshake.data_received(BLOCK)
        assert handshake.reply.done()
        assert handshake.reply.result() is None
        assert len(handshake.received) <= 2 * tunnels.MAX_REPLY_BYTES

    async def test_bytes_after_a_reply_are_not_kept(self):
        handshake = tunnels.Handshake()
        reply = tunnel_server._make_reply("")
        handshake.data_received(codec.encode(1, reply, reply=True))
        assert handshake.reply.result().opened
        size = len(handshake.received)
        handshake.data_received(BLOCK)
        assert len(handshake.received) == size


class AnnouncedEndpoint:
    """An endless endpoint in place of a pair's scripted one."""

    def __init__(self, answer):
        self.endpoint = endless_endpoint.EndlessEndpoint(*answer, name="e1")

    async def start(self, relay):
        self.endpoint.listen().announce(relay)

    def stop(self):
        self.endpoint.stop()


class TestAnswersThroughTunnels:
    """Guards against answers that fill an entry's or its peer's memory."""

    @test_endless.each(test_endless.REJECTED)
    async def test_the_caller_gets_a_failure_in_time(self, answer):
        route = relay_fixtures.make_route(
            kind=routeconfig.ONCE, max_attempts=1, timeout_s=TIMEOUT_S
        )
        pair = test_tunnels.Pair(route=route)
        pair.endpoint = AnnouncedEndpoint(answer)
        before = endless_endpoint.resident_bytes()
        async with pair:
            async with asyncio.timeout(2 * TIMEOUT_S):
                caller = await test_tunnels.send(pair.entry)
            await test_endless.wait_until_closed(pair.endpoint.endpoint)
        assert caller.status in (502, 504)
        grown = endless_endpoint.resident_bytes() - before
        assert grown < test_endless.MAX_MEMORY_BYTES


class EndlessMember(test_fetching.FakeMember):
    """A control member whose parts have no end."""

    def __init__(self, size, data):
        super().__init__("endless")
        self.part = ttypes.RoutesPart(version=7, size=size, data=data)

    async def call(self, message, *, timeout_s):
        await asyncio.sleep(0)
        self.requested_offsets.append(message.offset)
        return self.part


class TestConfigurations:
    """Guards against parts that fill the memory of an entry."""

    @pytest.mark.parametrize(
        ("size", "data"),
        [(2**40, BLOCK), (len(BLOCK) - 1, BLOCK), (2**20, b"")],
        ids=["no end", "more than stated", "no progress"],
    )
    async def test_another_member_is_asked(self, size, data):
        entry, endless = test_fetching.FakeEntry(), EndlessMember(size, data)
        sound = test_fetching.FakeMember("sound")
        async with asyncio.timeout(5):
            await test_fetching.fetch(entry, endless, sound)
        assert entry.applied == [(test_fetching.CONFIG, "sound")]
        assert endless.requested_offsets == [0]

    def test_parts_of_the_largest_configuration_are_accepted(self):
        data = BLOCK[: codec.MAX_FRAME_BYTES]
        offset = config_fetch.MAX_CONFIG_BYTES - len(data)
        part = ttypes.RoutesPart(
            version=7, size=config_fetch.MAX_CONFIG_BYTES, data=data
        )
        assert config_fetch._is_sound(part, offset)
        assert not config_fetch._is_sound(part, offset + 1)


class TestSnapshots:
    """Guards against snapshots that fill the memory of a control process."""

    @pytest.fixture
    def replica(self):
        cluster = fakes.Cluster(seed=1)
        cluster.run(4)
        return cluster.leader().core.replica

    def offer(self, total):
        return ttypes.SnapshotOffer(
            term=9,
            leader="x",
            last_index=10**9,
            last_term=9,
            total=total,
            checksum=1,
            sources=["x"],
        )

    def test_one_that_is_too_large_is_refused(self, replica):
        offer = self.offer(transfer.MAX_SNAPSHOT_BYTES + 1)
        transfer.on_offer(replica, offer, 0.0)
        assert replica.transfer is None

    def test_pieces_beyond_its_end_are_not_kept(self, replica):
        transfer.on_offer(replica, self.offer(len(BLOCK) + 1), 0.0)
        for offset in (0, len(BLOCK)):
            piece = ttypes.Piece(
                source="x", last_index=10**9, offset=offset, data=BLOCK
            )
            transfer.on_piece(replica, piece, 0.0)
        assert len(replica.transfer.data) == len(BLOCK)


class TestCopiedCaches:
    """Guards against caches that fill the memory of an entry, or are cut."""

    async def download(self, address):
        row = types.SimpleNamespace(announcement={"address": address})
        request = types.SimpleNamespace(request_id="r")
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            entry = types.SimpleNamespace(session=session)
            async with asyncio.timeout(5):
                return await migration._download_cache(entry, row, request)

    @test_endless.each(
        {
            name: test_endless.BODIES[name]
            for name in ("until the close", "declared length", "huge chunk")
        }
    )
    async def test_an_endless_one_is_not_copied(self, answer):
        endpoint = endless_endpoint.EndlessEndpoint(*answer, trickle=False)
        endpoint.listen()
        before = endless_endpoint.resident_bytes()
        assert await self.download(endpoint.address) == b""
        assert endless_endpoint.resident_bytes() - before < MAX_MEMORY_BYTES
        endpoint.stop()

    async def test_one_that_is_reset_is_not_copied(self):
        step = relay_fixtures.send_bytes(
            b"HTTP/1.1 200 OK\r\n\r\npart", reset=True, wait_s=0.05
        )
        scripted = relay_fixtures.ScriptedEndpoint(step)
        listener = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        assert await self.download(f"127.0.0.1:{port}") == b""
        listener.close()
