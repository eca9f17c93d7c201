"""Connections to endpoints that another entry opens."""

import asyncio
import contextlib
import struct

import pytest
import relay_fixtures
import test_relay
from arbutuswalk_platform import entry
from arbutuswalk_platform import server

from _arbutuswalk.control import entry_paths
from _arbutuswalk.control import entry_reports
from _arbutuswalk.relay import path_opener
from _arbutuswalk.relay import tunnel_server
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import pool
from _arbutuswalk.wire import codec
from _arbutuswalk.wire.gen.arbutus import ttypes

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
LARGE_BODY = b"x" * 3_000_000


class Pair:
    """An entry that is cut off, its peer, and one endpoint."""

    def __init__(self, *steps, route=None, config=None):
        config = config or relay_fixtures.make_config(
            *([route] if route is not None else [])
        )
        self.entry = relay_fixtures.make_relay(config)
        self.peer = relay_fixtures.make_relay(config)
        path_opener.install(self.entry)
        self.endpoint = relay_fixtures.ScriptedEndpoint(*steps)
        self.server = tunnel_server.TunnelServer(
            address="127.0.0.1:0", relay=self.peer
        )

    async def __aenter__(self):
        await self.endpoint.start(self.entry)
        row = self.entry.directory.rows["e1"]
        directory.announce(self.peer.directory, row.endpoint, self.peer.now())
        await self.server.start()
        port = self.server.server.sockets[0].getsockname()[1]
        self.server.address = f"127.0.0.1:{port}"
        paths = self.entry.paths
        paths.peers = (self.server.address,)
        paths.cut_off_since = self.entry.now() - 60

        async def fail(address):
            return pool.NotOpened(reason="refused", refused=True)

        self.entry.pool.open_directly = fail
        return self

    async def __aexit__(self, *_):
        self.endpoint.stop()
        self.entry.pool.close()
        await self.server.stop()

    @property
    def endpoint_address(self):
        return self.entry.directory.rows["e1"].endpoint.address

    async def connect(self):
        host, _, port = self.server.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def ask(self, data):
        """Returns the decoded reply to bytes, None without one."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            async with asyncio.timeout(5):
                prefix = await reader.readexactly(4)
                (length,) = codec.LENGTH_PREFIX.unpack(prefix)
                return codec.decode(await reader.readexactly(length))[2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            writer.close()

    async def ask_for(self, address):
        request = ttypes.TunnelRequest(entry="e", address=address)
        return await self.ask(codec.encode(1, request, reply=False))


async def send(relay):
    """Relays a request; keeps the relay's connections."""
    request = relay_fixtures.make_request(relay)
    caller = relay_fixtures.RecordingCaller()
    await test_relay.relaying.relay_request(
        relay, request, caller.make_delivery(relay, request)
    )
    return caller


@contextlib.asynccontextmanager
async def begun_stream():
    """Relays a stream that has no end and waits for its first event."""
    route = relay_fixtures.make_route(
        kind=routeconfig.STREAM, max_attempts=1, timeout_s=5.0
    )
    step = relay_fixtures.send_stream((1, "a"), end=False)
    async with Pair(step, route=route) as pair:
        request = relay_fixtures.make_request(pair.entry)
        caller = relay_fixtures.RecordingCaller()
        delivery = caller.make_delivery(pair.entry, request)
        answer = asyncio.ensure_future(
            test_relay.relaying.relay_request(pair.entry, request, delivery)
        )
        while not caller.data:
            await asyncio.sleep(0.01)
        yield pair, caller, delivery, answer


def frame_in_chunks(body):
    return (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    )


class TestAnswers:
    @pytest.mark.parametrize(
        "answer",
        [
            HEAD + b"Content-Length: 2\r\n\r\nok",
            frame_in_chunks(b"ok"),
        ],
        ids=["length", "chunks"],
    )
    async def test_they_are_passed_on(self, answer):
        async with Pair(relay_fixtures.send_bytes(answer)) as pair:
            caller = await test_relay.relay_to(pair.entry)
            assert (caller.status, caller.data) == (200, b"ok")
            assert len(pair.endpoint.request_heads) == 1

    async def test_large_ones_are_whole(self):
        step = relay_fixtures.send_answer(LARGE_BODY)
        async with Pair(step) as pair:
            caller = await test_relay.relay_to(pair.entry, body=LARGE_BODY)
            assert (caller.status, caller.data) == (200, LARGE_BODY)
            assert pair.endpoint.request_bodies == [LARGE_BODY]

    async def test_a_connection_is_used_again(self):
        async with Pair() as pair:
            for _ in range(3):
                assert (await send(pair.entry)).status == 200
            assert pair.endpoint.connection_count == 1

    @pytest.mark.parametrize("body", [b"", b"o", b"ok"])
    async def test_the_end_of_a_tunnel_completes_none(self, body):
        """It may be the peer that ended, in the middle of the body."""
        route = relay_fixtures.make_route(kind=routeconfig.ONCE, max_attempts=1)
        step = relay_fixtures.send_bytes(HEAD + b"\r\n" + body, close=True)
        async with Pair(step, route=route) as pair:
            caller = await test_relay.relay_to(pair.entry)
            assert caller.status == 502

    async def test_a_peer_that_ends_breaks_a_stream_off(self):
        async with begun_stream() as (pair, caller, _, answer):
            await pair.server.stop()
            await asyncio.wait_for(answer, 2)
            assert not caller.complete

    async def test_an_endpoint_hears_that_a_caller_has_left(self):
        async with begun_stream() as (pair, _, delivery, answer):
            delivery.mark_caller_left()
            await asyncio.wait_for(answer, 2)
            await asyncio.wait_for(pair.endpoint.connection_lost.wait(), 0.5)


class TestFailures:
    async def test_an_endpoint_that_refuses_is_told_from_a_lost_path(self):
        async with Pair() as pair:
            pair.endpoint.stop()
            await asyncio.sleep(0.05)
            opened = await pair.entry.pool.open(pair.endpoint_address)
            assert opened.refused
            assert not opened.is_path_failure

    @pytest.mark.parametrize("state", ["draining", "cut off", "stopped"])
    async def test_without_a_peer_a_request_is_refused_at_once(self, state):
        async with Pair() as pair:
            if state == "draining":
                pair.peer.draining = True
            elif state == "cut off":
                pair.peer.paths.cut_off_since = pair.peer.now()
            else:
                await pair.server.stop()
            started_at = pair.entry.now()
            caller = await test_relay.relay_to(pair.entry)
            assert caller.status == 503
            assert pair.entry.now() - started_at < 0.3
            assert not pair.endpoint.request_heads
            assert not pair.entry.suspect_until

    async def test_another_peer_is_asked(self):
        async with Pair() as pair:
            paths = pair.entry.paths
            paths.peers = ("127.0.0.1:1", *paths.peers)
            for _ in range(5):
                paths.failed_peers.clear()
                caller = await test_relay.relay_to(pair.entry)
                assert caller.status == 200

    async def test_connections_that_ask_for_nothing_are_limited(
        self, monkeypatch
    ):
        """They took the descriptors that the entry's callers need."""
        for name in ("MAX_TUNNELS", "MAX_WAITING"):
            monkeypatch.setattr(tunnel_server, name, 3)
        monkeypatch.setattr(tunnel_server, "REQUEST_TIMEOUT_S", 60.0)
        async with Pair() as pair:
            connections = [await pair.connect() for _ in range(20)]
            for reader, _ in connections[6:]:
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""
            assert len(pair.server.tasks) == 6
            for _, writer in connections:
                writer.transport.abort()
            while pair.server.tasks:
                await asyncio.sleep(0.01)
            caller = await test_relay.relay_to(pair.entry)
            assert caller.status == 200

    async def test_only_known_endpoints_are_connected_to(self):
        async with Pair() as pair:
            other = relay_fixtures.ScriptedEndpoint()
            await other.start(relay_fixtures.make_relay())
            port = other.server.sockets[0].getsockname()[1]
            for address in (f"127.0.0.1:{port}", "", "x", "127.0.0.1:99999"):
                reply = await pair.ask_for(address)
                assert not reply.opened
                assert reply.ask_another
            assert not other.connection_count
            other.stop()

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            struct.pack(">I", 2**32 - 1),
            struct.pack(">I", 4) + b"\0\0\0\0",
            codec.encode(1, ttypes.Ping(), reply=False),
            b"\0",
        ],
        ids=["HTTP", "length", "garbage", "other message", "incomplete"],
    )
    async def test_other_bytes_end_one_connection_only(self, data):
        async with Pair() as pair:
            assert await pair.ask(data) is None
            caller = await test_relay.relay_to(pair.entry)
            assert caller.status == 200

    @pytest.mark.parametrize(
        "reply",
        [
            b"HTTP/1.1 400 Bad Request\r\n\r\n",
            struct.pack(">I", 2**32 - 1),
            struct.pack(">I", 4) + b"\0\0\0\0",
            codec.encode(1, ttypes.Ping(), reply=True),
            b"",
        ],
        ids=["HTTP", "length", "garbage", "other message", "none"],
    )
    async def test_a_peer_that_answers_otherwise_has_failed(self, reply):
        async def serve(reader, writer):
            await reader.read(100)
            writer.write(reply)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with Pair() as pair:
            pair.entry.paths.peers = (f"127.0.0.1:{port}",)
            caller = await test_relay.relay_to(pair.entry)
            assert caller.status == 503
            assert not pair.entry.paths.usable_peers()
        server.close()


def make_entry(name, **report):
    values = {
        "entry": name,
        "address": name,
        "ready": True,
        "tunnel_address": f"{name}:1",
        "cut_off": False,
        "serves": True,
    }
    return entry_reports.KnownEntry(1, 1, {**values, **report}, 0.0)


class TestPeersOfEntries:
    def peers_of(self, name, *entries):
        by_name = {entry.report["entry"]: entry for entry in entries}
        return entry_paths.peers_of(name, lambda: by_name)

    def test_those_that_reach_endpoints_are_named(self):
        entries = [
            make_entry("a", cut_off=True),
            make_entry("b"),
            make_entry("c", ready=False),
            make_entry("d", cut_off=True),
            make_entry("e", tunnel_address=""),
        ]
        assert self.peers_of("a", *entries) == ["b:1"]
        assert self.peers_of("b", *entries) == []
        assert self.peers_of("", *entries) == []

    def test_an_entry_of_a_former_version_is_not_named(self):
        former = entry_reports.KnownEntry(1, 1, {"ready": True}, 0.0)
        entries = {"a": former, "b": make_entry("b")}
        assert entry_paths.peers_of("x", lambda: entries) == ["b:1"]

    def test_they_are_spread_over_the_entries(self):
        entries = [make_entry(f"e{number}") for number in range(40)]
        named = [
            address
            for number in range(40)
            for address in self.peers_of(f"e{number}", *entries)
        ]
        assert len(named) == 40 * entry_paths.MAX_PEERS
        assert max(map(named.count, set(named))) <= 12


class TestLookups:
    def addresses(self, *entries):
        reports = entry_paths.reports_for_lookups(entries)
        return [report["address"] for report in reports]

    def test_entries_without_any_path_are_left_out(self):
        entries = [
            make_entry("a", cut_off=True),
            make_entry("b", cut_off=True, serves=False),
            make_entry("c", ready=False),
            make_entry("d"),
        ]
        assert self.addresses(*entries) == ["a", "d"]

    def test_all_are_returned_if_none_has_a_path(self):
        entries = [make_entry(name, serves=False) for name in "ab"]
        assert self.addresses(*entries) == ["a", "b"]


class TestStops:
    async def test_idle_tunnels_of_a_peer_that_is_named_no_more_are_closed(
        self,
    ):
        async with Pair() as pair:
            await send(pair.entry)
            assert pair.entry.pool.idle
            path_opener.merge_peers(pair.entry, ["127.0.0.1:2"])
            await asyncio.sleep(0.05)
            assert not any(pair.entry.pool.idle.values())
            assert not pair.server.tasks

    async def test_a_tunnel_in_use_is_not_kept_after_its_request(self):
        step = relay_fixtures.send_answer()

        async def answer_late(head, writer):
            path_opener.merge_peers(pair.entry, ["127.0.0.1:2"])
            await step(head, writer)

        async with Pair(answer_late) as pair:
            caller = await send(pair.entry)
            assert caller.status == 200
            await asyncio.sleep(0.05)
            assert not any(pair.entry.pool.idle.values())

    async def test_a_tunnel_in_use_is_not_kept_once_the_path_is_restored(self):
        step = relay_fixtures.send_answer()

        async def answer_late(head, writer):
            pair.entry.paths.record_success()
            await step(head, writer)

        async with Pair(answer_late) as pair:
            assert (await send(pair.entry)).status == 200
            await asyncio.sleep(0.05)
            assert not any(pair.entry.pool.idle.values())

    async def test_a_peer_that_stops_waits_for_its_tunnels(self):
        ended = []

        async def answer_late(head, writer):
            await asyncio.sleep(0.5)
            ended.append("answer")
            await relay_fixtures.send_answer()(head, writer)

        async with Pair(answer_late) as pair:
            listener = server.Listener(address="127.0.0.1:0", app=None)
            await listener.start()
            answer = asyncio.ensure_future(send(pair.entry))
            while not pair.endpoint.request_heads:
                await asyncio.sleep(0.01)
            path_opener.merge_peers(pair.entry, ["127.0.0.1:2"])
            await entry._drain(
                pair.peer, listener, 4.0, lambda: len(pair.server.tasks)
            )
            ended.append("drain")
            assert (await answer).status == 200
            assert ended == ["answer", "drain"]
