"""Control members on virtual time, with disks that refuse writes.

The members run their event loop and the files of their folders are real; only
the network, the clock and the system calls of ``storage.folder`` are replaced.
"""

import asyncio
import errno
import os
import random

import virtual

from _arbutuswalk.agreement import types
from _arbutuswalk.control import durable_replica
from _arbutuswalk.control import member as members
from _arbutuswalk.state import commands
from _arbutuswalk.storage import errors
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import wal
from _arbutuswalk.wire import codec

TIMING = types.Timing(
    heartbeat_s=0.1, election_s=0.7, lease_s=0.5, replace_after_s=1.4
)
ATTEMPT_TIMEOUT_S = 0.85
ACK_DEADLINE_S = 4.0
RESTART_S = 0.5
SYNC_S = 0.002
LATENCY_S = 0.002
CREATE, WRITE, SYNC, RENAME, TRUNCATE = (
    "create",
    "write",
    "sync",
    "rename",
    "truncate",
)
OPERATIONS = (CREATE, WRITE, SYNC, RENAME, TRUNCATE)


class Loop(virtual.VirtualLoop):
    """Runs blocking calls at once; they take ``SYNC_S`` of virtual time."""

    def run_in_executor(self, executor, func, *args):
        future = self.create_future()
        result = func(*args)
        self.call_later(
            SYNC_S, lambda: future.cancelled() or future.set_result(result)
        )
        return future


class Disk:
    """One member's disk.

    Attributes:
        refused: Operations that fail while the disk is full.
        partial: Whether a refused write stores a part of its bytes.
        fills_in: Operations until the disk becomes full, None for never.
        full: Whether the disk is full.
        refusals: Operations refused so far.
    """

    def __init__(self, rng):
        self.rng = rng
        self.refused = frozenset(OPERATIONS)
        self.partial = False
        self.fills_in = None
        self.full = False
        self.refusals = 0

    def fill(self, refused, *, partial, after):
        self.refused, self.partial = frozenset(refused), partial
        self.full, self.fills_in = after == 0, after or None

    def make_room(self):
        self.full, self.fills_in = False, None

    def refuses(self, operation):
        if self.fills_in is not None:
            self.fills_in -= 1
            if self.fills_in <= 0:
                self.full, self.fills_in = True, None
        refused = self.full and operation in self.refused
        self.refusals += refused
        return refused


class DiskOs:
    """Stands in for the ``os`` module in ``storage.folder``."""

    def __init__(self):
        self.disks = {}
        self.disk_by_fd = {}

    def __getattr__(self, name):
        return getattr(os, name)

    def disk_of(self, path):
        return self.disks[os.path.basename(os.path.dirname(path))]

    def open(self, path, flags, mode=0o777):
        if flags & os.O_DIRECTORY:
            fd = os.open(path, flags, mode)
            self.disk_by_fd[fd] = self.disks[os.path.basename(path)]
            return fd
        disk = self.disk_of(path)
        is_new = flags & os.O_CREAT and not os.path.exists(path)
        if is_new and disk.refuses(CREATE):
            raise no_space()
        fd = os.open(path, flags, mode)
        self.disk_by_fd[fd] = disk
        return fd

    def write(self, fd, data):
        disk = self.disk_by_fd[fd]
        if not disk.refuses(WRITE):
            return os.write(fd, data)
        if disk.partial and len(data) > 1 and disk.rng.random() < 0.5:
            return os.write(fd, data[: disk.rng.randrange(1, len(data))])
        raise no_space()

    def fsync(self, fd):
        if self.disk_by_fd[fd].refuses(SYNC):
            raise no_space()

    def ftruncate(self, fd, size):
        if self.disk_by_fd[fd].refuses(TRUNCATE):
            raise no_space()
        os.ftruncate(fd, size)

    def rename(self, source, target):
        if self.disk_of(target).refuses(RENAME):
            raise no_space()
        os.rename(source, target)


def no_space():
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class Link:
    """One-way messages to an address; frames over the limit are dropped."""

    def __init__(self, cluster, source, target):
        self.cluster = cluster
        self.source = source
        self.target = target

    def send_oneway(self, message):
        self.cluster.deliver(self.source, self.target, message)
        return True

    async def stop(self):
        return None


class Node:
    """A machine with a disk and, while it runs, a member.

    Attributes:
        exits: Reasons for which the process ended by itself.
    """

    def __init__(self, cluster, address, peers):
        self.cluster = cluster
        self.address = address
        self.peers = peers
        self.name = address.replace(":", "_")
        self.disk = Disk(cluster.rng)
        cluster.disk_os.disks[self.name] = self.disk
        self.member = None
        self.task = None
        self.exits = []

    def start(self):
        replica = durable_replica.DurableReplica(
            data=folder.Folder(path=str(self.cluster.path / self.name)),
            identity=durable_replica.Identity(self.address, self.peers, 3),
            timing=TIMING,
            rng=random.Random(self.cluster.rng.random()),
            snapshot_interval_entries=self.cluster.snapshot_interval_entries,
            segment_bytes=self.cluster.segment_bytes,
        )
        failure = replica.recover(self.cluster.loop.time())
        if failure is not None:
            replica.data.close()
            if isinstance(failure, errors.DiskFull):
                self.start_later(members.DISK_FULL_RETRY_INTERVAL_S)
            else:
                self.ended(failure)
            return
        self.member = members.Member(
            durable_replica=replica,
            now=self.cluster.loop.time,
            wall=self.cluster.loop.time,
        )
        self.member.link_to = lambda target: Link(
            self.cluster, self.address, target
        )
        self.task = asyncio.ensure_future(self.member.run())
        self.task.add_done_callback(self.loop_ended)

    def loop_ended(self, task):
        if not task.cancelled():
            self.member.durable_replica.data.close()
            reason = task.exception() or self.member.failure
            self.member = None
            self.ended(reason)

    def ended(self, reason):
        """The process ended by itself; it is started again soon."""
        self.exits.append(reason)
        self.start_later(RESTART_S)

    def start_later(self, delay_s):
        self.cluster.loop.call_later(delay_s, self.start_again)

    def start_again(self):
        if self.member is None:
            self.start()

    async def kill(self):
        if self.member is None:
            return
        member, self.member = self.member, None
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        member.durable_replica.data.close()

    async def restart(self):
        await self.kill()
        self.start()


class Cluster:
    """Members on one virtual network.

    Attributes:
        acked: Versions that were acknowledged.
        waits: Time at which each change was sent and how long its
            acknowledgement took, None if there was none in time.
        largest_frame: Size of the largest message that was sent, in bytes.
    """

    def __init__(
        self,
        path,
        monkeypatch,
        *,
        seed,
        loop,
        node_count=3,
        snapshot_interval_entries=100,
        segment_bytes=wal.SEGMENT_BYTES,
        config_bytes=200,
    ):
        self.path = path
        self.loop = loop
        self.rng = random.Random(seed)
        self.snapshot_interval_entries = snapshot_interval_entries
        self.segment_bytes = segment_bytes
        self.config_bytes = config_bytes
        self.disk_os = DiskOs()
        monkeypatch.setattr(folder, "os", self.disk_os)
        addresses = [f"127.0.0.1:{7000 + i}" for i in range(node_count)]
        peers = tuple(addresses[:3])
        self.nodes = {
            address: Node(self, address, peers) for address in addresses
        }
        self.acked = []
        self.waits = []
        self.version = 0
        self.largest_frame = 0
        self.dropped = 0
        self.most_queued_bytes = 0

    def start(self):
        for node in self.nodes.values():
            node.start()

    async def stop(self):
        for node in self.nodes.values():
            await node.kill()

    def deliver(self, source, target, message):
        size = message_bytes(message)
        self.largest_frame = max(self.largest_frame, size)
        if size > codec.MAX_FRAME_BYTES:
            self.dropped += 1
            return
        delay_s = LATENCY_S * (1 + self.rng.random())
        self.loop.call_later(delay_s, self.receive, target, message)

    def receive(self, target, message):
        node = self.nodes.get(target)
        if node is None or node.member is None:
            return
        node.member.receive(message)
        queued_bytes = sum(map(message_bytes, node.member.inbox))
        self.most_queued_bytes = max(self.most_queued_bytes, queued_bytes)

    def leader(self):
        for node in self.nodes.values():
            if node.member is not None and node.member.is_current:
                return node
        return None

    async def publish(self):
        """Sends a change until it is acknowledged or the deadline passes."""
        self.version += 1
        version = self.version
        command = self.make_command(version)
        sent_at = self.loop.time()
        deadline = sent_at + ACK_DEADLINE_S
        nodes = list(self.nodes.values())
        self.rng.shuffle(nodes)
        while self.loop.time() < deadline:
            for node in nodes:
                if await self.attempt(node, command):
                    now = self.loop.time()
                    self.acked.append(version)
                    self.waits.append((sent_at, now - sent_at))
                    return
            await asyncio.sleep(0.05)
        self.waits.append((sent_at, None))

    def make_command(self, version):
        text = f"{version:08d}" * (self.config_bytes // 8)
        return commands.encode(
            commands.PublishRoutes(version, {"routes": []}, text)
        )

    async def attempt(self, node, command):
        member = node.member
        if member is None or not member.is_leader:
            return False
        outcome = await member.submit(command, timeout_s=ATTEMPT_TIMEOUT_S)
        return not isinstance(
            outcome, members.NotLeader | members.Undecided | members.TooLarge
        )

    async def publish_for(self, seconds, gap_s):
        """Sends changes at an interval; returns the tasks still waiting."""
        deadline = self.loop.time() + seconds
        tasks = []
        while self.loop.time() < deadline:
            tasks.append(asyncio.ensure_future(self.publish()))
            await asyncio.sleep(gap_s)
        return tasks

    def late(self, since):
        """Returns the changes sent after ``since`` that were not in time."""
        return [
            round(sent_at - since, 2)
            for sent_at, wait_s in self.waits
            if sent_at >= since and wait_s is None
        ]

    def behind(self):
        """Returns how many entries each member lacks; None if it is down."""
        leader = self.leader()
        commit = leader.member.replica.commit if leader else 0
        return {
            address: None
            if node.member is None
            else commit - node.member.durable_replica.applied
            for address, node in self.nodes.items()
        }


def message_bytes(message):
    """Returns the approximate size of a message's frame."""
    entries = getattr(message, "entries", None) or []
    data = getattr(message, "data", None) or b""
    return 200 + len(data) + sum(len(entry.command) + 20 for entry in entries)
