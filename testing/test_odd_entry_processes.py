"""Odd entries about endpoints, beside sound ones, with real processes."""

import asyncio
import itertools
import json
import pathlib
import urllib.parse

import aiohttp
import platform_fixtures
import process_fixtures
import pytest
import relay_fixtures
import test_odd_entries

from _arbutuswalk.base import events
from _arbutuswalk.control import endpoint_cache
from _arbutuswalk.control import entry_count_cache

HEARTBEAT_PATH = "/v1/Instances.Heartbeat/"
DEREGISTER_PATH = "/v1/Instances.Deregister/"


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


class RequestSender:
    """Sends requests to all entries and counts the statuses of answers."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.statuses = []
        self.task = asyncio.ensure_future(self._run())

    async def _run(self):
        while True:
            for ip in self.cluster.entry_ips:
                status, _ = await self.cluster.send_request(ip)
                self.statuses.append(status)
            await asyncio.sleep(0.02)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        return self.statuses


def make_odd_calls(sound):
    """Returns paths and bodies of calls that name no endpoint to use."""
    calls = []
    for body in test_odd_entries.UNREADABLE.values():
        calls.append((f"{HEARTBEAT_PATH}odd", body))
        calls.append((f"{HEARTBEAT_PATH}i-1", body))
        if body:
            calls.append((f"{DEREGISTER_PATH}i-1", body))
    for index, (name, value) in enumerate(test_odd_entries.ODD_FIELDS):
        sequence = sound["sequence"] + 100 + index
        body = json.dumps({**sound, "sequence": sequence, name: value})
        calls.append((f"{HEARTBEAT_PATH}odd-{index}", body.encode()))
        calls.append((f"{HEARTBEAT_PATH}i-1", body.encode()))
    for value in test_odd_entries.NO_NUMBERS:
        body = json.dumps({"born": value}).encode()
        calls.append((f"{DEREGISTER_PATH}i-1", body))
    later = json.dumps({**sound, "born": sound["born"] + 1}).encode()
    for endpoint_id in ("i\r\nX-Tenant: b", "i\x00", "i" * 300):
        path = HEARTBEAT_PATH + urllib.parse.quote(endpoint_id)
        calls.append((path, later))
    return calls


async def send_bytes_of_no_text(cluster):
    """Sends a heartbeat whose id is no text; returns the answer's start."""
    ip = cluster.control_ips[0]
    reader, writer = await asyncio.open_connection(ip, cluster.operators_port)
    path = HEARTBEAT_PATH.encode() + b"\xff\xfe"
    writer.write(
        b"POST " + path + b" HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
    )
    async with asyncio.timeout(2):
        start = await reader.readuntil(b"\r\n")
    writer.close()
    return start


async def write_reports(cluster, endpoint_id, sound):
    """Announces an upstream that no configuration names, at all processes."""
    for sequence in itertools.count(1):
        report = {
            **sound,
            "service": "ops-next",
            "born": sound["born"] + 1000,
            "sequence": sequence,
        }
        for ip in cluster.control_ips:
            url = f"http://{ip}:{cluster.operators_port}"
            url += HEARTBEAT_PATH + endpoint_id
            await cluster.http_request("POST", url, json=report)
        await asyncio.sleep(0.3)


def failed_tasks(cluster):
    """Returns the log lines of errors that no code expects."""
    lines = [
        json.loads(line)
        for path in cluster.folder.glob("127.*.log")
        # The last line may have been cut by a kill.
        for line in path.read_text().split("\n")[:-1]
    ]
    return [
        line
        for line in lines
        if line["event"] == events.Event.TASK_FAILED.number
        or line.get("level") == "ERROR"
    ]


class TestAnotherWriter:
    async def test_sound_endpoints_are_used_beside_odd_entries(self, cluster):
        """Guards against processes that end, or stop following the list."""
        await cluster.start_all("/a/")
        started = dict(cluster.processes)
        sender = RequestSender(cluster)
        for number, (path, body) in enumerate(
            make_odd_calls(dict(cluster.heartbeat))
        ):
            ip = cluster.control_ips[number % len(cluster.control_ips)]
            url = f"http://{ip}:{cluster.operators_port}{path}"
            status, _ = await cluster.http_request(
                "POST", yarl_url(url), data=body
            )
            assert status == 400, (path, body[:200])
        large = json.dumps({**cluster.heartbeat, "phase": "x" * 30_000_000})
        for ip in cluster.control_ips:
            url = f"http://{ip}:{cluster.operators_port}{HEARTBEAT_PATH}odd"
            status, _ = await cluster.http_request(
                "POST", url, data=large.encode()
            )
            assert status == 413
        assert b" 400 " in await send_bytes_of_no_text(cluster)
        second = relay_fixtures.ScriptedEndpoint(name="i-2")
        await cluster.start_heartbeats(second, born=2)

        async def is_used():
            return bool(second.request_heads)

        await process_fixtures.wait_until(is_used)
        statuses = await sender.stop()
        assert set(statuses) == {200}
        config = platform_fixtures.make_config(3, "/a/", "/b/")
        status, _ = await cluster.call_control(
            "POST", "/v1/Configuration.Replace", config
        )
        assert status == 200
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 200, "/b/x")
        heads = cluster.endpoint.request_heads + second.request_heads
        assert all("X-Tenant: b" not in head for head in heads)
        assert cluster.processes == started
        assert all(p.poll() is None for p in started.values())
        assert failed_tasks(cluster) == []

    @pytest.mark.parametrize("name", ["i-1", "w-1"], ids=["id", "address"])
    async def test_an_upstream_that_is_not_configured_displaces_none(
        self, cluster, name
    ):
        """Guards against refusals for a sound endpoint (STARVED, review/10)."""
        await cluster.start_all("/a/")
        writer = asyncio.ensure_future(
            write_reports(cluster, name, dict(cluster.heartbeat))
        )
        # Several heartbeats of both writers.
        await asyncio.sleep(1)
        sender = RequestSender(cluster)
        await asyncio.sleep(2)
        statuses = await sender.stop()
        writer.cancel()
        assert set(statuses) == {200}

    async def test_a_process_starts_with_odd_entries_on_its_disk(self, cluster):
        """Guards against a process that ends at each of its starts."""
        await cluster.start_all("/a/")
        ip = cluster.control_ips[0]
        folder = pathlib.Path(cluster.folder, ip)
        odd = [b"1e400", test_odd_entries.DEEP]
        odd += [json.dumps([row]).encode() for row in ([[], {}], [7] * 11)]
        for content in odd:
            cluster.kill(ip)
            (folder / endpoint_cache.FILE_NAME).write_bytes(content)
            (folder / entry_count_cache.FILE_NAME).write_bytes(content)
            cluster.start_control(ip)
            status, _ = await cluster.call_control(
                "GET", "/v1/Configuration.Read", only_ip=ip
            )
            assert status == 200
            assert cluster.processes[ip].poll() is None
        for entry_ip in cluster.entry_ips:
            assert (await cluster.send_request(entry_ip))[0] == 200
        assert failed_tasks(cluster) == []


def yarl_url(url):
    """Returns a URL whose escapes are sent as they are."""
    return aiohttp.client.URL(url, encoded=True)
