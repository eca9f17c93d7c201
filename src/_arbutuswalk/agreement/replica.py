"""State of one member of the replicated log."""

import random
from typing import NamedTuple

from _arbutuswalk.agreement import raftlog
from _arbutuswalk.agreement import types
from _arbutuswalk.storage import wal


class Progress:
    """The leader's view of another member.

    Attributes:
        next_index: First entry to send next.
        match_index: Last entry known to be durable on the member.
        acked_sent_at: Leader's time at which it sent the newest acknowledged
            message.
        tracked_since: Leader's time at which it started to track the member.
        last_reply_at: Leader's time at which the member last answered.
        in_flight: Entries sent and not yet acknowledged.
        entries_sent_at: When entries were last sent.
    """

    def __init__(self, *, next_index: int, now: float):
        self.next_index = next_index
        self.match_index = 0
        self.acked_sent_at = float("-inf")
        self.tracked_since = now
        self.last_reply_at = now
        self.in_flight = 0
        self.entries_sent_at = float("-inf")

    @property
    def has_replied(self) -> bool:
        """Whether the member has answered since it is tracked."""
        return self.acked_sent_at != float("-inf")


class Transfer:
    """A snapshot being received.

    Attributes:
        index: Index of the last entry it covers.
        term: Term of that entry.
        total_bytes: Size in bytes.
        checksum: CRC-32 of the whole snapshot.
        sources: Members that may have it.
        data: Bytes received so far.
        requested_at: When the last piece was requested.
        source_position: Position in ``sources``, modulo their number, of the
            member to request the next piece from.
    """

    def __init__(
        self,
        *,
        index: int,
        term: int,
        total_bytes: int,
        checksum: int,
        sources: list[str],
    ):
        self.index = index
        self.term = term
        self.total_bytes = total_bytes
        self.checksum = checksum
        self.sources = sources
        self.data = bytearray()
        self.requested_at = float("-inf")
        self.source_position = 0


class Seen(NamedTuple):
    """A member that sent a ``Hello``.

    Attributes:
        address: ``IP:port`` where it listens.
        group: Group it belongs to, or empty.
        at: When the message came in.
        since: When the first one came in after a time without any.
        leaving: Whether its process is about to end.
        domain: Its failure domain, empty if unknown.
    """

    address: str
    group: str
    at: float
    since: float
    leaving: bool = False
    domain: str = ""


class HeardMembership(NamedTuple):
    """The newest committed membership that another member stated.

    Attributes:
        group: Group whose membership it is.
        index: Log index of the change that set it, or of a later snapshot.
        addresses: ``IP:port`` of each member id.
    """

    group: str = ""
    index: int = 0
    addresses: dict[str, str] = {}


class Replica:
    """State of one member of the replicated log.

    Attributes:
        member: This member's id, new with every data folder.
        address: ``IP:port`` it listens on.
        timing: Timeouts and intervals.
        rng: Source of election delays and of the group's random name.
        target_voters: How many voters the group should have.
        domain: This member's failure domain, empty if unknown.
        domain_losses: Failure domains that may be lost at once.
        peers: Configured addresses of other members, perhaps with its own.
        founders: Addresses, including its own, of the members that bootstrap a
            group; none unless the folder dates from the system's first start.
        term: Highest term seen.
        voted_for: Candidate that has this member's vote in ``term``, or empty.
        vote_unsaved: Whether ``term`` and ``voted_for`` are yet to be saved.
        role: Current role.
        leader: Leader of ``term`` if known, or empty.
        leader_heard_at: When the leader was last heard from, or the start
            time.
        contact_at: When a leader was last heard from, minus infinity if none
            was since the start.
        election_due_at: When to start an election unless a leader is heard
            from.
        granted_by: Voters that granted a vote in the current (trial) election.
        log: Entries held in memory.
        durable_index: Last entry known to be durable on this member.
        commit: Last entry known to be committed.
        last_taken_commit: Commit index last returned to be made durable.
        progress: The leader's view of each other member, by id.
        term_start_index: Index of the leader's first entry in its term.
        next_heartbeat_at: When the leader sends its next heartbeat.
        outbox: Messages to send.
        transfer: Snapshot being received.
        snapshots: Packed snapshots that can be served, by index.
        installed_snapshot: Received snapshot that is yet to be made durable.
        seen_members: Members that sent a ``Hello``, by id.
        replacement_requested: Voter that an operator wants replaced, or empty.
        heard_membership: Newest membership that another member stated; a member
            that was removed, or is yet to join, does not receive the log.
        leaving: Whether this member's process is about to end.
        removed_at: When this leader removed members, those of late.
        quorum_loss_logged: Whether the present lack of a majority is logged.
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
        founders: tuple[str, ...] = (),
        domain: str = "",
        domain_losses: int = 0,
    ):
        self.member = member
        self.address = address
        self.timing = timing
        self.rng = rng
        self.target_voters = target_voters
        self.domain = domain
        self.domain_losses = domain_losses
        self.peers = peers
        self.founders = founders
        self.term = vote.term if vote else 0
        self.voted_for = vote.voted_for if vote else ""
        self.vote_unsaved = False
        self.role = types.Role.FOLLOWER
        self.leader = ""
        # A restarted member does not know which leader it last heard from.
        # Waiting a full election timeout keeps that leader's lease valid.
        self.leader_heard_at = now
        self.contact_at = float("-inf")
        self.election_due_at = now + timing.election_s * (1 + rng.random())
        self.granted_by: set[str] = set()
        self.log = log or raftlog.RaftLog()
        self.durable_index = self.log.last_index
        self.commit = max(self.log.snapshot_index, commit)
        self.last_taken_commit = self.commit
        self.progress: dict[str, Progress] = {}
        self.term_start_index = 0
        self.next_heartbeat_at = now
        self.outbox: list[types.Outgoing] = []
        self.transfer: Transfer | None = None
        self.snapshots: dict[int, bytes] = {}
        self.installed_snapshot: wal.Snapshot | None = None
        self.seen_members: dict[str, Seen] = {}
        self.replacement_requested = ""
        self.heard_membership = HeardMembership()
        self.leaving = False
        self.removed_at: dict[str, float] = {}
        self.quorum_loss_logged = False

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of the group."""
        return self.member in self.log.members.voters

    def send(self, to: str, message: object, *, after_sync: bool) -> None:
        """Queues a message, with ``after_sync`` until the state is synced."""
        self.outbox.append(types.Outgoing(to, message, after_sync))


def was_removed(replica: Replica) -> bool:
    """Returns whether another member stated a membership without this one."""
    heard = replica.heard_membership
    own_index, _ = replica.log.membership_history[-1]
    return (
        heard.group == replica.log.members.group
        and heard.index >= own_index
        and replica.member not in heard.addresses
    )


def is_quorum(voters: tuple[str, ...], agreeing: set[str]) -> bool:
    """Returns whether ``agreeing`` includes a majority of ``voters``."""
    return len(agreeing.intersection(voters)) * 2 > len(voters)


def silent_s(replica: Replica, member: str, now: float) -> float | None:
    """Returns the seconds since a member was last heard from; None if never."""
    heard_at = []
    progress = replica.progress.get(member)
    if progress is not None and progress.has_replied:
        heard_at.append(progress.last_reply_at)
    seen = replica.seen_members.get(member)
    if seen is not None:
        heard_at.append(seen.at)
    return round(now - max(heard_at), 3) if heard_at else None


def take_ready(replica: Replica) -> types.Ready:
    """Returns the pending work and clears it."""
    vote = None
    if replica.vote_unsaved:
        vote = wal.Vote(replica.term, replica.voted_for)
    outbox, replica.outbox = replica.outbox, []
    snapshot, replica.installed_snapshot = replica.installed_snapshot, None
    replica.vote_unsaved = False
    commit = None
    if replica.commit > replica.last_taken_commit:
        commit = replica.last_taken_commit = replica.commit
    return types.Ready(
        early=[outgoing for outgoing in outbox if not outgoing.after_sync],
        snapshot=snapshot,
        vote=vote,
        entries=replica.log.take_unsaved(),
        late=[outgoing for outgoing in outbox if outgoing.after_sync],
        commit=commit,
    )
