"""The in-memory log of a member: a snapshot position and later entries."""

from _arbutuswalk.agreement import types
from _arbutuswalk.storage import wal
from _arbutuswalk.wire.gen.arbutus import ttypes


class RaftLog:
    """Entries after a snapshot, with the membership changes among them.

    Attributes:
        snapshot_index: Index of the last entry the snapshot covers.
        snapshot_term: Term of that entry.
        entries: Entries from ``snapshot_index + 1`` on.
        first_unsaved: Index of the first entry not yet taken for saving.
        membership_history: (index, members) pairs, oldest first; never empty.
            A pair gives the members from that index on.
    """

    def __init__(
        self,
        *,
        snapshot_index: int = 0,
        snapshot_term: int = 0,
        snapshot_members: types.Members | None = None,
        entries: list[ttypes.Entry] | None = None,
    ):
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self.entries: list[ttypes.Entry] = []
        self.membership_history = [
            (snapshot_index, snapshot_members or types.Members())
        ]
        for entry in entries or []:
            self.append(entry)
        self.first_unsaved = self.last_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or the snapshot's if there is none."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or the snapshot's if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def members(self) -> types.Members:
        """Members set by the newest membership entry, committed or not."""
        return self.membership_history[-1][1]

    def term_at(self, index: int) -> int | None:
        """Returns the term at ``index``; None if the log lacks that entry."""
        if index == self.snapshot_index:
            return self.snapshot_term
        offset = index - self.snapshot_index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def append(self, entry: ttypes.Entry) -> int:
        """Appends an entry and returns its index."""
        self.entries.append(entry)
        if entry.command[:1] == types.MEMBERS_KIND:
            members = types.unpack_members(entry.command)
            self.membership_history.append((self.last_index, members))
        return self.last_index

    def truncate(self, from_index: int) -> None:
        """Removes the entry at ``from_index`` and all after it."""
        del self.entries[from_index - self.snapshot_index - 1 :]
        while (
            self.membership_history[-1][0] >= from_index > self.snapshot_index
        ):
            if len(self.membership_history) == 1:
                break
            self.membership_history.pop()
        self.first_unsaved = min(self.first_unsaved, from_index)

    def slice(self, first: int, limit: int) -> list[ttypes.Entry]:
        """Returns up to ``limit`` entries from index ``first`` on."""
        offset = first - self.snapshot_index - 1
        return self.entries[offset : offset + limit]

    def bytes_up_to(self, index: int) -> int:
        """Returns the size of the entries in memory up to ``index``."""
        entries = self.entries[: index - self.snapshot_index]
        return sum(len(entry.command) for entry in entries)

    def compact(self, index: int) -> None:
        """Drops the entries up to ``index``, which a snapshot now covers."""
        term = self.term_at(index)
        if term is None or index <= self.snapshot_index:
            return
        del self.entries[: index - self.snapshot_index]
        self.snapshot_index = index
        self.snapshot_term = term
        covered = [
            change for change in self.membership_history if change[0] <= index
        ]
        later = [
            change for change in self.membership_history if change[0] > index
        ]
        self.membership_history = [(index, covered[-1][1]), *later]

    def reset(self, index: int, term: int, members: types.Members) -> None:
        """Replaces the whole log by the position of a snapshot."""
        self.snapshot_index = index
        self.snapshot_term = term
        self.entries = []
        self.membership_history = [(index, members)]
        self.first_unsaved = index + 1

    def members_at_index(self, index: int) -> types.Members:
        """Returns the members as of the entry at ``index``."""
        return self.membership_at(index)[1]

    def membership_at(self, index: int) -> tuple[int, types.Members]:
        """Returns the members as of ``index``, and since which index."""
        return [
            change for change in self.membership_history if change[0] <= index
        ][-1]

    def take_unsaved(self) -> list[wal.LogEntry]:
        """Returns the entries to make durable and marks them as taken."""
        first = self.first_unsaved
        unsaved = self.slice(first, len(self.entries))
        self.first_unsaved = self.last_index + 1
        return [
            wal.LogEntry(first + i, entry.term, entry.command)
            for i, entry in enumerate(unsaved)
        ]
