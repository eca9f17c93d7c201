"""Snapshot transfers that take longer than the interval of snapshots."""

import fakes
import pytest

from _arbutuswalk.agreement import transfer
from _arbutuswalk.state import commands
from _arbutuswalk.storage import wal

COMMAND_INTERVAL_S = 0.1
ENTRY_COUNT = 40
SNAPSHOT_INTERVAL_ENTRIES = 5
TRANSFER_S = 1.2
PIECE_ROUND_TRIP_S = 0.04
CATCH_UP_S = 4 * TRANSFER_S
NEW_ADDRESS = "127.0.0.1:7200"


@pytest.fixture(params=range(3), ids="seed{}".format)
def cluster(request, monkeypatch):
    new_cluster = fakes.Cluster(
        seed=request.param, snapshot_interval_entries=SNAPSHOT_INTERVAL_ENTRIES
    )
    new_cluster.run(4)
    run_with_commands(new_cluster, ENTRY_COUNT * COMMAND_INTERVAL_S)
    snapshots = new_cluster.leader().core.replica.snapshots
    piece_count = TRANSFER_S / PIECE_ROUND_TRIP_S
    piece_bytes = len(snapshots[max(snapshots)]) / piece_count
    monkeypatch.setattr(transfer, "PIECE_BYTES", int(piece_bytes))
    return new_cluster


def run_with_commands(cluster, seconds):
    for number in range(round(seconds / COMMAND_INTERVAL_S)):
        entry = f"e{number % ENTRY_COUNT:02}"
        command = commands.RegisterEntry(entry, 1, "a", "l", "d", 1, "r")
        cluster.propose(command, cluster.now)
        cluster.run(COMMAND_INTERVAL_S)


def add_member(cluster):
    return cluster.add_node(NEW_ADDRESS, tuple(cluster.nodes)[:3])


def entries_behind(cluster, node):
    return cluster.leader().core.replica.commit - node.core.replica.commit


def entries_kept(node):
    """Returns how many entries a member keeps though a snapshot covers them."""
    replica = node.core.replica
    return max(replica.snapshots) - replica.log.snapshot_index


class TestNewMember:
    def test_it_catches_up_while_newer_snapshots_are_taken(self, cluster):
        new = add_member(cluster)
        run_with_commands(cluster, CATCH_UP_S)
        assert entries_behind(cluster, new) <= SNAPSHOT_INTERVAL_ENTRIES
        cluster.run(1)
        assert new.core.tables.entries == cluster.leader().core.tables.entries

    def test_it_catches_up_while_messages_are_lost(self, cluster):
        new = add_member(cluster)
        cluster.loss = 0.1
        run_with_commands(cluster, 4 * CATCH_UP_S)
        cluster.loss = 0.0
        run_with_commands(cluster, CATCH_UP_S)
        assert entries_behind(cluster, new) <= SNAPSHOT_INTERVAL_ENTRIES

    def test_it_catches_up_with_a_leader_elected_meanwhile(self, cluster):
        new = add_member(cluster)
        run_with_commands(cluster, TRANSFER_S / 2)
        cluster.leader().crash()
        run_with_commands(cluster, CATCH_UP_S)
        assert entries_behind(cluster, new) <= SNAPSHOT_INTERVAL_ENTRIES


class TestMemoryOfTheLeader:
    def test_nothing_is_kept_without_a_member_that_lacks_it(self, cluster):
        assert entries_kept(cluster.leader()) == 0

    def test_nothing_is_kept_once_a_new_member_has_caught_up(self, cluster):
        new = add_member(cluster)
        run_with_commands(cluster, TRANSFER_S / 2)
        assert entries_kept(cluster.leader()) >= SNAPSHOT_INTERVAL_ENTRIES
        run_with_commands(cluster, CATCH_UP_S)
        cluster.run(1)
        assert entries_behind(cluster, new) == 0
        assert entries_kept(cluster.leader()) == 0
        snapshots = cluster.leader().core.replica.snapshots
        assert len(snapshots) == wal.SNAPSHOTS_KEPT

    def test_nothing_is_kept_for_a_member_that_is_lost(self, cluster):
        new = add_member(cluster)
        run_with_commands(cluster, TRANSFER_S / 2)
        new.lose_disk()
        run_with_commands(cluster, fakes.TIMING.replace_after_s + 1)
        assert entries_kept(cluster.leader()) == 0

    def test_nothing_is_kept_for_a_silent_voter_without_a_successor(
        self, cluster
    ):
        leader = cluster.leader()
        voter = next(n for n in cluster.nodes.values() if n is not leader)
        voter.crash()
        run_with_commands(cluster, fakes.TIMING.replace_after_s / 2)
        assert entries_kept(leader) >= SNAPSHOT_INTERVAL_ENTRIES
        run_with_commands(cluster, fakes.TIMING.replace_after_s)
        assert cluster.leader() is leader
        assert len(leader.core.replica.log.members.voters) == len(cluster.nodes)
        assert entries_kept(leader) == 0

    def test_it_is_bounded_while_a_transfer_does_not_end(
        self, cluster, monkeypatch
    ):
        max_kept_bytes = 2000
        monkeypatch.setattr(transfer, "MAX_KEPT_BYTES", max_kept_bytes)
        monkeypatch.setattr(transfer, "PIECE_BYTES", 1)
        add_member(cluster)
        most_entries = 0
        for _ in range(20):
            run_with_commands(cluster, TRANSFER_S)
            replica = cluster.leader().core.replica
            kept_bytes = replica.log.bytes_up_to(max(replica.snapshots))
            assert kept_bytes <= max_kept_bytes
            assert len(replica.snapshots) <= wal.SNAPSHOTS_KEPT + 1
            most_entries = max(most_entries, entries_kept(cluster.leader()))
        assert most_entries > SNAPSHOT_INTERVAL_ENTRIES
