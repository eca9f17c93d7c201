"""State of one member of the replicated log."""

import random
from typing import NamedTuple

from _arbutuswalk.agreement import raftlog
from _arbutuswalk.agreement import types
from _arbutuswalk.storage import wal


class Progress:
    """What the leader knows of another member.

    Attributes:
        next_index: First entry to send next.
        match_index: Last entry known to be durable there.
        acked_at: Leader's time at which the newest answered message was sent.
        added_at: Leader's time at which it began to track the member.
        heard_at: Leader's time at which the member last answered.
        in_flight: Entries sent and not yet answered.
        sent_at: When entries were last sent.
    """

    def __init__(self, *, next_index: int, now: float):
        self.next_index = next_index
        self.match_index = 0
        self.acked_at = float("-inf")
        self.added_at = now
        self.heard_at = now
        self.in_flight = 0
        self.sent_at = float("-inf")


class Transfer:
    """A snapshot being received.

    Attributes:
        index: Last entry it covers.
        term: That entry's term.
        total: Size in bytes.
        checksum: CRC-32 of the whole.
        sources: Members that may have it.
        data: What came in so far.
        asked_at: When the last piece was asked for.
        attempts: Pieces asked for, which picks the source.
    """

    def __init__(
        self,
        *,
        index: int,
        term: int,
        total: int,
        checksum: int,
        sources: list[str],
    ):
        self.index = index
        self.term = term
        self.total = total
        self.checksum = checksum
        self.sources = sources
        self.data = bytearray()
        self.asked_at = float("-inf")
        self.attempts = 0


class Seen(NamedTuple):
    """A member that said hello.

    Attributes:
        address: ``IP:port`` where it listens.
        group: Group it belongs to, or empty.
        at: When it was heard.
    """

    address: str
    group: str
    at: float


class Replica:
    """One member's part in the replicated log.

    Attributes:
        member: Own id, new with every data folder.
        address: ``IP:port`` it listens on.
        timing: Durations.
        rng: Draws election delays and the group's name.
        target_voters: How many voters the group should have.
        peers: Configured addresses, own included, that found a new group.
        term: Highest term seen.
        voted_for: Who got this member's vote in ``term``.
        vote_changed: Whether the two above wait to be made durable.
        role: Current role.
        leader: Leader of ``term`` if known, or empty.
        heard_at: When a live leader was last heard, or the start.
        election_at: When to stand for election.
        votes: Who granted a vote in the current (trial) election.
        log: Entries held in memory.
        durable_index: Last own entry known to be durable.
        commit: Last entry known to be committed.
        commit_taken: Commit index last handed out to be made durable.
        progress: Other members, on the leader.
        term_start: Index of the leader's first entry in its term.
        heartbeat_at: When the leader sends again.
        outbox: Messages to send.
        transfer: Snapshot being received.
        snapshots: Packed snapshots that can be served, by index.
        installed: Snapshot that waits to be made durable.
        seen: Members that said hello, by id.
        replace_asked: Voter whose replacement an operator ordered.
    """

    def __init__(
        self,
        *,
        member: str,
        address: str,
        timing: types.Timing,
        rng: random.Random,
        now: float,
        target_voters: int = 3,
        peers: tuple[str, ...] = (),
        vote: wal.Vote | None = None,
        log: raftlog.RaftLog | None = None,
        commit: int = 0,
    ):
        self.member = member
        self.address = address
        self.timing = timing
        self.rng = rng
        self.target_voters = target_voters
        self.peers = peers
        self.term = vote.term if vote else 0
        self.voted_for = vote.voted_for if vote else ""
        self.vote_changed = False
        self.role = types.Role.FOLLOWER
        self.leader = ""
        # A restart forgets which leader was heard; waiting a whole election
        # timeout keeps the promise that leader's lease rests on.
        self.heard_at = now
        self.election_at = now + timing.election_s * (1 + rng.random())
        self.votes: set[str] = set()
        self.log = log or raftlog.RaftLog()
        self.durable_index = self.log.last_index
        self.commit = max(self.log.base_index, commit)
        self.commit_taken = self.commit
        self.progress: dict[str, Progress] = {}
        self.term_start = 0
        self.heartbeat_at = now
        self.outbox: list[types.Outgoing] = []
        self.transfer: Transfer | None = None
        self.snapshots: dict[int, bytes] = {}
        self.installed: wal.Snapshot | None = None
        self.seen: dict[str, Seen] = {}
        self.replace_asked = ""

    @property
    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.member in self.log.members.voters

    def send(self, to: str, message: object, *, after_sync: bool) -> None:
        """Queues a message."""
        self.outbox.append(types.Outgoing(to, message, after_sync))


def is_quorum(voters: tuple[str, ...], agreeing: set[str]) -> bool:
    """Tells whether ``agreeing`` holds a majority of ``voters``."""
    return len(agreeing.intersection(voters)) * 2 > len(voters)


def take_ready(replica: Replica) -> types.Ready:
    """Returns and clears the work that waits to be done."""
    vote = None
    if replica.vote_changed:
        vote = wal.Vote(replica.term, replica.voted_for)
    outbox, replica.outbox = replica.outbox, []
    snapshot, replica.installed = replica.installed, None
    replica.vote_changed = False
    commit = None
    if replica.commit > replica.commit_taken:
        commit = replica.commit_taken = replica.commit
    return types.Ready(
        early=[out for out in outbox if not out.after_sync],
        snapshot=snapshot,
        vote=vote,
        entries=replica.log.take_unsaved(),
        late=[out for out in outbox if out.after_sync],
        commit=commit,
    )
