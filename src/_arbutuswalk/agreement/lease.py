"""The leader's lease, measured on its monotonic clock."""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types

MAJORITY_SILENCE_S = 2.0
"""Time without a word of a majority after which a member may be cut off from
it: several elections, and less than operators allow for a cut to be noticed."""


def quorum_acked_at(replica: replicas.Replica, now: float) -> float:
    """Returns the send time of the newest message a majority acknowledged.

    Counting from the send time, not from the receipt of the replies, makes
    the lease end before those members vote for another candidate.
    """
    voters = replica.log.members.voters
    send_times = sorted(
        (_acked_sent_at(replica, voter, now) for voter in voters), reverse=True
    )
    return send_times[len(voters) // 2] if send_times else float("-inf")


def has_live_quorum(replica: replicas.Replica, now: float) -> bool:
    """Returns whether a majority answered within one election timeout.

    A member counts as live for one election timeout after it was added, so
    that a new leader does not step down before any member could answer. The
    lease has no such grace period.
    """
    voters = replica.log.members.voters
    live_after = now - replica.timing.election_s
    live = {
        voter
        for voter in voters
        if _acked_sent_at(replica, voter, now) > live_after
        or _tracked_since(replica, voter) > live_after
    }
    return replicas.is_quorum(voters, live)


def holds(replica: replicas.Replica, now: float) -> bool:
    """Returns whether this member holds the leader's lease at ``now``.

    While it does, no other member can have been elected. It also needs a
    committed entry of its own term, which shows that it has every entry
    committed before.
    """
    if replica.role is not types.Role.LEADER:
        return False
    if replica.commit < replica.term_start_index:
        return False
    return now < quorum_acked_at(replica, now) + replica.timing.lease_s


def hears_majority(replica: replicas.Replica, now: float) -> bool:
    """Returns whether this member lately heard from a majority of its group.

    A leader heard from it directly, any other member from a leader, which
    steps down without one. A process that is in no group hears from neither.
    """
    heard_at = replica.contact_at
    if replica.role is types.Role.LEADER:
        heard_at = quorum_acked_at(replica, now)
    return now - heard_at < MAJORITY_SILENCE_S


def _acked_sent_at(replica: replicas.Replica, voter: str, now: float) -> float:
    if voter == replica.member:
        return now
    progress = replica.progress.get(voter)
    return progress.acked_sent_at if progress else float("-inf")


def _tracked_since(replica: replicas.Replica, voter: str) -> float:
    progress = replica.progress.get(voter)
    return progress.tracked_since if progress else float("-inf")
