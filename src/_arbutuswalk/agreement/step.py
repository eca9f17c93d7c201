"""Entry points of the protocol: one for messages, one for timers."""

from _arbutuswalk.agreement import election
from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import presence
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import transfer
from _arbutuswalk.wire.gen.arbutus import ttypes

_HANDLERS = {
    ttypes.VoteRequest: election.on_vote_request,
    ttypes.VoteReply: election.on_vote_reply,
    ttypes.AppendRequest: replication.on_append_request,
    ttypes.AppendReply: replication.on_append_reply,
    ttypes.SnapshotOffer: transfer.on_offer,
    ttypes.Piece: transfer.on_piece,
    ttypes.Hello: presence.on_hello,
}


def receive(replica: replicas.Replica, message: object, now: float) -> None:
    """Handles one message from another member."""
    if isinstance(message, ttypes.PieceRequest):
        transfer.on_piece_request(replica, message)
        return
    handler = _HANDLERS.get(type(message))
    if handler is not None:
        handler(replica, message, now)


def tick(replica: replicas.Replica, now: float) -> None:
    """Runs the timers that are due at ``now``."""
    election.tick(replica, now)
    membership.tick(replica, now)
    replication.tick(replica, now)
    transfer.tick(replica, now)
