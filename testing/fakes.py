"""Small fakes: a folder that loses what was not synced, and a cluster."""

import random

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import types
from _arbutuswalk.control import durable_replica
from _arbutuswalk.state import commands
from _arbutuswalk.storage import errors

TIMING = types.Timing(
    heartbeat_s=0.1, election_s=0.6, lease_s=0.45, replace_after_s=5.0
)


class FakeFolder:
    """A data folder in memory.

    Attributes:
        files: Content as the process sees it.
        durable: Content as a crash would leave it.
        full: Whether writes find the disk full.
    """

    def __init__(self):
        self.files = {}
        self.durable = {}
        self.synced_names = set()
        self.full = False
        self.skip_sync = False

    def open(self):
        return None

    def close(self):
        return None

    def names(self):
        return sorted(self.files)

    def read(self, name):
        return self.files[name]

    def append(self, name, data):
        if self.full:
            return errors.DiskFull(path=name)
        self.files[name] = self.files.get(name, b"") + data
        return None

    def sync(self, name):
        if not self.skip_sync:
            self.durable[name] = self.files[name]

    def truncate(self, name, size):
        self.files[name] = self.files[name][:size]
        return self.sync(name)

    def replace(self, name, data):
        if self.full:
            return errors.DiskFull(path=name)
        self.files[name] = data
        self.sync(name)
        return self.sync_folder()

    def remove(self, name):
        self.files.pop(name, None)

    def sync_folder(self):
        if not self.skip_sync:
            self.synced_names = set(self.files)

    def crash(self, rng):
        """Loses what was not synced, but for a random part of the tail."""
        survivors = {}
        for name in self.synced_names:
            kept = self.durable.get(name, b"")
            written = self.files.get(name, kept)
            if len(written) > len(kept) and written.startswith(kept):
                kept = written[: rng.randint(len(kept), len(written))]
            survivors[name] = kept
        self.files = survivors
        self.durable = dict(survivors)


class Node:
    """One control process of the fake cluster."""

    def __init__(self, cluster, address, peers):
        self.cluster = cluster
        self.address = address
        self.peers = peers
        self.folder = FakeFolder()
        self.up = False
        self.core = None
        self.inbox = []
        self.paused = False
        self.crash_at = None

    def start(self):
        self.core = durable_replica.DurableReplica(
            data=self.folder,
            identity=durable_replica.Identity(
                self.address, self.peers, self.cluster.target_voters
            ),
            timing=TIMING,
            rng=random.Random(self.cluster.rng.random()),
            snapshot_every=self.cluster.snapshot_every,
            segment_bytes=1500,
        )
        failure = self.core.recover(self.cluster.now)
        assert failure is None, failure
        self.up = True
        self.inbox = []

    def crash(self):
        self.up = False
        self.crash_at = None
        self.core = None
        self.folder.crash(self.cluster.rng)

    def lose_disk(self):
        self.up = False
        self.core = None
        self.folder = FakeFolder()

    @property
    def leads_with_lease(self):
        if not self.up:
            return False
        return lease.holds(self.core.replica, self.cluster.now)


class Cluster:
    """Control processes on a fake network, clock and disk.

    Attributes:
        now: Seconds.
        nodes: Node by address.
        cut: Ordered pairs of addresses between which messages are lost.
        acked: Outcome of each command that a leader acknowledged.
        on_apply: Called with (node, applied) for each applied entry.
    """

    def __init__(
        self,
        seed=0,
        spares=0,
        snapshot_every=15,
        founders=3,
        target_voters=3,
    ):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.snapshot_every = snapshot_every
        self.target_voters = target_voters
        count = founders + spares
        addresses = [f"127.0.0.1:{7000 + i}" for i in range(count)]
        peers = tuple(addresses[:founders])
        self.nodes = {a: Node(self, a, peers) for a in addresses}
        self.cut = set()
        self.loss = 0.0
        self.duplicate = 0.0
        self.wires = []
        self.waiting = {}
        self.acked = {}
        self.applied = {}
        self.hello_at = 0.0
        for node in self.nodes.values():
            node.start()

    def run(self, seconds, step=0.02):
        """Lets time pass and delivers messages."""
        until = self.now + seconds
        while self.now < until:
            self.now += step
            self.round()

    def round(self):
        if self.now >= self.hello_at:
            self.hello_at = self.now + 0.3
            self._hello()
        for node in list(self.nodes.values()):
            if node.up and not node.paused:
                self._turn(node, node.crash_at)
        self._deliver()
        self.leader()

    def _turn(self, node, crash_at=None):
        """Runs one round of a node; ``crash_at`` names where it dies."""
        inbox, node.inbox = node.inbox, []
        core = node.core
        core.step(inbox, self.now)
        ready = core.take_ready()
        self._send(node, ready.early)
        if crash_at == "before_sync":
            node.crash()
            return
        unsaved = ready.snapshot or ready.vote or ready.entries
        if unsaved or ready.commit is not None:
            failure = core.persist(ready)
            if failure is not None:
                node.crash()
                return
            core.saved(ready)
        if crash_at == "after_sync":
            node.crash()
            return
        self._send(node, ready.late)
        self._apply(node)

    def _apply(self, node):
        core = node.core
        while (applied := core.apply_next()) is not None:
            self._check_applied(node, applied)
            waiting = self.waiting.get((node.address, applied.index))
            if waiting and waiting[0] == applied.term:
                del self.waiting[node.address, applied.index]
                self.acked[waiting[1]] = (applied.index, applied.outcome)
            made = core.due_snapshot()
            if made is None:
                continue
            if core.wal.save_snapshot(made) is not None:
                node.crash()
                return
            core.keep_snapshot(made)

    def _check_applied(self, node, applied):
        """No two members ever apply different entries at one index."""
        entry = node.core.replica.log.slice(applied.index, 1)[0]
        known = self.applied.setdefault(
            applied.index, (entry.term, entry.command)
        )
        assert known == (entry.term, entry.command), applied.index

    def _send(self, node, outgoing):
        for out in outgoing:
            target = out.to.partition("/")[0]
            self.wires.append((node.address, target, out.to, out.message))

    def _hello(self):
        for node in self.nodes.values():
            if not node.up or node.paused:
                continue
            message = membership.hello(node.core.replica)
            greeted = membership.greeted(node.core.replica, self.now)
            for other in greeted & {*self.nodes}:
                self.wires.append((node.address, other, "", message))

    def _deliver(self):
        wires, self.wires = self.wires, []
        for source, target, member, message in wires:
            node = self.nodes.get(target)
            if (source, target) in self.cut or node is None or not node.up:
                continue
            if member and node.core.replica.member != member:
                continue
            if self.rng.random() < self.loss:
                continue
            node.inbox.append(message)
            if self.rng.random() < self.duplicate:
                self.wires.append((source, target, member, message))

    def leader(self):
        """Returns the node that may decide alone, or None."""
        leaders = [n for n in self.nodes.values() if n.leads_with_lease]
        assert len(leaders) <= 1, [n.address for n in leaders]
        return leaders[0] if leaders else None

    def settle(self, seconds=20.0):
        """Heals everything and waits for a leader that has applied all."""
        self.cut.clear()
        self.loss = self.duplicate = 0.0
        for node in self.nodes.values():
            node.paused = False
            node.crash_at = None
            node.folder.full = False
            if not node.up:
                node.start()
        for _ in range(int(seconds / 0.5)):
            self.run(0.5)
            leader = self.leader()
            if leader and leader.core.applied == leader.core.replica.commit:
                return leader
        return None

    def repair(self, seconds=30.0):
        """Waits until the group is complete, each voter with its disk."""
        for _ in range(int(seconds / 0.5)):
            leader = self.settle()
            assert leader is not None, "no leader after healing"
            self.run(0.5)
            members = leader.core.replica.log.members
            present = {n.core.replica.member for n in self.nodes.values()}
            complete = len(members.voters) == self.target_voters
            if complete and present.issuperset(members.voters):
                return True
        return False

    def propose(self, command, tag, node=None):
        """Proposes a command at a node that leads; returns whether it did."""
        for each in [node] if node else list(self.nodes.values()):
            if not each.up or each.paused or not each.core.is_leader:
                continue
            encoded = commands.encode(command)
            index = each.core.propose(encoded, self.now, int(self.now * 1000))
            if index is not None:
                term = each.core.replica.term
                self.waiting[each.address, index] = (term, tag)
                return True
        return False
