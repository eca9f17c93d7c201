"""The log a member holds in memory: a snapshot point and what follows."""

from _arbutuswalk.agreement import types
from _arbutuswalk.storage import wal
from _arbutuswalk.wire.gen.arbutus import ttypes


class RaftLog:
    """Entries after a snapshot, with the members they set.

    Attributes:
        base_index: Index of the last entry the snapshot covers.
        base_term: Its term.
        entries: Entries from ``base_index + 1`` on.
        unsaved: Index of the first entry not yet handed out for saving.
        members_at: (index, members) pairs, oldest first; never empty.
    """

    def __init__(
        self,
        *,
        base_index: int = 0,
        base_term: int = 0,
        base_members: types.Members | None = None,
        entries: list[ttypes.Entry] | None = None,
    ):
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[ttypes.Entry] = []
        self.members_at = [(base_index, base_members or types.Members())]
        for entry in entries or []:
            self.append(entry)
        self.unsaved = self.last_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot point."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot point."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self) -> types.Members:
        """Members by the newest entry that sets them, committed or not."""
        return self.members_at[-1][1]

    def term_at(self, index: int) -> int | None:
        """Returns the term at ``index``; None outside what is held."""
        if index == self.base_index:
            return self.base_term
        offset = index - self.base_index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def append(self, entry: ttypes.Entry) -> int:
        """Adds an entry at the end and returns its index."""
        self.entries.append(entry)
        if entry.command[:1] == types.MEMBERS:
            members = types.unpack_members(entry.command)
            self.members_at.append((self.last_index, members))
        return self.last_index

    def truncate(self, from_index: int) -> None:
        """Removes the entry at ``from_index`` and all after it."""
        del self.entries[from_index - self.base_index - 1 :]
        while self.members_at[-1][0] >= from_index > self.base_index:
            if len(self.members_at) == 1:
                break
            self.members_at.pop()
        self.unsaved = min(self.unsaved, from_index)

    def slice(self, first: int, limit: int) -> list[ttypes.Entry]:
        """Returns up to ``limit`` entries from index ``first`` on."""
        offset = first - self.base_index - 1
        return self.entries[offset : offset + limit]

    def compact(self, index: int) -> None:
        """Forgets entries up to ``index``, which a snapshot now covers."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        covered = [pair for pair in self.members_at if pair[0] <= index]
        later = [pair for pair in self.members_at if pair[0] > index]
        self.members_at = [(index, covered[-1][1]), *later]

    def reset(self, index: int, term: int, members: types.Members) -> None:
        """Replaces everything by a snapshot point."""
        self.base_index = index
        self.base_term = term
        self.entries = []
        self.members_at = [(index, members)]
        self.unsaved = index + 1

    def members_before(self, index: int) -> types.Members:
        """Returns the members as of the entry at ``index``."""
        return [m for at, m in self.members_at if at <= index][-1]

    def take_unsaved(self) -> list[wal.LogEntry]:
        """Returns entries to make durable and marks them handed out."""
        first = self.unsaved
        fresh = self.slice(first, len(self.entries))
        self.unsaved = self.last_index + 1
        return [
            wal.LogEntry(first + i, entry.term, entry.command)
            for i, entry in enumerate(fresh)
        ]
