"""Clocks of the processes, which tests replace."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds; monotonic unless the variable's name contains ``wall``."""

MS_PER_S = 1000


def monotonic() -> float:
    """Returns seconds since boot.

    Unlike ``CLOCK_MONOTONIC``, this clock includes the time for which the
    instance was suspended, so that leases expire during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


wall: Clock = time.time
