"""Which members there are, as their ``Hello`` messages state.

Members that belong to no group, or no longer receive its log, know each other
and the group's members from these messages alone.
"""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.base import events
from _arbutuswalk.wire.gen.arbutus import ttypes

HELLO_MAX_AGE_S = 2.0


def hello(replica: replicas.Replica) -> ttypes.Hello:
    """Returns the message that announces this member's id and group."""
    index, members = replica.log.membership_at(replica.commit)
    return ttypes.Hello(
        member=replica.member,
        address=replica.address,
        group=replica.log.members.group,
        leaving=replica.leaving,
        members_index=index,
        members=dict(members.addresses),
        domain=replica.domain,
    )


def greeted(replica: replicas.Replica, now: float) -> set[str]:
    """Returns the addresses to send a ``Hello`` to.

    They include the senders of recent ``Hello`` messages and the members that
    those name: a new member, or one that lost its disk, knows only the
    configured addresses, and the leader may be at none of them. The founders
    are still greeted when the settings name other peers.
    """
    member_addresses = {
        *replica.log.members.addresses.values(),
        *replica.heard_membership.addresses.values(),
    }
    recent = {
        seen.address
        for seen in replica.seen_members.values()
        if now - seen.at < HELLO_MAX_AGE_S
    }
    configured = {*replica.peers, *replica.founders}
    return (member_addresses | recent | configured) - {replica.address}


def on_hello(
    replica: replicas.Replica, message: ttypes.Hello, now: float
) -> None:
    """Records which member listens at an address."""
    for member, seen in list(replica.seen_members.items()):
        if seen.address == message.address and member != message.member:
            del replica.seen_members[member]
    before = replica.seen_members.get(message.member)
    is_new = before is None or now - before.at > timeout_s(replica)
    replica.seen_members[message.member] = replicas.Seen(
        message.address,
        message.group,
        now,
        now if is_new else before.since,
        bool(message.leaving),
        message.domain or "",
    )
    _record_membership(replica, message)
    if is_new:
        events.log(events.Event.MEMBER_SEEN, message.member, message.group)


def _record_membership(
    replica: replicas.Replica, message: ttypes.Hello
) -> None:
    """Records a newer membership of this group, or of any if it has none."""
    group = replica.log.members.group
    if group not in ("", message.group):
        return
    heard = replica.heard_membership
    index = message.members_index or 0
    heard_index = heard.index if heard.group == message.group else 0
    if index > heard_index:
        replica.heard_membership = replicas.HeardMembership(
            message.group, index, message.members or {}
        )


def joining_members(replica: replicas.Replica, now: float) -> list[str]:
    """Returns the members outside the group that could join it now."""
    members = replica.log.members
    known_members = {*members.voters, *members.learners}
    max_age_s = timeout_s(replica)
    return [
        member
        for member, seen in sorted(replica.seen_members.items())
        if now - seen.at < max_age_s
        and member not in known_members
        and seen.group in ("", members.group)
        and not seen.leaving
    ]


def timeout_s(replica: replicas.Replica) -> float:
    """Returns the time without a ``Hello`` that ends a member's presence."""
    return min(HELLO_MAX_AGE_S, replica.timing.replace_after_s)


def log_quorum_loss(replica: replicas.Replica, now: float) -> None:
    """Logs that no majority of voters answers, once until one does again."""
    if replica.quorum_loss_logged:
        return
    replica.quorum_loss_logged = True
    voters = replica.log.members.voters
    events.warn(
        events.Event.QUORUM_LOST,
        replica.term,
        voters,
        {
            voter: replicas.silent_s(replica, voter, now)
            for voter in voters
            if voter != replica.member
        },
        joining_members(replica, now),
    )
