"""Tracks which endpoints recently received which shared prompt part."""

import collections

PART_RETENTION_S = 8.0
"""Time for which a part is assumed to be cached where it was sent. Engines
evict the least recently used parts, under load after some seconds."""
MAX_PARTS = 20_000
"""Maximum number of parts tracked; the oldest are evicted first."""


class RecentParts:
    """Times at which this entry sent prompt parts to endpoints.

    Attributes:
        sent_at: Send time by endpoint id, by part, most recently sent last.
    """

    def __init__(self):
        self.sent_at: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, part: str, endpoint: str, now: float) -> None:
        """Records that a part was sent to an endpoint."""
        self.sent_at.setdefault(part, {})[endpoint] = now
        self.sent_at.move_to_end(part)
        if len(self.sent_at) > MAX_PARTS:
            self.sent_at.popitem(last=False)

    def endpoints_holding(self, part: str, now: float) -> set[str]:
        """Returns the endpoints where a part is probably still cached."""
        return {
            endpoint
            for endpoint, sent_time in self.sent_at.get(part, {}).items()
            if now - sent_time <= PART_RETENTION_S
        }
