"""Drives one replica: disk, links, time, and the tables on top.

Everything the replica promises goes out only after it is synced; one sync
covers all that queued up during the one before.
"""

import asyncio
import contextlib
import dataclasses
import random
import uuid
from collections.abc import Callable

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import raftlog
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import snapshot
from _arbutuswalk.agreement import step
from _arbutuswalk.agreement import transfer
from _arbutuswalk.agreement import types
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.state import machine
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows
from _arbutuswalk.storage import errors
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import wal
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

TICK_S = 0.02
HELLO_S = 0.3
SNAPSHOT_EVERY = 2000
"""Entries between two snapshots; equal on all members."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotLeader:
    """This member does not lead; nothing was done.

    Attributes:
        leader: Address of the leader, if known.
    """

    leader: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecided:
    """The command may or may not be committed; send the same one again."""

    reason: str


class Waiting:
    """A proposed command and who waits for its outcome."""

    def __init__(self, *, term: int, future: asyncio.Future):
        self.term = term
        self.future = future


class Member:
    """One member of the control group.

    Attributes:
        replica: Its part in the replicated log.
        tables: State after all applied entries.
        applied: Index of the last applied entry.
        waiting: Proposed commands by log index.
        inbox: Messages from other members, in order of arrival.
        proposals: Commands to propose, with their futures.
        links: Link to each address.
        changed: Set and replaced whenever the tables change.
        failure: Why storage made the member stop.
        counts: Entries, syncs and bytes, for the dump.
    """

    def __init__(
        self,
        *,
        data: folder.Folder,
        address: str,
        peers: tuple[str, ...],
        timing: types.Timing,
        target_voters: int,
        now: clock.Clock = clock.monotonic,
        wall: clock.Clock = clock.wall,
        rng: random.Random | None = None,
    ):
        self.data = data
        self.address = address
        self.peers = peers
        self.timing = timing
        self.target_voters = target_voters
        self.now = now
        self.wall = wall
        self.rng = rng or random.Random()
        self.wal = wal.Wal(folder=data)
        self.replica: replicas.Replica | None = None
        self.tables = rows.Tables()
        self.applied = 0
        self.waiting: dict[int, Waiting] = {}
        self.inbox: list[object] = []
        self.proposals: list[tuple[bytes, asyncio.Future]] = []
        self.links: dict[str, link.Link] = {}
        self.changed = asyncio.Event()
        self.wake = asyncio.Event()
        self.failure: errors.StorageError | None = None
        self.counts = {"entries": 0, "syncs": 0, "messages": 0}
        self.hello_at = 0.0
        self.on_role: Callable[[], None] = lambda: None

    def recover(self) -> errors.StorageError | None:
        """Locks the folder and rebuilds state from it."""
        failure = self.data.open()
        if failure is not None:
            return failure
        found = self.wal.recover()
        if isinstance(found, errors.StorageError):
            return found
        identity = self._identity()
        if isinstance(identity, errors.StorageError):
            return identity
        base_members, packed = types.Members(), b""
        base_index = base_term = 0
        if found.snapshot is not None:
            base_index, base_term, packed = found.snapshot
            base_members, state = snapshot.unpack(packed)
            self.tables = machine.load(state)
            self.applied = base_index
        log = raftlog.RaftLog(
            base_index=base_index,
            base_term=base_term,
            base_members=base_members,
            entries=[
                ttypes.Entry(term=entry.term, command=entry.command)
                for entry in found.entries
            ],
        )
        self.replica = replicas.Replica(
            member=identity,
            address=self.address,
            timing=self.timing,
            rng=self.rng,
            now=self.now(),
            target_voters=self.target_voters,
            peers=self.peers,
            vote=found.vote,
            log=log,
        )
        if packed:
            self.replica.snapshots[base_index] = packed
        return None

    def _identity(self) -> str | errors.StorageError:
        if wal.IDENTITY_NAME in self.data.names():
            return self.data.read(wal.IDENTITY_NAME).decode()
        identity = f"{self.address}/{uuid.uuid4().hex[:8]}"
        failure = self.data.replace(wal.IDENTITY_NAME, identity.encode())
        return failure or identity

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term."""
        return self.replica.role is types.Role.LEADER

    @property
    def holds_lease(self) -> bool:
        """Whether this member may answer and order alone right now."""
        return lease.holds(self.replica, self.now())

    @property
    def is_current(self) -> bool:
        """Whether the tables hold all that was committed before now."""
        return self.holds_lease and self.applied >= self.replica.commit

    def leader_address(self) -> str:
        """Returns the leader's address, or an empty string."""
        members = self.replica.log.members
        return members.addresses.get(self.replica.leader, "")

    async def submit(
        self, command: bytes, *, timeout_s: float
    ) -> outcomes.Outcome | NotLeader | Undecided:
        """Commits an encoded command and returns its outcome."""
        if not self.is_leader:
            return NotLeader(leader=self.leader_address())
        if not membership.accepts_commands(self.replica):
            return NotLeader(leader="")
        future = asyncio.get_running_loop().create_future()
        self.proposals.append((command, future))
        self.wake.set()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return Undecided(reason=f"not committed within {timeout_s} s")

    def receive(self, message: object) -> None:
        """Queues a message from another member."""
        self.inbox.append(message)
        self.wake.set()

    async def run(self) -> None:
        """Runs until cancelled, or until storage fails."""
        role = None
        while self.failure is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), TICK_S)
            self.wake.clear()
            self._step()
            await self._flush()
            await self._apply_committed()
            if role != (self.replica.role, self.replica.term):
                role = (self.replica.role, self.replica.term)
                self._role_changed()
        text = errors.describe(self.failure)
        events.warn(events.Event.STORAGE_FAILED, text)
        self._fail_waiting("storage failed")

    def _step(self) -> None:
        now = self.now()
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            step.receive(self.replica, message, now)
        self.counts["messages"] += len(inbox)
        proposals, self.proposals = self.proposals, []
        for command, future in proposals:
            self._propose(command, future, now)
        step.tick(self.replica, now)
        if now >= self.hello_at:
            self.hello_at = now + HELLO_S
            self._say_hello()

    def _propose(
        self, command: bytes, future: asyncio.Future, now: float
    ) -> None:
        if future.done():
            return
        if not self.is_leader:
            future.set_result(NotLeader(leader=self.leader_address()))
            return
        at_ms = int(self.wall() * clock.MS_PER_S)
        payload = types.COMMAND + machine.stamp_encoded(command, at_ms)
        index = replication.propose(self.replica, payload, now)
        self.waiting[index] = Waiting(term=self.replica.term, future=future)

    async def _flush(self) -> None:
        while True:
            ready = replicas.take_ready(self.replica)
            self._send(ready.early)
            dirty = ready.snapshot or ready.vote or ready.entries
            if not dirty and not ready.late:
                return
            if dirty:
                loop = asyncio.get_running_loop()
                self.failure = await loop.run_in_executor(
                    None, self._persist, ready
                )
                if self.failure is not None:
                    return
                self._saved(ready)
            self._send(ready.late)
            if not dirty:
                return

    def _persist(self, ready: types.Ready) -> errors.StorageError | None:
        """Makes a batch durable; runs off the event loop."""
        if ready.snapshot is not None:
            failure = self.wal.save_snapshot(ready.snapshot)
            if failure is not None:
                return failure
        if ready.vote is None and not ready.entries:
            return None
        self.counts["syncs"] += 1
        self.counts["entries"] += len(ready.entries)
        return self.wal.write(ready.vote, ready.entries)

    def _saved(self, ready: types.Ready) -> None:
        if ready.snapshot is not None:
            self._load_snapshot(ready.snapshot)
        if ready.entries:
            last = ready.entries[-1]
            replication.saved(self.replica, last.index, last.term)

    def _load_snapshot(self, received: wal.Snapshot) -> None:
        _, state = snapshot.unpack(received.state)
        self.tables = machine.load(state)
        self.applied = received.index
        events.log(events.Event.SNAPSHOT_INSTALLED, received.index)
        self._notify()

    async def _apply_committed(self) -> None:
        commit = self.replica.commit
        if self.applied >= commit:
            return
        while self.applied < commit and self.failure is None:
            self._apply_next()
            if self.applied % SNAPSHOT_EVERY == 0:
                await self._take_snapshot()
        self._notify()

    def _apply_next(self) -> None:
        self.applied += 1
        entry = self.replica.log.slice(self.applied, 1)[0]
        kind, payload = entry.command[:1], entry.command[1:]
        outcome = None
        if kind == types.COMMAND:
            outcome = machine.apply(self.tables, payload, self.applied)
        elif kind == types.MEMBERS:
            members = types.unpack_members(entry.command)
            events.log(
                events.Event.MEMBERS_CHANGED, members.voters, members.learners
            )
        waiting = self.waiting.pop(self.applied, None)
        if waiting is not None and not waiting.future.done():
            if waiting.term == entry.term and outcome is not None:
                waiting.future.set_result(outcome)
            else:
                reason = "another leader's entry took its place"
                waiting.future.set_result(Undecided(reason=reason))

    async def _take_snapshot(self) -> None:
        index = self.applied
        members = transfer.members_at(self.replica, index)
        packed = snapshot.pack(members, machine.dump(self.tables))
        term = self.replica.log.term_at(index)
        loop = asyncio.get_running_loop()
        self.failure = await loop.run_in_executor(
            None, self.wal.save_snapshot, wal.Snapshot(index, term, packed)
        )
        if self.failure is None:
            transfer.keep(self.replica, index, packed)

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _role_changed(self) -> None:
        replica = self.replica
        events.log(
            events.Event.TERM_CHANGED,
            replica.term,
            replica.role.value,
            replica.leader,
        )
        if not self.is_leader:
            self._fail_waiting("this member no longer leads")
        self.on_role()
        self._notify()

    def _fail_waiting(self, reason: str) -> None:
        waiting, self.waiting = self.waiting, {}
        for item in waiting.values():
            if not item.future.done():
                item.future.set_result(Undecided(reason=reason))

    def _send(self, outgoing: list[types.Outgoing]) -> None:
        for out in outgoing:
            address = self._address_of(out.to)
            if address:
                self.link_to(address).post(out.message)

    def _address_of(self, member: str) -> str:
        seen = self.replica.seen.get(member)
        if seen is not None:
            return seen.address
        return self.replica.log.members.addresses.get(member, "")

    def link_to(self, address: str) -> link.Link:
        """Returns the link to an address, made on first use."""
        found = self.links.get(address)
        if found is None:
            found = link.Link(address=address, now=self.now)
            self.links[address] = found
        return found

    def _say_hello(self) -> None:
        message = membership.hello(self.replica)
        known = set(self.replica.log.members.addresses.values())
        for address in {*self.peers, *known} - {self.address}:
            self.link_to(address).post(message)

    async def stop(self) -> None:
        """Closes links and files."""
        for each in self.links.values():
            await each.stop()
        self.data.close()
