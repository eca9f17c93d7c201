"""Counts of started requests by window and workspace."""

KEPT_WINDOWS = 8
"""Windows included in every report, so that a new leader can sum them up."""


class Usage:
    """Counts of this process since its start.

    Attributes:
        window_s: Length of a window; windows are numbered from the epoch.
        counts: Count by workspace, by window number.
        offset_s: Correction added to the wall clock.
    """

    def __init__(self, *, window_s: float):
        self.window_s = window_s
        self.counts: dict[int, dict[str, int]] = {}
        self.offset_s = 0.0

    def count(self, workspace: str, wall: float) -> None:
        """Counts a request that started at ``wall``."""
        window = int((wall + self.offset_s) // self.window_s)
        counts = self.counts.get(window)
        if counts is None:
            counts = self.counts[window] = {}
            for old in sorted(self.counts)[:-KEPT_WINDOWS]:
                del self.counts[old]
        counts[workspace] = counts.get(workspace, 0) + 1
