"""Appending, acknowledging and committing entries."""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import terms
from _arbutuswalk.agreement import transfer
from _arbutuswalk.agreement import types
from _arbutuswalk.wire.gen.arbutus import ttypes

MAX_ENTRIES_PER_REQUEST = 512
MAX_REQUEST_BYTES = 1024 * 1024
"""Size of the commands in one request, well below that of a frame; a larger
command is sent alone."""
RESEND_AFTER_HEARTBEATS = 4


def start_term(replica: replicas.Replica, now: float) -> None:
    """Starts a leader's term by appending an entry of that term."""
    entry = ttypes.Entry(term=replica.term, command=types.NOOP_KIND)
    replica.term_start_index = replica.log.append(entry)
    members = replica.log.members
    for member in (*members.voters, *members.learners):
        if member != replica.member:
            _track_member(replica, member, now)
    replica.next_heartbeat_at = now
    tick(replica, now)


def propose(replica: replicas.Replica, command: bytes, now: float) -> int:
    """Appends a command on the leader and returns its index.

    The first byte of ``command`` is its kind. The command is committed if the
    entry committed at that index has the same term.
    """
    entry = ttypes.Entry(term=replica.term, command=command)
    index = replica.log.append(entry)
    replica.next_heartbeat_at = now
    return index


def tick(replica: replicas.Replica, now: float) -> None:
    """Sends entries and heartbeats if this member leads."""
    if replica.role is not types.Role.LEADER:
        return
    _track_current_members(replica, now)
    if now < replica.next_heartbeat_at:
        return
    replica.next_heartbeat_at = now + replica.timing.heartbeat_s
    for member in replica.progress:
        _send_entries(replica, member, now)


def saved(replica: replicas.Replica, index: int, term: int) -> None:
    """Records that entries up to ``index`` of ``term`` are durable here."""
    if replica.log.term_at(index) == term:
        replica.durable_index = max(replica.durable_index, index)
    if replica.role is types.Role.LEADER:
        _advance_commit(replica)


def on_append_request(
    replica: replicas.Replica, request: ttypes.AppendRequest, now: float
) -> None:
    """Appends entries from the leader and acknowledges them."""
    if request.term < replica.term:
        _send_append_reply(replica, request, accepted=False, match_index=0)
        return
    hear_leader(replica, request.term, request.leader, now)
    log = replica.log
    entries = list(request.entries)
    prev_index, prev_term = request.prev_index, request.prev_term
    if prev_index < log.snapshot_index:
        skipped = log.snapshot_index - prev_index
        entries = entries[skipped:]
        prev_index, prev_term = log.snapshot_index, log.snapshot_term
        if skipped > len(request.entries):
            _send_append_reply(
                replica, request, accepted=True, match_index=log.snapshot_index
            )
            return
    if log.term_at(prev_index) != prev_term:
        retry_index = min(log.last_index + 1, prev_index)
        _send_append_reply(
            replica, request, accepted=False, match_index=retry_index
        )
        return
    last = _append_new_entries(replica, prev_index, entries)
    replica.commit = max(replica.commit, min(request.commit, last))
    _send_append_reply(replica, request, accepted=True, match_index=last)


def on_append_reply(
    replica: replicas.Replica, reply: ttypes.AppendReply, now: float
) -> None:
    """Updates the leader's view of a follower and its commit index."""
    if reply.term > replica.term:
        terms.become_follower(replica, reply.term, "", now)
        return
    progress = replica.progress.get(reply.follower)
    if replica.role is not types.Role.LEADER or progress is None:
        return
    if reply.term < replica.term:
        return
    progress.last_reply_at = now
    progress.acked_sent_at = max(progress.acked_sent_at, reply.sent_at)
    progress.in_flight = 0
    if not reply.accepted:
        first_unmatched = progress.match_index + 1
        progress.next_index = max(first_unmatched, reply.match_index)
    elif reply.match_index >= progress.match_index:
        progress.match_index = reply.match_index
        progress.next_index = max(progress.next_index, reply.match_index + 1)
        _advance_commit(replica)
    log = replica.log
    if log.snapshot_index < progress.next_index <= log.last_index:
        _send_entries(replica, reply.follower, now)


def hear_leader(
    replica: replicas.Replica, term: int, leader: str, now: float
) -> None:
    """Records a message from the leader of ``term``."""
    changed = term > replica.term or replica.leader != leader
    if changed or replica.role is not types.Role.FOLLOWER:
        terms.become_follower(replica, term, leader, now)
    replica.leader_heard_at = replica.contact_at = now
    replica.quorum_loss_logged = False
    terms.reset_election_timeout(replica, now)


def _append_new_entries(
    replica: replicas.Replica, prev_index: int, entries: list[ttypes.Entry]
) -> int:
    log = replica.log
    index = prev_index
    for entry in entries:
        index += 1
        local_term = log.term_at(index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            log.truncate(index)
            replica.durable_index = min(replica.durable_index, index - 1)
        log.append(entry)
    return index


def _send_append_reply(
    replica: replicas.Replica,
    request: ttypes.AppendRequest,
    *,
    accepted: bool,
    match_index: int,
) -> None:
    reply = ttypes.AppendReply(
        term=replica.term,
        follower=replica.member,
        accepted=accepted,
        match_index=match_index,
        sent_at=request.sent_at,
    )
    replica.send(request.leader, reply, after_sync=True)


def _send_entries(replica: replicas.Replica, member: str, now: float) -> None:
    progress = replica.progress[member]
    log = replica.log
    if progress.next_index <= log.snapshot_index:
        transfer.send_offer(replica, member)
        _send_append_request(replica, member, log.last_index, [], now)
        return
    resend_after_s = RESEND_AFTER_HEARTBEATS * replica.timing.heartbeat_s
    if progress.in_flight and now - progress.entries_sent_at > resend_after_s:
        progress.next_index = progress.match_index + 1
        progress.in_flight = 0
        if progress.next_index <= log.snapshot_index:
            transfer.send_offer(replica, member)
            return
    entries = _limit_bytes(
        log.slice(progress.next_index, MAX_ENTRIES_PER_REQUEST)
    )
    prev_index = progress.next_index - 1
    _send_append_request(replica, member, prev_index, entries, now)
    if entries:
        progress.in_flight += len(entries)
        progress.entries_sent_at = now
        progress.next_index += len(entries)


def _limit_bytes(entries: list[ttypes.Entry]) -> list[ttypes.Entry]:
    """Returns the first entries that one request may carry, at least one."""
    request_bytes = 0
    for count, entry in enumerate(entries):
        request_bytes += len(entry.command)
        if count and request_bytes > MAX_REQUEST_BYTES:
            return entries[:count]
    return entries


def _send_append_request(
    replica: replicas.Replica,
    member: str,
    prev_index: int,
    entries: list[ttypes.Entry],
    now: float,
) -> None:
    request = ttypes.AppendRequest(
        term=replica.term,
        leader=replica.member,
        prev_index=prev_index,
        prev_term=replica.log.term_at(prev_index) or 0,
        entries=entries,
        commit=replica.commit,
        sent_at=now,
    )
    replica.send(member, request, after_sync=False)


def _advance_commit(replica: replicas.Replica) -> None:
    """Advances the commit index to an entry of this term on a majority."""
    voters = replica.log.members.voters
    match_indices = sorted(
        (_match_index(replica, voter) for voter in voters), reverse=True
    )
    index = match_indices[len(voters) // 2]
    is_current_term = replica.log.term_at(index) == replica.term
    if index > replica.commit and is_current_term:
        replica.commit = index


def _match_index(replica: replicas.Replica, voter: str) -> int:
    if voter == replica.member:
        return replica.durable_index
    progress = replica.progress.get(voter)
    return progress.match_index if progress else 0


def _track_current_members(replica: replicas.Replica, now: float) -> None:
    members = replica.log.members
    tracked = {*members.voters, *members.learners} - {replica.member}
    for member in tracked - replica.progress.keys():
        _track_member(replica, member, now)
    for member in replica.progress.keys() - tracked:
        del replica.progress[member]


def _track_member(replica: replicas.Replica, member: str, now: float) -> None:
    next_index = replica.log.last_index
    progress = replicas.Progress(next_index=next_index, now=now)
    replica.progress[member] = progress
