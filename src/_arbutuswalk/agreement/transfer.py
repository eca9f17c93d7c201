"""Snapshot transfer: the receiver fetches pieces from any member.

All members take snapshots at the same indices of the same tables, so their
bytes are equal and a piece may come from any of them. A transfer that stalls
goes on at its offset with the next source.
"""

import zlib

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import snapshot
from _arbutuswalk.agreement import types
from _arbutuswalk.storage import wal
from _arbutuswalk.wire.gen.arbutus import ttypes

PIECE_BYTES = 256 * 1024
PATIENCE_HEARTBEATS = 5


def offer(replica: replicas.Replica, member: str) -> None:
    """Tells a member that is too far behind what to fetch, and where."""
    index = replica.log.base_index
    data = replica.snapshots.get(index)
    if data is None:
        return
    sources = [
        name
        for name, progress in replica.progress.items()
        if name != member and progress.match_index >= index
    ]
    message = ttypes.SnapshotOffer(
        term=replica.term,
        leader=replica.member,
        last_index=index,
        last_term=replica.log.base_term,
        total=len(data),
        checksum=zlib.crc32(data),
        sources=[*sorted(sources), replica.member],
    )
    replica.send(member, message, after_sync=False)


def on_offer(
    replica: replicas.Replica, message: ttypes.SnapshotOffer, now: float
) -> None:
    """Starts a transfer, or goes on with the one under way."""
    if _holds(replica, message.last_index, message.last_term):
        return
    current = replica.transfer
    same = (
        current is not None
        and current.index == message.last_index
        and current.checksum == message.checksum
    )
    if same:
        current.sources = list(message.sources)
        return
    replica.transfer = replicas.Transfer(
        index=message.last_index,
        term=message.last_term,
        total=message.total,
        checksum=message.checksum,
        sources=list(message.sources),
    )
    _ask(replica, now)


def tick(replica: replicas.Replica, now: float) -> None:
    """Asks the next source when a piece is overdue."""
    transfer = replica.transfer
    patience = PATIENCE_HEARTBEATS * replica.timing.heartbeat_s
    if transfer is not None and now - transfer.asked_at > patience:
        _ask(replica, now)


def on_piece_request(
    replica: replicas.Replica, request: ttypes.PieceRequest
) -> None:
    """Sends a piece, or an empty one when the snapshot is not held."""
    data = replica.snapshots.get(request.last_index, b"")
    offset = max(0, request.offset)
    piece = ttypes.Piece(
        source=replica.member,
        last_index=request.last_index,
        offset=offset,
        data=data[offset : offset + PIECE_BYTES],
    )
    replica.send(request.member, piece, after_sync=False)


def on_piece(
    replica: replicas.Replica, piece: ttypes.Piece, now: float
) -> None:
    """Adds a piece that fits; installs the snapshot when it is whole."""
    transfer = replica.transfer
    if transfer is None or piece.last_index != transfer.index:
        return
    if piece.offset != len(transfer.data) or not piece.data:
        return
    transfer.data += piece.data
    if len(transfer.data) < transfer.total:
        transfer.attempts -= 1  # this source answers: stay with it
        _ask(replica, now)
        return
    replica.transfer = None
    if zlib.crc32(transfer.data) == transfer.checksum:
        _install(replica, transfer)


def _ask(replica: replicas.Replica, now: float) -> None:
    transfer = replica.transfer
    source = transfer.sources[transfer.attempts % len(transfer.sources)]
    transfer.attempts += 1
    transfer.asked_at = now
    request = ttypes.PieceRequest(
        member=replica.member,
        last_index=transfer.index,
        offset=len(transfer.data),
    )
    replica.send(source, request, after_sync=False)


def _install(replica: replicas.Replica, transfer: replicas.Transfer) -> None:
    if _holds(replica, transfer.index, transfer.term):
        return
    data = bytes(transfer.data)
    members, _ = snapshot.unpack(data)
    replica.log.reset(transfer.index, transfer.term, members)
    replica.commit = transfer.index
    replica.durable_index = transfer.index
    replica.snapshots = {transfer.index: data}
    replica.installed = wal.Snapshot(transfer.index, transfer.term, data)


def _holds(replica: replicas.Replica, index: int, term: int) -> bool:
    """Tells whether the log already holds what the snapshot covers.

    Resetting it all the same would drop later entries that this member has
    acknowledged.
    """
    return index <= replica.commit or replica.log.term_at(index) == term


def keep(replica: replicas.Replica, index: int, data: bytes) -> None:
    """Serves a snapshot of own tables and forgets the entries it covers."""
    kept = sorted({*replica.snapshots, index})[-wal.SNAPSHOTS_KEPT :]
    replica.snapshots[index] = data
    replica.snapshots = {at: replica.snapshots[at] for at in kept}
    replica.log.compact(index)


def members_at(replica: replicas.Replica, index: int) -> types.Members:
    """Returns the members a snapshot at ``index`` has to carry."""
    return replica.log.members_before(index)
