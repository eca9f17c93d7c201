"""Starts of endpoints that have stated in an answer that they leave.

Leaving is final within a start. An endpoint is remembered by its id and start,
so another endpoint that uses its address later is not affected.
"""

from typing import NamedTuple

RETENTION_S = 60.0
"""Time for which a start is remembered although its endpoint is not known:
longer than any announcement of it may be late."""
MAX_STARTS = 4096
"""Starts that are remembered; the oldest are forgotten first."""


class Start(NamedTuple):
    """One start of an endpoint."""

    endpoint_id: str
    born_ms: int
