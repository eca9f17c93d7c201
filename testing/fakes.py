"""Fakes: a data folder that loses unsynced data in a crash, and a cluster."""

import random

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import presence
from _arbutuswalk.agreement import types
from _arbutuswalk.control import durable_replica
from _arbutuswalk.state import commands
from _arbutuswalk.storage import errors

TIMING = types.Timing(
    heartbeat_s=0.1, election_s=0.6, lease_s=0.45, replace_after_s=5.0
)


class KilledError(Exception):
    """The process was killed in the middle of its disk operations."""


class FakeFolder:
    """A data folder in memory.

    Attributes:
        files: Content of each file as the process reads it.
        durable: Synced content of each file.
        durable_names: Names of the files that exist after a crash.
        full: Whether writes fail because the disk is full.
        skip_sync: Whether syncs report success without storing anything.
        killed_in: Disk operations until the process is killed, None for never.
    """

    def __init__(self):
        self.files = {}
        self.durable = {}
        self.durable_names = set()
        self.full = False
        self.skip_sync = False
        self.killed_in = None

    def count_operation(self):
        """Kills the process before the operation whose turn it is."""
        if self.killed_in is None:
            return
        if self.killed_in == 0:
            self.killed_in = None
            raise KilledError
        self.killed_in -= 1

    def open(self):
        return None

    def close(self):
        return None

    def file_names(self):
        return sorted(self.files)

    def read(self, name):
        return self.files[name]

    def append(self, name, data):
        if self.full:
            return errors.DiskFull(path=name)
        self.count_operation()
        self.files[name] = self.files.get(name, b"") + data
        return None

    def sync(self, name):
        self.count_operation()
        if not self.skip_sync:
            self.durable[name] = self.files[name]

    def sync_all(self):
        for name in self.files:
            self.sync(name)
        return self.sync_folder()

    def truncate(self, name, size):
        self.files[name] = self.files[name][:size]
        return self.sync(name)

    def replace(self, name, data):
        if self.full:
            return errors.DiskFull(path=name)
        self.count_operation()
        self.files[name] = data
        self.sync(name)
        return self.sync_folder()

    def remove(self, name):
        self.files.pop(name, None)

    def sync_folder(self):
        self.count_operation()
        if not self.skip_sync:
            self.durable_names = set(self.files)

    def lose_unsynced(self):
        """Drops all unsynced data."""
        self.files = {
            name: self.durable.get(name, b"") for name in self.durable_names
        }
        self.durable = dict(self.files)

    def crash(self, rng):
        """Drops unsynced data, except for a random part of each tail."""
        surviving_files = {}
        for name in self.durable_names:
            surviving = self.durable.get(name, b"")
            written = self.files.get(name, surviving)
            if len(written) > len(surviving) and written.startswith(surviving):
                surviving = written[: rng.randint(len(surviving), len(written))]
            surviving_files[name] = surviving
        self.files = surviving_files
        self.durable = dict(surviving_files)


class Node:
    """One control process of the fake cluster."""

    def __init__(self, cluster, address, peers):
        self.cluster = cluster
        self.address = address
        self.peers = peers
        self.folder = FakeFolder()
        self.domain = ""
        self.may_bootstrap = True
        self.up = False
        self.core = None
        self.inbox = []
        self.paused = False
        self.crash_at = None
        self.leave_until = None

    def start(self):
        self.core = durable_replica.DurableReplica(
            data=self.folder,
            identity=durable_replica.Identity(
                self.address,
                self.peers,
                self.cluster.target_voters,
                self.may_bootstrap,
                domain=self.domain,
                domain_losses=self.cluster.domain_losses,
            ),
            timing=self.cluster.timing,
            rng=random.Random(self.cluster.rng.random()),
            snapshot_interval_entries=self.cluster.snapshot_interval_entries,
            segment_bytes=1500,
        )
        failure = self.core.recover(self.cluster.now)
        assert failure is None, failure
        self.up = True
        self.inbox = []

    def leave(self, timeout_s):
        """Lets the process end in the way that SIGTERM does."""
        self.core.replica.leaving = True
        self.leave_until = self.cluster.now + timeout_s

    def crash(self):
        self.up = False
        self.crash_at = None
        self.leave_until = None
        self.core = None
        self.folder.crash(self.cluster.rng)

    def crash_with_all_unsynced_lost(self):
        self.kill()
        self.folder.lose_unsynced()

    def kill(self):
        """Ends the process; its files stay as they were written."""
        self.up = False
        self.crash_at = None
        self.leave_until = None
        self.core = None

    def lose_disk(self):
        self.may_bootstrap = False
        self.up = False
        self.core = None
        self.folder = FakeFolder()

    @property
    def holds_lease(self):
        if not self.up:
            return False
        return lease.holds(self.core.replica, self.cluster.now)


class Cluster:
    """Control processes with a fake network, clock and disks.

    Attributes:
        now: Time in seconds.
        nodes: Nodes by address.
        cut: (from, to) pairs of addresses between which messages are lost.
        acked: Log index and outcome of each acknowledged command, by its tag.
        applied: Term and command of the entry applied at each index.
    """

    def __init__(
        self,
        seed=0,
        spares=0,
        snapshot_interval_entries=15,
        peer_count=3,
        target_voters=3,
        timing=TIMING,
        domains=(),
    ):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.snapshot_interval_entries = snapshot_interval_entries
        self.target_voters = target_voters
        self.domain_losses = int(bool(domains))
        self.timing = timing
        node_count = peer_count + spares
        addresses = [f"127.0.0.1:{7000 + i}" for i in range(node_count)]
        peers = tuple(addresses[:peer_count])
        self.nodes = {a: Node(self, a, peers) for a in addresses}
        self.cut = set()
        self.loss = 0.0
        self.duplicate = 0.0
        self.in_transit = []
        self.pending_proposals = {}
        self.acked = {}
        self.applied = {}
        self.next_hello_at = 0.0
        for node, domain in zip(self.nodes.values(), domains, strict=False):
            node.domain = domain
        for node in self.nodes.values():
            node.start()

    def add_node(self, address, peers):
        """Starts a new, empty member that knows ``peers``."""
        node = self.nodes[address] = Node(self, address, peers)
        node.may_bootstrap = False
        node.start()
        return node

    def run(self, seconds, step=0.02):
        """Advances the clock step by step and delivers messages."""
        end_time = self.now + seconds
        while self.now < end_time:
            self.now += step
            self.run_round()

    def run_round(self):
        if self.now >= self.next_hello_at:
            self.next_hello_at = self.now + 0.3
            self._send_hellos()
        for node in list(self.nodes.values()):
            if node.up and not node.paused:
                self._run_node(node, node.crash_at)
        self._deliver()
        self.leader()

    def _run_node(self, node, crash_at=None):
        """Runs one round of a node, which crashes at ``crash_at`` if given."""
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
            try:
                failure = core.persist(ready)
            except KilledError:
                node.kill()
                return
            if failure is not None:
                node.crash()
                return
            core.saved(ready)
        if crash_at == "after_sync":
            node.crash()
            return
        self._send(node, ready.late)
        try:
            self._apply(node)
        except KilledError:
            node.kill()
            return
        if node.leave_until is not None and (
            membership.may_leave(core.replica, self.now)
            or self.now >= node.leave_until
        ):
            node.crash()

    def _apply(self, node):
        core = node.core
        while (applied := core.apply_next()) is not None:
            self._check_applied(node, applied)
            proposal = self.pending_proposals.get((node.address, applied.index))
            if proposal and proposal[0] == applied.term:
                del self.pending_proposals[node.address, applied.index]
                self.acked[proposal[1]] = (applied.index, applied.outcome)
            snapshot = core.due_snapshot()
            if snapshot is None:
                continue
            failure = core.wal.save_snapshot(snapshot)
            if failure is None:
                core.keep_snapshot(snapshot)
            else:
                assert isinstance(failure, errors.DiskFull)

    def _check_applied(self, node, applied):
        """Checks that all members apply the same entry at each index."""
        entry = node.core.replica.log.slice(applied.index, 1)[0]
        first_applied = self.applied.setdefault(
            applied.index, (entry.term, entry.command)
        )
        assert first_applied == (entry.term, entry.command), applied.index

    def _send(self, node, outgoing):
        for outgoing_message in outgoing:
            target = outgoing_message.to.partition("/")[0]
            self.in_transit.append(
                (
                    node.address,
                    target,
                    outgoing_message.to,
                    outgoing_message.message,
                )
            )

    def _send_hellos(self):
        for node in self.nodes.values():
            if not node.up or node.paused:
                continue
            message = presence.hello(node.core.replica)
            greeted = presence.greeted(node.core.replica, self.now)
            for other in greeted & {*self.nodes}:
                self.in_transit.append((node.address, other, "", message))

    def _deliver(self):
        in_transit, self.in_transit = self.in_transit, []
        for source, target, member, message in in_transit:
            node = self.nodes.get(target)
            if (source, target) in self.cut or node is None or not node.up:
                continue
            if member and node.core.replica.member != member:
                continue
            if self.rng.random() < self.loss:
                continue
            node.inbox.append(message)
            if self.rng.random() < self.duplicate:
                self.in_transit.append((source, target, member, message))

    def leader(self):
        """Returns the node that holds the leader's lease, or None.

        Fails if two nodes hold it. ``run_round`` calls it for this check.
        """
        leaders = [n for n in self.nodes.values() if n.holds_lease]
        assert len(leaders) <= 1, [n.address for n in leaders]
        return leaders[0] if leaders else None

    def settle(self, seconds=20.0):
        """Ends all faults and waits for a leader that applied all commits."""
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
        """Waits until the group is complete and no voter's disk is lost."""
        for _ in range(int(seconds / 0.5)):
            leader = self.settle()
            assert leader is not None, "no leader after healing"
            self.run(0.5)
            members = leader.core.replica.log.members
            current_members = {
                n.core.replica.member for n in self.nodes.values()
            }
            complete = len(members.voters) == self.target_voters
            if complete and current_members.issuperset(members.voters):
                return True
        return False

    def propose(self, command, tag, node=None):
        """Proposes a command at a leader; returns whether one took it."""
        for target in [node] if node else list(self.nodes.values()):
            if not target.up or target.paused or not target.core.is_leader:
                continue
            encoded = commands.encode(command)
            index = target.core.propose(encoded, self.now, int(self.now * 1000))
            if index is not None:
                term = target.core.replica.term
                self.pending_proposals[target.address, index] = (term, tag)
                return True
        return False
