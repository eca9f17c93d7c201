"""Processes beside those of former builds, replaced one after another."""

import asyncio

import former_builds
import platform_fixtures
import process_fixtures
import pytest
import replacement_cluster
from soak import soak

from _arbutuswalk.relay import control_features

TASK_FAILED = 104
FRAME_REFUSED = 202
DEATH_NOTED = 670
CONTROL_LOST = 661
BRITTLE_S = 3.0
OLD_CONTROL_S = 1.5
STATUS_OK = 200
STREAM_COUNT = 12
ENDPOINT_COUNT = replacement_cluster.ENDPOINT_COUNT
BLAME_S = 2.5
SOAK_SEED = 46303
SOAK_S = 3.0


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


class TestControlWithoutConfiguration:
    async def test_former_entries_can_read_its_replies(self, cluster, tmp_path):
        former = former_builds.extract("a91c7ed", tmp_path)
        await cluster.start(control_root=former, entry_root=former)
        for ip in cluster.control_ips[1:]:
            await cluster.replace(ip, platform_fixtures.ROOT, empty_disk=True)
        assert await cluster.finish() == []
        for ip in cluster.entry_ips:
            assert cluster.events(ip, TASK_FAILED) == []
            reasons = [
                event["reason"] for event in cluster.events(ip, CONTROL_LOST)
            ]
            assert not [r for r in reasons if "unusable" in r], reasons


class TestControlOfOldBuilds:
    async def test_entries_can_read_its_replies(self, cluster, tmp_path):
        former = former_builds.extract("a5d3c34", tmp_path)
        await cluster.start(
            control_root=former, entry_root=platform_fixtures.ROOT
        )
        await asyncio.sleep(OLD_CONTROL_S)
        assert await cluster.finish() == []
        for ip in cluster.entry_ips:
            assert cluster.events(ip, TASK_FAILED) == []
            assert cluster.events(ip, CONTROL_LOST) == []
        served = [a for a in cluster.attempts if a.status == STATUS_OK]
        assert len(served) > len(cluster.attempts) / 2

    @pytest.mark.parametrize(
        ("news", "expected"),
        [
            ({"entries": 1}, 5),
            ({"entries": 6}, 6),
            ({"entries": 1, "is_settled": True}, 1),
            ({"entries": 0, "is_settled": False}, 5),
        ],
        ids=["old", "old, more entries", "settled", "not settled"],
    )
    def test_one_that_may_have_just_started_lowers_no_count(
        self, news, expected
    ):
        assert control_features.entry_count(news, 5) == expected


class TestRefusalsOfOldBuilds:
    """Control that knows no parts blames what entries report of them."""

    sent = 0

    async def test_no_part_is_refused_on_their_word(self, cluster, tmp_path):
        former = former_builds.extract("1493dda", tmp_path)
        await cluster.start(
            control_root=former, entry_root=platform_fixtures.ROOT
        )
        for endpoint in cluster.endpoints:
            await self.crash(cluster, endpoint)
        await asyncio.sleep(BLAME_S)
        reported = [
            event
            for ip in cluster.entry_ips
            for event in cluster.events(ip, DEATH_NOTED)
            if "part/shared" in event["keys"]
        ]
        # Endpoints may have started in the same millisecond.
        starts = {(event["endpoint"], event["born"]) for event in reported}
        assert len(starts) == ENDPOINT_COUNT
        statuses = [await self.send(cluster, n, "/a/x") for n in (100, 101)]
        assert statuses == [STATUS_OK, STATUS_OK]

    async def crash(self, cluster, endpoint):
        """Ends an endpoint without notice while it runs such requests."""
        numbers = range(self.sent, self.sent + STREAM_COUNT)
        self.sent += STREAM_COUNT
        streams = [
            asyncio.ensure_future(self.send(cluster, number, "/s/x"))
            for number in numbers
        ]
        sent = {f"part-{number}" for number in numbers}

        async def runs_one():
            return any(
                arrival.request_id in sent
                and arrival.endpoint_id == endpoint.name
                for arrival in cluster.arrivals
            )

        await process_fixtures.wait_until(runs_one, pause_s=0.01)
        await endpoint.stop()
        await asyncio.gather(*streams)
        await endpoint.start()

    async def send(self, cluster, number, path):
        """Sends a request with one part that all have; returns its status."""
        ip = cluster.entry_ips[number % len(cluster.entry_ips)]
        headers = {
            **platform_fixtures.CALLER_HEADERS,
            "Host": platform_fixtures.HOST,
            "X-Attempt-Id": f"part-{number}",
            "X-Model-Name": "model",
            "X-Token-Count": "72,8",
            "X-Prefix-Hash": f"shared:64,own-{number}:8",
        }
        status, _ = await cluster.http_request(
            "POST",
            f"http://{ip}:{cluster.callers_port}{path}",
            data=f"prompt {number}",
            headers=headers,
        )
        return status


class TestSoakOfBuilds:
    async def test_invariants_hold_if_each_start_picks_a_build(self, tmp_path):
        former = former_builds.extract("d525f53", tmp_path)
        roots = [former, platform_fixtures.ROOT]
        soak_run = soak.Soak(folder=tmp_path, seed=SOAK_SEED, roots=roots)
        assert await soak_run.run(SOAK_S) == []
        assert any(a.status == STATUS_OK for a in soak_run.attempts)
        picks = " ".join(soak_run.fault_log)
        assert all(f"runs {root.name}" in picks for root in roots)
