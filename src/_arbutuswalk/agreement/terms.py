"""Entering a term as a follower."""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types


def follow(
    replica: replicas.Replica, term: int, leader: str, now: float
) -> None:
    """Becomes a follower in ``term``."""
    if term > replica.term:
        replica.term = term
        replica.voted_for = ""
        replica.vote_changed = True
        # A promise made in an older term and not sent yet must not be sent:
        # the log it speaks of may be cut before it is durable.
        replica.outbox = [o for o in replica.outbox if not o.after_sync]
    replica.role = types.Role.FOLLOWER
    replica.leader = leader
    replica.votes = set()
    replica.progress = {}
    postpone(replica, now)


def postpone(replica: replicas.Replica, now: float) -> None:
    """Draws a new time at which to stand for election."""
    delay = replica.timing.election_s * (1 + replica.rng.random())
    replica.election_at = now + delay
