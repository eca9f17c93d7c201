"""What the deregistration of an endpoint announces."""

from _arbutuswalk.routing import directory as directories


def make_gone(
    directory: directories.Directory,
    endpoint_id: str,
    born_ms: int | None,
    now_ms: int,
) -> directories.Endpoint | None:
    """Returns what a deregistration announces, None if it does not count.

    Args:
        directory: Endpoints known so far.
        endpoint_id: Endpoint that deregisters.
        born_ms: Its start, None for the one that is known, or any so far.
        now_ms: Time of day, in Unix milliseconds.
    """
    row = directory.rows.get(endpoint_id)
    known_ms = now_ms if row is None else row.endpoint.born_ms
    # The row may be another writer's, under the id of the one that leaves.
    if row is not None and directories.is_configured(directory, row.endpoint):
        if born_ms in (None, known_ms):
            return row.endpoint._replace(state=directories.GONE)
        if born_ms < known_ms:
            return None
    return directories.Endpoint(
        id=endpoint_id,
        born_ms=known_ms if born_ms is None else born_ms,
        sequence=0,
        upstream="",
        address="",
        domain="",
        version="",
        slots=0,
        state=directories.GONE,
    )
