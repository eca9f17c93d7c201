"""Clocks that processes read and tests replace."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds; monotonic unless a name says wall."""

monotonic: Clock = time.monotonic
wall: Clock = time.time

MS_PER_S = 1000
