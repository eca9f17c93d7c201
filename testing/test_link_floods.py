"""Peers of a process's links that keep to no limits."""

import asyncio
import contextlib
import pathlib
import resource

import process_fixtures
import pytest

from _arbutuswalk.entry import control_client
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

MAX_DESCRIPTORS = 200
MAX_PEAK_KB = 192 * 1024
MAX_PEER_CONNECTIONS = 64
CROWD = 400
LARGE_FRAMES = 24
UNREAD_CALLS = 4000
LARGE_QUERY = 100_000 * "q"
"""A query that is unknown; the reply repeats it."""
DEADLINE_S = 60
PEER_ADDRESS = ("127.0.0.2", 0)


class Member:
    """A control process, alone in its group, whose links are flooded."""

    def __init__(self, process_group):
        (port,) = process_fixtures.free_ports(1)
        self.address = f"127.0.0.1:{port}"
        self.port = port
        self.process_group = process_group
        self.client = control_client.ControlClient(addresses=[self.address])
        settings = {
            "id": "c",
            "address": self.address,
            "data": str(process_group.folder / "data"),
            "peers": [self.address],
            "voters": 1,
            "link_connections": MAX_PEER_CONNECTIONS,
        }
        self.process = process_group.start("c", "arbutuswalk-control", settings)
        resource.prlimit(
            self.process.pid,
            resource.RLIMIT_NOFILE,
            (MAX_DESCRIPTORS, MAX_DESCRIPTORS),
        )
        self.writers = []
        self.most_descriptors = 0

    async def answers(self):
        reply = await self.client.read("status", "", timeout_s=2.0)
        return isinstance(reply, dict) and reply

    async def connect(self):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, local_addr=PEER_ADDRESS
        )
        self.writers.append(writer)
        return reader, writer

    async def send(self, writer, data):
        """Sends until all is sent, or the process neither reads nor ends."""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(2.0):
                writer.write(data)
                await writer.drain()

    def observe(self):
        open_files = pathlib.Path(f"/proc/{self.process.pid}/fd")
        count = len(list(open_files.iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)

    @property
    def peak_kb(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (s for s in status.splitlines() if s.startswith("VmHWM"))
        return int(line.split()[1])

    async def check(self):
        """Checks the process during the flood and answers afterwards."""
        self.observe()
        print(f"peak {self.peak_kb} kB, descriptors {self.most_descriptors}")
        assert self.process.poll() is None
        assert self.peak_kb < MAX_PEAK_KB
        assert self.most_descriptors < MAX_DESCRIPTORS - 20
        for writer in self.writers:
            writer.transport.abort()
        await process_fixtures.wait_until(self.answers)
        assert self.process.poll() is None


@pytest.fixture
async def member(tmp_path):
    group = process_fixtures.ProcessGroup(tmp_path)
    try:
        started = Member(group)
        await process_fixtures.wait_until(started.answers)
        yield started
        await started.client.stop()
    finally:
        group.stop_all()


class TestControl:
    async def test_many_connections_that_never_send(self, member):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_S):
                for _ in range(CROWD):
                    await member.connect()
                    member.observe()
        await asyncio.sleep(0.5)
        await member.check()

    async def test_large_frames_that_are_never_complete(self, member):
        half = bytes(codec.MAX_FRAME_BYTES - 1)
        for _ in range(LARGE_FRAMES):
            _, writer = await member.connect()
            prefix = codec.LENGTH_PREFIX.pack(codec.MAX_FRAME_BYTES)
            await member.send(writer, prefix + half)
        await member.check()

    async def test_frames_over_the_limit(self, member):
        for _ in range(LARGE_FRAMES):
            _, writer = await member.connect()
            prefix = codec.LENGTH_PREFIX.pack(2**32 - 1)
            await member.send(writer, prefix + bytes(codec.MAX_FRAME_BYTES))
        await member.check()

    async def test_many_calls_whose_replies_are_not_read(self, member):
        message = ttypes.Read(query=LARGE_QUERY, argument="")
        frame = codec.encode(1, message, reply=False)
        _, writer = await member.connect()
        for _ in range(UNREAD_CALLS):
            await member.send(writer, frame)
            if writer.transport.get_write_buffer_size() > len(frame):
                break  # the process reads no further
        await member.check()

    async def test_trickled_bytes(self, member):
        message = ttypes.Read(query="status", argument="")
        frame = codec.encode(1, message, reply=False)
        reader, writer = await member.connect()
        for byte in frame:
            await member.send(writer, bytes([byte]))
        call_number, _, reply = await link.read_frame(reader)
        assert call_number == 1
        assert reply.status == ttypes.Status.OK
        await member.check()
