"""Spreads the voters over failure domains, so that the loss of some is borne.

A majority of the voters has to be left when as many domains as the deployment
states are lost at once, with their disks. Domains are known from the members'
``Hello`` messages; one that states none is neither moved nor preferred.
"""

import collections
import math

from _arbutuswalk.agreement import presence
from _arbutuswalk.agreement import replica as replicas


def max_voters(replica: replicas.Replica) -> float:
    """Returns how many voters one domain may have, infinity for any number."""
    if not replica.domain_losses:
        return math.inf
    return max(1, replica.target_voters // 2 // replica.domain_losses)


def voters_beside(
    replica: replicas.Replica, member: str, leaving_voter: str = ""
) -> int:
    """Returns how many voters there are in a member's domain.

    Neither the member itself nor ``leaving_voter`` counts.
    """
    domain = _domain_of(replica, member)
    others = {*replica.log.members.voters} - {member, leaving_voter}
    return sum(
        bool(domain) and _domain_of(replica, voter) == domain
        for voter in others
    )


def has_room(replica: replicas.Replica, member: str) -> bool:
    """Returns whether a member may become a voter without crowding its domain.

    It may not if its domain is unknown.
    """
    is_known = bool(_domain_of(replica, member))
    return is_known and voters_beside(replica, member) < max_voters(replica)


def crowded_voter(replica: replicas.Replica, now: float) -> str:
    """Returns a voter to replace by a member of another domain, or nothing.

    Nothing if no member could take its place. The leader is returned last.
    """
    voters = replica.log.members.voters
    counts = collections.Counter(_domain_of(replica, voter) for voter in voters)
    del counts[""]
    crowded = [
        voter
        for voter in voters
        if counts[_domain_of(replica, voter)] > max_voters(replica)
    ]
    has_successor = len(voters) > replica.target_voters or any(
        has_room(replica, member)
        for member in (
            *replica.log.members.learners,
            *presence.joining_members(replica, now),
        )
    )
    if not has_successor:
        return ""
    return min(crowded, key=lambda voter: voter == replica.member, default="")


def _domain_of(replica: replicas.Replica, member: str) -> str:
    """Returns a member's failure domain, empty if it is unknown."""
    if member == replica.member:
        return replica.domain
    seen = replica.seen_members.get(member)
    return seen.domain if seen is not None else ""
