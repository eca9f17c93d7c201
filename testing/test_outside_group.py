"""Announcements at control processes that cannot reach a majority."""

import asyncio
import json
import signal
import types

import asgi
import platform_fixtures
import process_fixtures
import pytest
import relay_fixtures
import test_duties
import test_odd_entries
from arbutuswalk_platform import control_api

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types as agreement_types
from _arbutuswalk.control import discovery
from _arbutuswalk.routing import directory

ELECTION_AND_CUT_S = lease.MAJORITY_SILENCE_S + 1.5


@pytest.fixture
async def cluster(tmp_path):
    new_cluster = platform_fixtures.PlatformCluster(tmp_path)
    async with platform_fixtures.running(new_cluster):
        yield new_cluster


def make_replica(**values):
    replica = types.SimpleNamespace(
        role=agreement_types.Role.FOLLOWER,
        contact_at=float("-inf"),
        member="a",
        progress={},
        log=types.SimpleNamespace(
            members=agreement_types.Members(voters=("a", "b", "c"))
        ),
    )
    vars(replica).update(values)
    return replica


class TestContact:
    def test_a_process_in_no_group_hears_from_no_majority(self):
        assert not lease.hears_majority(make_replica(), 0.0)

    def test_one_that_hears_a_leader_does(self):
        replica = make_replica(contact_at=10.0)
        assert lease.hears_majority(replica, 10.5)
        assert not lease.hears_majority(
            replica, 10.0 + lease.MAJORITY_SILENCE_S
        )

    def test_a_leader_does_while_a_majority_answers(self):
        progress = replicas.Progress(next_index=1, now=0.0)
        progress.acked_sent_at = 10.0
        replica = make_replica(
            role=agreement_types.Role.LEADER, progress={"b": progress}
        )
        assert lease.hears_majority(replica, 10.5)
        assert not lease.hears_majority(
            replica, 10.0 + lease.MAJORITY_SILENCE_S
        )


class TestApi:
    @pytest.mark.parametrize("call", ["Heartbeat", "Deregister"])
    async def test_an_announcement_is_applied_but_not_acknowledged(self, call):
        """Guards against acknowledged words that are lost (DRAIN, review/7)."""
        components = test_duties.make_components()
        app = control_api.make_operators_app(components)
        body = json.dumps(test_odd_entries.BEAT).encode()
        path = "/v1/Instances.Heartbeat/i-1"
        assert (await asgi.call(app, "POST", path, body=body)).status == 200
        components.member.hears_majority = False
        leaving = {**test_odd_entries.BEAT, "state": "draining", "sequence": 99}
        answer = await asgi.call(
            app,
            "POST",
            f"/v1/Instances.{call}/i-1",
            body=json.dumps(leaving).encode(),
        )
        assert answer.status == 503
        known = components.discovery.directory.rows["i-1"].endpoint
        assert known.state in (directory.LEAVING, directory.GONE)

    async def test_an_order_for_an_unknown_domain_is_not_refused_for_good(self):
        components = test_duties.make_components()
        components = components._replace(
            service=types.SimpleNamespace(listed_domains=())
        )
        components.member.hears_majority = False
        app = control_api.make_operators_app(components)
        path = "/v1/Evacuation.Begin/d1"
        assert (await asgi.call(app, "POST", path)).status == 503


class TestProcesses:
    async def deregister(self, cluster, ip, name):
        url = f"http://{ip}:{cluster.operators_port}"
        url += f"/v1/Instances.Deregister/{name}"
        status, _ = await cluster.http_request("POST", url, json={"born": 1})
        return status

    async def find_outsider(self, cluster, ips):
        """Returns a process that no member adds to its group, if any."""
        await asyncio.sleep(ELECTION_AND_CUT_S)
        for ip in ips:
            url = f"http://{ip}:{cluster.operators_port}/v1/Configuration.Read"
            status, _ = await cluster.http_request("GET", url)
            if status == 503:
                return ip
        return None

    async def test_one_outside_the_group_loses_no_departure(self, cluster):
        """Guards against requests to one that left (DRAIN, review/7)."""
        await cluster.start_all("/a/")
        second = relay_fixtures.ScriptedEndpoint(name="i-2")
        await cluster.start_heartbeats(second)
        network = cluster.control_ips[0].rpartition(".")[0]
        added_ips = [f"{network}.{number}" for number in (4, 5)]
        for ip in added_ips:
            cluster.start_control(ip)
        outsider = await self.find_outsider(cluster, added_ips)
        assert outsider is not None
        cluster.heartbeat_tasks[1].cancel()
        assert await self.deregister(cluster, outsider, "i-2") == 200
        # Later, missing heartbeats would hide the loss.
        await asyncio.sleep(discovery.ENTRIES_UPDATE_TIMEOUT_S)
        count = len(second.request_heads)
        for _ in range(10):
            for ip in cluster.entry_ips:
                assert (await cluster.send_request(ip))[0] == 200
        assert len(second.request_heads) == count

    async def test_one_that_is_cut_off_acknowledges_no_departure(self, cluster):
        await cluster.start_all("/a/")
        *lost, left = cluster.control_ips
        for ip in lost:
            cluster.processes[ip].send_signal(signal.SIGSTOP)
        try:

            async def is_refused():
                return await self.deregister(cluster, left, "i-9") == 503

            await process_fixtures.wait_until(is_refused)
        finally:
            for ip in lost:
                cluster.processes[ip].send_signal(signal.SIGCONT)

        async def is_acknowledged():
            return await self.deregister(cluster, left, "i-9") == 200

        await process_fixtures.wait_until(is_acknowledged)
