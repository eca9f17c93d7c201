"""Changes of term and the election timeout."""

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types


def become_follower(
    replica: replicas.Replica, term: int, leader: str, now: float
) -> None:
    """Becomes a follower in ``term``."""
    if term > replica.term:
        replica.term = term
        replica.voted_for = ""
        replica.vote_unsaved = True
        # Unsent votes and acknowledgements of an older term must not go out:
        # the log they refer to may be truncated before it is durable.
        replica.outbox = [
            outgoing for outgoing in replica.outbox if not outgoing.after_sync
        ]
    replica.role = types.Role.FOLLOWER
    replica.leader = leader
    replica.granted_by = set()
    replica.progress = {}
    reset_election_timeout(replica, now)


def reset_election_timeout(replica: replicas.Replica, now: float) -> None:
    """Sets a new random time at which to start an election."""
    delay_s = replica.timing.election_s * (1 + replica.rng.random())
    replica.election_due_at = now + delay_s
