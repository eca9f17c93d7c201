"""A failure domain is lost at once: a control process, an entry, an endpoint.

Real processes in three domains, under load at the entries of the others.
"""

import asyncio
import collections
import json
import os
import socket
import time

import aiohttp
import platform_fixtures
import pytest
import relay_fixtures

from _arbutuswalk.cli import remote

DOMAINS = ("d1", "d2", "d3")
CONTACT_S = 4.0
"""Time after a loss from which all is served as before."""
ACK_DEADLINE_S = 5.0
NAMED_S = CONTACT_S + 3.0
"""Time after which look-ups name no entry that was lost."""
INTERVAL_S = 0.02
WORK_S = 0.1
NOT_RUN = (429, 503)
"""Statuses of a refusal: what is left has room for all requests."""
CALLER_TIMEOUT_S = 4.5
"""Beyond the deadline that callers state."""


class Answers:
    """The steps of an endpoint: all requests are answered until it is lost."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.silent = False
        self.writers = set()

    def __len__(self):
        return 1

    def pop(self, _):
        return self.answer

    async def answer(self, head, writer):
        self.writers.add(writer)
        lines = dict(
            line.lower().split(": ", 1)
            for line in head.split("\r\n")
            if ": " in line
        )
        attempt = lines["x-attempt-id"]
        if not self.silent:
            self.cluster.runs[attempt].append(self.name)
        await asyncio.sleep(WORK_S)
        if self.silent:
            await asyncio.sleep(30)
        await relay_fixtures.send_answer(echo=attempt)(head, writer)


def stop_accepting(endpoint):
    """Lets new connections hang, as those to a machine without power."""
    listening = endpoint.server.sockets[0]
    asyncio.get_running_loop().remove_reader(listening.fileno())
    with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
        duplicate.listen(0)
        address = duplicate.getsockname()
    endpoint.waiting = [socket.socket() for _ in range(2)]
    for waiting in endpoint.waiting:
        waiting.setblocking(False)
        waiting.connect_ex(address)


class DomainCluster(platform_fixtures.PlatformCluster):
    """A control process, an entry and an endpoint in each domain.

    Attributes:
        runs: Endpoints that ran a request, by its id.
        answers: Route, id, time and status of each answer.
    """

    def __init__(self, folder):
        super().__init__(folder)
        network = self.entry_ips[0].rpartition(".")[0]
        self.entry_ips = [f"{network}.{i}" for i in (1, 2, 3)]
        self.endpoints = {}
        self.beats = {}
        self.runs = collections.defaultdict(list)
        self.answers = []
        self.lost_at = None

    def common_settings(self, ip):
        return {
            **super().common_settings(ip),
            "domain": f"d{ip.rpartition('.')[2]}",
            "domains": list(DOMAINS),
            "domain_losses": 1,
        }

    async def start_all(self):
        for ip in self.control_ips:
            self.start_control(ip)
        for ip in self.entry_ips:
            self.start_entry(ip)
        for domain in DOMAINS:
            endpoint = relay_fixtures.ScriptedEndpoint(name=f"i-{domain}")
            endpoint.steps = Answers(self, endpoint.name)
            self.endpoints[domain] = endpoint
            await self.start_heartbeats(endpoint, zone=domain, slots=100)
            self.beats[domain] = self.heartbeat_tasks[-1]
        assert await self.publish(2) == 200
        for ip in self.entry_ips:
            await self.wait_for_status(ip, 200)

    async def publish(self, version):
        config = platform_fixtures.make_config(version, "/a/", "/b/")
        config["routes"][1].update(route_kind="non_idempotent", max_attempts=1)
        config["services"][0]["connection_limit"] = 1000
        status, _ = await self.call_control(
            "POST", "/v1/Configuration.Replace", config
        )
        return status

    async def leader_domain(self):
        addresses = [f"{ip}:{self.internal_port}" for ip in self.control_ips]
        status = await asyncio.to_thread(remote.read, addresses, "status")
        return f"d{status['leader'].partition(':')[0].rpartition('.')[2]}"

    def lose(self, domain, how):
        """Loses all of a domain: it falls silent, or its processes end."""
        self.lost_at = time.monotonic()
        number = int(domain[1:]) - 1
        lost = self.control_ips[number], self.entry_ips[number]
        for ip in lost:
            if how == "silent":
                self.process_group.freeze(ip)
            else:
                self.kill(ip)
        endpoint = self.endpoints[domain]
        endpoint.steps.silent = True
        self.beats[domain].cancel()
        if how == "silent":
            stop_accepting(endpoint)
        else:
            endpoint.stop()
            for writer in endpoint.steps.writers:
                if not writer.is_closing():
                    relay_fixtures.reset_connection(writer)
        self.control_ips = [ip for ip in self.control_ips if ip != lost[0]]
        self.entry_ips = [ip for ip in self.entry_ips if ip != lost[1]]
        return lost[1]

    async def keep_sending(self, ip, path):
        tasks = []
        while True:
            attempt = f"{ip}{path}{len(tasks)}"
            tasks.append(asyncio.ensure_future(self.send(ip, path, attempt)))
            await asyncio.sleep(INTERVAL_S)

    async def send(self, ip, path, attempt):
        sent_at = time.monotonic()
        headers = {
            **platform_fixtures.CALLER_HEADERS,
            "Host": platform_fixtures.HOST,
            "X-Attempt-Id": attempt,
        }
        try:
            async with (
                asyncio.timeout(CALLER_TIMEOUT_S),
                self.session.get(
                    f"http://{ip}:{self.callers_port}{path}x", headers=headers
                ) as response,
            ):
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        self.answers.append((path, attempt, sent_at, status))

    async def named(self):
        """Returns the addresses that the look-ups of control return."""
        found = set()
        for ip in self.control_ips:
            status, body = await self.http_request(
                "GET",
                f"http://{ip}:{self.lookups_port}/v1/resolution?zone=d1",
            )
            assert status == 200
            found.update(json.loads(body)["addresses"])
        return found


@pytest.fixture
async def cluster(tmp_path):
    new_cluster = DomainCluster(tmp_path)
    async with platform_fixtures.running(new_cluster):
        yield new_cluster


@pytest.mark.parametrize("how", ["silent", "killed"])
class TestLossOfTheLeadersDomain:
    async def test_callers_elsewhere_are_served_and_nothing_is_lost(
        self, cluster, how
    ):
        await cluster.start_all()
        domain = await cluster.leader_domain()
        load = [
            asyncio.ensure_future(cluster.keep_sending(ip, path))
            for ip in cluster.entry_ips
            if not ip.endswith(f".{domain[1:]}")
            for path in ("/a/", "/b/")
        ]
        await asyncio.sleep(1.0)
        assert await cluster.publish(7) == 200
        lost_entry = cluster.lose(domain, how)
        assert await cluster.publish(8) == 200
        assert time.monotonic() - cluster.lost_at < ACK_DEADLINE_S
        status, body = await cluster.call_control(
            "GET", "/v1/Configuration.Read"
        )
        assert status == 200
        assert json.loads(body)["version"] == 8
        path = f"/v1/Evacuation.Begin/{domain}"
        status, _ = await cluster.call_control("POST", path)
        assert status == 200
        assert time.monotonic() - cluster.lost_at < ACK_DEADLINE_S
        await asyncio.sleep(cluster.lost_at + NAMED_S - time.monotonic())
        assert f"{lost_entry}:{cluster.callers_port}" not in (
            await cluster.named()
        )
        for task in load:
            task.cancel()
        await asyncio.sleep(1.0)
        self.check_answers(cluster)

    def check_answers(self, cluster):
        """One that may run once may fail if it was sent to what was lost."""
        for path, attempt, sent_at, status in cluster.answers:
            ran = cluster.runs[attempt]
            after_s = sent_at - cluster.lost_at
            assert status not in NOT_RUN, (attempt, after_s, status)
            assert len(ran) <= 1 or path == "/a/", (attempt, ran)
            if path == "/a/" or after_s > CONTACT_S:
                assert status == 200, (attempt, after_s, status)
