"""The leader's lease on monotonic time."""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types


def quorum_acked_at(replica: replicas.Replica, now: float) -> float:
    """Returns when the newest message that a majority answered was sent.

    Counting from the sending, not the receipt, keeps the lease inside the
    time during which those members refuse to vote for another.
    """
    voters = replica.log.members.voters
    times = sorted(
        (_acked_at(replica, voter, now) for voter in voters), reverse=True
    )
    return times[len(voters) // 2] if times else float("-inf")


def has_live_quorum(replica: replicas.Replica, now: float) -> bool:
    """Tells whether a majority answered within an election timeout.

    A member counts as live for one election timeout after it was added, so
    that a new leader does not step down before anyone could answer. The
    lease knows no such grace.
    """
    voters = replica.log.members.voters
    oldest = now - replica.timing.election_s
    live = {
        voter
        for voter in voters
        if _acked_at(replica, voter, now) > oldest
        or _added_at(replica, voter) > oldest
    }
    return replicas.is_quorum(voters, live)


def holds(replica: replicas.Replica, now: float) -> bool:
    """Tells whether this member may decide alone at ``now``.

    It may while no other member can have been elected, and once an entry of
    its own term is committed, so that it knows all that was committed before.
    """
    if replica.role is not types.Role.LEADER:
        return False
    if replica.commit < replica.term_start:
        return False
    return now < quorum_acked_at(replica, now) + replica.timing.lease_s


def _acked_at(replica: replicas.Replica, voter: str, now: float) -> float:
    if voter == replica.member:
        return now
    progress = replica.progress.get(voter)
    return progress.acked_at if progress else float("-inf")


def _added_at(replica: replicas.Replica, voter: str) -> float:
    progress = replica.progress.get(voter)
    return progress.added_at if progress else float("-inf")
