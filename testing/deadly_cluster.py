"""Endpoints that some requests crash, for clusters of real processes."""

import asyncio
import contextlib
import functools
import itertools
import json
import time

import platform_fixtures
import relay_fixtures

HEARTBEAT_S = 1.2
CONTACT_THRESHOLD_S = 3.0
DEADLY = b"deadly"


class Cluster(platform_fixtures.PlatformCluster):
    """A cluster with the platform's usual interval of heartbeats."""

    def common_settings(self, ip):
        settings = super().common_settings(ip)
        return {**settings, "heartbeat_ms": int(HEARTBEAT_S * 1000)}


class Endpoint:
    """An endpoint that deadly requests crash, and that starts again.

    Attributes:
        crashes: When deadly requests crashed it, and for how long it was gone.
        arrivals: When deadly requests reached it.
    """

    def __init__(self, cluster, number, *, down_s, keeps_id):
        self.cluster = cluster
        self.number = number
        self.down_s = down_s
        self.keeps_id = keeps_id
        self.crashes = []
        self.arrivals = []
        self.port = 0
        self.writers = set()
        self.starts = itertools.count(1)

    async def run(self):
        while True:
            crashed = asyncio.Event()
            server = await asyncio.start_server(
                functools.partial(self._serve, crashed),
                "127.0.0.1",
                self.port,
                reuse_address=True,
            )
            self.port = server.sockets[0].getsockname()[1]
            name = f"e{self.number}"
            if not self.keeps_id:
                name += f"-{next(self.starts)}"
            heartbeats = asyncio.ensure_future(self._send_heartbeats(name))
            try:
                await crashed.wait()
            finally:
                heartbeats.cancel()
                server.close()
                for writer in self.writers:
                    relay_fixtures.reset_connection(writer)
            await asyncio.sleep(self.down_s)

    async def _serve(self, crashed, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                while True:
                    await self._serve_one(reader, writer, crashed)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer, crashed):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(
            line.split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        now = time.monotonic()
        if body == DEADLY:
            self.arrivals.append(now)
            if not crashed.is_set():
                self.crashes.append(now)
                crashed.set()
            await asyncio.sleep(60)
        await asyncio.sleep(0.02)
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\n"
            "X-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok".encode()
        )
        await writer.drain()

    async def _send_heartbeats(self, name):
        born = int(time.time() * 1000)
        for sequence in itertools.count(1):
            report = {
                "service": "ops",
                "address": f"127.0.0.1:{self.port}",
                "zone": "d1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": born,
            }
            for ip in self.cluster.control_ips:
                url = f"http://{ip}:{self.cluster.operators_port}"
                url += f"/v1/Instances.Heartbeat/{name}"
                status, _ = await self.cluster.http_request(
                    "POST", url, data=json.dumps(report).encode()
                )
                if status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)


async def send(cluster, number, body):
    """Sends a request to an entry in turn; returns its status."""
    ip = cluster.entry_ips[number % len(cluster.entry_ips)]
    headers = {
        **platform_fixtures.CALLER_HEADERS,
        "Host": platform_fixtures.HOST,
        "X-Attempt-Id": f"a-{number}-{body[:6].decode()}",
    }
    # A deadly request comes again with the same path and body.
    name = "x" if body == DEADLY else number % 100
    url = f"http://{ip}:{cluster.callers_port}/a/{name}"
    status, _ = await cluster.http_request(
        "POST", url, headers=headers, data=body
    )
    return status


def late_arrivals(endpoints):
    """Returns the times of arrivals after the third crash, in seconds.

    Only those that are later than the system has to notice the crash.
    """
    crashes = sorted(at for each in endpoints for at in each.crashes)
    if len(crashes) < 3:
        return []
    arrivals = sorted(at for each in endpoints for at in each.arrivals)
    return [
        round(at - crashes[2], 3)
        for at in arrivals
        if at - crashes[2] > CONTACT_THRESHOLD_S
    ]
