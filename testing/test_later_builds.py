"""What members of a control group get from a later build than theirs."""

import json

import fakes
import pytest

from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import types
from _arbutuswalk.control import durable_replica
from _arbutuswalk.state import commands
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire.gen.arbutus import ttypes

SNAPSHOT_INTERVAL_ENTRIES = 5


@pytest.fixture
def cluster():
    new_cluster = fakes.Cluster(
        snapshot_interval_entries=SNAPSHOT_INTERVAL_ENTRIES
    )
    new_cluster.run(4)
    return new_cluster


class TestMembership:
    def test_later_fields_are_ignored(self, cluster):
        """A member ended, and again whenever it was started."""
        leader = cluster.leader()
        follower = next(n for n in cluster.nodes.values() if n is not leader)
        replica = follower.core.replica
        values = {**replica.log.members._asdict(), "later": {"a": 1}}
        command = types.MEMBERS_KIND + json.dumps(values).encode()
        request = ttypes.AppendRequest(
            term=replica.term,
            leader=leader.core.replica.member,
            prev_index=replica.log.last_index,
            prev_term=replica.log.last_term,
            entries=[ttypes.Entry(term=replica.term, command=command)],
            commit=replica.commit,
            sent_at=cluster.now,
        )
        before = replica.log.members
        last_index = replica.log.last_index
        follower.core.step([request], cluster.now)
        assert replica.log.last_index == last_index + 1
        assert replica.log.members == before


class TestSnapshots:
    def test_later_fields_of_rows_are_ignored(self):
        """A member ended, and could not start from the snapshot either."""
        tables = rows.Tables()
        tables.rollouts["u"] = rows.RolloutRow(
            "v2", "growing", 1, 2, 3, 4, 5, "r"
        )
        tables.history = [rows.Revision(1, "o", "ann", 2)]
        values = json.loads(state_machine.dump(tables))
        values["rollouts"]["u"].append("later")
        values["history"][0].append("later")
        loaded = state_machine.load(json.dumps(values).encode())
        assert loaded.rollouts == tables.rollouts
        assert loaded.history == tables.history


class TestCommands:
    def test_change_that_was_skipped_is_there_after_the_upgrade(
        self, cluster, monkeypatch
    ):
        """Snapshots of the former build replaced the log that held it."""
        publish = commands.PublishRoutes(7, {"later": 1}, "source")
        with monkeypatch.context() as former_build:
            former_build.delitem(commands._COMMAND_TYPES, "PublishRoutes")
            assert cluster.propose(publish, "publish")
            propose_ticks(cluster, 4 * SNAPSHOT_INTERVAL_ENTRIES)
            assert "publish" in cluster.acked
            for node in cluster.nodes.values():
                assert node.core.tables.routes_version == 0
                node.crash()
        assert cluster.settle() is not None
        cluster.run(1)
        versions = [
            node.core.tables.routes_version for node in cluster.nodes.values()
        ]
        assert versions == [7, 7, 7]

    def test_later_kind_of_log_entry_counts_as_skipped(self, cluster):
        leader = cluster.leader()
        replica = leader.core.replica
        replication.propose(replica, b"X" + b"later", cluster.now)
        index = replica.log.last_index
        propose_ticks(cluster, 2 * SNAPSHOT_INTERVAL_ENTRIES)
        for node in cluster.nodes.values():
            assert node.core.tables.first_skipped == index
            assert max(node.core.replica.snapshots, default=0) < index

    def test_log_kept_for_what_was_skipped_is_bounded(
        self, cluster, monkeypatch
    ):
        monkeypatch.setattr(durable_replica, "MAX_KEPT_BYTES", 200)
        replica = cluster.leader().core.replica
        replication.propose(replica, b"X" + b"later", cluster.now)
        index = replica.log.last_index
        propose_ticks(cluster, 4 * SNAPSHOT_INTERVAL_ENTRIES)
        for node in cluster.nodes.values():
            assert max(node.core.replica.snapshots) > index

    def test_snapshot_with_later_fields_counts_as_skipped(self):
        tables = rows.Tables()
        tables.applied = 5
        tables.suspects["f"] = rows.SuspectRow(1, 2)
        values = json.loads(state_machine.dump(tables))
        assert "first_skipped" not in values
        assert not state_machine.load(json.dumps(values).encode()).first_skipped
        values["suspects"]["f"].append("later")
        loaded = state_machine.load(json.dumps(values).encode())
        assert loaded.first_skipped == 5


def propose_ticks(cluster, count):
    for number in range(count):
        assert cluster.propose(commands.Tick(), number)
        cluster.run(0.1)
    cluster.run(1)
