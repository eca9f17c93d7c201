"""Segmented write-ahead log with snapshots beside it.

Segments hold entry and vote records in the order they were written. An entry
whose index is not above the last one replaces it and all after it. Every
segment starts with the vote in force, so that old segments can be removed.
"""

import struct
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.storage import errors
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import records

SEGMENT_BYTES = 8 * 1024 * 1024
SNAPSHOTS_KEPT = 2

ENTRY_KIND = b"E"
VOTE_KIND = b"V"
COMMIT_KIND = b"C"
IDENTITY_NAME = "identity"
_ENTRY_HEAD = struct.Struct(">QQ")
_VOTE_HEAD = struct.Struct(">Q")
_COMMIT = struct.Struct(">Q")
_SNAPSHOT_HEAD = struct.Struct(">QQ")


class Vote(NamedTuple):
    """The durable vote: highest term seen and who got the vote in it."""

    term: int
    voted_for: str


class LogEntry(NamedTuple):
    """One durable log entry."""

    index: int
    term: int
    command: bytes


class Snapshot(NamedTuple):
    """State of all tables after the entry at ``index``."""

    index: int
    term: int
    state: bytes


class Recovered(NamedTuple):
    """What a restart finds.

    Attributes:
        vote: Last durable vote.
        snapshot: Newest good snapshot, if any.
        entries: Entries after the snapshot, without gaps.
        commit: Index up to which entries were known to be committed; more of
            them may be.
    """

    vote: Vote
    snapshot: Snapshot | None
    entries: list[LogEntry]
    commit: int = 0


class Wal:
    """The log of one member on its folder.

    Attributes:
        folder: Where the files are.
        segment: Name of the file being appended to.
        segment_size: Its size in bytes.
        vote: Last vote written.
        commit: Last commit index written.
        last_index: Index of the last entry written.
        last_of: Last entry index in each segment, for removal.
        base: Index of the snapshot that recovery started from.
    """

    def __init__(self, *, folder: folder.Folder, segment_bytes=SEGMENT_BYTES):
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.segment = ""
        self.segment_size = 0
        self.vote = Vote(0, "")
        self.commit = 0
        self.last_index = 0
        self.last_of: dict[str, int] = {}
        self.base = 0

    def recover(self) -> Recovered | errors.StorageError:
        """Reads everything; cuts a torn tail, refuses corruption."""
        snapshot = self._best_snapshot()
        if isinstance(snapshot, errors.StorageError):
            return snapshot
        base = snapshot.index if snapshot else 0
        self.base = base
        entries: list[LogEntry] = []
        names = self._segments()
        for name in names:
            failure = self._read_segment(name, name == names[-1], entries)
            if failure is not None:
                return failure
        entries = [entry for entry in entries if entry.index > base]
        if entries and entries[0].index != base + 1:
            reason = f"entries {base + 1} to {entries[0].index - 1} missing"
            return errors.Corrupt(path=names[0], offset=0, reason=reason)
        self.last_index = entries[-1].index if entries else base
        failure = self._open_segment(names)
        if failure is not None:
            return failure
        last = self.last_index
        events.log(events.Event.LOG_RECOVERED, base + 1, last, base)
        self.commit = max(base, min(self.commit, last))
        return Recovered(self.vote, snapshot, entries, self.commit)

    def write(
        self,
        vote: Vote | None,
        entries: list[LogEntry],
        commit: int | None = None,
    ) -> errors.StorageError | None:
        """Appends one batch and syncs once.

        A commit index follows the entries, so that it never survives a crash
        that they do not.
        """
        parts = []
        if vote is not None:
            self.vote = vote
            parts.append(records.pack(_pack_vote(vote)))
        parts += [records.pack(_pack_entry(entry)) for entry in entries]
        if commit is not None:
            self.commit = commit
            parts.append(records.pack(_pack_commit(commit)))
        data = b"".join(parts)
        failure = self.folder.append(self.segment, data) or self.folder.sync(
            self.segment
        )
        if failure is not None:
            return failure
        self.segment_size += len(data)
        if entries:
            self.last_index = entries[-1].index
            self.last_of[self.segment] = max(
                self.last_of[self.segment], self.last_index
            )
        if self.segment_size >= self.segment_bytes:
            return self._rotate()
        return None

    def save_snapshot(self, snapshot: Snapshot) -> errors.StorageError | None:
        """Makes a snapshot durable, then removes what it replaces."""
        head = _SNAPSHOT_HEAD.pack(snapshot.index, snapshot.term)
        data = records.pack(head + snapshot.state)
        failure = self.folder.replace(_snapshot_name(snapshot.index), data)
        if failure is not None:
            return failure
        events.log(events.Event.SNAPSHOT_WRITTEN, snapshot.index, len(data))
        self.last_index = max(self.last_index, snapshot.index)
        failure = self._rotate()
        if failure is not None:
            return failure
        kept = self._snapshots()[-SNAPSHOTS_KEPT:]
        for name in self._snapshots()[:-SNAPSHOTS_KEPT]:
            self.folder.remove(name)
        self._remove_segments(up_to=_snapshot_index(kept[0]))
        return self.folder.sync_folder()

    def _segments(self) -> list[str]:
        return [n for n in self.folder.names() if n.startswith("segment-")]

    def _snapshots(self) -> list[str]:
        return [n for n in self.folder.names() if n.startswith("snapshot-")]

    def _best_snapshot(self) -> Snapshot | None | errors.StorageError:
        """Returns the newest readable snapshot.

        Segments reach back to the oldest snapshot kept, so an unreadable
        newest one costs a longer replay; a gap shows if it cannot.
        """
        failure = None
        for name in reversed(self._snapshots()):
            snapshot = self._read_snapshot(name)
            if isinstance(snapshot, Snapshot):
                return snapshot
            failure = failure or snapshot
        return failure

    def _read_snapshot(self, name: str) -> Snapshot | errors.StorageError:
        scan = records.scan(self.folder.read(name))
        if scan.torn or scan.fault or len(scan.payloads) != 1:
            reason = scan.fault or "incomplete snapshot"
            return errors.Corrupt(
                path=name, offset=scan.good_bytes, reason=reason
            )
        payload = scan.payloads[0]
        index, term = _SNAPSHOT_HEAD.unpack_from(payload)
        return Snapshot(index, term, payload[_SNAPSHOT_HEAD.size :])

    def _read_segment(
        self, name: str, is_last: bool, entries: list[LogEntry]
    ) -> errors.StorageError | None:
        scan = records.scan(self.folder.read(name))
        if scan.fault or (scan.torn and not is_last):
            reason = scan.fault or "record cut short"
            return errors.Corrupt(
                path=name, offset=scan.good_bytes, reason=reason
            )
        if scan.torn:
            events.warn(events.Event.LOG_TAIL_CUT, name, scan.good_bytes)
            failure = self.folder.truncate(name, scan.good_bytes)
            if failure is not None:
                return failure
        self.last_of[name] = 0
        for payload in scan.payloads:
            failure = self._read_record(name, payload, entries)
            if failure is not None:
                return failure
        self.segment_size = scan.good_bytes
        return None

    def _read_record(
        self, name: str, payload: bytes, entries: list[LogEntry]
    ) -> errors.StorageError | None:
        if payload[:1] == VOTE_KIND:
            self.vote = _unpack_vote(payload)
            return None
        if payload[:1] == COMMIT_KIND:
            (self.commit,) = _COMMIT.unpack_from(payload, 1)
            return None
        entry = _unpack_entry(payload)
        while entries and entries[-1].index >= entry.index:
            entries.pop()
        if entry.index <= self.base + 1:
            entries.clear()  # the snapshot covers whatever came before
        if entries and entries[-1].index != entry.index - 1:
            reason = f"entry {entry.index} follows {entries[-1].index}"
            return errors.Corrupt(path=name, offset=0, reason=reason)
        entries.append(entry)
        self.last_of[name] = max(self.last_of[name], entry.index)
        return None

    def _open_segment(self, names: list[str]) -> errors.StorageError | None:
        if not names:
            return self._rotate()
        self.segment = names[-1]
        return None

    def _rotate(self) -> errors.StorageError | None:
        number = int(self.segment[8:-4]) + 1 if self.segment else 1
        self.segment = f"segment-{number:012d}.log"
        self.last_of[self.segment] = 0
        data = records.pack(_pack_vote(self.vote))
        data += records.pack(_pack_commit(self.commit))
        self.segment_size = len(data)
        return (
            self.folder.append(self.segment, data)
            or self.folder.sync(self.segment)
            or self.folder.sync_folder()
        )

    def _remove_segments(self, *, up_to: int) -> None:
        for name in self._segments():
            if name == self.segment or self.last_of.get(name, 0) > up_to:
                return
            self.folder.remove(name)
            self.last_of.pop(name, None)


def _snapshot_name(index: int) -> str:
    return f"snapshot-{index:020d}.snap"


def _snapshot_index(name: str) -> int:
    return int(name[len("snapshot-") : -len(".snap")])


def _pack_entry(entry: LogEntry) -> bytes:
    head = _ENTRY_HEAD.pack(entry.index, entry.term)
    return ENTRY_KIND + head + entry.command


def _unpack_entry(payload: bytes) -> LogEntry:
    index, term = _ENTRY_HEAD.unpack_from(payload, 1)
    return LogEntry(index, term, payload[1 + _ENTRY_HEAD.size :])


def _pack_vote(vote: Vote) -> bytes:
    return VOTE_KIND + _VOTE_HEAD.pack(vote.term) + vote.voted_for.encode()


def _pack_commit(commit: int) -> bytes:
    return COMMIT_KIND + _COMMIT.pack(commit)


def _unpack_vote(payload: bytes) -> Vote:
    (term,) = _VOTE_HEAD.unpack_from(payload, 1)
    return Vote(term, payload[1 + _VOTE_HEAD.size :].decode())
