"""Clocks that processes read and tests replace."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds; monotonic unless a name says wall."""

MS_PER_S = 1000


def monotonic() -> float:
    """Returns seconds since boot.

    Unlike ``CLOCK_MONOTONIC`` this clock counts the time for which the machine
    was suspended, so that leases do not outlive a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


wall: Clock = time.time
