"""Workspace quotas that all entries share with delayed reports.

Every entry keeps an estimate of the token bucket that all entries share. It
subtracts its own use immediately, the use of other entries when control
reports it, and holds back an estimate of their unreported use. An entry
without reports splits off an equal share of the bucket, which the others
reserve for it, and limits itself to that.
"""

import collections
from typing import NamedTuple

from _arbutuswalk.limits import quota_levels
from _arbutuswalk.limits import returned_share

MAX_REPORT_AGE_S = 1.0
"""Age of the last report above which an entry limits itself to an equal share:
two report intervals of 0.4 s, and the time for a message."""
REPORT_LAG_S = 0.8
"""Time until a use has reached all entries: two report intervals."""
RATE_SPAN_S = 0.5
"""Minimum time over which rates are measured: one report interval."""
RATE_SMOOTHING_FACTOR = 0.5
"""Weight of the newest measurement in the smoothed rates."""
EQUAL_RATE_PRIOR_FRACTION = 0.5
"""Weight of the prior that all entries use equal rates, as a fraction of the
rate; it dominates until rates have been measured."""
SHARE_DRAW_REQUESTS = 2.0
"""Largest number of requests that the random part of a share covers: one on
average, as the request that makes a level negative is larger than most."""
STARTUP_SPREAD_S = 3.0
"""Longest time between the starts of entries that start together."""


class Pool(NamedTuple):
    """The shared bucket as the entries with reports see it.

    Attributes:
        level: Lowest estimate of the tokens in it.
        age_s: Time since the first entry had reports again.
    """

    level: float
    age_s: float


class Bucket:
    """One entry's estimate of a workspace's shared token bucket.

    Attributes:
        rate: Tokens per second for all entries together.
        burst: Maximum tokens in the bucket.
        level: Estimated tokens in the bucket.
        refilled_at: Time of the last refill, in seconds.
        usable_fraction: Fraction of rate and burst that this entry may use,
            below 1 while entries are unreachable.
        is_split: Whether ``level`` is only this entry's share of the bucket,
            because it is without reports.
        is_share_reduced: Whether a random part of a request was subtracted
            from that share.
        withheld: Tokens of the bucket that are not in that share.
        split_at: When the share was split off, in seconds.
        gained_since_split: Tokens by which the share was refilled since.
        recent_takes: Time and tokens of the requests that this entry admitted
            in the last seconds.
        split_correction: Difference between this entry's part in the sum of all
            shares and its share: the others' shares contain its unreported use,
            which it subtracts instead of its estimate of theirs.
        is_initial_share: Whether the share was never part of a bucket that this
            process knew.
        pool_started_at: Since when there is the shared bucket that this entry
            had last, in seconds.
        own_share: Share that this entry returned last.
        returned: Tokens of its shares that this entry returned to the shared
            bucket since its start.
        others_returned: Tokens that the others returned, by the last reports.
        entries: Number of entries that share the bucket.
        promised: Tokens of recently refused requests whose callers were told
            when to retry.
        taken: Tokens that this entry took since its start.
        others_taken: Total of the other entries by the last report. If None,
            the first report is a baseline.
        others_rate: Estimated tokens per second of the other entries.
        own_rate: Estimated tokens per second of this entry.
        taken_since_report: Tokens that this entry took since the last report.
        taken_before_report: Tokens that it took between the last two reports.
        span_others_taken: Tokens of other entries since ``span_started_at``.
        span_start_taken: ``taken`` at ``span_started_at``.
        span_started_at: Start of the current rate measurement, in seconds.
        last_report_at: Time of the last report, in seconds.
    """

    def __init__(
        self,
        *,
        rate: float,
        burst: float,
        now: float,
        sharing_entries: int = 1,
        others_taken: float | None = None,
    ):
        self.rate = rate
        self.burst = burst
        self.level = burst / sharing_entries
        self.refilled_at = now
        self.usable_fraction = 1 / sharing_entries
        self.is_split = sharing_entries > 1
        self.is_share_reduced = False
        self.withheld = 0.0
        self.split_at = now
        self.gained_since_split = 0.0
        self.recent_takes: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.split_correction = 0.0
        self.is_initial_share = self.is_split
        self.pool_started_at = now
        self.own_share = returned_share.ReturnedShare()
        self.returned = 0.0
        self.others_returned = 0.0
        self.entries = sharing_entries
        self.promised = 0.0
        self.taken = 0.0
        self.others_taken = others_taken
        self.others_rate = 0.0
        self.own_rate = 0.0
        self.taken_since_report = 0.0
        self.taken_before_report = 0.0
        self.span_others_taken = 0.0
        self.span_start_taken = 0.0
        self.span_started_at = now
        self.last_report_at = now

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Changes rate and burst; never raises the level."""
        self._update(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def record_report(self, others: float, now: float) -> None:
        """Processes a report of the total that the other entries took."""
        self._update(now)
        was_split = self.is_split
        if was_split:
            self._merge()
        self._start_report_interval(now)
        if self.others_taken is None:
            self.others_taken = others
            return
        newly_taken = max(0.0, others - self.others_taken)
        self.others_taken = max(self.others_taken, others)
        if was_split:
            self.level = min(self.burst, self.level + self.withheld)
        self.level -= newly_taken
        self._update_rates(newly_taken, now)

    def record_baseline(self, now: float, pool: Pool | None = None) -> None:
        """Processes a report that does not tell how much the others took.

        After a gap in the reports their use is estimated instead. An entry that
        had split off its share returns it to the shared bucket.

        Args:
            now: Current time in seconds.
            pool: The shared bucket of the entries that have reports, None if
                there is none.
        """
        self._update(now)
        gap_s = now - self.last_report_at
        if not self.is_split and gap_s <= RATE_SPAN_S:
            return
        if self.is_split:
            self._return_share(pool, now)
            self._merge()
        else:
            self.level -= self._estimate_unreported(gap_s)
        self._start_report_interval(now)
        self._start_rate_span(now)

    def shared_pool(self, now: float) -> Pool | None:
        """Returns the shared bucket as of the last report.

        It is None while this entry has only its share, or would split it off at
        the next request.
        """
        if self.is_split or now - self.last_report_at > MAX_REPORT_AGE_S:
            return None
        return Pool(self.level, now - self.pool_started_at)

    def record_returned(self, others: float) -> None:
        """Processes a report of the total that the other entries returned."""
        newly_returned = max(0.0, others - self.others_returned)
        self.others_returned += newly_returned
        if not self.is_split:
            self.level = min(self.burst, self.level + newly_returned)

    def _return_share(self, pool: Pool | None, now: float) -> None:
        """Adds this entry's share to the shared bucket, and continues with it.

        A bucket that is older than the split still contains the share, except
        for what was refilled since; a process that started later than the
        bucket has no share in it.
        """
        pool = pool or Pool(level=0.0, age_s=0.0)
        split_s = now - self.split_at
        if self.is_initial_share:
            is_part = split_s + STARTUP_SPREAD_S > pool.age_s
            returned = self.level if is_part else 0.0
        elif split_s >= pool.age_s:
            returned = self.level + self.split_correction
        else:
            returned = self.gained_since_split
        self.own_share.start(min(self.level, returned), now)
        self.level = min(self.burst, pool.level + returned)
        self.pool_started_at = now - pool.age_s
        if returned > 0:
            self.returned += returned
        else:
            self.taken -= returned

    def _start_report_interval(self, now: float) -> None:
        self.last_report_at = now
        self.taken_before_report, self.taken_since_report = (
            self.taken_since_report,
            0.0,
        )

    def _estimate_unreported(self, report_age_s: float) -> float:
        """Estimates the unreported use of the other entries.

        Their use correlates with this entry's: when the bucket is empty, all
        entries see the same refill and take it at the same time. The estimate
        is the larger of one from their rate and one from this entry's use.
        """
        rate_estimate = self.others_rate * report_age_s
        equal_rate = self.rate / self.entries * EQUAL_RATE_PRIOR_FRACTION
        ratio = (self.others_rate + equal_rate * (self.entries - 1)) / (
            self.own_rate + equal_rate
        )
        ratio = min(ratio, self.entries - 1)
        own_draw_estimate = (
            self.taken_since_report + self.taken_before_report
        ) * ratio
        return max(rate_estimate, own_draw_estimate)

    def _update_rates(self, newly_taken: float, now: float) -> None:
        """Updates the estimated rates over spans of at least ``RATE_SPAN_S``.

        Reports of several control processes arrive in quick succession, so the
        rate between two consecutive reports is meaningless.
        """
        self.span_others_taken += newly_taken
        elapsed_s = now - self.span_started_at
        if elapsed_s >= RATE_SPAN_S:
            others_rate = self.span_others_taken / elapsed_s
            own_rate = (self.taken - self.span_start_taken) / elapsed_s
            self.others_rate += RATE_SMOOTHING_FACTOR * (
                others_rate - self.others_rate
            )
            self.own_rate += RATE_SMOOTHING_FACTOR * (own_rate - self.own_rate)
            self._start_rate_span(now)

    def _start_rate_span(self, now: float) -> None:
        self.span_others_taken = 0.0
        self.span_start_taken = self.taken
        self.span_started_at = now

    def take(
        self,
        cost: float,
        now: float,
        *,
        entries: int,
        unreachable: int,
        late: bool = False,
        share_draw: float = 0.0,
    ) -> float:
        """Takes ``cost`` tokens.

        A large request is admitted when the bucket is about half full; the
        level may become negative and recovers by later refills.

        Args:
            cost: Tokens of the request.
            now: Current time in seconds.
            entries: Number of entries that share the bucket.
            unreachable: Number of those that are unreachable.
            late: Whether the response would already miss its objective, so
                that requests which can still meet theirs take precedence.
            share_draw: Random number from 0 to 1, used at the first large
                request after a split.

        Returns:
            Zero if the tokens were taken, else seconds until a retry.
        """
        self.entries = max(1, entries)
        self._update(now)
        self.usable_fraction = quota_levels.usable_fraction(
            self.entries, unreachable, is_split=self.is_split
        )
        self.level = min(self.level, self.burst * self.usable_fraction)
        self._reduce_share(cost, share_draw)
        held_back = 0.0
        if not self.is_split:
            held_back = self._estimate_unreported(now - self.last_report_at)
        available = self.level - held_back
        required = quota_levels.required_level(
            cost,
            self.burst,
            late=late,
            usable_fraction=self.usable_fraction,
        )
        if available >= required or self.own_share.admits(
            cost, now, burst=self.burst, entries=self.entries, late=late
        ):
            self.level -= cost
            self.own_share.level -= cost
            self.taken += cost
            self.taken_since_report += cost
            self._record_recent_take(cost, now)
            return 0.0
        # Callers that were told when to retry take precedence.
        shortfall = required - available + self.promised * entries
        self.promised += cost
        return shortfall / (self.rate * self.usable_fraction)

    def _record_recent_take(self, cost: float, now: float) -> None:
        self.recent_takes.append((now, cost))
        while self.recent_takes[0][0] < now - MAX_REPORT_AGE_S - REPORT_LAG_S:
            self.recent_takes.popleft()

    def _update(self, now: float) -> None:
        """Refills the bucket, and splits it if reports have stopped."""
        split_at = self.last_report_at + MAX_REPORT_AGE_S
        if now > split_at and self.entries > 1 and not self.is_split:
            self._refill(max(split_at, self.refilled_at))
            self._split()
        self._refill(now)

    def _split(self) -> None:
        """Reduces the bucket to this entry's share of what is left in it."""
        estimate = self._estimate_unreported(MAX_REPORT_AGE_S)
        self.level -= estimate
        share = self.level / self.entries
        self.withheld = self.level - share
        self.level = share
        self.usable_fraction = 1 / self.entries
        self.is_split = True
        self.own_share.level = 0.0
        self.is_share_reduced = False
        self.is_initial_share = False
        self.split_at = self.refilled_at
        self.gained_since_split = 0.0
        reported_until = self.last_report_at - REPORT_LAG_S
        unreported = sum(
            cost for at, cost in self.recent_takes if at > reported_until
        )
        self.split_correction = estimate / self.entries - unreported * (
            1 - 1 / self.entries
        )

    def _reduce_share(self, cost: float, share_draw: float) -> None:
        """Subtracts a random part of a request that a share hardly holds.

        The level may become negative by one request. Without this, every entry
        would admit one, and all of them together more than the bucket holds.
        """
        largest_cost = SHARE_DRAW_REQUESTS * cost
        share = self.burst * self.usable_fraction
        if self.is_split and not self.is_share_reduced and largest_cost > share:
            self.is_share_reduced = True
            self.level -= share_draw * largest_cost

    def _merge(self) -> None:
        """Ends the split; what was taken from the share stays subtracted."""
        self.is_split = False
        self.usable_fraction = 1.0
        self.taken_since_report = 0.0

    def _refill(self, now: float) -> None:
        """Adds the tokens since the last refill, for this entry's fraction."""
        elapsed_s = max(0.0, now - self.refilled_at)
        max_level = self.burst * self.usable_fraction
        gained = elapsed_s * self.rate * self.usable_fraction
        level = min(max(max_level, self.level), self.level + gained)
        self.gained_since_split += level - self.level
        self.level = level
        self.own_share.level += elapsed_s * self.rate / self.entries
        if self.is_split:
            self.withheld += gained * (self.entries - 1)
        self.promised = max(0.0, self.promised - gained / self.entries)
        self.refilled_at = now
