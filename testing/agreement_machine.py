"""Stateful tests of election, commit, snapshots, membership and recovery."""

import fakes
import hypothesis.strategies as st
from hypothesis import stateful

from _arbutuswalk.state import commands

NODES = st.integers(0, 2)


class AgreementMachine(stateful.RuleBasedStateMachine):
    """Three control processes under faults; the oracle is what was acked."""

    def __init__(self):
        super().__init__()
        self.cluster = None
        self.number = 0

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.cluster = fakes.Cluster(seed)
        self.cluster.run(4)

    def node(self, i):
        return list(self.cluster.nodes.values())[i]

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2, 0.6, 1.5]))
    def time_passes(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(count=st.integers(1, 8))
    def propose(self, count):
        for _ in range(count):
            self.number += 1
            command = commands.RegisterEntry(
                f"e{self.number}", 1, "a", "l", "d", 1, "r"
            )
            self.cluster.propose(command, self.number)
        self.cluster.run(0.04)

    @stateful.rule(i=NODES)
    def crash(self, i):
        if self.node(i).up:
            self.node(i).crash()

    @stateful.rule(
        i=NODES, where=st.sampled_from(["before_sync", "after_sync"])
    )
    def crash_in_a_round(self, i, where):
        self.node(i).crash_at = where
        self.cluster.run(0.1)

    @stateful.rule(i=NODES)
    def start(self, i):
        if not self.node(i).up:
            self.node(i).start()

    @stateful.rule(i=NODES, j=NODES)
    def cut_one_way(self, i, j):
        if i != j:
            self.cluster.cut.add((self.node(i).address, self.node(j).address))

    @stateful.rule(i=NODES)
    def isolate(self, i):
        for j in range(3):
            self.cut_one_way(i, j)
            self.cut_one_way(j, i)

    @stateful.rule(restarted=st.integers(0, 2))
    def cut_off_the_leader_and_restart_another(self, restarted):
        """While the old leader's lease runs, no other may decide."""
        leader = self.cluster.leader()
        if leader is None:
            return
        nodes = list(self.cluster.nodes.values())
        self.isolate(nodes.index(leader))
        others = [node for node in nodes if node is not leader and node.up]
        for other in others[:restarted]:
            other.crash()
            other.start()
        self.cluster.run(0.8)

    @stateful.rule(seconds=st.sampled_from([0.5, 0.8, 1.2, 2.0]))
    def freeze_the_leader(self, seconds):
        """Answers that waited for a frozen leader renew no lease."""
        leader = self.cluster.leader()
        if leader is None:
            return
        leader.paused = True
        self.cluster.run(seconds)
        self.isolate(list(self.cluster.nodes.values()).index(leader))
        leader.paused = False
        self.cluster.run(0.3)

    @stateful.rule()
    def heal(self):
        self.cluster.cut.clear()

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplicate=st.sampled_from([0.0, 0.2]),
    )
    def network(self, loss, duplicate):
        self.cluster.loss = loss
        self.cluster.duplicate = duplicate

    @stateful.rule(i=NODES)
    def pause(self, i):
        self.node(i).paused = True

    @stateful.rule(i=NODES)
    def resume(self, i):
        self.node(i).paused = False

    @stateful.rule(i=NODES)
    def fill_disk(self, i):
        self.node(i).folder.full = True
        self.cluster.run(0.2)
        self.node(i).folder.full = False

    @stateful.rule(i=NODES)
    def lose_disk(self, i):
        """Loses one disk of a whole group, and a second after the repair."""
        assert self.cluster.repair(), "the group is not whole again"
        self.node(i).lose_disk()
        self.node(i).start()
        assert self.cluster.repair(), "a lost disk was not made good"
        self.node((i + 1) % 3).lose_disk()
        self.node((i + 1) % 3).start()

    def teardown(self):
        if self.cluster is None:
            return
        leader = self.cluster.settle()
        assert leader is not None, "no leader after healing"
        known = leader.core.tables.entries
        for number, (index, _) in self.cluster.acked.items():
            assert index <= leader.core.applied
            assert f"e{number}" in known, f"acknowledged e{number} is lost"
