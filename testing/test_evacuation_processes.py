"""Evacuations under load on real processes, with one failure each."""

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import time

import aiohttp
import cut_cluster
import former_builds
import platform_fixtures
import process_fixtures
import pytest
import relay_fixtures

from _arbutuswalk.cli import remote
from _arbutuswalk.wire import link
from _arbutuswalk.wire import watch_timing

IN_FORCE_S = 2.0
"""Below the time in which the platform wants an evacuation in force."""
OBSERVED_S = 1.5
REQUEST_INTERVAL_S = 0.03
CUT_WAIT_S = 0.1


@pytest.fixture
async def cluster(tmp_path):
    new_cluster = platform_fixtures.PlatformCluster(tmp_path)
    async with platform_fixtures.running(new_cluster):
        yield new_cluster


async def start(cluster):
    """Starts all, with the first endpoint in d1 and another in d2."""
    await cluster.start_all("/a/")
    cluster.other = relay_fixtures.ScriptedEndpoint(name="i-2")
    await cluster.start_heartbeats(cluster.other, zone="d2")
    await process_fixtures.wait_until(lambda: is_shared(cluster))


async def is_shared(cluster):
    """Returns whether the endpoint in d2 was used.

    An entry in d1 uses it only while the one in d1 has a request.
    """
    await asyncio.gather(
        *(cluster.send_request(ip) for ip in cluster.entry_ips * 2)
    )
    return cluster.other.request_heads


async def order(cluster, what, domain="d1"):
    """Gives an order as the operator does, until it is acknowledged."""
    path = f"/v1/Evacuation.{what}/{domain}"
    status, _ = await cluster.call_control("POST", path)
    return status


async def read(cluster, what):
    """Reads from the control group as the command line does."""
    addresses = [f"{ip}:{cluster.internal_port}" for ip in cluster.control_ips]
    return await asyncio.to_thread(remote.read, addresses, what)


@contextlib.asynccontextmanager
async def load(cluster):
    """Sends requests to all entries meanwhile; yields their statuses."""
    statuses = []

    async def keep_sending(ip):
        while True:
            statuses.append((await cluster.send_request(ip))[0])
            await asyncio.sleep(REQUEST_INTERVAL_S)

    tasks = [
        asyncio.ensure_future(keep_sending(ip)) for ip in cluster.entry_ips
    ]
    try:
        yield statuses
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def count_arrivals(endpoint, duration_s=OBSERVED_S):
    before = len(endpoint.request_heads)
    await asyncio.sleep(duration_s)
    return len(endpoint.request_heads) - before


class TestUnderLoad:
    async def test_the_leader_is_killed_right_after_its_acknowledgement(
        self, cluster
    ):
        await start(cluster)
        status = await read(cluster, "status")
        leader = status["leader"].partition(":")[0]
        async with load(cluster) as statuses:
            assert await order(cluster, "Begin") == 200
            cluster.kill(leader)
            await asyncio.sleep(IN_FORCE_S)
            assert await count_arrivals(cluster.endpoint) == 0
            assert await order(cluster, "Begin") == 200
            assert await order(cluster, "Finish") == 200
            await asyncio.sleep(IN_FORCE_S)
            assert await count_arrivals(cluster.endpoint) > 0
        assert set(statuses) == {200}

    async def test_all_control_processes_start_again(self, cluster):
        await start(cluster)
        assert await order(cluster, "Begin") == 200
        async with load(cluster) as statuses:
            await asyncio.sleep(IN_FORCE_S)
            before = len(cluster.endpoint.request_heads)
            for ip in cluster.control_ips:
                cluster.kill(ip)
            for ip in cluster.control_ips:
                cluster.start_control(ip)
            shown = await read(cluster, "evacuations")
            assert shown["d1"]["state"] == "evacuated"
            await asyncio.sleep(OBSERVED_S)
            assert len(cluster.endpoint.request_heads) == before
        assert set(statuses) == {200}
        # An entry that starts knows it before it serves.
        for ip in cluster.entry_ips:
            cluster.kill(ip)
            cluster.start_entry(ip)
            await cluster.wait_for_status(ip, 200)
            for _ in range(20):
                await cluster.send_request(ip)
        assert len(cluster.endpoint.request_heads) == before

    async def test_an_entry_is_cut_off_and_back(self, tmp_path, monkeypatch):
        async with (
            aiohttp.ClientSession() as session,
            cut_cluster.running(
                EvacuatedCluster(tmp_path, monkeypatch, entries=2), session
            ) as cluster,
            load(cluster) as statuses,
        ):
            first, others = cluster.endpoint, cluster.endpoints
            await cluster.cut_from_control(cluster.entry_ips[0])
            assert await order(cluster, "Begin") == 200
            await asyncio.sleep(IN_FORCE_S)
            assert await count_arrivals(first) > 0
            cluster.cut_ips.clear()
            await asyncio.sleep(IN_FORCE_S)
            assert await count_arrivals(first) == 0
            # Cut off again, it keeps what it knows.
            await cluster.cut_from_control(cluster.entry_ips[0])
            assert await order(cluster, "Finish") == 200
            await asyncio.sleep(IN_FORCE_S)
            relay = cluster.relays(1)[0]
            assert relay.evacuations.domains == {"d1"}
            assert await count_arrivals(first) > 0
            cluster.cut_ips.clear()
            await asyncio.sleep(IN_FORCE_S)
            assert relay.evacuations.domains == frozenset()
            assert all(endpoint.request_heads for endpoint in others)
        assert set(statuses) == {200}


class EvacuatedCluster(cut_cluster.CutCluster):
    """Entries in this process that can be cut off from control.

    Attributes:
        cut_ips: Entries that are cut off.
    """

    cut_ips: set

    async def start_heartbeats(self, endpoint, **overrides):
        self.cut_ips = getattr(self, "cut_ips", set())
        domain = "d1" if endpoint.name == "i-1" else "d2"
        return await super().start_heartbeats(
            endpoint, **{"zone": domain, **overrides}
        )

    async def cut_from_control(self, ip):
        """Loses the messages of an entry to control until ``cut_ips`` ends."""
        self.cut_ips.add(ip)
        for feed in self.entries[ip].watcher.feeds.values():
            if feed.link.call.__name__ != "call_unless_cut":
                feed.link.call = self.make_call(ip, feed.link.call)
        # A watch that is under way gets its reply.
        await asyncio.sleep(2 * watch_timing.MAX_WAIT_S)

    def make_call(self, ip, call):
        async def call_unless_cut(message, **options):
            if ip in self.cut_ips:
                await asyncio.sleep(CUT_WAIT_S)
                return link.TimedOut(after_s=CUT_WAIT_S)
            reply = await call(message, **options)
            return (
                link.TimedOut(after_s=CUT_WAIT_S)
                if ip in self.cut_ips
                else reply
            )

        return call_unless_cut


class TestCommandLine:
    async def test_it_gives_orders_and_shows_domains(self, cluster):
        await start(cluster)
        script = pathlib.Path(sys.executable).parent / "arbutuswalk"
        control = ",".join(
            f"{ip}:{cluster.internal_port}" for ip in cluster.control_ips
        )
        for arguments, code, expected in (
            (["evacuations"], 0, "d1: open, 1 endpoints ready"),
            (["evacuation", "begin", "d9"], 2, "known: d1, d2"),
            (["evacuation", "begin", "d1"], 0, "d1: evacuated, 1 ready"),
            (["evacuation", "begin", "d1"], 0, "d1: evacuated, 1 ready"),
            (["evacuations"], 0, "d1: evacuated, 1 endpoints ready"),
            (["evacuation", "finish", "d1", "--json"], 0, '"step": 2'),
            (["evacuations", "--json"], 0, '"state": "open"'),
        ):
            result = await asyncio.to_thread(
                subprocess.run,
                [script, *arguments, "--control", control],
                capture_output=True,
                text=True,
                check=False,
            )
            assert result.returncode == code, (arguments, result.stderr)
            assert expected in result.stdout + result.stderr


class TestRefusal:
    async def test_the_last_domain_is_evacuated_if_the_operator_says_so(
        self, cluster
    ):
        await start(cluster)
        for domain in ("d1", "d2"):
            assert await order(cluster, "Begin", domain) == 200
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 503)
            started_at = time.monotonic()
            assert (await cluster.send_request(ip))[0] == 503
            assert time.monotonic() - started_at < 0.5
        assert await order(cluster, "Begin", "d9") == 404
        assert await order(cluster, "Finish", "d2") == 200
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 200)


class TestFormerBuild:
    """One control process and one entry run a build without evacuations."""

    async def test_it_undoes_nothing_and_knows_all_once_replaced(
        self, cluster, tmp_path
    ):
        former = former_builds.extract("a6a369c", tmp_path)
        former_ip, former_entry_ip = (
            cluster.control_ips[2],
            cluster.entry_ips[1],
        )
        cluster.roots = dict.fromkeys((former_ip, former_entry_ip), former)
        await start(cluster)
        status = await read(cluster, "status")
        if status["leader"].startswith(f"{former_ip}:"):
            cluster.kill(former_ip)
            assert await order(cluster, "Finish") == 200
            cluster.start_control(former_ip)
        assert await order(cluster, "Begin") == 200
        for ip in cluster.entry_ips:
            assert (await cluster.send_request(ip))[0] == 200
        del cluster.roots[former_ip]
        cluster.kill(former_ip)
        cluster.start_control(former_ip)
        address = f"{former_ip}:{cluster.internal_port}"

        async def knows_it():
            dumped = await asyncio.to_thread(remote.dump, address)
            if isinstance(dumped, remote.Failed):
                return False
            return "d1" in dumped["tables"]["evacuations"]

        await process_fixtures.wait_until(knows_it)
        cluster.kill(former_entry_ip)
        arrivals = await count_arrivals(cluster.endpoint, IN_FORCE_S)
        async with load(cluster):
            arrivals += await count_arrivals(cluster.endpoint)
        assert arrivals == 0
