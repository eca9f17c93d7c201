"""Bootstrapping the group and changing its members one at a time.

Every new data folder gets a new member id. A member that lost its disk comes
back under a new id, so that the votes and acknowledgements it no longer
remembers are never counted again.

One member beyond the voters is kept as a learner whenever there is one. It
replaces a voter that is silent, lost its disk or is about to end, so that the
group is whole again before another voter may be lost. While a voter is needed,
there may be a second learner, as the first one may be out of reach.

Where the loss of failure domains has to be borne, voters are spread over them
(``domains``). A voter that is lost is replaced by whichever member is ready;
one of too many in its domain only by a member of a domain that has room.
"""

from collections.abc import Sequence
from typing import NamedTuple

from _arbutuswalk.agreement import domains
from _arbutuswalk.agreement import presence
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import terms
from _arbutuswalk.agreement import types
from _arbutuswalk.base import events
from _arbutuswalk.wire.gen.arbutus import ttypes

ADD, PROMOTE, REMOVE = "add", "promote", "remove"
CROWDED = "too many voters in its domain"
STANDBY_RETRY_S = 5.0
"""Time until a removed member is kept as the standby again unless it had ended.
One that says hello but does not answer would else be added all the time."""


class Change(NamedTuple):
    """A change of the membership by one member.

    Attributes:
        kind: ``ADD`` as a learner, ``PROMOTE`` to a voter, or ``REMOVE``.
        member: Member that is added, promoted or removed.
        reason: Why, for the log.
        members: Membership after the change.
    """

    kind: str
    member: str
    reason: str
    members: types.Members


class Replaceable(NamedTuple):
    """A voter that needs replacement, and why."""

    member: str
    reason: str


def tick(replica: replicas.Replica, now: float) -> None:
    """Bootstraps a group, or makes the leader's next membership change.

    A leader that is leaving removes itself once it has been replaced, and leads
    until that is committed. If another leader had to do it, there would be a
    voter too many during the election, which then bears no other loss.
    """
    if not replica.log.members.group:
        _bootstrap_group(replica, now)
    if replica.role is not types.Role.LEADER:
        return
    changed_at = replica.log.membership_history[-1][0]
    if replica.commit < max(replica.term_start_index, changed_at):
        return
    if not replica.is_voter:
        terms.become_follower(replica, replica.term, "", now)
        return
    change = _next_change(replica, now)
    if change is not None:
        events.log(
            events.Event.MEMBERSHIP_CHANGE_STARTED,
            change.kind,
            change.member,
            change.reason,
            replicas.silent_s(replica, change.member, now),
        )
        if change.kind == REMOVE:
            _record_removal(replica, change.member, now)
        replication.propose(replica, types.pack_members(change.members), now)


def may_leave(replica: replicas.Replica, now: float) -> bool:
    """Returns whether a leaving member need not wait for its replacement.

    It waits while it is a voter and another member could take its place.
    """
    if replicas.was_removed(replica):
        return True
    if not replica.is_voter:
        own_index, _ = replica.log.membership_history[-1]
        # Without this member the others may have no majority for its removal.
        is_committed = replica.commit >= own_index
        return is_committed and replica.role is not types.Role.LEADER
    members = replica.log.members
    is_being_replaced = len(members.voters) > replica.target_voters
    can_be_replaced = members.learners or presence.joining_members(replica, now)
    return not (is_being_replaced or can_be_replaced)


def accepts_commands(replica: replicas.Replica) -> bool:
    """Returns whether the group once had its full number of voters."""
    return replica.log.members.formed


def _bootstrap_group(replica: replicas.Replica, now: float) -> None:
    """Bootstraps a group if all founders are seen and have none.

    Only the member at the lowest address does it. The founders are the peers at
    the first start of the system: the peers of a later start may all be members
    that belong to no group although there is one.
    """
    group_by_address = {
        seen.address: seen.group
        for seen in replica.seen_members.values()
        if now - seen.at < presence.HELLO_MAX_AGE_S
    }
    other_addresses = set(replica.founders) - {replica.address}
    no_founder_has_group = all(
        group_by_address.get(address) == "" for address in other_addresses
    )
    has_lowest_address = replica.address == min(replica.founders, default="")
    if not (
        no_founder_has_group
        and has_lowest_address
        and replica.log.last_index == 0
    ):
        return
    members = types.Members(
        group=f"{replica.rng.getrandbits(64):016x}",
        voters=(replica.member,),
        addresses={replica.member: replica.address},
        formed=replica.target_voters <= 1,
    )
    entry = ttypes.Entry(term=1, command=types.pack_members(members))
    replica.log.append(entry)
    replica.term = 1
    replica.voted_for = replica.member
    replica.vote_unsaved = True


def _next_change(replica: replicas.Replica, now: float) -> Change | None:
    """Returns the next change by one member, if one is due."""
    members = replica.log.members
    replaceable = _voter_to_replace(replica, now)
    if len(members.voters) > replica.target_voters:
        return _removal(members, *(replaceable or _surplus_voter(replica)))
    caught_up = _caught_up_learner(replica, now, replaceable)
    too_few_voters = len(members.voters) < replica.target_voters
    if caught_up and (too_few_voters or replaceable):
        reason = "too few voters" if too_few_voters else replaceable.reason
        return _promotion(replica, members, caught_up, reason)
    for learner in members.learners:
        reason = _replacement_reason(replica, learner, now)
        if reason:
            return _removal(members, learner, reason)
    joining = _next_learner(replica, now, replaceable)
    needs_voter = too_few_voters or replaceable is not None
    max_learners = 2 if needs_voter else 1
    if (
        joining
        and len(members.learners) < max_learners
        and (needs_voter or _may_be_standby(replica, joining, now))
    ):
        addresses = dict(members.addresses)
        addresses[joining] = replica.seen_members[joining].address
        return Change(
            ADD,
            joining,
            "too few voters" if too_few_voters else "standby",
            members._replace(
                learners=(*members.learners, joining), addresses=addresses
            ),
        )
    return None


def _voter_to_replace(
    replica: replicas.Replica, now: float
) -> Replaceable | None:
    """Returns a voter that needs replacement, other members first."""
    voters = replica.log.members.voters
    for voter in sorted(voters, key=lambda voter: voter == replica.member):
        reason = _replacement_reason(replica, voter, now)
        if reason:
            return Replaceable(voter, reason)
    crowded = domains.crowded_voter(replica, now)
    return Replaceable(crowded, CROWDED) if crowded else None


def _surplus_voter(replica: replicas.Replica) -> Replaceable:
    """Returns the other voter that has not answered for longest."""
    others = [
        voter
        for voter in replica.log.members.voters
        if voter in replica.progress
    ]
    member = min(
        others, key=lambda voter: replica.progress[voter].acked_sent_at
    )
    return Replaceable(member, "more voters than wanted")


def _replacement_reason(
    replica: replicas.Replica, member: str, now: float
) -> str:
    """Returns why a member needs replacement, or an empty string."""
    if member == replica.member:
        return "leaving" if replica.leaving else ""
    if member == replica.replacement_requested:
        return "requested"
    address = replica.log.members.addresses[member]
    for other, seen in replica.seen_members.items():
        if now - seen.at >= presence.HELLO_MAX_AGE_S or seen.address != address:
            continue
        if other != member:
            return "another member at its address"
        if seen.leaving:
            return "leaving"
    return "silent" if _is_unresponsive(replica, member, now) else ""


def _is_unresponsive(
    replica: replicas.Replica, member: str, now: float
) -> bool:
    progress = replica.progress.get(member)
    if progress is None:
        return False
    heard_at = progress.last_reply_at
    seen = replica.seen_members.get(member)
    if not progress.has_replied and seen is not None:
        # A new leader may know from before its term that a member is silent.
        heard_at = min(heard_at, seen.at)
    return now - heard_at > replica.timing.replace_after_s


def _caught_up_learner(
    replica: replicas.Replica, now: float, replaceable: Replaceable | None
) -> str:
    """Returns a learner whose durable log has all committed entries."""
    acked_after = now - replica.timing.election_s
    for learner in _by_domain(
        replica, replica.log.members.learners, replaceable
    ):
        progress = replica.progress.get(learner)
        if progress is None or progress.acked_sent_at < acked_after:
            continue
        if _replacement_reason(replica, learner, now):
            continue
        if progress.match_index >= replica.commit:
            return learner
    return ""


def _next_learner(
    replica: replicas.Replica, now: float, replaceable: Replaceable | None
) -> str:
    """Returns the member to add next, the last removed ones after others."""
    joining = _by_domain(
        replica, presence.joining_members(replica, now), replaceable
    )
    return min(
        joining, key=lambda member: _removed_at(replica, member), default=""
    )


def _by_domain(
    replica: replicas.Replica,
    members: Sequence[str],
    replaceable: Replaceable | None,
) -> Sequence[str]:
    """Returns the members that may replace a voter, the best domains first."""
    if not replica.domain_losses:
        return members
    if replaceable and replaceable.reason == CROWDED:
        members = [
            member for member in members if domains.has_room(replica, member)
        ]
    voter = replaceable.member if replaceable else ""
    return sorted(
        members,
        key=lambda member: domains.voters_beside(replica, member, voter),
    )


def _may_be_standby(replica: replicas.Replica, member: str, now: float) -> bool:
    """Returns whether a member was never removed, or long ago, or came back."""
    removed_at = _removed_at(replica, member)
    is_back = replica.seen_members[member].since > removed_at
    return is_back or now - removed_at > STANDBY_RETRY_S


def _record_removal(replica: replicas.Replica, member: str, now: float) -> None:
    recent = {
        name: removed_at
        for name, removed_at in replica.removed_at.items()
        if now - removed_at <= STANDBY_RETRY_S
    }
    replica.removed_at = {**recent, member: now}


def _removed_at(replica: replicas.Replica, member: str) -> float:
    return replica.removed_at.get(member, float("-inf"))


def _promotion(
    replica: replicas.Replica, members: types.Members, member: str, reason: str
) -> Change:
    voters = (*members.voters, member)
    learners = tuple(name for name in members.learners if name != member)
    formed = members.formed or len(voters) >= replica.target_voters
    changed = members._replace(voters=voters, learners=learners, formed=formed)
    return Change(PROMOTE, member, reason, changed)


def _removal(members: types.Members, member: str, reason: str) -> Change:
    addresses = dict(members.addresses)
    addresses.pop(member, None)
    changed = members._replace(
        voters=tuple(name for name in members.voters if name != member),
        learners=tuple(name for name in members.learners if name != member),
        addresses=addresses,
    )
    return Change(REMOVE, member, reason, changed)
