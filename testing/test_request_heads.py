"""Limits on the heads of callers' requests, over real connections."""

import asyncio
import time

import pytest
import relay_fixtures
import test_platform_front
from arbutuswalk_platform import entry

from _arbutuswalk.base import events
from _arbutuswalk.relay import control_watch
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import client_connections
from _arbutuswalk.wire import http_connections

VALID_REQUEST = test_platform_front.VALID_REQUEST
MAX_BYTES = 1000
TIMEOUT_S = 0.3
LATENESS_S = 0.25
LINE = b"\r\nX-Key: key"


def header_bytes(request):
    lines = request.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    return sum(len(line) + 2 for line in lines)


def with_headers_of(size):
    padding = size - header_bytes(VALID_REQUEST) - len(b"X-Pad: \r\n")
    return VALID_REQUEST.replace(LINE, LINE + b"\r\nX-Pad: " + padding * b"a")


def make_config(max_bytes=MAX_BYTES, timeout_s=TIMEOUT_S, version=1):
    route = relay_fixtures.make_route(timeout_s=5.0)
    config = relay_fixtures.make_config(route, version=version)
    limits = routeconfig.HeadLimits(max_bytes, timeout_s)
    return config._replace(head_limits=limits)


def change_config(running_entry, config):
    values = routeconfig.to_json(config)
    control_watch.apply_routes(running_entry.relay, values, "test")


async def read_to_end(reader, wait_s=5.0):
    async with asyncio.timeout(wait_s):
        return await reader.read()


async def send(running_entry, *pieces, pause_s=0.0):
    """Returns what a caller gets until its connection ends, and the time."""
    started_at = time.monotonic()
    reader, writer = await running_entry.connect()

    async def write():
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)

    writing = asyncio.ensure_future(write())
    data = await read_to_end(reader)
    took_s = time.monotonic() - started_at
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    writer.close()
    return data, took_s


def assert_refused(data, status):
    assert data.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in data.lower()
    assert data.count(b"HTTP/1.1") == 1


@pytest.fixture
def logged(monkeypatch):
    recorded = []
    monkeypatch.setattr(
        events, "record", lambda *fields: recorded.append(fields)
    )
    return recorded


def refused_statuses(logged):
    return [
        fields[2] for fields in logged if fields[0] == events.Event.HEAD_REFUSED
    ]


class TestSize:
    @pytest.mark.parametrize(
        "pieces",
        [
            [with_headers_of(MAX_BYTES + 1)],
            [VALID_REQUEST[:-8] + b"\r\nX-Pad: " + 200_000 * b"a"],
            100 * [b"POST /a/x HTTP/1.1\r\nX-Pad: " + 65536 * b"a"],
            [b"POST /a/x HTTP/1.1\r\n" + 500 * b"a:\r\n"],
            [VALID_REQUEST.replace(b"/a/x", b"/a/" + 10_000 * b"x")],
            [b"POST /a/" + 100_000 * b"x"],
            100 * [65536 * b"\r\n"],
        ],
        ids=[
            "one more",
            "no end",
            "endless header",
            "many headers",
            "request line",
            "request line without end",
            "empty lines",
        ],
    )
    async def test_a_larger_head_is_refused(self, pieces, logged):
        async with test_platform_front.RunningEntry(
            make_config()
        ) as running_entry:
            data, took_s = await send(running_entry, *pieces)
            assert_refused(data, 431)
            assert took_s < client_connections.LINGER_S + LATENESS_S
            assert refused_statuses(logged) == [431]
            assert not running_entry.endpoint.request_heads

    @pytest.mark.parametrize("cut", [0, 5, 200, 900])
    async def test_headers_up_to_the_limit_are_accepted(self, cut):
        data = with_headers_of(MAX_BYTES)
        assert header_bytes(data) == MAX_BYTES
        async with test_platform_front.RunningEntry(
            make_config()
        ) as running_entry:
            reader, writer = await running_entry.connect()
            writer.write(data[:cut])
            await asyncio.sleep(0.05)
            writer.write(data[cut:])
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            writer.close()

    async def test_a_body_does_not_count(self):
        head = VALID_REQUEST.partition(b"\r\n\r\n")[0]
        head = head.replace(b"Length: 4", b"Length: 90000")
        request = head + b"\r\n\r\n" + 90_000 * b"x"
        async with test_platform_front.RunningEntry(
            make_config()
        ) as running_entry:
            reader, writer = await running_entry.connect()
            for _ in range(2):
                writer.write(request)
                answer = await reader.readuntil(b"ok")
                assert answer.startswith(b"HTTP/1.1 200")
            writer.close()

    @pytest.mark.parametrize(
        ("body", "status"),
        [(b"0\r\n" + 500 * b"a:\r\n", 431), (b"x\r\n", 400)],
        ids=["large trailers", "no chunk"],
    )
    async def test_a_body_that_is_refused_ends_the_request(self, body, status):
        head = VALID_REQUEST.partition(b"\r\n\r\n")[0]
        head = head.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")
        async with test_platform_front.RunningEntry(
            make_config()
        ) as running_entry:
            data, _ = await send(running_entry, head + b"\r\n\r\n" + body)
            assert_refused(data, status)
            assert not running_entry.endpoint.request_heads

    async def test_a_request_line_may_take_the_size_of_the_headers(self):
        target = b"/a/" + (MAX_BYTES + 100) * b"x"
        async with test_platform_front.RunningEntry(
            make_config()
        ) as running_entry:
            status, _ = await running_entry.send_request(
                VALID_REQUEST.replace(b"/a/x", target + 8000 * b"x")
            )
            assert status == 200

    async def test_a_large_head_after_a_request_does_not_cut_its_answer(
        self, logged
    ):
        steps = [wait_and_answer(0.1)]
        async with test_platform_front.RunningEntry(
            make_config(), steps
        ) as running_entry:
            data, _ = await send(
                running_entry, VALID_REQUEST + with_headers_of(MAX_BYTES + 1)
            )
            assert data.startswith(b"HTTP/1.1 200")
            assert data.endswith(b"\r\n\r\nok")
            assert len(running_entry.endpoint.request_heads) == 1


class TestTime:
    @pytest.mark.parametrize(
        "pieces",
        [
            [VALID_REQUEST[:30]],
            [bytes([byte]) for byte in VALID_REQUEST[:-6]],
            1000 * [b"\r\n"],
        ],
        ids=["a part", "trickle", "empty lines"],
    )
    async def test_a_slower_head_is_refused(self, pieces, logged):
        async with test_platform_front.RunningEntry(
            make_config()
        ) as running_entry:
            data, took_s = await send(running_entry, *pieces, pause_s=0.05)
            assert_refused(data, 408)
            assert TIMEOUT_S <= took_s < TIMEOUT_S + LATENESS_S
            assert refused_statuses(logged) == [408]
            assert not running_entry.endpoint.request_heads

    async def test_a_kept_connection_is_limited_as_well(self):
        async with test_platform_front.RunningEntry(
            make_config()
        ) as running_entry:
            reader, writer = await running_entry.connect()
            writer.write(VALID_REQUEST)
            await reader.readuntil(b"ok")
            await asyncio.sleep(2 * TIMEOUT_S)
            started_at = time.monotonic()
            writer.write(VALID_REQUEST[:30])
            assert_refused(await read_to_end(reader), 408)
            assert time.monotonic() - started_at >= TIMEOUT_S
            assert len(running_entry.endpoint.request_heads) == 1
            writer.close()

    async def test_a_connection_without_bytes_ends_as_an_idle_one(self):
        config = make_config()
        config = config._replace(limits=routeconfig.Limits(0, 0.2))
        async with test_platform_front.RunningEntry(config) as running_entry:
            data, took_s = await send(running_entry)
            assert data == b""
            assert 0.2 <= took_s < 0.2 + LATENESS_S

    async def test_a_slow_body_and_a_slow_answer_do_not_count(self):
        steps = [wait_and_answer(2 * TIMEOUT_S)]
        async with test_platform_front.RunningEntry(
            make_config(), steps
        ) as running_entry:
            reader, writer = await running_entry.connect()
            request = VALID_REQUEST.replace(b": 1000", b": 5000")
            writer.write(request[:-2])
            await asyncio.sleep(2 * TIMEOUT_S)
            writer.write(request[-2:])
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            writer.close()

    async def test_a_slow_head_after_a_request_does_not_cut_its_answer(self):
        steps = [wait_and_answer(2 * TIMEOUT_S)]
        async with test_platform_front.RunningEntry(
            make_config(), steps
        ) as running_entry:
            data, _ = await send(
                running_entry, VALID_REQUEST + VALID_REQUEST[:30]
            )
            first, _, second = data.partition(b"\r\n\r\nok")
            assert first.startswith(b"HTTP/1.1 200")
            assert_refused(second, 408)
            assert len(running_entry.endpoint.request_heads) == 1


def wait_and_answer(wait_s):
    async def step(head, writer):
        await asyncio.sleep(wait_s)
        await relay_fixtures.send_answer()(head, writer)

    return step


class TestChanges:
    async def test_a_new_configuration_holds_for_open_connections(self):
        async with test_platform_front.RunningEntry(
            make_config(0, 0.0)
        ) as running_entry:
            kept, kept_writer = await running_entry.connect()
            kept_writer.write(with_headers_of(MAX_BYTES + 1))
            await kept.readuntil(b"ok")
            slow, slow_writer = await running_entry.connect()
            slow_writer.write(VALID_REQUEST)
            await slow.readuntil(b"ok")
            change_config(running_entry, make_config(version=2))
            kept_writer.write(with_headers_of(MAX_BYTES + 1))
            assert_refused(await read_to_end(kept), 431)
            slow_writer.write(VALID_REQUEST[:30])
            assert_refused(await read_to_end(slow), 408)
            kept_writer.close()
            slow_writer.close()

    async def test_defaults_hold_without_limits(self):
        relay = relay_fixtures.make_relay(make_config(0, 0.0))
        limits = entry.connection_limits(relay)
        assert (
            limits.max_header_bytes == http_connections.DEFAULT_MAX_HEADER_BYTES
        )
        assert limits.head_timeout_s == http_connections.DEFAULT_HEAD_TIMEOUT_S
        relay.route_table = None
        assert (
            entry.connection_limits(relay)
            == http_connections.ConnectionLimits()
        )

    async def test_a_stored_configuration_without_head_limits_is_read(self):
        values = routeconfig.to_json(make_config())
        del values["head_limits"]
        config = routeconfig.from_json(values)
        assert config.head_limits == routeconfig.HeadLimits()
