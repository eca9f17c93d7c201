"""Segmented write-ahead log, and snapshots in the same folder.

Segments hold entry, vote and commit records in the order they were written. An
entry replaces any earlier entry with the same or a higher index. Every segment
starts with the current vote and commit index, so that older segments can be
removed.
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
MEMBER_ID_FILE = "identity"
FOUNDERS_FILE = "founders"
"""Exists in a folder that was created at the first start of the system."""
_ENTRY_HEADER = struct.Struct(">QQ")
_VOTE_TERM = struct.Struct(">Q")
_COMMIT_INDEX = struct.Struct(">Q")
_SNAPSHOT_HEADER = struct.Struct(">QQ")


class Vote(NamedTuple):
    """The durable vote: highest term seen and the candidate voted for."""

    term: int
    voted_for: str


class LogEntry(NamedTuple):
    """A durable log entry."""

    index: int
    term: int
    command: bytes


class Snapshot(NamedTuple):
    """State of all tables after the entry at ``index``."""

    index: int
    term: int
    state: bytes


class Recovered(NamedTuple):
    """Durable state found at a restart.

    Attributes:
        vote: Last durable vote.
        snapshot: Newest readable snapshot, if any.
        entries: Entries after the snapshot, without gaps.
        commit: Index up to which entries were known to be committed; later
            ones may be committed too.
    """

    vote: Vote
    snapshot: Snapshot | None
    entries: list[LogEntry]
    commit: int = 0


class Wal:
    """The write-ahead log of one member.

    Attributes:
        folder: The data folder.
        segment_bytes: Size in bytes at which a new segment is started.
        segment_name: Name of the file being appended to.
        segment_size: Size of that file in bytes.
        vote: Last vote written.
        commit: Last commit index written.
        last_index: Index of the last entry written.
        last_index_by_segment: Highest entry index in each segment, which
            decides when the segment can be removed.
        snapshot_index: Index of the snapshot that recovery started from, or 0.
        has_failed_tail: Whether a failed write may have left bytes after
            ``segment_size``.
    """

    def __init__(self, *, folder: folder.Folder, segment_bytes=SEGMENT_BYTES):
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.segment_name = ""
        self.segment_size = 0
        self.vote = Vote(0, "")
        self.commit = 0
        self.last_index = 0
        self.last_index_by_segment: dict[str, int] = {}
        self.snapshot_index = 0
        self.has_failed_tail = False

    def recover(self) -> Recovered | errors.StorageError:
        """Reads the whole log; truncates a torn tail, fails on corruption.

        All that it returns is durable, so that the member may acknowledge it.
        """
        failure = self.folder.sync_all()
        if failure is not None:
            return failure
        snapshot = self._newest_readable_snapshot()
        if isinstance(snapshot, errors.StorageError):
            return snapshot
        snapshot_index = snapshot.index if snapshot else 0
        self.snapshot_index = snapshot_index
        entries: list[LogEntry] = []
        names = self._segment_names()
        for name in names:
            failure = self._read_segment(name, name == names[-1], entries)
            if failure is not None:
                return failure
        entries = [entry for entry in entries if entry.index > snapshot_index]
        if entries and entries[0].index != snapshot_index + 1:
            reason = (
                f"entries {snapshot_index + 1} to {entries[0].index - 1}"
                " missing"
            )
            return errors.Corrupt(path=names[0], offset=0, reason=reason)
        self.last_index = entries[-1].index if entries else snapshot_index
        failure = self._open_last_segment(names)
        if failure is not None:
            return failure
        last_index = self.last_index
        events.log(
            events.Event.LOG_RECOVERED,
            snapshot_index + 1,
            last_index,
            snapshot_index,
        )
        self.commit = max(snapshot_index, min(self.commit, last_index))
        return Recovered(self.vote, snapshot, entries, self.commit)

    def write(
        self,
        vote: Vote | None,
        entries: list[LogEntry],
        commit: int | None = None,
    ) -> errors.StorageError | None:
        """Appends one batch and syncs once.

        The commit index is written after the entries, so that it cannot survive
        a crash that loses them.
        """
        packed_records = []
        if vote is not None:
            self.vote = vote
            packed_records.append(records.pack(_pack_vote(vote)))
        packed_records += [
            records.pack(_pack_entry(entry)) for entry in entries
        ]
        if commit is not None:
            self.commit = commit
            packed_records.append(records.pack(_pack_commit(commit)))
        data = b"".join(packed_records)
        failure = self._discard_failed_tail()
        if failure is not None:
            return failure
        failure = self.folder.append(
            self.segment_name, data
        ) or self.folder.sync(self.segment_name)
        if failure is not None:
            self.has_failed_tail = True
            return failure
        self.segment_size += len(data)
        if entries:
            self.last_index = entries[-1].index
            self.last_index_by_segment[self.segment_name] = max(
                self.last_index_by_segment[self.segment_name], self.last_index
            )
        if self.segment_size >= self.segment_bytes:
            return self._start_new_segment_if_possible()
        return None

    def save_snapshot(self, snapshot: Snapshot) -> errors.StorageError | None:
        """Makes a snapshot durable, then removes obsolete files."""
        header = _SNAPSHOT_HEADER.pack(snapshot.index, snapshot.term)
        data = records.pack(header + snapshot.state)
        failure = self.folder.replace(_snapshot_name(snapshot.index), data)
        if failure is not None:
            return failure
        events.log(events.Event.SNAPSHOT_WRITTEN, snapshot.index, len(data))
        self.last_index = max(self.last_index, snapshot.index)
        failure = self._start_new_segment()
        if failure is not None:
            return failure
        retained = self._snapshot_names()[-SNAPSHOTS_KEPT:]
        for name in self._snapshot_names()[:-SNAPSHOTS_KEPT]:
            self.folder.remove(name)
        self._remove_segments(up_to=_snapshot_index(retained[0]))
        return self.folder.sync_folder()

    def _segment_names(self) -> list[str]:
        return [
            name
            for name in self.folder.file_names()
            if name.startswith("segment-")
        ]

    def _snapshot_names(self) -> list[str]:
        return [
            name
            for name in self.folder.file_names()
            if name.startswith("snapshot-")
        ]

    def _newest_readable_snapshot(
        self,
    ) -> Snapshot | None | errors.StorageError:
        """Returns the newest readable snapshot.

        Segments are kept from the oldest retained snapshot on, so an unreadable
        newest snapshot only makes the replay longer. If entries are missing,
        recovery reports the gap.
        """
        first_failure = None
        for name in reversed(self._snapshot_names()):
            snapshot = self._read_snapshot(name)
            if isinstance(snapshot, Snapshot):
                return snapshot
            first_failure = first_failure or snapshot
        return first_failure

    def _read_snapshot(self, name: str) -> Snapshot | errors.StorageError:
        scan = records.scan(self.folder.read(name))
        if scan.torn or scan.corruption or len(scan.payloads) != 1:
            reason = scan.corruption or "incomplete snapshot"
            return errors.Corrupt(
                path=name, offset=scan.valid_bytes, reason=reason
            )
        payload = scan.payloads[0]
        index, term = _SNAPSHOT_HEADER.unpack_from(payload)
        return Snapshot(index, term, payload[_SNAPSHOT_HEADER.size :])

    def _read_segment(
        self, name: str, is_last: bool, entries: list[LogEntry]
    ) -> errors.StorageError | None:
        scan = records.scan(self.folder.read(name))
        if scan.corruption or (scan.torn and not is_last):
            reason = scan.corruption or "record cut short"
            return errors.Corrupt(
                path=name, offset=scan.valid_bytes, reason=reason
            )
        if scan.torn:
            events.warn(events.Event.LOG_TAIL_CUT, name, scan.valid_bytes)
            failure = self.folder.truncate(name, scan.valid_bytes)
            if failure is not None:
                return failure
        self.last_index_by_segment[name] = 0
        for payload in scan.payloads:
            failure = self._replay_record(name, payload, entries)
            if failure is not None:
                return failure
        self.segment_size = scan.valid_bytes
        return None

    def _replay_record(
        self, name: str, payload: bytes, entries: list[LogEntry]
    ) -> errors.StorageError | None:
        if payload[:1] == VOTE_KIND:
            # A segment whose removal was not durable may state an older vote.
            self.vote = max(self.vote, _unpack_vote(payload), key=_vote_order)
            return None
        if payload[:1] == COMMIT_KIND:
            (self.commit,) = _COMMIT_INDEX.unpack_from(payload, 1)
            return None
        entry = _unpack_entry(payload)
        while entries and entries[-1].index >= entry.index:
            entries.pop()
        if entry.index <= self.snapshot_index + 1:
            entries.clear()  # the snapshot covers all earlier ones
        if entries and entries[-1].index != entry.index - 1:
            reason = f"entry {entry.index} follows {entries[-1].index}"
            return errors.Corrupt(path=name, offset=0, reason=reason)
        entries.append(entry)
        self.last_index_by_segment[name] = max(
            self.last_index_by_segment[name], entry.index
        )
        return None

    def _open_last_segment(
        self, names: list[str]
    ) -> errors.StorageError | None:
        if not names:
            return self._start_new_segment()
        self.segment_name = names[-1]
        return None

    def _start_new_segment_if_possible(self) -> errors.StorageError | None:
        """Starts a new segment; keeps the current one if the disk is full."""
        failure = self._start_new_segment()
        if isinstance(failure, errors.DiskFull):
            events.record(events.Event.DISK_REFUSED, errors.describe(failure))
            return None
        return failure

    def _discard_failed_tail(self) -> errors.StorageError | None:
        """Truncates what a failed write left, before anything follows it."""
        if not self.has_failed_tail:
            return None
        failure = self.folder.truncate(self.segment_name, self.segment_size)
        self.has_failed_tail = failure is not None
        return failure

    def _start_new_segment(self) -> errors.StorageError | None:
        failure = self._discard_failed_tail()
        if failure is not None:
            return failure
        number = int(self.segment_name[8:-4]) + 1 if self.segment_name else 1
        name = f"segment-{number:012d}.log"
        data = records.pack(_pack_vote(self.vote))
        data += records.pack(_pack_commit(self.commit))
        failure = (
            self.folder.append(name, data)
            or self.folder.sync(name)
            or self.folder.sync_folder()
        )
        if failure is not None:
            self.folder.remove(name)
            return failure
        self.segment_name = name
        self.last_index_by_segment[name] = 0
        self.segment_size = len(data)
        return None

    def _remove_segments(self, *, up_to: int) -> None:
        for name in self._segment_names():
            if (
                name == self.segment_name
                or self.last_index_by_segment.get(name, 0) > up_to
            ):
                return
            self.folder.remove(name)
            self.last_index_by_segment.pop(name, None)


def _snapshot_name(index: int) -> str:
    return f"snapshot-{index:020d}.snap"


def _snapshot_index(name: str) -> int:
    return int(name[len("snapshot-") : -len(".snap")])


def _pack_entry(entry: LogEntry) -> bytes:
    header = _ENTRY_HEADER.pack(entry.index, entry.term)
    return ENTRY_KIND + header + entry.command


def _unpack_entry(payload: bytes) -> LogEntry:
    index, term = _ENTRY_HEADER.unpack_from(payload, 1)
    return LogEntry(index, term, payload[1 + _ENTRY_HEADER.size :])


def _pack_vote(vote: Vote) -> bytes:
    return VOTE_KIND + _VOTE_TERM.pack(vote.term) + vote.voted_for.encode()


def _vote_order(vote: Vote) -> tuple[int, bool]:
    return vote.term, bool(vote.voted_for)


def _pack_commit(commit: int) -> bytes:
    return COMMIT_KIND + _COMMIT_INDEX.pack(commit)


def _unpack_vote(payload: bytes) -> Vote:
    (term,) = _VOTE_TERM.unpack_from(payload, 1)
    return Vote(term, payload[1 + _VOTE_TERM.size :].decode())
