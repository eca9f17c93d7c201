"""Control members that are lost one after the other, as real processes."""

import asyncio
import json
import shutil
import signal
import time

import aiohttp
import platform_fixtures
import process_fixtures
import pytest

from _arbutuswalk.entry import control_client

CATCH_UP_S = 4
"""Time from a member's start after which another one may be lost."""
GRACE_S = 8
DOWN_S = 1.0
RECOVERY_S = 12.0
"""Time after the last process is back within which reads must succeed."""
SUCCESSOR_INDEX = 4


class Group:
    """The control processes of a cluster, of which some are replaced."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.client = control_client.ControlClient(
            addresses=[self.link_address(ip) for ip in cluster.control_ips]
        )

    def link_address(self, ip):
        return f"{ip}:{self.cluster.internal_port}"

    async def start(self):
        for ip in self.cluster.control_ips:
            self.cluster.start_control(ip)
        await process_fixtures.wait_until(self.three_voters)
        await self.publish(2)

    async def status(self):
        reply = await self.client.read("status", "", timeout_s=2.0)
        return reply if isinstance(reply, dict) else {}

    async def three_voters(self):
        return len((await self.status()).get("voters", ())) == 3

    async def publish(self, version):
        config = platform_fixtures.make_config(version, f"/v{version}/")
        status, _ = await self.cluster.call_control(
            "POST", "/v1/Configuration.Replace", config
        )
        assert status == 200

    async def members_by_role(self):
        """Returns the IP addresses with the leader first."""
        leader = (await self.status())["leader"].partition(":")[0]
        ips = self.cluster.control_ips
        return [leader, *[ip for ip in ips if ip != leader]]

    def start_successor(self):
        """Starts a member at another address, with the seeds as they were."""
        first = self.cluster.control_ips[0]
        ip = f"{first.rpartition('.')[0]}.{SUCCESSOR_INDEX}"
        self.cluster.start_control(ip)
        self.client.addresses.append(self.link_address(ip))
        return ip

    def remove(self, ip):
        """Ends a process that never comes back, and its disk."""
        self.cluster.kill(ip)
        shutil.rmtree(self.cluster.folder / ip)

    async def lose_disk(self, ip):
        self.remove(ip)
        await asyncio.sleep(DOWN_S)
        self.cluster.start_control(ip)

    async def read_version(self, ips):
        """Returns the version that all ``ips`` give within the recovery."""
        deadline = time.monotonic() + RECOVERY_S
        versions = {}
        while time.monotonic() < deadline:
            for ip in ips:
                url = f"http://{ip}:{self.cluster.operators_port}"
                status, data = await self.cluster.http_request(
                    "GET", f"{url}/v1/Configuration.Read"
                )
                if status == 200:
                    versions[ip] = json.loads(data)["version"]
            if len(versions) == len(ips):
                break
            await asyncio.sleep(0.1)
        return versions


@pytest.fixture
async def group(tmp_path):
    cluster = platform_fixtures.PlatformCluster(tmp_path)
    cluster.session = aiohttp.ClientSession()
    cluster.bounds = {"catch_up_s": CATCH_UP_S, "grace_s": GRACE_S}
    new_group = Group(cluster)
    yield new_group
    await new_group.client.stop()
    await cluster.session.close()
    cluster.process_group.stop_all()


async def sleep_until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


@pytest.mark.parametrize("leader_first", [True, False], ids=["led", "followed"])
class TestConfigurationStaysReadable:
    async def test_when_a_disk_is_lost_after_a_planned_replacement(
        self, group, leader_first
    ):
        await group.start()
        members = await group.members_by_role()
        old, lost, kept = members if leader_first else members[::-1]
        started_at = time.monotonic()
        successor = group.start_successor()
        await sleep_until(started_at + CATCH_UP_S)
        await group.publish(3)
        process = group.cluster.processes[old]
        process.send_signal(signal.SIGTERM)
        await group.lose_disk(lost)
        assert process.wait(process_fixtures.STOP_TIMEOUT_S) == 0
        remaining = [kept, successor, lost]
        versions = await group.read_version(remaining)
        assert versions == dict.fromkeys(remaining, 3)

    @pytest.mark.parametrize("successor_after_s", [0.0, 1.0])
    async def test_when_a_disk_is_lost_after_a_successor_caught_up(
        self, group, leader_first, successor_after_s
    ):
        await group.start()
        members = await group.members_by_role()
        old, lost, kept = members if leader_first else members[::-1]
        group.remove(old)
        await asyncio.sleep(successor_after_s)
        started_at = time.monotonic()
        successor = group.start_successor()
        await group.publish(3)
        await sleep_until(started_at + CATCH_UP_S)
        await group.lose_disk(lost)
        remaining = [kept, successor, lost]
        versions = await group.read_version(remaining)
        assert versions == dict.fromkeys(remaining, 3)
