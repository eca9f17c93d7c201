"""The replicated log under faults, and faults that its checks must detect."""

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
from _arbutuswalk.base import events
from _arbutuswalk.control import durable_replica
from _arbutuswalk.state import commands
from _arbutuswalk.wire.gen.arbutus import ttypes


class TestAgreementMachine(agreement_machine.AgreementMachine.TestCase):
    """Runs the state machine with the active Hypothesis profile."""


def register_command(name):
    return commands.RegisterEntry(name, 1, "a", "l", "d", 1, "r")


@pytest.fixture
def cluster():
    new_cluster = fakes.Cluster(seed=7)
    new_cluster.run(4)
    return new_cluster


class TestBootstrap:
    def test_three_new_members_form_one_group(self, cluster):
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
        accepted = cluster.propose(register_command("e"), "e")
        assert not accepted

    def test_no_group_while_a_peer_is_missing(self):
        cluster = fakes.Cluster(seed=1)
        list(cluster.nodes.values())[2].crash()
        cluster.run(5)
        assert cluster.leader() is None

    def test_member_that_lost_its_disk_rejoins_the_group(self, cluster):
        rejoining = next(iter(cluster.nodes.values()))
        old_member_id = rejoining.core.replica.member
        group = rejoining.core.replica.log.members.group
        rejoining.lose_disk()
        rejoining.start()
        cluster.run(8)
        assert rejoining.core.replica.member != old_member_id
        assert rejoining.core.replica.log.members.group == group
        assert rejoining.core.replica.is_voter


class TestPartition:
    def test_isolated_leader_loses_its_lease_and_no_commit_is_lost(
        self, cluster
    ):
        old = cluster.leader()
        others = [n for n in cluster.nodes.values() if n is not old]
        for other in others:
            cluster.cut |= {
                (old.address, other.address),
                (other.address, old.address),
            }
        cluster.propose(register_command("lost"), "lost", node=old)
        cluster.run(3)
        assert not old.holds_lease
        assert "lost" not in cluster.acked
        assert cluster.propose(register_command("kept"), "kept")
        cluster.run(600, step=0.1)
        cluster.cut.clear()
        cluster.run(3)
        assert "kept" in cluster.acked
        for node in cluster.nodes.values():
            assert "kept" in node.core.tables.entries
            assert "lost" not in node.core.tables.entries

    def test_reconnected_member_does_not_raise_the_term(self, cluster):
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


class TestQuorumLoss:
    def test_it_is_logged_once_with_the_silent_voters(
        self, cluster, monkeypatch
    ):
        logged = []

        def collect(event, *fields):
            logged.append((event, fields))

        monkeypatch.setattr(events, "warn", collect)
        leader = cluster.leader()
        others = [n for n in cluster.nodes.values() if n is not leader]
        silent = {node.core.replica.member for node in others}
        for node in others:
            node.crash()
        cluster.run(6)
        ((event, fields),) = logged
        assert event is events.Event.QUORUM_LOST
        term, voters, silent_s, joining = fields
        assert (
            set(silent_s)
            == silent
            == set(voters) - {leader.core.replica.member}
        )
        assert all(seconds > 0.5 for seconds in silent_s.values())
        assert (term, joining) == (leader.core.replica.term, [])


class TestMembersOutsideThePeers:
    """Five voters, three of them at configured addresses."""

    @pytest.fixture
    def cluster(self):
        new_cluster = fakes.Cluster(seed=5, spares=2, target_voters=5)
        assert new_cluster.repair()
        return new_cluster

    def test_leader_outside_the_peers_admits_a_member_that_lost_its_disk(
        self, cluster
    ):
        peers = list(cluster.nodes)[:3]
        while cluster.leader().address in peers:
            old = cluster.leader()
            old.crash()
            cluster.run(3.0)
            old.start()
            cluster.run(3.0)
        cluster.nodes[peers[1]].lose_disk()
        cluster.run(0.5)
        cluster.nodes[peers[1]].start()
        assert cluster.repair()

    def test_two_further_disk_losses_at_once_are_survived(self, cluster):
        """Replays scenario trouble-2 of the users' enlarged telemetry site.

        After a member that lost its disk has rejoined, two more members lose
        theirs while the others restart.
        """
        self.test_leader_outside_the_peers_admits_a_member_that_lost_its_disk(
            cluster
        )
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
    def test_spare_replaces_an_unresponsive_voter(self):
        cluster = fakes.Cluster(seed=3, spares=1)
        cluster.run(4)
        leader = cluster.leader()
        failed = next(
            n
            for n in cluster.nodes.values()
            if n is not leader and n.core.replica.is_voter
        )
        failed.crash()
        cluster.run(15)
        members = leader.core.replica.log.members
        assert len(members.voters) == 3
        assert failed.address not in {
            members.addresses[voter] for voter in members.voters
        }
        second = next(
            n for n in cluster.nodes.values() if n is not leader and n.up
        )
        second.crash()
        assert cluster.propose(register_command("after"), "after")
        cluster.run(3)
        assert "after" in cluster.acked

    def test_operator_replaces_a_voter_that_still_answers(self):
        cluster = fakes.Cluster(seed=3, spares=1)
        cluster.run(4)
        leader = cluster.leader()
        members = leader.core.replica.log.members
        replaced = next(
            v for v in members.voters if v != leader.core.replica.member
        )
        leader.core.replica.replacement_requested = replaced
        cluster.run(5)
        members = leader.core.replica.log.members
        assert replaced not in members.voters
        assert len(members.voters) == 3


class TestRecovery:
    def test_restart_after_hundreds_of_changes(self, cluster):
        for number in range(400):
            cluster.propose(register_command(f"e{number}"), number)
            cluster.run(0.04)
        cluster.run(1)
        assert len(cluster.acked) == 400
        for node in cluster.nodes.values():
            node.crash()
            node.start()
        leader = cluster.settle()
        assert len(leader.core.tables.entries) == 400
        assert leader.core.replica.log.snapshot_index > 300

    def test_lagging_member_catches_up_by_snapshot_in_pieces(
        self, cluster, monkeypatch
    ):
        monkeypatch.setattr("_arbutuswalk.agreement.transfer.PIECE_BYTES", 200)
        leader = cluster.leader()
        lagging = next(n for n in cluster.nodes.values() if n is not leader)
        lagging.crash()
        for number in range(60):
            cluster.propose(register_command(f"e{number}"), number)
            cluster.run(0.04)
        lagging.start()
        cluster.loss = 0.2
        cluster.run(6)
        cluster.loss = 0.0
        cluster.run(3)
        assert len(lagging.core.tables.entries) == 60


class TestInjectedFaults:
    """Faults that the state machine, or a check here, has to detect."""

    def test_acknowledgement_without_a_sync(self, monkeypatch):
        monkeypatch.setattr(fakes.FakeFolder, "sync", lambda self, name: None)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_restart_that_forgets_the_leader_it_heard(self, monkeypatch):
        original_init = replicas.Replica.__init__

        def init_without_wait(self, **values):
            original_init(self, **values)
            self.leader_heard_at = float("-inf")
            self.election_due_at = values["now"]

        monkeypatch.setattr(replicas.Replica, "__init__", init_without_wait)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_lease_from_the_time_of_receipt(self, monkeypatch):
        original_handler = replication.on_append_reply

        def lease_from_receipt(replica, reply, now):
            reply.sent_at = now
            original_handler(replica, reply, now)

        monkeypatch.setitem(
            step._HANDLERS, ttypes.AppendReply, lease_from_receipt
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_disk_loss_that_keeps_the_member_id(self, monkeypatch):
        monkeypatch.setattr(
            durable_replica.DurableReplica,
            "_member_id",
            lambda self: f"{self.identity.address}/same",
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(
                agreement_machine.AgreementMachine
            )

    def test_unsent_acknowledgements_are_dropped_with_a_new_term(self):
        """An acknowledgement queued in an older term must not be sent."""
        replica = two_member_replica()
        replication.on_append_request(
            replica, append_request(term=1, leader="b", entries=1), 1.0
        )
        terms.become_follower(replica, 2, "", 1.1)
        ready = replicas.take_ready(replica)
        assert ready.late == []

    def test_entries_of_an_earlier_term_are_not_committed_by_count(self):
        """Raft's figure 8: only entries of the current term are counted."""
        replica = two_member_replica()
        replication.on_append_request(
            replica, append_request(term=1, leader="b", entries=2), 1.0
        )
        replicas.take_ready(replica)
        replica.durable_index = 2
        replica.term = 3
        replica.role = types.Role.LEADER
        replication.start_term(replica, 2.0)
        replication.on_append_reply(
            replica, append_reply(term=3, match_index=2), 2.1
        )
        assert replica.commit == 0
        replication.saved(replica, 3, 3)
        replication.on_append_reply(
            replica, append_reply(term=3, match_index=3), 2.2
        )
        assert replica.commit == 3

    def test_late_snapshot_offer_drops_no_acknowledged_entry(self):
        replica = two_member_replica()
        replication.on_append_request(
            replica, append_request(term=1, leader="b", entries=5), 1.0
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
            replica, append_request(term=1, leader="b", entries=1), 1.0
        )
        replicas.take_ready(replica)
        election.on_vote_request(replica, vote_request(term=9), 1.2)
        ready = replicas.take_ready(replica)
        assert not ready.late[0].message.granted
        assert replica.term == 1

    def test_one_vote_per_term(self):
        replica = two_member_replica()
        election.on_vote_request(
            replica, vote_request(term=5, candidate="b"), 9.0
        )
        election.on_vote_request(
            replica, vote_request(term=5, candidate="c"), 9.1
        )
        granted = [
            outgoing.message.granted
            for outgoing in replicas.take_ready(replica).late
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
        log=raftlog.RaftLog(snapshot_members=members),
    )


def append_request(*, term, leader, entries):
    return ttypes.AppendRequest(
        term=term,
        leader=leader,
        prev_index=0,
        prev_term=0,
        entries=[
            ttypes.Entry(term=term, command=types.NOOP_KIND)
            for _ in range(entries)
        ],
        commit=0,
        sent_at=0.0,
    )


def append_reply(*, term, match_index):
    return ttypes.AppendReply(
        term=term,
        follower="b",
        accepted=True,
        match_index=match_index,
        sent_at=1.0,
    )


def vote_request(*, term, candidate="b"):
    return ttypes.VoteRequest(
        term=term, candidate=candidate, last_index=0, last_term=0, trial=False
    )
