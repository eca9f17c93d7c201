"""Founding the group and changing its members one at a time.

Member ids are drawn new with every data folder. A member that lost its disk
comes back as a stranger, so that a forgotten vote or a lost entry can never be
counted again.
"""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import terms
from _arbutuswalk.agreement import types
from _arbutuswalk.wire.gen.arbutus import ttypes

FRESH_S = 2.0


def hello(replica: replicas.Replica) -> ttypes.Hello:
    """Returns what this member says of itself."""
    return ttypes.Hello(
        member=replica.member,
        address=replica.address,
        group=replica.log.members.group,
    )


def greeted(replica: replicas.Replica, now: float) -> set[str]:
    """Returns the addresses of the group to say hello to.

    Members that said hello lately count too: one that lost its disk knows only
    the configured addresses, and the leader need not be at any of them.
    """
    known = set(replica.log.members.addresses.values())
    heard = {
        seen.address
        for seen in replica.seen.values()
        if now - seen.at < FRESH_S
    }
    return (known | heard | {*replica.peers}) - {replica.address}


def on_hello(
    replica: replicas.Replica, message: ttypes.Hello, now: float
) -> None:
    """Notes who is behind an address."""
    for member, seen in list(replica.seen.items()):
        if seen.address == message.address and member != message.member:
            del replica.seen[member]
    replica.seen[message.member] = replicas.Seen(
        message.address, message.group, now
    )


def tick(replica: replicas.Replica, now: float) -> None:
    """Founds a group, or lets the leader make the next change."""
    if not replica.log.members.group:
        _found(replica, now)
    if replica.role is not types.Role.LEADER:
        return
    changed_at = replica.log.members_at[-1][0]
    if replica.commit < max(replica.term_start, changed_at):
        return
    if not replica.is_voter:
        terms.follow(replica, replica.term, "", now)
        return
    members = _next_members(replica, now)
    if members is not None:
        replication.propose(replica, types.pack_members(members), now)


def accepts_commands(replica: replicas.Replica) -> bool:
    """Tells whether the group has ever been complete."""
    return replica.log.members.formed


def _found(replica: replicas.Replica, now: float) -> None:
    """Founds a group when every configured peer is here and blank.

    Only the member at the lowest address founds, and only if all are seen:
    a member that lost its disk meets a peer with a group and joins that.
    """
    fresh = {
        seen.address: seen.group
        for seen in replica.seen.values()
        if now - seen.at < FRESH_S
    }
    others = set(replica.peers) - {replica.address}
    blank = all(fresh.get(address) == "" for address in others)
    first = replica.address == min(replica.peers, default="")
    if not (blank and first and replica.log.last_index == 0):
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
    replica.vote_changed = True


def _next_members(
    replica: replicas.Replica, now: float
) -> types.Members | None:
    """Returns the members after the next single change, if one is due."""
    members = replica.log.members
    if len(members.voters) > replica.target_voters:
        lost = _lost_voter(replica, now)
        if lost:
            return _without(members, lost)
    ready = _ready_learner(replica, now)
    short = len(members.voters) < replica.target_voters
    lost = _lost_voter(replica, now)
    if ready and (short or lost):
        return _with_voter(replica, members, ready)
    for learner in members.learners:
        if _silent(replica, learner, now):
            return _without(members, learner)
    stranger = _stranger(replica, now)
    if stranger and (short or lost) and not members.learners:
        addresses = dict(members.addresses)
        addresses[stranger] = replica.seen[stranger].address
        learners = (*members.learners, stranger)
        return members._replace(learners=learners, addresses=addresses)
    return None


def _lost_voter(replica: replicas.Replica, now: float) -> str:
    """Returns a voter to replace, or an empty string."""
    members = replica.log.members
    by_address = {
        seen.address: member
        for member, seen in replica.seen.items()
        if now - seen.at < FRESH_S
    }
    for voter in members.voters:
        if voter == replica.member:
            continue
        now_there = by_address.get(members.addresses[voter], voter)
        asked = voter == replica.replace_asked
        if asked or now_there != voter or _silent(replica, voter, now):
            return voter
    return ""


def _silent(replica: replicas.Replica, member: str, now: float) -> bool:
    progress = replica.progress.get(member)
    heard_at = progress.heard_at if progress else now
    return now - heard_at > replica.timing.replace_after_s


def _ready_learner(replica: replicas.Replica, now: float) -> str:
    """Returns a learner that holds, durably, all that is committed."""
    limit = now - replica.timing.election_s
    for learner in replica.log.members.learners:
        progress = replica.progress.get(learner)
        if progress is None or progress.acked_at < limit:
            continue
        if progress.match_index >= replica.commit:
            return learner
    return ""


def _stranger(replica: replicas.Replica, now: float) -> str:
    members = replica.log.members
    known = {*members.voters, *members.learners}
    for member, seen in sorted(replica.seen.items()):
        fresh = now - seen.at < FRESH_S
        if fresh and member not in known and seen.group in ("", members.group):
            return member
    return ""


def _with_voter(
    replica: replicas.Replica, members: types.Members, member: str
) -> types.Members:
    voters = (*members.voters, member)
    learners = tuple(name for name in members.learners if name != member)
    formed = members.formed or len(voters) >= replica.target_voters
    return members._replace(voters=voters, learners=learners, formed=formed)


def _without(members: types.Members, member: str) -> types.Members:
    addresses = dict(members.addresses)
    addresses.pop(member, None)
    return members._replace(
        voters=tuple(name for name in members.voters if name != member),
        learners=tuple(name for name in members.learners if name != member),
        addresses=addresses,
    )
