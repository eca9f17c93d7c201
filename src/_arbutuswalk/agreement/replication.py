"""Appending, acknowledging and committing entries."""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import terms
from _arbutuswalk.agreement import transfer
from _arbutuswalk.agreement import types
from _arbutuswalk.wire.gen.arbutus import ttypes

MAX_ENTRIES = 512
RESEND_HEARTBEATS = 4


def start_term(replica: replicas.Replica, now: float) -> None:
    """Begins a leader's term with an entry of its own."""
    entry = ttypes.Entry(term=replica.term, command=types.NOTHING)
    replica.term_start = replica.log.append(entry)
    members = replica.log.members
    for member in (*members.voters, *members.learners):
        if member != replica.member:
            _add_progress(replica, member, now)
    replica.heartbeat_at = now
    tick(replica, now)


def propose(replica: replicas.Replica, command: bytes, now: float) -> int:
    """Appends a command on the leader and returns its index.

    ``command`` carries its kind as first byte. The caller sees it committed
    when the entry at the index has the same term.
    """
    entry = ttypes.Entry(term=replica.term, command=command)
    index = replica.log.append(entry)
    replica.heartbeat_at = now
    return index


def tick(replica: replicas.Replica, now: float) -> None:
    """Sends entries and heartbeats on the leader."""
    if replica.role is not types.Role.LEADER:
        return
    _match_progress(replica, now)
    if now < replica.heartbeat_at:
        return
    replica.heartbeat_at = now + replica.timing.heartbeat_s
    for member in replica.progress:
        _send(replica, member, now)


def saved(replica: replicas.Replica, index: int, term: int) -> None:
    """Notes that own entries up to ``index`` of ``term`` are durable."""
    if replica.log.term_at(index) == term:
        replica.durable_index = max(replica.durable_index, index)
    if replica.role is types.Role.LEADER:
        _advance(replica)


def on_append_request(
    replica: replicas.Replica, request: ttypes.AppendRequest, now: float
) -> None:
    """Takes entries from the leader."""
    if request.term < replica.term:
        _reply(replica, request, accepted=False, match=0)
        return
    hear_leader(replica, request.term, request.leader, now)
    log = replica.log
    entries = list(request.entries)
    prev_index, prev_term = request.prev_index, request.prev_term
    if prev_index < log.base_index:
        skipped = log.base_index - prev_index
        entries = entries[skipped:]
        prev_index, prev_term = log.base_index, log.base_term
        if skipped > len(request.entries):
            _reply(replica, request, accepted=True, match=log.base_index)
            return
    if log.term_at(prev_index) != prev_term:
        hint = min(log.last_index + 1, prev_index)
        _reply(replica, request, accepted=False, match=hint)
        return
    last = _store(replica, prev_index, entries)
    replica.commit = max(replica.commit, min(request.commit, last))
    _reply(replica, request, accepted=True, match=last)


def on_append_reply(
    replica: replicas.Replica, reply: ttypes.AppendReply, now: float
) -> None:
    """Counts an acknowledgement on the leader."""
    if reply.term > replica.term:
        terms.follow(replica, reply.term, "", now)
        return
    progress = replica.progress.get(reply.follower)
    if replica.role is not types.Role.LEADER or progress is None:
        return
    if reply.term < replica.term:
        return
    progress.heard_at = now
    progress.acked_at = max(progress.acked_at, reply.sent_at)
    progress.in_flight = 0
    if not reply.accepted:
        lowest = progress.match_index + 1
        progress.next_index = max(lowest, reply.match_index)
    elif reply.match_index >= progress.match_index:
        progress.match_index = reply.match_index
        progress.next_index = max(progress.next_index, reply.match_index + 1)
        _advance(replica)
    log = replica.log
    if log.base_index < progress.next_index <= log.last_index:
        _send(replica, reply.follower, now)


def hear_leader(
    replica: replicas.Replica, term: int, leader: str, now: float
) -> None:
    """Notes a message from the leader of ``term``."""
    changed = term > replica.term or replica.leader != leader
    if changed or replica.role is not types.Role.FOLLOWER:
        terms.follow(replica, term, leader, now)
    replica.heard_at = now
    terms.postpone(replica, now)


def _store(
    replica: replicas.Replica, prev_index: int, entries: list[ttypes.Entry]
) -> int:
    log = replica.log
    index = prev_index
    for entry in entries:
        index += 1
        held = log.term_at(index)
        if held == entry.term:
            continue
        if held is not None:
            log.truncate(index)
            replica.durable_index = min(replica.durable_index, index - 1)
        log.append(entry)
    return index


def _reply(
    replica: replicas.Replica,
    request: ttypes.AppendRequest,
    *,
    accepted: bool,
    match: int,
) -> None:
    reply = ttypes.AppendReply(
        term=replica.term,
        follower=replica.member,
        accepted=accepted,
        match_index=match,
        sent_at=request.sent_at,
    )
    replica.send(request.leader, reply, after_sync=True)


def _send(replica: replicas.Replica, member: str, now: float) -> None:
    progress = replica.progress[member]
    log = replica.log
    if progress.next_index <= log.base_index:
        transfer.offer(replica, member)
        _send_from(replica, member, log.last_index, [], now)
        return
    patience = RESEND_HEARTBEATS * replica.timing.heartbeat_s
    if progress.in_flight and now - progress.sent_at > patience:
        progress.next_index = progress.match_index + 1
        progress.in_flight = 0
        if progress.next_index <= log.base_index:
            transfer.offer(replica, member)
            return
    entries = log.slice(progress.next_index, MAX_ENTRIES)
    prev_index = progress.next_index - 1
    _send_from(replica, member, prev_index, entries, now)
    if entries:
        progress.in_flight += len(entries)
        progress.sent_at = now
        progress.next_index += len(entries)


def _send_from(
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


def _advance(replica: replicas.Replica) -> None:
    """Commits what a majority holds, by counting own-term entries only."""
    voters = replica.log.members.voters
    matches = sorted(
        (_match_of(replica, voter) for voter in voters), reverse=True
    )
    index = matches[len(voters) // 2]
    own_term = replica.log.term_at(index) == replica.term
    if index > replica.commit and own_term:
        replica.commit = index


def _match_of(replica: replicas.Replica, voter: str) -> int:
    if voter == replica.member:
        return replica.durable_index
    progress = replica.progress.get(voter)
    return progress.match_index if progress else 0


def _match_progress(replica: replicas.Replica, now: float) -> None:
    members = replica.log.members
    wanted = {*members.voters, *members.learners} - {replica.member}
    for member in wanted - replica.progress.keys():
        _add_progress(replica, member, now)
    for member in replica.progress.keys() - wanted:
        del replica.progress[member]


def _add_progress(replica: replicas.Replica, member: str, now: float) -> None:
    next_index = replica.log.last_index
    progress = replicas.Progress(next_index=next_index, now=now)
    replica.progress[member] = progress
