"""Members killed in the middle of a write, and power lost after the restart.

A killed process leaves its writes in the files though none was synced. What the
next process reads there, and then acknowledges or votes by, has to survive.
"""

import contextlib
import random

import fakes
import pytest

from _arbutuswalk.control import durable_replica
from _arbutuswalk.state import commands
from _arbutuswalk.storage import wal

ADDRESS = "127.0.0.1:7000"
SEGMENT_BYTES = 400
OPERATIONS = 60
COMMAND = commands.RegisterEntry("e1", 1, "a", "l", "d", 1, "r")


def write_until_killed(folder):
    """Writes entries, votes and snapshots until the process is killed."""
    log = wal.Wal(folder=folder, segment_bytes=SEGMENT_BYTES)
    log.recover()
    for index in range(1, 200):
        vote = wal.Vote(index // 7, "x") if index % 7 == 0 else None
        entry = wal.LogEntry(index, index // 7, b"command %d" % index)
        assert log.write(vote, [entry], index - 1) is None
        if index % 10 == 0:
            snapshot = wal.Snapshot(index, index // 7, b"state %d" % index)
            assert log.save_snapshot(snapshot) is None


def recover(folder):
    recovered = wal.Wal(folder=folder, segment_bytes=SEGMENT_BYTES).recover()
    assert isinstance(recovered, wal.Recovered), recovered
    return recovered


def lose_power(folder, seed):
    """Drops all unsynced writes, or a random part of them."""
    if seed == 0:
        folder.lose_unsynced()
    else:
        folder.crash(random.Random(seed))


def member_id(folder):
    replica = durable_replica.DurableReplica(
        data=folder,
        identity=durable_replica.Identity(ADDRESS, (ADDRESS,), 3),
        timing=fakes.TIMING,
        rng=random.Random(),
    )
    assert replica.recover(0.0) is None
    return replica.replica.member


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("killed_in", range(OPERATIONS))
class TestWhatARestartedMemberRead:
    def test_its_log_survives_a_loss_of_power(self, killed_in, seed):
        folder = fakes.FakeFolder()
        folder.killed_in = killed_in
        with pytest.raises(fakes.KilledError):
            write_until_killed(folder)
        read = recover(folder)
        lose_power(folder, seed)
        assert recover(folder) == read


@pytest.mark.parametrize("killed_in", range(8))
class TestMemberId:
    def test_it_survives_a_loss_of_power(self, killed_in):
        folder = fakes.FakeFolder()
        folder.killed_in = killed_in
        with contextlib.suppress(fakes.KilledError):
            member_id(folder)
        folder.killed_in = None
        read = member_id(folder)
        lose_power(folder, 0)
        assert member_id(folder) == read


@pytest.mark.parametrize("seed", range(8))
class TestChangeAcknowledgedByARestartedMember:
    def test_it_survives_the_loss_of_the_other_disk_and_of_power(self, seed):
        cluster = fakes.Cluster(seed, snapshot_interval_entries=10_000)
        cluster.run(4)
        leader = cluster.leader()
        nodes = list(cluster.nodes.values())
        killed, lagging = [node for node in nodes if node is not leader]
        for source, target in ((leader, lagging), (lagging, killed)):
            cluster.cut.add((source.address, target.address))
        killed.folder.killed_in = 1  # written and not synced
        assert cluster.propose(COMMAND, "tag", node=leader)
        while killed.up:
            cluster.run_round()
        killed.start()
        for _ in range(200):
            cluster.run(0.02)
            if cluster.acked:
                break
        assert "tag" in cluster.acked
        leader.lose_disk()
        for node in (killed, lagging):
            node.crash_with_all_unsynced_lost()
        cluster.cut.clear()
        for node in nodes:
            node.start()
        cluster.run(12)
        assert "e1" in cluster.leader().core.tables.entries
