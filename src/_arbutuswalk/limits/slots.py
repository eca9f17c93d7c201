"""Slots of one brittle endpoint, which the leader gives out to all entries.

A brittle endpoint lets few requests wait and falls over when it turns too many
away. Entries that choose endpoints on their own see the same free slot at the
same time. The leader therefore gives out each slot for one request, and counts
what entries have sent without one.
"""

import collections
import math
from collections.abc import Mapping
from typing import NamedTuple

REJECTION_WINDOW_S = 1.1
"""Time for which rejections are counted, a little longer than the second in
which an endpoint counts them."""
RISK_S = 0.05
"""Time after which a request that was not rejected has probably a slot: more
than the round trips of an entry and of its report."""
MIN_RAISE_INTERVAL_S = 1.5
"""Time after the first rejection until one more slot is used than the endpoint
had then. Each further rejection doubles it."""
MAX_RAISE_INTERVAL_S = 12.0


class Lease(NamedTuple):
    """A slot that was given out for one request.

    Attributes:
        entry: Entry that sends the request.
        granted_at: When it was given out, in seconds.
        level: Slots in use then, with this one.
        expires_at: When it ends if the entry does not report its end.
    """

    entry: str
    granted_at: float
    level: int
    expires_at: float


class SlotBook:
    """What the leader knows of the slots of one start of an endpoint.

    Attributes:
        slots: Requests that the endpoint processes at a time.
        rejections_per_s: Rejections per second that it survives.
        leases: Lease by id.
        unleased: Requests that entries sent without a lease, as they said last,
            by entry; without those that have none.
        told: Entries that have said how many.
        next_expiry_at: Time before which no lease expires, in seconds.
        rejected_at: Times of the rejections of the last window.
        bound: Slots that may be in use, fewer than ``slots`` after a rejection.
        proven: Slots that were in use without a rejection.
        bound_at: When the bound last changed, in seconds.
        raise_interval_s: Time until it is raised by one.
        used_at: When a slot was last asked for, in seconds.
    """

    def __init__(self, *, slots: int, rejections_per_s: float, now: float):
        self.slots = max(1, slots)
        self.rejections_per_s = rejections_per_s
        self.leases: dict[str, Lease] = {}
        self.unleased: dict[str, int] = {}
        self.told: set[str] = set()
        self.next_expiry_at = math.inf
        self.rejected_at: collections.deque[float] = collections.deque()
        self.bound = self.proven = self.slots
        self.bound_at = self.used_at = now
        self.raise_interval_s = MIN_RAISE_INTERVAL_S

    def occupied(self, reported: Mapping[str, int], now: float) -> int:
        """Returns the slots in use.

        Args:
            reported: Requests in progress by entry, from the watches of
                entries. It counts for those that have not said themselves how
                many they sent without a lease.
            now: Current time in seconds.
        """
        self._expire(now)
        silent = sum(
            running
            for entry, running in reported.items()
            if entry not in self.told
        )
        return len(self.leases) + sum(self.unleased.values()) + silent

    def record_unleased(self, entry: str, count: int) -> None:
        """Records how many requests an entry has sent without a lease."""
        self.told.add(entry)
        self.unleased.pop(entry, None)
        if count:
            self.unleased[entry] = count

    def has_room(self, reported: Mapping[str, int], now: float) -> bool:
        """Returns whether one more request may be sent."""
        self._raise_bound(now)
        occupied = self.occupied(reported, now)
        if occupied >= self.bound:
            return False
        if occupied < self.proven:
            return True
        for lease in self.leases.values():
            if lease.granted_at <= now - RISK_S:
                self.proven = max(self.proven, lease.level)
        while self.rejected_at and (
            self.rejected_at[0] <= now - REJECTION_WINDOW_S
        ):
            self.rejected_at.popleft()
        at_risk = sum(
            lease.level > self.proven and lease.granted_at > now - RISK_S
            for lease in self.leases.values()
        )
        # One is left for an entry that does not ask.
        survived = max(1, int(self.rejections_per_s) - 1)
        return len(self.rejected_at) + at_risk < survived

    def grant(
        self,
        lease_id: str,
        entry: str,
        lease_s: float,
        reported: Mapping[str, int],
        now: float,
    ) -> None:
        """Gives out a slot."""
        level = self.occupied(reported, now) + 1
        self._add(lease_id, Lease(entry, now, level, now + lease_s))

    def end(self, lease_id: str, linger_s: float, now: float) -> None:
        """Ends a lease after ``linger_s``, or earlier if it expires."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None and linger_s > 0:
            expires_at = min(lease.expires_at, now + linger_s)
            self._add(lease_id, lease._replace(expires_at=expires_at))

    def record_rejection(self, reported: Mapping[str, int], now: float) -> None:
        """Records a rejection; the ended request is not counted any more."""
        self.rejected_at.append(now)
        accepted = self.occupied(reported, now) - sum(
            lease.granted_at > now - RISK_S for lease in self.leases.values()
        )
        if self.bound < self.slots:
            self.raise_interval_s = min(
                MAX_RAISE_INTERVAL_S, 2 * self.raise_interval_s
            )
        self.bound = self.proven = max(1, min(self.bound, accepted))
        self.bound_at = now

    def inherit(self, other: "SlotBook") -> None:
        """Begins as careful as with another endpoint of the upstream."""
        bound = max(1, self.slots * other.bound // other.slots)
        self.bound = self.proven = min(self.bound, bound)
        self.raise_interval_s = max(
            self.raise_interval_s, other.raise_interval_s
        )

    def remove_entry(self, entry: str) -> None:
        """Forgets a former process of an entry, whose connections are closed.

        The new one has sent nothing yet.
        """
        self.record_unleased(entry, 0)
        self.leases = {
            lease_id: lease
            for lease_id, lease in self.leases.items()
            if lease.entry != entry
        }

    def _add(self, lease_id: str, lease: Lease) -> None:
        self.leases[lease_id] = lease
        self.next_expiry_at = min(self.next_expiry_at, lease.expires_at)

    def _expire(self, now: float) -> None:
        if now < self.next_expiry_at:
            return
        self.leases = {
            lease_id: lease
            for lease_id, lease in self.leases.items()
            if now < lease.expires_at
        }
        self.next_expiry_at = min(
            (lease.expires_at for lease in self.leases.values()),
            default=math.inf,
        )

    def _raise_bound(self, now: float) -> None:
        if self.bound >= self.slots:
            return
        raises = int((now - self.bound_at) / self.raise_interval_s)
        if raises > 0:
            self.bound = min(self.slots, self.bound + raises)
            self.bound_at = now
