"""Entries of which some lose their path to all endpoints.

Control processes are real ones. The entries run in the process of the test, so
that the network between one of them and the endpoints can fail; callers and
control are reached as ever.
"""

import asyncio
import contextlib
import time

import platform_fixtures
import relay_fixtures
from arbutuswalk_platform import entry
from arbutuswalk_platform import settings

from _arbutuswalk.base import settings as base_settings
from _arbutuswalk.streams import pool

REQUEST_INTERVAL_S = 0.05
DEADLINE_MS = "2000"


class DeadTransport:
    """The transport of a connection whose packets are lost."""

    def __init__(self, transport):
        self.transport = transport
        transport.pause_reading()

    def write(self, data):
        pass

    def resume_reading(self):
        pass

    def pause_reading(self):
        pass

    def __getattr__(self, name):
        return getattr(self.transport, name)


class Cut:
    """How connections of some entries to endpoints fail.

    Attributes:
        pools: Pools of the entries that are cut off.
        refuses: Whether new connections are refused, not lost.
        connections: Direct connections by the pool that opened them.
    """

    def __init__(self, monkeypatch):
        self.pools = []
        self.refuses = False
        self.connections = {}
        self.connect = pool.connect
        monkeypatch.setattr(pool, "connect", self.connect_unless_cut)

    async def connect_unless_cut(self, address, **options):
        owner = getattr(options.get("on_close"), "__self__", None)
        if owner in self.pools and self.refuses:
            return pool.NotOpened(reason="refused", refused=True)
        if owner in self.pools:
            await asyncio.sleep(options["timeout_s"])
            return pool.NotOpened(reason="connect timed out", refused=False)
        opened = await self.connect(address, **options)
        if not isinstance(opened, pool.NotOpened):
            self.connections.setdefault(owner, []).append(opened)
        return opened

    def start(self, relays, how):
        """Cuts off entries: ``silent``, ``reset`` or ``refuse``."""
        self.pools = [relay.pool for relay in relays]
        self.refuses = how != "silent"
        for each in self.pools:
            for connection in self.connections.pop(each, []):
                if connection.transport.is_closing() or how == "refuse":
                    continue
                if how == "reset":
                    connection.transport.abort()
                else:
                    connection.transport = DeadTransport(connection.transport)

    def end(self):
        self.pools = []


class CutCluster(platform_fixtures.PlatformCluster):
    """Three control processes, and entries in this process.

    Attributes:
        entries: Components of the entries by address.
        cut: How their connections to endpoints fail.
    """

    def __init__(self, folder, monkeypatch, entries=4):
        super().__init__(folder)
        network = self.entry_ips[0].rpartition(".")[0]
        self.entry_ips = [f"{network}.{i}" for i in range(1, entries + 1)]
        self.entries = {}
        self.tick_tasks = []
        self.cut = Cut(monkeypatch)
        self.endpoints = []

    def start_entry(self, ip):
        defaults = {
            field.key: field.default
            for field in settings.ENTRY_FIELDS
            if field.default is not base_settings.REQUIRED
        }
        values = {
            **defaults,
            **self.common_settings(ip),
            "callers": f"{ip}:{self.callers_port}",
            "readiness": f"{ip}:{self.readiness_port}",
        }
        values["bounds"] = {
            "retry_ratio": 0.2,
            "retry_extra": 54,
            "retry_window_s": 10,
            "quota_window_s": 8,
            "quota_overshoot": 0.1,
            "quota_tolerance": 0,
            **self.bounds,
        }
        self.entries[ip] = entry.make_components(values)

    async def start_all(self, *paths, version=2):
        for ip in self.entry_ips:
            self.start_entry(ip)
            self.tick_tasks.append(await entry.start(self.entries[ip]))
        self.endpoints = [
            relay_fixtures.ScriptedEndpoint(name=f"i-{i}", upstream="ops")
            for i in range(2, 4)
        ]
        for endpoint in self.endpoints:
            await self.start_heartbeats(endpoint)
        ips, self.entry_ips = self.entry_ips, []
        await super().start_all(*paths, version=version)
        self.entry_ips = ips
        for ip in ips:
            await self.wait_for_status(ip, 200)

    async def stop(self):
        for task in self.tick_tasks:
            task.cancel()
        for components in self.entries.values():
            await entry.stop(components)
        for endpoint in [self.endpoint, *self.endpoints]:
            endpoint.stop()

    def relays(self, count):
        return [self.entries[ip].relay for ip in self.entry_ips[:count]]

    async def serve(self, ips, duration_s):
        """Sends requests to entries; returns the shares served, by entry."""
        shares = await asyncio.gather(
            *(self._serve_one(ip, duration_s) for ip in ips)
        )
        return dict(zip(ips, shares, strict=True))

    async def _serve_one(self, ip, duration_s):
        ends_at = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < ends_at:
            tasks.append(asyncio.ensure_future(self._try_once(ip)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        served = await asyncio.gather(*tasks)
        return sum(served) / len(served)

    async def _try_once(self, ip):
        status, _ = await self.send_request(
            ip, headers=[("X-Deadline-Ms", DEADLINE_MS)]
        )
        return status == 200


@contextlib.asynccontextmanager
async def running(cluster, session):
    """Runs a cluster with an HTTP session for callers."""
    cluster.session = session
    try:
        await cluster.start_all("/a/")
        yield cluster
    finally:
        for task in cluster.heartbeat_tasks:
            task.cancel()
        await cluster.stop()
        cluster.process_group.stop_all()
