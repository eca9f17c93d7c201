"""A control process that waits for its replacement after SIGTERM."""

import signal
import time

import process_fixtures
import pytest
import test_member_replacement

group = test_member_replacement.group
MIN_WAIT_S = 1.0
"""The standby is suspended; the leader replaces it only after 1.4 s."""
HEARTBEAT = {
    "service": "ops",
    "address": "127.0.0.1:9",
    "zone": "d1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}


@pytest.mark.parametrize("leads", [True, False], ids=["led", "followed"])
class TestProcessThatWaitsForItsReplacement:
    async def test_it_serves_reads_heartbeats_and_lookups_meanwhile(
        self, group, leads
    ):
        await group.start()
        members = await group.members_by_role()
        leaving = members[0] if leads else members[1]
        standby = group.start_successor()

        async def has_learner():
            return bool((await group.status()).get("learners"))

        await process_fixtures.wait_until(has_learner)
        cluster = group.cluster
        operators = f"http://{leaving}:{cluster.operators_port}/v1"
        lookups = f"http://{leaving}:{cluster.lookups_port}/v1"
        cluster.processes[standby].send_signal(signal.SIGSTOP)
        cluster.processes[leaving].send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        rounds = []
        while cluster.processes[leaving].poll() is None:
            calls = (
                ("GET", f"{operators}/Configuration.Read", None),
                ("POST", f"{operators}/Instances.Heartbeat/i-1", HEARTBEAT),
                ("GET", f"{lookups}/resolution?name=x", None),
            )
            statuses = [
                (await cluster.http_request(method, url, json=body))[0]
                for method, url, body in calls
            ]
            rounds.append((time.monotonic() - started_at, statuses))
        cluster.processes[standby].send_signal(signal.SIGCONT)
        served = [row for row in rounds if 0 not in row[1]]
        assert served[-1][0] > MIN_WAIT_S
        assert rounds[: len(served)] == served
        # Without entries, a look-up is answered with 503.
        assert {tuple(row[1]) for row in served} == {(200, 200, 503)}
