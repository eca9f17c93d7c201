"""The replicated log under faults, and the faults its oracle must catch."""

import random

import agreement_machine
import fakes
import pytest
import state_machine_runner

from _arbutuswalk.agreement import election
from _arbutuswalk.agreement import raftlog
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import step
from _arbutuswalk.agreement import terms
from _arbutuswalk.agreement import transfer
from _arbutuswalk.agreement import types
from _arbutuswalk.control import replicated
from _arbutuswalk.state import commands
from _arbutuswalk.wire.gen.arbutus import ttypes


class TestAgreementMachine(agreement_machine.AgreementMachine.TestCase):
    """Runs the machine with the profile in force."""


def register(name):
    return commands.RegisterEntry(name, 1, "a", "l", "d", 1, "r")


@pytest.fixture
def cluster():
    made = fakes.Cluster(seed=7)
    made.run(4)
    return made


class TestFounding:
    def test_three_blank_members_found_one_group(self, cluster):
        groups = {
            node.core.replica.log.members.group
            for node in cluster.nodes.values()
        }
        assert len(groups) == 1
        assert groups != {""}

    def test_no_commands_before_the_group_is_complete(self):
        cluster = fakes.Cluster(seed=1)
        first, second, third = cluster.nodes.values()
        cluster.run(0.4)
        third.crash()
        accepted = cluster.propose(register("e"), "e")
        assert not accepted

    def test_missing_peer_means_no_group(self):
        cluster = fakes.Cluster(seed=1)
        list(cluster.nodes.values())[2].crash()
        cluster.run(5)
        assert cluster.leader() is None

    def test_member_without_its_disk_joins_the_old_group(self, cluster):
        victim = next(iter(cluster.nodes.values()))
        before = victim.core.replica.member
        group = victim.core.replica.log.members.group
        victim.lose_disk()
        victim.start()
        cluster.run(8)
        assert victim.core.replica.member != before
        assert victim.core.replica.log.members.group == group
        assert victim.core.replica.is_voter


class TestSilentPartition:
    def test_isolated_leader_stops_deciding_and_nothing_reverts(self, cluster):
        old = cluster.leader()
        others = [n for n in cluster.nodes.values() if n is not old]
        for other in others:
            cluster.cut |= {
                (old.address, other.address),
                (other.address, old.address),
            }
        cluster.propose(register("lost"), "lost", node=old)
        cluster.run(3)
        assert not old.leads_with_lease
        assert "lost" not in cluster.acked
        assert cluster.propose(register("kept"), "kept")
        cluster.run(600, step=0.1)
        cluster.cut.clear()
        cluster.run(3)
        assert "kept" in cluster.acked
        for node in cluster.nodes.values():
            assert "kept" in node.core.tables.entries
            assert "lost" not in node.core.tables.entries

    def test_healed_member_does_not_raise_the_term(self, cluster):
        leader = cluster.leader()
        other = next(n for n in cluster.nodes.values() if n is not leader)
        for node in cluster.nodes.values():
            cluster.cut |= {
                (other.address, node.address),
                (node.address, other.address),
            }
        cluster.run(10)
        cluster.cut.clear()
        cluster.run(3)
        assert cluster.leader() is leader


class TestMembersBesideTheSeeds:
    """Five voters of which the configured addresses name three."""

    @pytest.fixture
    def cluster(self):
        made = fakes.Cluster(seed=5, spares=2, target_voters=5)
        assert made.repair()
        return made

    def test_leader_at_no_seed_takes_a_member_without_its_disk_in(
        self, cluster
    ):
        seeds = list(cluster.nodes)[:3]
        while cluster.leader().address in seeds:
            old = cluster.leader()
            old.crash()
            cluster.run(3.0)
            old.start()
            cluster.run(3.0)
        cluster.nodes[seeds[1]].lose_disk()
        cluster.run(0.5)
        cluster.nodes[seeds[1]].start()
        assert cluster.repair()

    def test_two_more_losses_at_once_are_survived_then(self, cluster):
        """The chain of trouble-2 of the users' grown telemetry site."""
        self.test_leader_at_no_seed_takes_a_member_without_its_disk_in(cluster)
        command = commands.RegisterEntry("e", 1, "a", "l", "d", 1, "r")
        assert cluster.propose(command, "last")
        while "last" not in cluster.acked:
            cluster.run(0.02)
        leader = cluster.leader()
        others = [n for n in cluster.nodes.values() if n is not leader]
        for node in (leader, others[-1]):
            node.lose_disk()
        for node in others[:-1]:
            node.crash()
        assert cluster.settle() is not None
        assert "e" in cluster.leader().core.tables.entries


class TestReplacement:
    def test_spare_takes_the_place_of_a_silent_voter(self):
        cluster = fakes.Cluster(seed=3, spares=1)
        cluster.run(4)
        leader = cluster.leader()
        lost = next(
            n
            for n in cluster.nodes.values()
            if n is not leader and n.core.replica.is_voter
        )
        lost.crash()
        cluster.run(15)
        members = leader.core.replica.log.members
        assert len(members.voters) == 3
        assert lost.address not in {
            members.addresses[voter] for voter in members.voters
        }
        second = next(
            n for n in cluster.nodes.values() if n is not leader and n.up
        )
        second.crash()
        assert cluster.propose(register("after"), "after")
        cluster.run(3)
        assert "after" in cluster.acked

    def test_operator_replaces_a_voter_that_still_answers(self):
        cluster = fakes.Cluster(seed=3, spares=1)
        cluster.run(4)
        leader = cluster.leader()
        members = leader.core.replica.log.members
        victim = next(
            v for v in members.voters if v != leader.core.replica.member
        )
        leader.core.replica.replace_asked = victim
        cluster.run(5)
        members = leader.core.replica.log.members
        assert victim not in members.voters
        assert len(members.voters) == 3


class TestRecovery:
    def test_restart_after_hundreds_of_changes(self, cluster):
        for number in range(400):
            cluster.propose(register(f"e{number}"), number)
            cluster.run(0.04)
        cluster.run(1)
        assert len(cluster.acked) == 400
        for node in cluster.nodes.values():
            node.crash()
            node.start()
        leader = cluster.settle()
        assert len(leader.core.tables.entries) == 400
        assert leader.core.replica.log.base_index > 300

    def test_laggard_catches_up_by_snapshot_in_pieces(
        self, cluster, monkeypatch
    ):
        monkeypatch.setattr("_arbutuswalk.agreement.transfer.PIECE_BYTES", 200)
        leader = cluster.leader()
        laggard = next(n for n in cluster.nodes.values() if n is not leader)
        laggard.crash()
        for number in range(60):
            cluster.propose(register(f"e{number}"), number)
            cluster.run(0.04)
        laggard.start()
        cluster.loss = 0.2
        cluster.run(6)
        cluster.loss = 0.0
        cluster.run(3)
        assert len(laggard.core.tables.entries) == 60


class TestPlantedFaults:
    """Each fault below is one the oracle has to see."""

    def test_no_sync_before_an_acknowledgement(self, monkeypatch):
        monkeypatch.setattr(fakes.FakeFolder, "sync", lambda self, name: None)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_restart_that_forgets_the_leader_it_heard(self, monkeypatch):
        made = replicas.Replica.__init__

        def forgetful(self, **values):
            made(self, **values)
            self.heard_at = float("-inf")
            self.election_at = values["now"]

        monkeypatch.setattr(replicas.Replica, "__init__", forgetful)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_lease_from_the_time_of_receipt(self, monkeypatch):
        taken = replication.on_append_reply

        def from_receipt(replica, reply, now):
            reply.sent_at = now
            taken(replica, reply, now)

        monkeypatch.setitem(step._HANDLERS, ttypes.AppendReply, from_receipt)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_disk_loss_that_keeps_the_member_id(self, monkeypatch):
        monkeypatch.setattr(
            replicated.Replicated,
            "_member_id",
            lambda self: f"{self.identity.address}/same",
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_promises_kept_over_a_change_of_term(self):
        """An acknowledgement queued before a new term must not go out."""
        replica = two_member_replica()
        replication.on_append_request(
            replica, append(term=1, leader="b", entries=1), 1.0
        )
        terms.follow(replica, 2, "", 1.1)
        ready = replicas.take_ready(replica)
        assert ready.late == []

    def test_commit_of_an_earlier_term_by_count(self):
        """Raft's figure 8: only entries of the own term count."""
        replica = two_member_replica()
        replication.on_append_request(
            replica, append(term=1, leader="b", entries=2), 1.0
        )
        replicas.take_ready(replica)
        replica.durable_index = 2
        replica.term = 3
        replica.role = types.Role.LEADER
        replication.start_term(replica, 2.0)
        replication.on_append_reply(replica, reply(term=3, match=2), 2.1)
        assert replica.commit == 0
        replication.saved(replica, 3, 3)
        replication.on_append_reply(replica, reply(term=3, match=3), 2.2)
        assert replica.commit == 3

    def test_late_snapshot_offer_drops_nothing_acknowledged(self):
        replica = two_member_replica()
        replication.on_append_request(
            replica, append(term=1, leader="b", entries=5), 1.0
        )
        offer = ttypes.SnapshotOffer(
            term=1,
            leader="b",
            last_index=3,
            last_term=1,
            total=10,
            checksum=0,
            sources=["b"],
        )
        transfer.on_offer(replica, offer, 1.1)
        assert replica.transfer is None
        assert replica.log.last_index == 5


class TestVotes:
    def test_no_vote_while_a_leader_is_heard(self):
        replica = two_member_replica()
        replication.on_append_request(
            replica, append(term=1, leader="b", entries=1), 1.0
        )
        replicas.take_ready(replica)
        election.on_vote_request(replica, vote(term=9), 1.2)
        ready = replicas.take_ready(replica)
        assert not ready.late[0].message.granted
        assert replica.term == 1

    def test_one_vote_a_term(self):
        replica = two_member_replica()
        election.on_vote_request(replica, vote(term=5, candidate="b"), 9.0)
        election.on_vote_request(replica, vote(term=5, candidate="c"), 9.1)
        granted = [
            out.message.granted for out in replicas.take_ready(replica).late
        ]
        assert granted == [True, False]


def two_member_replica():
    members = types.Members(
        "g", ("a", "b"), (), {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}, True
    )
    return replicas.Replica(
        member="a",
        address="127.0.0.1:1",
        timing=fakes.TIMING,
        rng=random.Random(1),
        now=0.0,
        log=raftlog.RaftLog(base_members=members),
    )


def append(*, term, leader, entries):
    return ttypes.AppendRequest(
        term=term,
        leader=leader,
        prev_index=0,
        prev_term=0,
        entries=[
            ttypes.Entry(term=term, command=types.NOTHING)
            for _ in range(entries)
        ],
        commit=0,
        sent_at=0.0,
    )


def reply(*, term, match):
    return ttypes.AppendReply(
        term=term, follower="b", accepted=True, match_index=match, sent_at=1.0
    )


def vote(*, term, candidate="b"):
    return ttypes.VoteRequest(
        term=term, candidate=candidate, last_index=0, last_term=0, trial=False
    )
