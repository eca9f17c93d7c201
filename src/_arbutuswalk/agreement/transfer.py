"""Snapshot transfer: the receiver fetches pieces from any member.

All members take snapshots of the same tables at the same indices, so their
bytes are equal and a piece may come from any of them. A stalled transfer
resumes at its offset from the next source.

The leader keeps the snapshot that it offers, and the entries after it, until
all members that answer have them. So a transfer may take longer than the
interval between two snapshots, and its receiver continues with entries.
"""

import zlib

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import snapshot
from _arbutuswalk.agreement import types
from _arbutuswalk.base import events
from _arbutuswalk.storage import wal
from _arbutuswalk.wire.gen.arbutus import ttypes

PIECE_BYTES = 256 * 1024
PIECE_TIMEOUT_HEARTBEATS = 5
MAX_SNAPSHOT_BYTES = 128 * 1024 * 1024
"""Largest snapshot that is received, as much as a control process's disk."""
MAX_KEPT_BYTES = 8 * 1024 * 1024
"""Size of the entries that a leader keeps for other members though a snapshot
covers them."""


def send_offer(replica: replicas.Replica, member: str) -> None:
    """Offers a snapshot to a member whose next entry is compacted away."""
    index = replica.log.snapshot_index
    data = replica.snapshots.get(index)
    if data is None:
        return
    others_keep_it = index in _newest_snapshots(replica)
    sources = [
        name
        for name, progress in replica.progress.items()
        if others_keep_it and name != member and progress.match_index >= index
    ]
    message = ttypes.SnapshotOffer(
        term=replica.term,
        leader=replica.member,
        last_index=index,
        last_term=replica.log.snapshot_term,
        total=len(data),
        checksum=zlib.crc32(data),
        sources=[*sorted(sources), replica.member],
    )
    replica.send(member, message, after_sync=False)


def on_offer(
    replica: replicas.Replica, message: ttypes.SnapshotOffer, now: float
) -> None:
    """Starts a transfer, or updates the sources of the current one."""
    if _log_covers(replica, message.last_index, message.last_term):
        return
    if message.total > MAX_SNAPSHOT_BYTES:
        events.record(
            events.Event.SNAPSHOT_REFUSED, message.leader, message.total
        )
        return
    current = replica.transfer
    is_current = (
        current is not None
        and current.index == message.last_index
        and current.checksum == message.checksum
    )
    if is_current:
        current.sources = list(message.sources)
        return
    replica.transfer = replicas.Transfer(
        index=message.last_index,
        term=message.last_term,
        total_bytes=message.total,
        checksum=message.checksum,
        sources=list(message.sources),
    )
    _request_piece(replica, now)


def tick(replica: replicas.Replica, now: float) -> None:
    """Compacts the log, and requests an overdue piece from the next source."""
    _compact_log(replica, now)
    transfer = replica.transfer
    piece_timeout_s = PIECE_TIMEOUT_HEARTBEATS * replica.timing.heartbeat_s
    if transfer is not None and now - transfer.requested_at > piece_timeout_s:
        _request_piece(replica, now)


def on_piece_request(
    replica: replicas.Replica, request: ttypes.PieceRequest
) -> None:
    """Sends a piece, or an empty one if this member lacks the snapshot."""
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
    """Appends the expected piece; installs the snapshot once complete."""
    transfer = replica.transfer
    if transfer is None or piece.last_index != transfer.index:
        return
    if piece.offset != len(transfer.data) or not piece.data:
        return
    if piece.offset + len(piece.data) > transfer.total_bytes:
        return
    transfer.data += piece.data
    if len(transfer.data) < transfer.total_bytes:
        transfer.source_position -= 1  # the source answers: keep using it
        _request_piece(replica, now)
        return
    replica.transfer = None
    if zlib.crc32(transfer.data) == transfer.checksum:
        _install(replica, transfer)


def _request_piece(replica: replicas.Replica, now: float) -> None:
    transfer = replica.transfer
    source = transfer.sources[transfer.source_position % len(transfer.sources)]
    transfer.source_position += 1
    transfer.requested_at = now
    request = ttypes.PieceRequest(
        member=replica.member,
        last_index=transfer.index,
        offset=len(transfer.data),
    )
    replica.send(source, request, after_sync=False)


def _install(replica: replicas.Replica, transfer: replicas.Transfer) -> None:
    if _log_covers(replica, transfer.index, transfer.term):
        return
    data = bytes(transfer.data)
    members, _ = snapshot.unpack(data)
    replica.log.reset(transfer.index, transfer.term, members)
    replica.commit = transfer.index
    replica.durable_index = transfer.index
    replica.snapshots = {transfer.index: data}
    replica.installed_snapshot = wal.Snapshot(
        transfer.index, transfer.term, data
    )


def _log_covers(replica: replicas.Replica, index: int, term: int) -> bool:
    """Returns whether the log already has all that the snapshot covers.

    Resetting the log in that case would drop later entries that this member
    has acknowledged.
    """
    return index <= replica.commit or replica.log.term_at(index) == term


def retain_snapshot(replica: replicas.Replica, index: int, data: bytes) -> None:
    """Makes a saved snapshot available to others and the log compactable."""
    replica.snapshots[index] = data
    if replica.log.bytes_up_to(index) > MAX_KEPT_BYTES:
        replica.log.compact(index)
    _drop_old_snapshots(replica)


def _compact_log(replica: replicas.Replica, now: float) -> None:
    """Drops the entries that a snapshot covers and no other member needs."""
    first_needed = _first_needed(replica, now)
    index = max((i for i in replica.snapshots if i < first_needed), default=0)
    if index > replica.log.snapshot_index:
        replica.log.compact(index)
        _drop_old_snapshots(replica)


def _first_needed(replica: replicas.Replica, now: float) -> int:
    """Returns the first entry that a member which answers may lack."""
    first_needed = replica.log.last_index + 1
    if replica.role is not types.Role.LEADER:
        return first_needed
    for progress in replica.progress.values():
        if now - progress.last_reply_at <= replica.timing.replace_after_s:
            first_needed = min(first_needed, progress.match_index + 1)
    return first_needed


def _newest_snapshots(replica: replicas.Replica) -> list[int]:
    """Returns the indices of the snapshots that every member keeps."""
    return sorted(replica.snapshots)[-wal.SNAPSHOTS_KEPT :]


def _drop_old_snapshots(replica: replicas.Replica) -> None:
    """Keeps the newest snapshots and the one that the log starts after."""
    newest = _newest_snapshots(replica)
    replica.snapshots = {
        index: data
        for index, data in replica.snapshots.items()
        if index in newest or index == replica.log.snapshot_index
    }


def members_at(replica: replicas.Replica, index: int) -> types.Members:
    """Returns the members to store in a snapshot at ``index``."""
    return replica.log.members_at_index(index)
