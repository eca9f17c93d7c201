"""Losses of control members in the order and pace that the terms allow."""

import random

import fakes
import pytest
from arbutuswalk_platform import control

from _arbutuswalk.agreement import types
from _arbutuswalk.state import commands

CATCH_UP_S = 4.0
"""Time from a member's return, or its successor's start, to the next loss."""
LEAVE_S = 4.0
RECOVERY_S = 12.0
LOSS_KINDS = ("disk", "gone", "planned", "process", "frozen")
LOSSES_PER_RUN = 4
TIMING = types.Timing(
    heartbeat_s=control.HEARTBEAT_INTERVAL_S,
    election_s=control.ELECTION_TIMEOUT_S,
    lease_s=control.LEADER_LEASE_S,
    replace_after_s=control.replace_after_s(CATCH_UP_S),
)


class Losses:
    """One loss after the other, each as soon as the one before has healed."""

    def __init__(self, seed, spares=0):
        self.rng = random.Random(seed)
        self.cluster = fakes.Cluster(seed, spares=spares, timing=TIMING)
        self.cluster.run(4)
        self.proposed = 0
        self.successors = 0
        self.log = []

    def run(self, seconds):
        """Lets time pass while commands are committed."""
        for _ in range(round(seconds / 0.1)):
            self.proposed += 1
            command = commands.RegisterEntry(
                f"e{self.proposed}", 1, "a", "l", "d", 1, "r"
            )
            self.cluster.propose(command, self.proposed)
            self.cluster.run(0.1)

    def victim(self):
        """Returns a member that runs, mostly a voter."""
        running = [
            node
            for node in self.cluster.nodes.values()
            if node.up and node.leave_until is None
        ]
        voters = [n for n in running if n.core.replica.is_voter]
        return self.rng.choice(voters if self.rng.random() < 0.8 else running)

    def start_successor(self):
        """Starts an empty member; its seeds are up to three others."""
        addresses = list(self.cluster.nodes)
        seeds = self.rng.sample(addresses, min(3, len(addresses)))
        self.successors += 1
        address = f"127.0.0.1:{7100 + self.successors}"
        self.run(self.rng.uniform(0.3, 0.8))
        self.cluster.add_node(address, tuple(seeds))

    def lose(self, kind):
        """Loses one member and returns when the next one may be lost."""
        node = self.victim()
        self.log.append((round(self.cluster.now, 2), kind, node.address))
        getattr(self, f"lose_{kind}")(node, self.rng.uniform(0.0, 3.0))

    def lose_disk(self, node, down_s):
        node.lose_disk()
        self.run(down_s)
        self.run(self.rng.uniform(0.3, 0.8))
        node.start()
        self.run(CATCH_UP_S - 0.5)

    def lose_process(self, node, down_s):
        node.crash()
        self.run(down_s)
        node.start()
        self.run(CATCH_UP_S)

    def lose_frozen(self, node, down_s):
        node.paused = True
        self.run(down_s)
        node.paused = False
        self.run(CATCH_UP_S)

    def lose_gone(self, node, down_s):
        del self.cluster.nodes[node.address]
        self.run(down_s)
        self.start_successor()
        self.run(CATCH_UP_S - 0.5)

    def lose_planned(self, node, down_s):
        self.start_successor()
        self.run(down_s)
        node.leave(LEAVE_S)
        self.run(CATCH_UP_S - 0.5 - down_s)

    def check(self):
        """Checks the group after the last loss; returns what is wrong."""
        self.run(RECOVERY_S)
        for node in list(self.cluster.nodes.values()):
            if not node.up:
                del self.cluster.nodes[node.address]
        leader = self.cluster.leader()
        if leader is None:
            return f"no leader after {self.log}"
        known = leader.core.tables.entries
        lost = [n for n in self.cluster.acked if f"e{n}" not in known]
        if lost:
            return f"acknowledged commands {lost[:3]} lost after {self.log}"
        voters = leader.core.replica.log.members.voters
        running = {
            node.core.replica.member for node in self.cluster.nodes.values()
        }
        if len(voters) != 3 or not running.issuperset(voters):
            return f"voters {voters} after {self.log}"
        return ""


def losses_in_turn(seed, spares=0):
    losses = Losses(seed, spares)
    for _ in range(LOSSES_PER_RUN):
        losses.lose(losses.rng.choice(LOSS_KINDS))
    return losses.check()


class TestLossesAsTheTermsAllow:
    @pytest.mark.parametrize("seed", range(12))
    def test_the_group_survives_losses_in_turn(self, seed):
        assert losses_in_turn(seed) == ""

    @pytest.mark.parametrize("seed", range(100, 104))
    def test_the_group_survives_with_more_members_than_voters(self, seed):
        assert losses_in_turn(seed, spares=2) == ""


class TestStandby:
    """A member beyond the voters is kept as a learner."""

    @pytest.fixture
    def cluster(self):
        new_cluster = fakes.Cluster(seed=3, timing=TIMING)
        new_cluster.run(4)
        return new_cluster

    def add_standby(self, cluster):
        standby = cluster.add_node("127.0.0.1:7200", tuple(cluster.nodes))
        cluster.run(1)
        return standby

    def test_new_member_becomes_a_learner_before_it_is_needed(self, cluster):
        standby = self.add_standby(cluster)
        members = cluster.leader().core.replica.log.members
        assert members.learners == (standby.core.replica.member,)
        assert len(members.voters) == 3

    def test_new_member_with_no_leader_among_its_seeds_finds_it(self, cluster):
        leader = cluster.leader()
        other = next(n for n in cluster.nodes.values() if n is not leader)
        standby = cluster.add_node("127.0.0.1:7200", (other.address,))
        cluster.run(1.5)
        members = cluster.leader().core.replica.log.members
        assert members.learners == (standby.core.replica.member,)

    @pytest.mark.parametrize("leads", [True, False], ids=["led", "followed"])
    def test_leaving_voter_ends_when_it_has_been_replaced(self, cluster, leads):
        standby = self.add_standby(cluster)
        leaving = next(
            node
            for node in cluster.nodes.values()
            if (node is cluster.leader()) == leads and node is not standby
        )
        member = leaving.core.replica.member
        leaving.leave(LEAVE_S)
        ended_after_s = 0.0
        while leaving.up:
            cluster.run(0.1)
            ended_after_s += 0.1
        assert ended_after_s < LEAVE_S
        cluster.run(2 * TIMING.election_s)
        voters = cluster.leader().core.replica.log.members.voters
        assert member not in voters
        assert standby.core.replica.member in voters
        assert len(voters) == 3

    def test_leaving_leader_leaves_no_surplus_voter_behind(self, cluster):
        """Guards against a fourth voter while no leader can remove it."""
        standby = self.add_standby(cluster)
        leaving = cluster.leader()
        leaving.leave(LEAVE_S)
        while leaving.up and leaving.core.replica.role is types.Role.LEADER:
            cluster.run(0.02)
        leaving.crash()
        voter = next(
            node
            for node in cluster.nodes.values()
            if node.up and node is not standby
        )
        voter.lose_disk()
        cluster.run(RECOVERY_S)
        assert cluster.leader() is not None

    @pytest.mark.parametrize("cut_after_s", [0.0, 0.02, 0.04, 0.06, 0.1])
    def test_leaving_leader_that_is_cut_off_meanwhile_is_replaced(
        self, cluster, cut_after_s
    ):
        """Guards against a removal that only the removed member holds."""
        self.add_standby(cluster)
        leaving = cluster.leader()
        leaving.leave(RECOVERY_S)
        cluster.run(cut_after_s)
        others = cluster.nodes.keys() - {leaving.address}
        links = {(leaving.address, other) for other in others}
        links |= {(other, leaving.address) for other in others}
        cluster.cut |= links
        cluster.run(2 * TIMING.election_s)
        cluster.cut -= links
        cluster.run(RECOVERY_S)
        assert len(cluster.leader().core.replica.log.members.voters) == 3

    def test_leaving_voter_without_a_standby_ends_at_once(self, cluster):
        leaving = cluster.leader()
        leaving.leave(LEAVE_S)
        cluster.run(0.1)
        assert not leaving.up
        cluster.run(4)
        assert len(cluster.leader().core.replica.log.members.voters) == 3

    def test_silent_voter_is_replaced_by_the_standby(self, cluster):
        standby = self.add_standby(cluster)
        silent = next(
            n
            for n in cluster.nodes.values()
            if n is not standby and n is not cluster.leader()
        )
        member = silent.core.replica.member
        silent.crash()
        cluster.run(TIMING.replace_after_s + 0.5)
        voters = cluster.leader().core.replica.log.members.voters
        assert member not in voters
        assert standby.core.replica.member in voters

    def test_silent_voter_is_not_added_again_after_it_was_removed(
        self, cluster
    ):
        self.add_standby(cluster)
        history = cluster.leader().core.replica.log.membership_history
        changes_before = len(history)
        silent = next(
            n for n in cluster.nodes.values() if n is not cluster.leader()
        )
        silent.crash()
        cluster.run(2 * TIMING.replace_after_s)
        promoted_and_removed = 2
        assert len(history) - changes_before == promoted_and_removed

    def test_member_that_never_answers_does_not_keep_out_another(self, cluster):
        mute = cluster.add_node("127.0.0.1:7199", tuple(cluster.nodes))
        cluster.cut |= {
            (address, mute.address)
            for address in cluster.nodes
            if address != mute.address
        }
        standby = self.add_standby(cluster)
        cluster.run(2 * TIMING.replace_after_s)
        members = cluster.leader().core.replica.log.members
        assert members.learners == (standby.core.replica.member,)

    def test_replaced_voter_becomes_the_standby_when_it_returns(self, cluster):
        self.add_standby(cluster)
        frozen = next(
            n for n in cluster.nodes.values() if n is not cluster.leader()
        )
        frozen.paused = True
        cluster.run(TIMING.replace_after_s + 0.5)
        frozen.paused = False
        cluster.run(2)
        members = cluster.leader().core.replica.log.members
        assert members.learners == (frozen.core.replica.member,)
        assert (
            frozen.core.replica.leader == cluster.leader().core.replica.member
        )
