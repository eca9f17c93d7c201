"""Endpoints that leave, in the replicated tables.

A departure is final within a start of an endpoint. It outlives the processes
that heard it, and the caches of endpoints from before it.
"""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

RETENTION_MS = 600_000
"""Time for which a departure is kept: longer than an endpoint serves on, or
than a control process with an older cache of endpoints is away."""
MAX_DEPARTURES = 4096
"""Departures that are kept; the oldest are removed first."""


def record(
    tables: rows.Tables, command: commands.RecordDepartures
) -> outcomes.Outcome:
    """Records departures; one that is known already changes nothing."""
    for endpoint_id, born_ms in command.starts:
        key = _key(endpoint_id, born_ms)
        if key not in tables.departures:
            tables.departures[key] = rows.DepartureRow(
                endpoint_id, born_ms, tables.time_ms
            )
            tables.departures_changed = tables.applied
    while len(tables.departures) > MAX_DEPARTURES:
        del tables.departures[next(iter(tables.departures))]
    return outcomes.Accepted()


def is_recorded(tables: rows.Tables, endpoint_id: str, born_ms: int) -> bool:
    """Returns whether the departure of a start is known."""
    return _key(endpoint_id, born_ms) in tables.departures


def expire(tables: rows.Tables) -> None:
    """Removes departures past their retention."""
    while tables.departures:
        oldest, row = next(iter(tables.departures.items()))
        if row.at_ms + RETENTION_MS > tables.time_ms:
            break
        del tables.departures[oldest]


def _key(endpoint_id: str, born_ms: int) -> str:
    return f"{endpoint_id}/{born_ms}"
