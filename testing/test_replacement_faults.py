"""Replacement of voters while other members are lost, lag or are cut off."""

import fakes
import pytest
from arbutuswalk_platform import control

from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import presence
from _arbutuswalk.agreement import types
from _arbutuswalk.state import commands
from _arbutuswalk.wire.gen.arbutus import ttypes

CATCH_UP_S = 4.0
LEAVE_S = 4.0
RECOVERY_S = 12.0
TIMING = types.Timing(
    heartbeat_s=control.HEARTBEAT_INTERVAL_S,
    election_s=control.ELECTION_TIMEOUT_S,
    lease_s=control.LEADER_LEASE_S,
    replace_after_s=control.replace_after_s(CATCH_UP_S),
)
COMMAND = commands.RegisterEntry("e1", 1, "a", "l", "d", 1, "r")


@pytest.fixture(params=range(3), ids="seed{}".format)
def cluster(request):
    new_cluster = fakes.Cluster(seed=request.param, timing=TIMING)
    new_cluster.run(4)
    return new_cluster


def followers(cluster):
    leader = cluster.leader()
    return [node for node in cluster.nodes.values() if node is not leader]


def add_member(cluster, number):
    return cluster.add_node(f"127.0.0.1:{number}", tuple(cluster.nodes)[:3])


class TestLeavingVoterWithTheNewestLog:
    def test_leader_lost_while_the_other_voter_lags_loses_nothing(
        self, cluster
    ):
        leader = cluster.leader()
        leaving, lagging = followers(cluster)
        add_member(cluster, 7200)
        cluster.run(CATCH_UP_S)
        cluster.cut.add((leader.address, lagging.address))
        assert cluster.propose(COMMAND, "tag")
        cluster.run(0.2)
        assert "tag" in cluster.acked
        leaving.leave(LEAVE_S)
        leader.lose_disk()
        cluster.cut.clear()
        cluster.run(1)
        leader.start()
        cluster.run(RECOVERY_S)
        assert not leaving.up
        assert "e1" in cluster.leader().core.tables.entries


class TestMemberThatCannotBeReached:
    def test_another_new_member_replaces_a_lost_voter_in_time(self, cluster):
        leader = cluster.leader()
        unreachable = add_member(cluster, 7200)
        cluster.cut.add((leader.address, unreachable.address))
        lost, other = followers(cluster)[:2]
        cluster.run(CATCH_UP_S)
        del cluster.nodes[lost.address]
        add_member(cluster, 7300)
        cluster.run(CATCH_UP_S)
        other.lose_disk()
        cluster.run(1)
        other.start()
        cluster.cut.clear()
        cluster.run(RECOVERY_S)
        assert cluster.leader() is not None


class TestMoreVotersThanWanted:
    def test_a_voter_that_returns_while_it_is_replaced_is_no_fourth_voter(
        self, cluster
    ):
        add_member(cluster, 7200)
        cluster.run(2)
        leader = cluster.leader()
        silent = next(n for n in followers(cluster) if n.core.replica.is_voter)
        silent.paused = True
        while len(leader.core.replica.log.members.voters) == 3:
            cluster.run(0.02)
        cluster.run(0.02)  # the promotion reaches the others, no removal does
        leader.crash()
        silent.paused = False
        cluster.run(0.5)
        leader.start()
        cluster.run(RECOVERY_S)
        members = cluster.leader().core.replica.log.members
        assert len(members.voters) == 3


class TestMembershipOfAnotherGroup:
    def test_it_does_not_let_a_leaving_voter_end_unreplaced(self, cluster):
        joining = add_member(cluster, 7200)
        cluster.run(0.02)
        hello = ttypes.Hello(
            member="ghost",
            address="127.0.0.1:7999",
            group="another group",
            members_index=10_000,
            members={"ghost": "127.0.0.1:7999"},
        )
        presence.on_hello(joining.core.replica, hello, cluster.now)
        cluster.run(1)
        followers(cluster)[0].leave(LEAVE_S)
        cluster.run(1)
        assert joining.core.replica.is_voter
        add_member(cluster, 7300)
        cluster.run(1)
        joining.core.replica.leaving = True
        assert not membership.may_leave(joining.core.replica, cluster.now)
