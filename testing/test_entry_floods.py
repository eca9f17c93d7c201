"""Peers of an entry: callers that never read answers, and other entries."""

import asyncio
import contextlib
import pathlib

import aiohttp
import platform_fixtures
import pytest
import relay_fixtures
import test_slow_callers

from _arbutuswalk.wire import codec

ANSWER = bytes(7 * 1024 * 1024)
CALLER_COUNT = 40
ANSWER_TIMEOUT_S = 3.0
INCOMPLETE_FRAME = codec.LENGTH_PREFIX.pack(codec.MAX_FRAME_BYTES) + bytes(
    codec.MAX_FRAME_BYTES - 1
)
MAX_PEAK_KB = 192 * 1024
REQUEST = (
    b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: attempt-1\r\n"
    b"X-Key: key\r\nX-Deadline-Ms: 4000\r\n\r\n"
)


@pytest.fixture
async def cluster(tmp_path):
    new_cluster = platform_fixtures.PlatformCluster(tmp_path)
    new_cluster.session = aiohttp.ClientSession()
    yield new_cluster
    for task in new_cluster.heartbeat_tasks:
        task.cancel()
    await asyncio.gather(*new_cluster.heartbeat_tasks, return_exceptions=True)
    await new_cluster.session.close()
    new_cluster.process_group.stop_all()
    assert new_cluster.unstructured_lines() == []


def peak_kb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = (s for s in status.splitlines() if s.startswith("VmHWM"))
    return int(line.split()[1])


async def ask_and_stop_reading(ip, port):
    """Returns a connection on which the head of an answer was received."""
    sock = test_slow_callers.make_small_socket()
    await asyncio.get_running_loop().sock_connect(sock, (ip, port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(REQUEST)
    with contextlib.suppress(TimeoutError, OSError, EOFError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
    return writer


async def send_large_frame(ip, port):
    """Sends all but the last byte of a frame, as far as it is read."""
    with contextlib.suppress(TimeoutError, OSError):
        _, writer = await asyncio.open_connection(ip, port)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            writer.write(INCOMPLETE_FRAME)
            await writer.drain()
            await writer.wait_closed()


class TestTunnels:
    async def test_the_memory_for_incomplete_requests_is_limited(self, cluster):
        await cluster.start_all("/a/")
        ip = cluster.entry_ips[0]
        await asyncio.gather(
            *(
                send_large_frame(ip, cluster.internal_port)
                for _ in range(CALLER_COUNT)
            )
        )
        process = cluster.processes[ip]
        print(f"peak {peak_kb(process)} kB")
        assert process.poll() is None
        assert peak_kb(process) < MAX_PEAK_KB
        await cluster.wait_for_status(ip, 200)
        assert process.poll() is None


class TestEntry:
    async def test_the_memory_for_unread_answers_is_limited(self, cluster):
        await cluster.start_all("/a/")
        ip = cluster.entry_ips[0]
        cluster.endpoint.steps += [
            relay_fixtures.send_answer(ANSWER) for _ in range(CALLER_COUNT)
        ]
        writers = [
            await ask_and_stop_reading(ip, cluster.callers_port)
            for _ in range(CALLER_COUNT)
        ]
        process = cluster.processes[ip]
        print(f"peak {peak_kb(process)} kB")
        assert process.poll() is None
        assert peak_kb(process) < MAX_PEAK_KB
        for writer in writers:
            writer.transport.abort()
        cluster.endpoint.steps.clear()
        await cluster.wait_for_status(ip, 200)
        assert process.poll() is None
