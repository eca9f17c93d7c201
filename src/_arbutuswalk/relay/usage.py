"""Counts of started requests by window and workspace."""

REPORTED_WINDOWS = 8
"""Windows included in every report, so that a new leader can sum them up."""


class Usage:
    """Counts of this process since its start.

    Attributes:
        window_s: Length of a window; windows are numbered from the epoch.
        counts: Count by workspace, by window number.
        clock_offset_s: Correction added to the wall clock.
    """

    def __init__(self, *, window_s: float):
        self.window_s = window_s
        self.counts: dict[int, dict[str, int]] = {}
        self.clock_offset_s = 0.0

    def count(self, workspace: str, wall_s: float) -> None:
        """Counts a request that started at ``wall_s``."""
        window = int((wall_s + self.clock_offset_s) // self.window_s)
        counts = self.counts.get(window)
        if counts is None:
            counts = self.counts[window] = {}
            for expired_window in sorted(self.counts)[:-REPORTED_WINDOWS]:
                del self.counts[expired_window]
        counts[workspace] = counts.get(workspace, 0) + 1
