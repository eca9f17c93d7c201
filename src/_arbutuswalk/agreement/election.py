"""Elections: trial votes, votes, terms and stepping down."""

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import terms
from _arbutuswalk.agreement import types
from _arbutuswalk.wire.gen.arbutus import ttypes


def tick(replica: replicas.Replica, now: float) -> None:
    """Stands for election when no leader was heard for long enough."""
    if replica.role is types.Role.LEADER:
        if not lease.has_live_quorum(replica, now):
            terms.follow(replica, replica.term, "", now)
        return
    if replica.is_voter and now >= replica.election_at:
        _ask(replica, now, trial=True)


def on_vote_request(
    replica: replicas.Replica, request: ttypes.VoteRequest, now: float
) -> None:
    """Answers a vote, unless a live leader makes it pointless."""
    if request.term < replica.term or _hears_leader(replica, now):
        _reply(replica, request, granted=False)
        return
    if not request.trial and request.term > replica.term:
        terms.follow(replica, request.term, "", now)
    free = replica.voted_for in ("", request.candidate)
    granted = _is_current(replica, request) and (request.trial or free)
    if granted and not request.trial:
        replica.voted_for = request.candidate
        replica.vote_changed = True
        terms.postpone(replica, now)
    _reply(replica, request, granted=granted)


def on_vote_reply(
    replica: replicas.Replica, reply: ttypes.VoteReply, now: float
) -> None:
    """Counts a vote."""
    if reply.term > replica.term:
        terms.follow(replica, reply.term, "", now)
        return
    trial = replica.role is types.Role.TRIAL
    if replica.role not in (types.Role.TRIAL, types.Role.CANDIDATE):
        return
    asked = replica.term + 1 if trial else replica.term
    if reply.trial != trial or reply.asked_term != asked or not reply.granted:
        return
    replica.votes.add(reply.voter)
    _count(replica, now)


def _ask(replica: replicas.Replica, now: float, *, trial: bool) -> None:
    replica.leader = ""
    replica.votes = {replica.member}
    terms.postpone(replica, now)
    if trial:
        replica.role = types.Role.TRIAL
    else:
        replica.role = types.Role.CANDIDATE
        replica.term += 1
        replica.voted_for = replica.member
        replica.vote_changed = True
    term = replica.term + 1 if trial else replica.term
    for voter in replica.log.members.voters:
        if voter != replica.member:
            request = ttypes.VoteRequest(
                term=term,
                candidate=replica.member,
                last_index=replica.log.last_index,
                last_term=replica.log.last_term,
                trial=trial,
            )
            replica.send(voter, request, after_sync=True)
    _count(replica, now)


def _count(replica: replicas.Replica, now: float) -> None:
    if not replicas.is_quorum(replica.log.members.voters, replica.votes):
        return
    if replica.role is types.Role.TRIAL:
        _ask(replica, now, trial=False)
        return
    replica.role = types.Role.LEADER
    replica.leader = replica.member
    replica.progress = {}
    replication.start_term(replica, now)


def _reply(
    replica: replicas.Replica, request: ttypes.VoteRequest, *, granted: bool
) -> None:
    reply = ttypes.VoteReply(
        term=replica.term,
        voter=replica.member,
        granted=granted,
        trial=request.trial,
        asked_term=request.term,
    )
    replica.send(request.candidate, reply, after_sync=True)


def _hears_leader(replica: replicas.Replica, now: float) -> bool:
    if replica.role is types.Role.LEADER:
        return lease.has_live_quorum(replica, now)
    return now - replica.heard_at < replica.timing.election_s


def _is_current(replica: replicas.Replica, request: ttypes.VoteRequest) -> bool:
    log = replica.log
    theirs = (request.last_term, request.last_index)
    return theirs >= (log.last_term, log.last_index)
