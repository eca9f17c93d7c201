"""Measures when a process of the control group led it and could be reached."""

import asyncio
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.control import leases
from _arbutuswalk.control import service
from _arbutuswalk.entry import control_client
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

READ_INTERVAL_S = 0.05
READ_TIMEOUT_S = 1.0
MAX_READ_S = 0.3
"""Time of a read after which the leader counts as not reachable meanwhile."""
MAX_PAUSE_S = 0.3
"""Time between two reads after which it counts as not reachable meanwhile."""
RENEWAL_TIME_S = control_client.ATTEMPT_TIMEOUT_S + service.MAX_SYNC_WAIT_S
"""Time in which an entry finds a reachable leader and renews its lease."""
MIN_LEASE_LEFT_S = leases.LEASE_S - 2 * service.MAX_SYNC_WAIT_S
"""Lease that an entry has left at least when control becomes unreachable."""


class Period(NamedTuple):
    """A time span, in seconds."""

    start: float
    end: float


class ControlProbe:
    """Reads from all control processes until it is stopped.

    Attributes:
        reads: Sending and answer of each read that a leader answered.
    """

    def __init__(self, *, addresses):
        self.reads = []
        self.links = [link.Link(address=address) for address in addresses]
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.ensure_future(self._read(control_link))
            for control_link in self.links
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for control_link in self.links:
            await control_link.stop()

    async def _read(self, control_link):
        while True:
            sent_at = clock.monotonic()
            reply = await control_link.call(
                ttypes.Read(query="status", argument=""),
                timeout_s=READ_TIMEOUT_S,
            )
            if getattr(reply, "status", None) == ttypes.Status.OK:
                self.reads.append(Period(sent_at, clock.monotonic()))
            await asyncio.sleep(READ_INTERVAL_S)

    async def shows_leases(self):
        """Returns whether the entries must hold leases now."""
        return must_hold_lease(self.reads, clock.monotonic())


def reachable_periods(reads):
    """Returns the periods in which a leader answered without a pause."""
    periods = []
    for read in sorted(reads):
        if read.end - read.start > MAX_READ_S:
            continue
        if periods and read.start - periods[-1].end <= MAX_PAUSE_S:
            end = max(periods[-1].end, read.end)
            periods[-1] = Period(periods[-1].start, end)
        else:
            periods.append(read)
    return periods


def must_hold_lease(reads, at):
    """Returns whether an entry must hold its lease at a time.

    It must if a leader could be reached for long enough to renew it, and not
    so long ago that the lease may have expired since.
    """
    return any(
        min(period.end, at) - period.start >= RENEWAL_TIME_S
        and at - period.end < MIN_LEASE_LEFT_S
        for period in reachable_periods(reads)
    )
