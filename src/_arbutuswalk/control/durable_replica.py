"""One replica with its write-ahead log and tables, without an event loop.

The process drives it from asyncio; the fuzz tests drive the same code on a
fake folder, network and clock. A round is: ``step``, ``take_ready``, send
``early``, ``persist``, ``saved``, send ``late``, ``apply_next``.
"""

import random
import uuid
from typing import NamedTuple

from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import raftlog
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import snapshot
from _arbutuswalk.agreement import step
from _arbutuswalk.agreement import transfer
from _arbutuswalk.agreement import types
from _arbutuswalk.base import events
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.storage import errors
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import wal
from _arbutuswalk.wire.gen.arbutus import ttypes

SNAPSHOT_INTERVAL_ENTRIES = 2000
"""Log entries between two snapshots; equal on all members."""
MAX_KEPT_BYTES = 64 * 1024 * 1024
"""Size of the log entries that a member keeps for a later build in its place.
Without a bound, a group that went back to a former build would never remove an
entry again."""


class Identity(NamedTuple):
    """A member's address and the founding members of its group.

    Attributes:
        address: ``IP:port`` that the member listens on.
        peers: Addresses of all founding members, including its own.
        target_voters: Number of voters that the group should have.
        may_bootstrap: Whether this may be the first start of the whole system.
        domain: The member's failure domain, empty if unknown.
        domain_losses: Failure domains that may be lost at once.
    """

    address: str
    peers: tuple[str, ...]
    target_voters: int
    may_bootstrap: bool = True
    domain: str = ""
    domain_losses: int = 0


class Applied(NamedTuple):
    """A log entry that was applied.

    Attributes:
        index: Its index.
        term: Its term.
        outcome: Outcome of its command, None for internal log entries.
    """

    index: int
    term: int
    outcome: outcomes.Outcome | None


class DurableReplica:
    """A replica, its write-ahead log and the tables on top.

    Attributes:
        data: The data folder.
        wal: The write-ahead log in that folder.
        replica: The replica, set by ``recover``.
        tables: State after all applied log entries.
        applied: Index of the last applied log entry.
        snapshot_interval_entries: Log entries between two snapshots.
        counts: Number of log entries, syncs and messages, for the dump.
    """

    def __init__(
        self,
        *,
        data: folder.Folder,
        identity: Identity,
        timing: types.Timing,
        rng: random.Random,
        snapshot_interval_entries: int = SNAPSHOT_INTERVAL_ENTRIES,
        segment_bytes: int = wal.SEGMENT_BYTES,
    ):
        self.data = data
        self.identity = identity
        self.timing = timing
        self.rng = rng
        self.snapshot_interval_entries = snapshot_interval_entries
        self.wal = wal.Wal(folder=data, segment_bytes=segment_bytes)
        self.replica: replicas.Replica | None = None
        self.tables = rows.Tables()
        self.applied = 0
        self.counts = {"entries": 0, "syncs": 0, "messages": 0}

    def recover(self, now: float) -> errors.StorageError | None:
        """Locks the data folder and rebuilds the state from it."""
        failure = self.data.open()
        if failure is not None:
            return failure
        recovered = self.wal.recover()
        if isinstance(recovered, errors.StorageError):
            return recovered
        member = self._member_id()
        if isinstance(member, errors.StorageError):
            return member
        log = self._rebuild(recovered)
        founders = self._founders()
        if isinstance(founders, errors.StorageError):
            return founders
        self.replica = replicas.Replica(
            member=member,
            address=self.identity.address,
            timing=self.timing,
            rng=self.rng,
            now=now,
            target_voters=self.identity.target_voters,
            domain=self.identity.domain,
            domain_losses=self.identity.domain_losses,
            peers=self.identity.peers,
            founders=founders,
            vote=recovered.vote,
            log=log,
            commit=recovered.commit,
        )
        if recovered.snapshot is not None:
            self.replica.snapshots[log.snapshot_index] = (
                recovered.snapshot.state
            )
        return None

    def _rebuild(self, recovered: wal.Recovered) -> raftlog.RaftLog:
        members = types.Members()
        index = term = 0
        if recovered.snapshot is not None:
            index, term, packed = recovered.snapshot
            members, state = snapshot.unpack(packed)
            self.tables = state_machine.load(state)
            self.applied = index
            self._log_skipped(before=0)
        return raftlog.RaftLog(
            snapshot_index=index,
            snapshot_term=term,
            snapshot_members=members,
            entries=[
                ttypes.Entry(term=entry.term, command=entry.command)
                for entry in recovered.entries
            ],
        )

    def _member_id(self) -> str | errors.StorageError:
        """Returns the member id in the folder, generated on first use."""
        if wal.MEMBER_ID_FILE in self.data.file_names():
            return self.data.read(wal.MEMBER_ID_FILE).decode()
        suffix = uuid.UUID(int=self.rng.getrandbits(128)).hex[:8]
        member = f"{self.identity.address}/{suffix}"
        failure = self.data.replace(wal.MEMBER_ID_FILE, member.encode())
        return failure or member

    def _founders(self) -> tuple[str, ...] | errors.StorageError:
        """Returns the peers at the system's first start, if it was here.

        A process that is killed before the group is bootstrapped may be started
        again with settings that no longer allow it, or name other peers.
        """
        if wal.FOUNDERS_FILE in self.data.file_names():
            content = self.data.read(wal.FOUNDERS_FILE).decode()
            return tuple(content.split())
        if not self.identity.may_bootstrap:
            return ()
        founders = self.identity.peers
        content = " ".join(founders).encode()
        return self.data.replace(wal.FOUNDERS_FILE, content) or founders

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term."""
        return self.replica.role is types.Role.LEADER

    def step(self, messages: list[object], now: float) -> None:
        """Processes messages from other members, then the timers."""
        for message in messages:
            step.receive(self.replica, message, now)
        self.counts["messages"] += len(messages)
        step.tick(self.replica, now)

    def propose(self, command: bytes, now: float, at_ms: int) -> int | None:
        """Appends an encoded command to the log.

        Returns:
            The index at which it commits if the term does not change, or None
            if this member may not propose commands.
        """
        accepts = membership.accepts_commands(self.replica)
        if not self.is_leader or not accepts:
            return None
        payload = types.COMMAND_KIND + state_machine.stamp_encoded(
            command, at_ms
        )
        return replication.propose(self.replica, payload, now)

    def take_ready(self) -> types.Ready:
        """Returns the messages and the state to persist in this round."""
        return replicas.take_ready(self.replica)

    def persist(self, ready: types.Ready) -> errors.StorageError | None:
        """Makes a round durable; may run outside the event loop's thread."""
        if ready.snapshot is not None:
            failure = self.wal.save_snapshot(ready.snapshot)
            if failure is not None:
                return failure
        hard_state = (ready.vote, ready.commit)
        if hard_state == (None, None) and not ready.entries:
            return None
        self.counts["syncs"] += 1
        self.counts["entries"] += len(ready.entries)
        return self.wal.write(ready.vote, ready.entries, ready.commit)

    def saved(self, ready: types.Ready) -> None:
        """Records that a round is durable."""
        if ready.snapshot is not None:
            _, state = snapshot.unpack(ready.snapshot.state)
            self.tables = state_machine.load(state)
            self.applied = ready.snapshot.index
            events.log(events.Event.SNAPSHOT_INSTALLED, self.applied)
            self._log_skipped(before=0)
        if ready.entries:
            last = ready.entries[-1]
            replication.saved(self.replica, last.index, last.term)

    def unapplied_commands(self) -> list[bytes]:
        """Returns the encoded commands after the last one applied.

        After a restart nobody may know yet which of them are committed.
        """
        log = self.replica.log
        count = log.last_index - self.applied
        return [
            entry.command[1:].partition(b" ")[2]
            for entry in log.slice(self.applied + 1, count)
            if entry.command[:1] == types.COMMAND_KIND
        ]

    def apply_next(self) -> Applied | None:
        """Applies the next committed log entry; None when there is none."""
        if self.applied >= self.replica.commit:
            return None
        self.applied += 1
        entry = self.replica.log.slice(self.applied, 1)[0]
        kind, payload = entry.command[:1], entry.command[1:]
        outcome = None
        before = self.tables.first_skipped
        if kind == types.COMMAND_KIND:
            outcome = state_machine.apply(self.tables, payload, self.applied)
        elif kind == types.MEMBERS_KIND:
            members = types.unpack_members(entry.command)
            events.log(
                events.Event.MEMBERS_CHANGED, members.voters, members.learners
            )
        elif kind != types.NOOP_KIND:
            state_machine.skip(self.tables, self.applied)
        self._log_skipped(before=before)
        return Applied(self.applied, entry.term, outcome)

    def due_snapshot(self) -> wal.Snapshot | None:
        """Returns a snapshot to save, at indices equal on all members.

        There is none after an entry of a later build was skipped: the log
        still holds it for a process of that build, a snapshot would not.
        """
        index = self.applied
        if index % self.snapshot_interval_entries or index <= max(
            self.replica.snapshots, default=0
        ):
            return None
        log = self.replica.log
        if (
            self.tables.first_skipped
            and log.bytes_up_to(index) <= MAX_KEPT_BYTES
        ):
            return None
        members = transfer.members_at(self.replica, index)
        packed = snapshot.pack(members, state_machine.dump(self.tables))
        return wal.Snapshot(index, self.replica.log.term_at(index), packed)

    def keep_snapshot(self, saved_snapshot: wal.Snapshot) -> None:
        """Serves a saved snapshot; the log entries it covers may be dropped."""
        transfer.retain_snapshot(
            self.replica, saved_snapshot.index, saved_snapshot.state
        )

    def _log_skipped(self, *, before: int) -> None:
        """Logs the first thing of a later build that was skipped."""
        if self.tables.first_skipped != before:
            events.warn(
                events.Event.LOG_ENTRY_SKIPPED, self.tables.first_skipped
            )
