"""Leader election: trial votes (pre-votes), votes and stepping down."""

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import presence
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import terms
from _arbutuswalk.agreement import types
from _arbutuswalk.wire.gen.arbutus import ttypes


def tick(replica: replicas.Replica, now: float) -> None:
    """Starts an election at the timeout; steps down without a live quorum."""
    if replica.role is types.Role.LEADER:
        if not lease.has_live_quorum(replica, now):
            presence.log_quorum_loss(replica, now)
            terms.become_follower(replica, replica.term, "", now)
        return
    if _may_be_candidate(replica) and now >= _election_due_at(replica):
        if replica.role is types.Role.TRIAL:
            presence.log_quorum_loss(replica, now)
        _start_election(replica, now, trial=True)


def on_vote_request(
    replica: replicas.Replica, request: ttypes.VoteRequest, now: float
) -> None:
    """Answers a vote request; refuses it while a live leader is known."""
    if request.term < replica.term or _has_live_leader(replica, now):
        _send_vote_reply(replica, request, granted=False)
        return
    if not request.trial and request.term > replica.term:
        terms.become_follower(replica, request.term, "", now)
    vote_available = replica.voted_for in ("", request.candidate)
    granted = _log_is_current(replica, request) and (
        request.trial or vote_available
    )
    if granted and not request.trial:
        replica.voted_for = request.candidate
        replica.vote_unsaved = True
        terms.reset_election_timeout(replica, now)
    _send_vote_reply(replica, request, granted=granted)


def on_vote_reply(
    replica: replicas.Replica, reply: ttypes.VoteReply, now: float
) -> None:
    """Counts a granted vote; a higher term makes this member a follower."""
    if reply.term > replica.term:
        terms.become_follower(replica, reply.term, "", now)
        return
    trial = replica.role is types.Role.TRIAL
    if replica.role not in (types.Role.TRIAL, types.Role.CANDIDATE):
        return
    expected_term = replica.term + 1 if trial else replica.term
    if (
        reply.trial != trial
        or reply.asked_term != expected_term
        or not reply.granted
    ):
        return
    replica.granted_by.add(reply.voter)
    _advance_on_majority(replica, now)


def _may_be_candidate(replica: replicas.Replica) -> bool:
    """Returns whether this member is a voter, or its removal is uncommitted.

    It may be the only one that has the entry of its removal.
    """
    if replica.is_voter:
        return True
    if replicas.was_removed(replica):
        return False
    committed = replica.log.members_at_index(replica.commit)
    return replica.member in committed.voters


def _election_due_at(replica: replicas.Replica) -> float:
    """Returns when to start an election, later for a leaving member.

    A leaving member prefers others to lead, but it may be the only one left
    that has all committed entries.
    """
    delay_s = replica.timing.election_s if replica.leaving else 0.0
    return replica.election_due_at + delay_s


def _start_election(
    replica: replicas.Replica, now: float, *, trial: bool
) -> None:
    replica.leader = ""
    replica.granted_by = {replica.member}
    terms.reset_election_timeout(replica, now)
    if trial:
        replica.role = types.Role.TRIAL
    else:
        replica.role = types.Role.CANDIDATE
        replica.term += 1
        replica.voted_for = replica.member
        replica.vote_unsaved = True
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
    _advance_on_majority(replica, now)


def _advance_on_majority(replica: replicas.Replica, now: float) -> None:
    if not replicas.is_quorum(replica.log.members.voters, replica.granted_by):
        return
    if replica.role is types.Role.TRIAL:
        _start_election(replica, now, trial=False)
        return
    replica.role = types.Role.LEADER
    replica.quorum_loss_logged = False
    replica.leader = replica.member
    replica.progress = {}
    replication.start_term(replica, now)


def _send_vote_reply(
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


def _has_live_leader(replica: replicas.Replica, now: float) -> bool:
    if replica.role is types.Role.LEADER:
        return lease.has_live_quorum(replica, now)
    return now - replica.leader_heard_at < replica.timing.election_s


def _log_is_current(
    replica: replicas.Replica, request: ttypes.VoteRequest
) -> bool:
    log = replica.log
    candidate_position = (request.last_term, request.last_index)
    return candidate_position >= (log.last_term, log.last_index)
