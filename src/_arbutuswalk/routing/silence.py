"""Endpoints of which another process has heard nothing for longer."""

from _arbutuswalk.routing import directory


def record(
    known: directory.Directory,
    heartbeat: directory.Heartbeat,
    heard_before: float,
) -> bool:
    """Records that another process has heard nothing after a heartbeat.

    Args:
        known: Endpoints known to this process.
        heartbeat: Last heartbeat that the other process knows.
        heard_before: Latest time at which it may have arrived, in seconds.

    Returns:
        Whether nothing newer is known here of an endpoint that is ready.
    """
    row = known.rows.get(heartbeat.id)
    if row is None or directory.start_of(row.endpoint) != directory.start_of(
        heartbeat
    ):
        return False
    is_newer = row.endpoint.sequence > heartbeat.sequence
    if is_newer or row.announced_at <= heard_before:
        return False
    known.rows[heartbeat.id] = row._replace(announced_at=heard_before)
    return row.endpoint.state == directory.READY
