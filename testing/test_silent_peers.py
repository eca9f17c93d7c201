"""Peers that fall silent while they carry tunnels of another entry."""

import asyncio
import contextlib

import pytest
import relay_fixtures
import test_silence_review
import test_tunnels

from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import relaying
from _arbutuswalk.relay import tunnel_server
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig

SHORT_SILENCE_S = 1.8
SERVED_WITHIN_S = 4.0
DEADLINE_S = 8.0
STREAM = relay_fixtures.make_route(
    kind=routeconfig.STREAM,
    resumable=True,
    max_attempts=2,
    timeout_s=DEADLINE_S,
)
IDEMPOTENT = STREAM._replace(kind=routeconfig.IDEMPOTENT, resumable=False)
ONCE = IDEMPOTENT._replace(kind=routeconfig.ONCE, max_attempts=1)
WHOLE_STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class FreezingPeer:
    """Passes on what a peer receives and sends, unless it is frozen.

    Connections are accepted then as well, as by a process that stands still.
    """

    def __init__(self, address):
        self.address = address
        self.runs = asyncio.Event()
        self.runs.set()
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        await self.runs.wait()
        host, _, port = self.address.rpartition(":")
        upstream = await asyncio.open_connection(host, int(port))
        self.tasks += [
            asyncio.ensure_future(self.copy(reader, upstream[1])),
            asyncio.ensure_future(self.copy(upstream[0], writer)),
        ]

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.runs.wait()
                writer.write(data)
        except OSError:
            return
        finally:
            writer.close()

    async def stop(self):
        self.runs.set()
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class TwoPeers(test_tunnels.Pair):
    """An entry that is cut off, a peer that may freeze, and a sound one.

    Attributes:
        endpoints: Two endpoints by name; the first one is chosen.
    """

    async def __aenter__(self):
        await super().__aenter__()
        self.endpoints = {"e1": self.endpoint}
        other = self.endpoints["e2"] = relay_fixtures.ScriptedEndpoint(
            name="e2"
        )
        await other.start(self.entry)
        self.entry.add_load("e2", 1, 0)
        other_peer = relay_fixtures.make_relay()
        for relay in (self.peer, other_peer):
            for row in self.entry.directory.rows.values():
                directory.announce(relay.directory, row.endpoint, relay.now())
        self.other_server = tunnel_server.TunnelServer(
            address="127.0.0.1:0", relay=other_peer
        )
        await self.other_server.start()
        port = self.other_server.server.sockets[0].getsockname()[1]
        self.sound = f"127.0.0.1:{port}"
        self.freezing = FreezingPeer(self.server.address)
        self.silent = await self.freezing.start()
        self.entry.paths.peers = (self.silent,)
        return self

    async def __aexit__(self, *arguments):
        await self.freezing.stop()
        self.endpoints["e2"].stop()
        await self.other_server.stop()
        await super().__aexit__(*arguments)

    def freeze(self):
        self.freezing.runs.clear()
        self.entry.paths.peers = (self.silent, self.sound)

    async def open_idle(self, name):
        """Leaves an idle tunnel to an endpoint through the first peer."""
        address = self.entry.directory.rows[name].endpoint.address
        self.entry.pool.release(await self.entry.pool.open(address))

    async def relay(self):
        request = relay_fixtures.make_request(self.entry)
        caller = relay_fixtures.RecordingCaller()
        await asyncio.wait_for(
            relaying.relay_request(
                self.entry, request, caller.make_delivery(self.entry, request)
            ),
            SERVED_WITHIN_S,
        )
        return caller


def answer_into_silence(pair):
    """Returns a step: the peer freezes before it passes the answer on."""

    async def step(head, writer):
        pair.freeze()
        await relay_fixtures.send_answer()(head, writer)

    return step


def stream_into_silence(pair):
    """Returns a step: the peer freezes between two events."""

    async def step(head, writer):
        await relay_fixtures.send_stream((1, "a"), end=False)(head, writer)
        await asyncio.sleep(0.1)
        pair.freeze()
        data = b"id: 2\ndata: b\n\n"
        writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data))
        await writer.drain()

    return step


@contextlib.asynccontextmanager
async def running(make_step, route):
    async with TwoPeers(route=route) as pair:
        pair.endpoint.steps = [make_step(pair)]
        yield pair


class TestDeadPeers:
    async def test_a_request_leaves_its_tunnel(self):
        async with running(answer_into_silence, IDEMPOTENT) as pair:
            caller = await pair.relay()
            assert (caller.status, caller.data) == (200, b"ok")

    async def test_a_request_leaves_it_though_its_endpoint_is_heard(self):
        async with running(answer_into_silence, IDEMPOTENT) as pair:
            async with test_silence_review.hearing(pair.entry, "e1", "e2"):
                caller = await pair.relay()
            assert (caller.status, caller.data) == (200, b"ok")

    async def test_a_stream_is_not_resumed_on_an_idle_tunnel_of_it(self):
        async with running(stream_into_silence, STREAM) as pair:
            pair.endpoints["e2"].steps = [relay_fixtures.send_stream((2, "b"))]
            await pair.open_idle("e2")
            async with test_silence_review.hearing(pair.entry, "e2"):
                caller = await pair.relay()
            assert caller.data.endswith(WHOLE_STREAM)
            assert caller.complete

    async def test_it_is_found_without_a_free_connection_to_the_endpoint(
        self, monkeypatch
    ):
        def fill(pair):
            async def step(head, writer):
                monkeypatch.setattr(
                    connection_limits,
                    "may_use_another",
                    lambda relay, endpoint: endpoint.id != "e1",
                )
                await answer_into_silence(pair)(head, writer)

            return step

        async with running(fill, IDEMPOTENT) as pair:
            async with test_silence_review.hearing(pair.entry, "e2"):
                caller = await pair.relay()
            assert (caller.status, caller.data) == (200, b"ok")
            assert pair.endpoint.connection_count == 1

    async def test_its_idle_tunnels_are_closed_once_it_opens_none(self):
        async with TwoPeers(route=ONCE) as pair:
            await pair.open_idle("e1")
            pair.freeze()
            address = pair.entry.directory.rows["e2"].endpoint.address
            while not pair.entry.paths.failed_peers:
                opened = await pair.entry.pool.open(address)
                opened.abort()
            caller = await pair.relay()
            assert (caller.status, caller.data) == (200, b"ok")


class TestPeersThatAreCutOff:
    def fall_silent(self, pair):
        async def step(head, writer):
            pair.peer.paths.cut_off_since = pair.peer.now()
            pair.peer.paths.is_silent = True
            pair.entry.paths.peers = (pair.sound,)
            await asyncio.sleep(DEADLINE_S)

        return step

    async def test_a_request_leaves_its_tunnel(self):
        """The connections that the peer has may be dead."""
        async with running(self.fall_silent, IDEMPOTENT) as pair:
            async with test_silence_review.hearing(pair.entry, "e1", "e2"):
                caller = await pair.relay()
            assert (caller.status, caller.data) == (200, b"ok")


class TestShortSilences:
    async def test_they_lose_no_request_that_may_not_be_repeated(self):
        async with running(answer_into_silence, ONCE) as pair:
            answer = asyncio.ensure_future(pair.relay())
            await asyncio.sleep(SHORT_SILENCE_S)
            pair.freezing.runs.set()
            assert (await answer).status == 200
            assert not pair.endpoints["e2"].request_heads

    async def test_they_end_no_stream_that_cannot_be_resumed(self):
        route = STREAM._replace(resumable=False)
        async with running(stream_into_silence, route) as pair:
            answer = asyncio.ensure_future(pair.relay())
            await asyncio.sleep(SHORT_SILENCE_S)
            pair.freezing.runs.set()
            caller = await answer
            assert caller.data.endswith(WHOLE_STREAM)
            assert caller.complete

    @pytest.mark.parametrize("state", ["sound", "stopping", "refused"])
    async def test_a_slow_endpoint_is_not_left_if_its_peer_responds(
        self, state
    ):
        async def answer_late(head, writer):
            pair.peer.draining = state == "stopping"
            if state == "refused":
                # Connections that the peer has live on.
                pair.peer.paths.cut_off_since = pair.peer.now()
            pair.entry.paths.peers = (pair.silent, pair.sound)
            await asyncio.sleep(2.2)
            await relay_fixtures.send_answer()(head, writer)

        async with TwoPeers(answer_late, route=IDEMPOTENT) as pair:
            async with test_silence_review.hearing(pair.entry, "e2"):
                caller = await pair.relay()
            assert caller.status == 200
            assert not pair.endpoints["e2"].request_heads
