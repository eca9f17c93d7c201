"""Crowds of clients that do not keep to the limits, and what they cost."""

import asyncio
import pathlib
import resource
import socket
from typing import NamedTuple

import aiohttp
import platform_fixtures
import process_fixtures

MEMORY_MB = 160
"""Memory that the settings of a process state, and the bound on its use."""
DESCRIPTORS = 400
"""Open descriptors that the settings of a process state, and their bound."""
ADDRESS_SPACE_BYTES = 1024 * 1024 * 1024
"""Protects the machine of the tests from a process without a bound."""
MAX_BODY_BYTES = 64 * 1024
LIMITS = {
    "max_header_bytes": 8192,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
CLIENTS = 8
BYTES_PER_CLIENT = 32 * 1024 * 1024
SENT_AHEAD_BYTES = 4 * 1024 * 1024
UNFINISHED_BYTES = 4 * 1024 * 1024
SHORT_HEADERS = 10_000
STANDSTILL_S = 2.0
"""Time without progress after which a client sends no more."""
PIECE_BYTES = 64 * 1024
KB = 1024


class Cluster(platform_fixtures.PlatformCluster):
    """A cluster whose processes have lowered limits on memory and files."""

    def common_settings(self, ip):
        return {
            **super().common_settings(ip),
            "memory_mb": MEMORY_MB,
            "descriptors": DESCRIPTORS,
        }

    def launch_program(self, ip, script, settings):
        super().launch_program(ip, script, settings)
        pid = self.processes[ip].pid
        limit = (ADDRESS_SPACE_BYTES, ADDRESS_SPACE_BYTES)
        resource.prlimit(pid, resource.RLIMIT_AS, limit)

    async def start(self):
        self.session = aiohttp.ClientSession()
        await self.start_all("/a/")
        await self.replace_config(3, LIMITS)

    async def replace_config(self, version, limits):
        """Replaces the configuration and waits until it is in force."""
        path = f"/v{version}/"
        config = platform_fixtures.make_config(version, "/a/", path)
        status, _ = await self.call_control(
            "POST", "/v1/Configuration.Replace", {**config, "limits": limits}
        )
        assert status == 200
        for ip in self.entry_ips:
            await self.wait_for_status(ip, 200, f"{path}x")

    async def stop(self):
        for task in self.heartbeat_tasks:
            task.cancel()
        await asyncio.gather(*self.heartbeat_tasks, return_exceptions=True)
        await self.session.close()
        self.process_group.stop_all()
        assert self.unstructured_lines() == []

    async def assert_serves(self, ip):
        """Checks that one ordinary request of each kind is answered."""
        if ip in self.entry_ips:
            await self.wait_for_status(ip, 200)
            await self.wait_for_answer(ip, self.readiness_port, "/v1/readiness")
        else:
            path = "/v1/Configuration.Read"
            await self.wait_for_answer(ip, self.operators_port, path)
            path = f"/v1/resolution?name={platform_fixtures.HOST}"
            await self.wait_for_answer(ip, self.lookups_port, path)

    async def wait_for_answer(self, ip, port, path):
        async def is_answered():
            url = f"http://{ip}:{port}{path}"
            return (await self.http_request("GET", url))[0] == 200

        await process_fixtures.wait_until(is_answered)


class ChatCluster(process_fixtures.Cluster):
    """A cluster of the chat front with lowered limits.

    Attributes:
        extra: Settings of the entries that state the limits.
    """

    extra = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}

    def start_entry(self, i):
        process = self.process_group.start(
            f"entry-{i}",
            "arbutuswalk-entry",
            {
                "id": f"entry-{i}",
                "address": self.entry_addresses[i],
                "link_address": self.link_addresses[i],
                "domain": f"d{i + 1}",
                "control": self.control_addresses,
                **self.extra,
            },
        )
        limit = (ADDRESS_SPACE_BYTES, ADDRESS_SPACE_BYTES)
        resource.prlimit(process.pid, resource.RLIMIT_AS, limit)

    async def assert_serves(self, address):
        """Checks that one ordinary request is answered."""
        timeout = aiohttp.ClientTimeout(total=2)

        async def is_answered():
            url = f"http://{address}/v1/entries"
            try:
                async with aiohttp.request(
                    "GET", url, timeout=timeout
                ) as response:
                    return response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                return False

        await process_fixtures.wait_until(is_answered)


class Use(NamedTuple):
    """What a process has used.

    Attributes:
        peak_mb: Most memory since its start.
        descriptors: Descriptors that are open now.
    """

    peak_mb: int
    descriptors: int


def measure(process):
    """Returns what a process uses, None if it has ended."""
    if process.poll() is not None:
        return None
    folder = pathlib.Path(f"/proc/{process.pid}")
    status = (folder / "status").read_text()
    fields = dict(line.split(":\t", 1) for line in status.splitlines())
    peak_mb = int(fields["VmHWM"].split()[0]) // KB
    return Use(peak_mb, len(list((folder / "fd").iterdir())))


def repeat(data, size):
    """Yields ``size`` bytes of repeated ``data`` in pieces."""
    piece = data * max(1, PIECE_BYTES // len(data))
    for _ in range(size // len(piece)):
        yield piece


def announced_body(path):
    """Yields a request with a body that is far over all limits."""
    yield (
        f"POST {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n"
        f"X-Key: key\r\nX-Attempt-Id: a\r\nContent-Length: {2**40}\r\n\r\n"
    ).encode()
    yield from repeat(b"x", BYTES_PER_CLIENT)


def endless_chunks(path):
    """Yields a request whose chunks have no end."""
    yield (
        f"POST {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n"
        "X-Key: key\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    yield from repeat(b"4000\r\n" + b"x" * 0x4000 + b"\r\n", BYTES_PER_CLIENT)


def requests_ahead(path):
    """Yields requests without the usual headers, one after another."""
    request = f"GET {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n\r\n"
    yield from repeat(request.encode(), SENT_AHEAD_BYTES)


def posts_ahead(path):
    """Yields requests with small bodies, one after another."""
    request = (
        f"POST {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n"
        "X-Key: key\r\nX-Attempt-Id: a\r\nContent-Length: 4\r\n\r\nbody"
    )
    yield from repeat(request.encode(), SENT_AHEAD_BYTES)


def unfinished_body(path):
    """Yields a request whose body within the limits lacks its last byte."""
    yield (
        f"POST {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n"
        f"X-Key: key\r\nX-Attempt-Id: a\r\n"
        f"Content-Length: {UNFINISHED_BYTES + 1}\r\n\r\n"
    ).encode()
    yield from repeat(b"x", UNFINISHED_BYTES)


def unfinished_head(path):
    """Yields many short headers within the default limit, without an end."""
    yield (
        f"GET {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n"
    ).encode()
    yield b"a:\r\n" * SHORT_HEADERS


def upgrade(path):
    """Yields a request for another protocol, and bytes of that protocol."""
    yield (
        f"GET {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n"
        "X-Key: key\r\nX-Attempt-Id: a\r\n"
        "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    ).encode()
    yield from repeat(b"x", SENT_AHEAD_BYTES)


def one_request(path):
    """Yields one request whose answer stays unread."""
    yield (
        f"GET {path} HTTP/1.1\r\nHost: {platform_fixtures.HOST}\r\n"
        "X-Key: key\r\nX-Attempt-Id: attempt-1\r\n\r\n"
    ).encode()


def nothing():
    """Yields nothing: the connection stays idle."""
    return iter(())


class Crowd:
    """Clients that send without reading and keep their connections open."""

    def __init__(self, address, pieces, clients=CLIENTS):
        self.address = address
        self.pieces = pieces
        self.clients = clients
        self.sockets = []

    async def __aenter__(self):
        sending = (self.send() for _ in range(self.clients))
        await asyncio.gather(*sending)
        return self

    async def __aexit__(self, *_):
        for sock in self.sockets:
            sock.close()

    async def send(self):
        """Sends until all is sent, or the process closes or reads no more."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(STANDSTILL_S):
                await loop.sock_connect(sock, self.address)
            for piece in self.pieces():
                async with asyncio.timeout(STANDSTILL_S):
                    await loop.sock_sendall(sock, piece)
        except OSError:
            pass  # TimeoutError is one, too
