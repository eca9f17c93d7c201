"""Detects that a process stood still, as when its machine is suspended.

What others sent meanwhile is still unread, so their silence proves nothing.
"""

import asyncio
from collections.abc import Callable

from _arbutuswalk.base import clock

CHECK_INTERVAL_S = 0.1
MIN_STALL_S = 0.3
"""Shorter delays are left to the margins of the time-outs."""


class StallDetector:
    """Calls ``on_stall`` with the length of each stall, in seconds.

    It runs as a timer of the event loop and not as a task: timers that are due
    run before the tasks that handle input which arrived during the stall.

    Attributes:
        now: Monotonic clock.
        on_stall: Called once the process runs again.
        timer: Next check, None while stopped.
        expected_at: When that check is due, in seconds.
    """

    def __init__(
        self,
        *,
        on_stall: Callable[[float], None],
        now: clock.Clock = clock.monotonic,
    ):
        self.now = now
        self.on_stall = on_stall
        self.timer: asyncio.TimerHandle | None = None
        self.expected_at = 0.0

    def start(self) -> None:
        """Starts checking; needs a running event loop."""
        self.expected_at = self.now() + CHECK_INTERVAL_S
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stops checking."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _check(self) -> None:
        stalled_s = self.now() - self.expected_at
        self.start()
        if stalled_s >= MIN_STALL_S:
            self.on_stall(stalled_s)
