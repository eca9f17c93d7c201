"""What members of a control group get from a later build than theirs."""

import json

import fakes
import pytest

from _arbutuswalk.agreement import types
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
