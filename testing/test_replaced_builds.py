"""Processes beside those of former builds, replaced one after another."""

import asyncio

import former_builds
import platform_fixtures
import pytest
import replacement_cluster

FRAME_REFUSED = 202
BRITTLE_S = 3.0
STATUS_OK = 200


@pytest.fixture
async def cluster(tmp_path):
    new_cluster = replacement_cluster.ReplacementCluster(tmp_path)
    yield new_cluster
    await new_cluster.stop()


class TestBrittleEndpoints:
    @pytest.mark.parametrize("commit", ["003aef6", "a6a369c"])
    async def test_former_leader_is_not_lost_to_messages_it_does_not_know(
        self, cluster, tmp_path, commit
    ):
        former = former_builds.extract(commit, tmp_path)
        await cluster.start(
            control_root=former, entry_root=platform_fixtures.ROOT
        )
        for endpoint in cluster.endpoints:
            endpoint.rejections_per_s = 3
        await asyncio.sleep(BRITTLE_S)
        assert await cluster.finish() == []
        assert [
            cluster.events(ip, FRAME_REFUSED) for ip in cluster.control_ips
        ] == [[], [], []]
        served = [a for a in cluster.attempts if a.status == STATUS_OK]
        assert len(served) > len(cluster.attempts) / 2
