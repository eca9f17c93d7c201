"""Disks are lost while all others lose power, right after an acknowledgement.

As many disks as the terms allow. The group was disturbed before, in a way that
does not count as a loss, or had the time that the terms give it to recover.
"""

import random

import fakes
import pytest
from arbutuswalk_platform import control

from _arbutuswalk.agreement import types
from _arbutuswalk.state import commands

CATCH_UP_S = 4.0
LEAVE_S = 4.0
RECOVERY_S = 12.0
MAX_OPERATIONS = 12
TIMING = types.Timing(
    heartbeat_s=control.HEARTBEAT_INTERVAL_S,
    election_s=control.ELECTION_TIMEOUT_S,
    lease_s=control.LEADER_LEASE_S,
    replace_after_s=control.replace_after_s(CATCH_UP_S),
)
KINDS = ("kill_all", "planned", "lost_disk", "gone", "behind", "full")


class FinalFault:
    """A cluster under a load of changes, a disturbance and the last fault."""

    def __init__(self, seed, voters):
        self.rng = random.Random(seed)
        self.losses = voters // 2
        self.cluster = fakes.Cluster(
            seed,
            spares=self.rng.choice([0, 2, 4]) + voters - 3,
            target_voters=voters,
            timing=TIMING,
            snapshot_interval_entries=self.rng.choice([10, 15, 1000]),
        )
        self.cluster.run(6)
        self.proposed = 0

    def run(self, seconds):
        for _ in range(max(1, round(seconds / 0.1))):
            self.propose()
            self.cluster.run(0.1)

    def propose(self):
        self.proposed += 1
        name = f"e{self.proposed}"
        command = commands.RegisterEntry(name, 1, "a", "l", "d", 1, "r")
        return self.cluster.propose(command, self.proposed)

    def nodes(self):
        return list(self.cluster.nodes.values())

    def disturb(self, kind):
        node = self.rng.choice(self.nodes())
        getattr(self, kind)(node)

    def kill_all(self, _):
        """Kills all processes, some in the middle of a write."""
        for node in self.nodes():
            node.folder.killed_in = self.rng.randrange(MAX_OPERATIONS)
        self.run(self.rng.uniform(0.0, 0.3))
        for node in self.nodes():
            node.folder.killed_in = None
            if node.up:
                node.kill()
        self.cluster.run(0.3)
        for node in self.nodes():
            node.start()

    def planned(self, node):
        self.successor()
        self.run(self.rng.uniform(0.0, 3.0))
        node.leave(LEAVE_S)
        self.run(CATCH_UP_S)
        if not node.up:
            del self.cluster.nodes[node.address]

    def lost_disk(self, node):
        node.lose_disk()
        self.run(self.rng.uniform(0.0, 2.0))
        node.start()
        self.run(CATCH_UP_S)

    def gone(self, node):
        del self.cluster.nodes[node.address]
        self.run(self.rng.uniform(0.0, 2.0))
        self.successor()
        self.run(CATCH_UP_S)

    def behind(self, node):
        for other in self.nodes():
            self.cluster.cut.add((other.address, node.address))
        self.run(self.rng.uniform(0.5, 3.0))
        self.cluster.cut.clear()
        self.run(CATCH_UP_S)

    def full(self, node):
        """A member whose disk is full ends, and is started with room."""
        node.folder.full = True
        self.run(self.rng.uniform(0.1, 1.0))
        node.folder.full = False
        if not node.up:
            node.start()
        self.run(CATCH_UP_S)

    def successor(self):
        addresses = list(self.cluster.nodes)
        seeds = self.rng.sample(addresses, min(3, len(addresses)))
        self.cluster.add_node(f"127.0.0.1:{7100 + len(addresses)}", seeds)

    def acknowledge(self):
        """Proposes until a change is acknowledged."""
        acked = len(self.cluster.acked)
        for _ in range(600):
            self.propose()
            for _ in range(5):
                self.cluster.run_round()
                self.cluster.now += 0.02
                if len(self.cluster.acked) > acked:
                    return
        raise AssertionError("no change was acknowledged")

    def lose_disks_and_power(self):
        voters = [n for n in self.nodes() if n.core.replica.is_voter]
        wiped = self.rng.sample(voters, self.losses)
        for node in self.nodes():
            if node in wiped:
                node.lose_disk()
            elif self.rng.random() < 0.5:
                node.crash_with_all_unsynced_lost()
            else:
                node.crash()
        self.cluster.in_transit = []
        self.cluster.run(1.2)
        addresses = tuple(self.cluster.nodes)
        new_seeds = tuple(self.rng.sample(addresses, min(3, len(addresses))))
        for node in self.nodes():
            node.may_bootstrap = False
            if self.rng.random() < 0.3:
                node.peers = new_seeds
            node.start()
        self.cluster.run(RECOVERY_S)

    def lost(self):
        leader = self.cluster.leader()
        assert leader is not None, "no leader"
        known = leader.core.tables.entries
        return [n for n in self.cluster.acked if f"e{n}" not in known]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("voters", [3, 5])
@pytest.mark.parametrize("seed", range(2))
class TestFinalFault:
    def test_nothing_that_was_acknowledged_is_lost(self, seed, voters, kind):
        fault = FinalFault(seed, voters)
        fault.run(1)
        fault.disturb(kind)
        fault.acknowledge()
        fault.lose_disks_and_power()
        assert fault.lost() == []
