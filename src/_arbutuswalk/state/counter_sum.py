"""Sums of counters that start again with the processes that report them."""

from collections.abc import Hashable
from collections.abc import Mapping


class CounterSum:
    """What several processes counted since this object was created.

    Each process reports its counters since its own start. The sum adds up their
    increases, so it does not fall when a process ends or restarts, and does not
    rise by what a process counted before it was first seen.

    Attributes:
        totals: Sum of the increases by counter.
        last_values: Last values by process, by counter.
    """

    def __init__(self):
        self.totals: dict[Hashable, float] = {}
        self.last_values: dict[Hashable, dict[Hashable, float]] = {}

    def record(
        self,
        process: Hashable,
        values: Mapping[Hashable, float],
        *,
        counts_from_zero: bool,
    ) -> None:
        """Adds what a process counted since its last report.

        Args:
            process: Identifies one start of a process.
            values: Its counters. Values of an older report that arrives late
                are ignored.
            counts_from_zero: Whether the first report of the process counts in
                full, because the process started after this object was
                created. If not, its first report is only a baseline.
        """
        last = self.last_values.get(process)
        if last is None:
            last = {} if counts_from_zero else dict(values)
            self.last_values[process] = last
        for name, value in values.items():
            increase = value - last.get(name, 0)
            if increase > 0:
                self.totals[name] = self.totals.get(name, 0) + increase
                last[name] = value

    def remove(self, process: Hashable) -> None:
        """Forgets a process that has ended; what it counted stays included."""
        self.last_values.pop(process, None)
