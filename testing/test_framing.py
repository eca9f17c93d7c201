"""Framing of requests at the listeners, over real connections.

A body reaches the endpoint as it was sent, or the request is refused.
"""

import asyncio
import json

import hypothesis
import pytest
import test_duties
import test_odd_entries
import test_platform_front
from arbutuswalk_platform import control_api
from arbutuswalk_platform import server
from hypothesis import strategies

from _arbutuswalk.wire import offered_upgrades

REQUEST = test_platform_front.VALID_REQUEST
HEAD = REQUEST.partition(b"\r\n\r\n")[0]
BARE_HEAD = HEAD.replace(b"\r\nContent-Length: 4", b"")
OFFER = (
    b"\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c"
    b"\r\nHTTP2-Settings: AAEAAEAAAAIAAAAA"
)
EMBEDDED = REQUEST.replace(b"body", b"evil")
OFFERS = [OFFER, b"\r\nConnection: upgrade\r\nUpgrade: websocket"]
REFUSED_HEADS = {
    "both_lengths": HEAD + b"\r\nTransfer-Encoding: chunked",
    "two_lengths": HEAD + b"\r\nContent-Length: 4",
    "other_length": HEAD + b"\r\nContent-Length: 5",
    "folded": BARE_HEAD + b"\r\nX-Note: a\r\n b\r\nContent-Length: 4",
    "folded_length": BARE_HEAD + b"\r\nContent-Length:\r\n 4",
    "space_before_colon": BARE_HEAD + b"\r\nContent-Length : 4",
    "signed_length": BARE_HEAD + b"\r\nContent-Length: +4",
    "encoded_body": BARE_HEAD + b"\r\nTransfer-Encoding: gzip, chunked",
    "chunked_not_last": BARE_HEAD + b"\r\nTransfer-Encoding: chunked, gzip",
    "bare_line_feed": BARE_HEAD.replace(b"\r\nHost", b"\nHost"),
    "http2": b"PRI * HTTP/2.0\r\n\r\nSM",
    "tunnel": b"CONNECT h.example:80 HTTP/1.1\r\nHost: h.example",
}


def with_length(body, extra=b""):
    length = b"\r\nContent-Length: %d" % len(body)
    return BARE_HEAD + extra + length + b"\r\n\r\n" + body


def in_chunks(body, extra=b""):
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    encoding = b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    return BARE_HEAD + extra + encoding + chunk + b"0\r\n\r\n"


async def send(parts, count=1):
    """Returns the bodies that reach the endpoint, for ``count`` answers.

    Each part arrives by itself.
    """
    async with test_platform_front.RunningEntry() as entry:
        reader, writer = await entry.connect()
        async with asyncio.timeout(10):
            connection = await entry.accepted_connection()
            for part in parts:
                connection.data_received(part)
            for _ in range(count):
                assert b"HTTP/1.1 200 " in await reader.readuntil(b"ok")
            connection.shutdown()
            assert await reader.read() == b""
        writer.close()
        return entry.endpoint.request_bodies


class TestOfferedUpgrades:
    """Guards against bodies that are lost or run (UNASKED, review/6)."""

    @pytest.mark.parametrize("offer", OFFERS)
    @pytest.mark.parametrize("frame", [with_length, in_chunks])
    @pytest.mark.parametrize("body", [b"body", EMBEDDED])
    async def test_a_body_is_relayed_as_sent(self, offer, frame, body):
        assert await send([frame(body, offer)]) == [body]

    @pytest.mark.parametrize(
        "extra", [b"\r\nExpect: 100-continue", b"\r\nTE: trailers", b""]
    )
    async def test_beside_other_headers_of_the_connection(self, extra):
        for offer in (OFFER, b""):
            request = in_chunks(EMBEDDED, offer + extra)
            assert await send([request]) == [EMBEDDED]

    async def test_a_control_process_reads_the_body(self):
        components = test_duties.make_components()
        listener = server.Listener(
            address="127.0.0.1:0",
            app=control_api.make_operators_app(components),
        )
        await listener.start()
        port = listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        body = json.dumps(test_odd_entries.BEAT).encode()
        writer.write(
            b"POST /v1/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: c"
            b"%b\r\nContent-Length: %d\r\n\r\n" % (OFFER, len(body))
        )
        await asyncio.sleep(0.05)
        writer.write(body)
        async with asyncio.timeout(10):
            answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        await listener.stop()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert "i-1" in components.discovery.directory.rows

    @pytest.mark.parametrize("frame", [with_length, in_chunks])
    async def test_wherever_the_request_is_split(self, frame):
        request = frame(EMBEDDED, OFFER)
        for position in range(1, len(request)):
            parts = request[:position], request[position:]
            assert await send(parts) == [EMBEDDED]

    async def test_byte_by_byte_and_pipelined(self):
        requests = [
            with_length(EMBEDDED, OFFER),
            REQUEST,
            in_chunks(EMBEDDED, OFFER),
            with_length(b"", OFFER),
            with_length(b"last", OFFER),
        ]
        data = b"".join(requests)
        expected = [EMBEDDED, b"body", EMBEDDED, b"", b"last"]
        assert await send([data], 5) == expected
        assert await send([bytes([byte]) for byte in data], 5) == expected

    async def test_what_follows_a_head_without_a_body_is_a_request(self):
        get = BARE_HEAD.replace(b"POST", b"GET") + OFFER + b"\r\n\r\n"
        parts = get + REQUEST[:30], REQUEST[30:]
        assert await send(parts, 2) == [b"", b"body"]


class TestRefusals:
    @pytest.mark.parametrize("name", REFUSED_HEADS)
    async def test_doubtful_framing_is_refused_and_closes(self, name):
        head = REFUSED_HEADS[name] + b"\r\n\r\n"
        async with test_platform_front.RunningEntry() as entry:
            reader, writer = await entry.connect()
            writer.write(head + b"body" + EMBEDDED)
            async with asyncio.timeout(10):
                data = await reader.read()
            writer.close()
            assert entry.endpoint.request_bodies == []
        status_line = data.partition(b"\r\n")[0]
        assert status_line.startswith(b"HTTP/1.1 4")
        assert data.count(b"HTTP/1.1") == 1


class TestGenerated:
    @hypothesis.settings(max_examples=30, deadline=None)
    @hypothesis.given(
        bodies=strategies.lists(
            strategies.sampled_from([b"", b"x", EMBEDDED, b"\r\n\r\n" * 9]),
            min_size=1,
            max_size=4,
        ),
        frames=strategies.lists(
            strategies.tuples(
                strategies.sampled_from([with_length, in_chunks]),
                strategies.sampled_from([b"", *OFFERS]),
            ),
            min_size=4,
            max_size=4,
        ),
        cuts=strategies.lists(strategies.integers(0, 2000), max_size=8),
    )
    def test_requests_are_run_as_sent(self, bodies, frames, cuts):
        data = b"".join(
            frame(body, offer)
            for body, (frame, offer) in zip(bodies, frames, strict=False)
        )
        edges = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
        parts = [
            data[begin:end]
            for begin, end in zip(edges[:-1], edges[1:], strict=True)
        ]
        assert asyncio.run(send(parts, len(bodies))) == bodies


class TestParser:
    def test_it_is_replaced_only_for_bodies(self):
        has_body = offered_upgrades._has_body
        assert has_body(b"POST", [(b"content-length", b"4")])
        assert has_body(b"POST", [(b"transfer-encoding", b"chunked")])
        assert not has_body(b"POST", [(b"content-length", b"00")])
        assert not has_body(b"GET", [(b"upgrade", b"h2c")])
        assert not has_body(b"CONNECT", [(b"content-length", b"4")])
