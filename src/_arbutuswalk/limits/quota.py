"""Quotas of workspaces, shared by entries that hear of each other with a lag.

Every entry keeps an estimate of the one bucket that all of them draw from: its
own takings count at once, those of the others when control tells of them, and
what they probably took since then is held back. An entry that hears nothing
keeps to an equal share, and the others leave that share to it.
"""

from typing import NamedTuple

LAG_LIMIT_S = 1.5
"""Age of the last news from which an entry keeps to an equal share: three
rounds of news."""
SPAN_S = 0.5
"""Time over which what others take is measured: a round of news."""
RATE_WEIGHT = 0.5
"""Weight of the newest span in the estimate of what others take."""


LATE_PART = 0.3
"""Part of the burst that late requests leave for those that are on time: a
workspace over its quota would else spend it on answers that come too late."""
EQUAL_WEIGHT = 0.5
"""Weight of the assumption that all entries draw alike, as a part of the rate:
it decides until their rates have been measured."""
LARGE_PART = 0.1
"""Part of the burst from which a request counts as large."""
RESERVE_PART = 0.3
"""Part of the burst that large requests leave for small ones."""
SLACK_PART = 0.6
"""Part of the permitted overshoot that is given out; the rest covers what
entries take before they hear of each other."""


class Terms(NamedTuple):
    """How exactly a quota has to be kept.

    Attributes:
        window_s: Length of the windows in which it is checked.
        overshoot: Part by which a window may exceed rate and burst.
        tolerance: Tokens by which it may exceed them besides.
    """

    window_s: float
    overshoot: float
    tolerance: float


def loosen(rate: float, burst: float, terms: Terms) -> tuple[float, float]:
    """Returns the rate and burst to use.

    A refusal of what the quota would permit costs its caller more than a
    small overshoot costs anyone, so part of the permitted one is given out,
    half of it as rate and half as burst.
    """
    more = 1 + SLACK_PART * terms.overshoot
    extra = SLACK_PART * terms.tolerance / 2
    return rate * more + extra / terms.window_s, burst * more + extra


class Bucket:
    """A workspace's bucket, as one entry sees it.

    Attributes:
        rate: Tokens a second for all entries together.
        burst: Most tokens that may be there at once.
        level: Tokens that are there by all that is known.
        filled_at: When the level was last brought up to date, in seconds.
        part: Part of rate and burst that may be drawn on, below 1 while
            entries cannot be heard.
        entries: Entries that draw from the bucket.
        told: Tokens of requests that this entry refused lately and told when
            to come back.
        taken: What this entry took since its start.
        others: What the others were last said to have taken.
        others_rate: What they take a second, estimated.
        own_rate: What this entry takes a second, estimated.
        fresh: What this entry took since the last news.
        fresh_before: What it took between that and the news before.
        span_taken: What others took since ``span_at``.
        heard_at: When the others were last heard of.
    """

    def __init__(self, *, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.filled_at = now
        self.part = 1.0
        self.entries = 1
        self.told = 0.0
        self.taken = 0.0
        self.others: float | None = None
        self.others_rate = 0.0
        self.own_rate = 0.0
        self.fresh = 0.0
        self.fresh_before = 0.0
        self.span_taken = 0.0
        self.span_own = 0.0
        self.span_at = now
        self.heard_at = now

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Takes a new rate and burst; never adds to the level."""
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def hear(self, others: float, now: float) -> None:
        """Takes news of what the other entries took in all."""
        self._fill(now)
        self.heard_at = now
        self.fresh_before, self.fresh = self.fresh, 0.0
        if self.others is None:
            self.others = others
            return
        fresh = max(0.0, others - self.others)
        self.others = max(self.others, others)
        self.level -= fresh
        self._estimate(fresh, now)

    def _unheard(self, lag: float) -> float:
        """Estimates what others took that was not told yet.

        They draw when this entry does: where the bucket runs empty, all see
        the same tokens come in and take them at the same time.
        """
        by_time = self.others_rate * lag
        equal = self.rate / self.entries * EQUAL_WEIGHT
        ratio = (self.others_rate + equal * (self.entries - 1)) / (
            self.own_rate + equal
        )
        ratio = min(ratio, self.entries - 1)
        by_own = (self.fresh + self.fresh_before) * ratio
        return max(by_time, by_own)

    def _estimate(self, fresh: float, now: float) -> None:
        """Estimates what others take a second, over spans of equal length.

        News from several control processes come close behind each other, so
        that a rate between two of them would say nothing.
        """
        self.span_taken += fresh
        passed = now - self.span_at
        if passed >= SPAN_S:
            others = self.span_taken / passed
            own = (self.taken - self.span_own) / passed
            self.others_rate += RATE_WEIGHT * (others - self.others_rate)
            self.own_rate += RATE_WEIGHT * (own - self.own_rate)
            self.span_taken = 0.0
            self.span_own = self.taken
            self.span_at = now

    def take(
        self,
        cost: float,
        now: float,
        *,
        entries: int,
        silent: int,
        late: bool = False,
    ) -> float:
        """Takes ``cost`` tokens.

        A large request passes when the bucket is about half full, and what
        it takes beyond that is paid back afterwards.

        Args:
            cost: Tokens.
            now: Seconds.
            entries: Entries that draw from the bucket.
            silent: Those of them that cannot be heard.
            late: Whether the answer would be late already, so that requests
                which can still be on time go first.

        Returns:
            Zero if they were there, else seconds until they will be.
        """
        lag = now - self.heard_at
        alone = lag > LAG_LIMIT_S and entries > 1
        self._fill(now)
        self.entries = max(1, entries)
        self.part = _part(entries, silent, alone=alone)
        self.level = min(self.level, self.burst * self.part)
        held_back = 0.0 if alone else self._unheard(lag)
        there = self.level - held_back
        needed = _needed(cost, self.burst * self.part, late=late)
        if there >= needed:
            self.level -= cost
            self.taken += cost
            self.fresh += cost
            return 0.0
        # Those who were told to come back before have the first claim.
        ahead = needed - there + self.told * entries
        self.told += cost
        return ahead / (self.rate * self.part)

    def _fill(self, now: float) -> None:
        """Adds what the rate gave, for the part that this entry draws on."""
        passed = max(0.0, now - self.filled_at)
        most = self.burst * self.part
        gained = passed * self.rate * self.part
        self.level = min(max(most, self.level), self.level + gained)
        self.told = max(0.0, self.told - gained / self.entries)
        self.filled_at = now


def _needed(cost: float, burst: float, *, late: bool) -> float:
    """Returns the level at which a request may pass.

    Large requests leave a reserve, so that small ones, which take little and
    are worth as much each, are not refused behind them. Among the large ones
    size makes no difference, so that the largest are not refused for good.
    """
    size = min(1.0, cost / (LARGE_PART * burst))
    reserve = size * RESERVE_PART + late * LATE_PART
    return min(cost, LARGE_PART * burst) + reserve * burst


def _part(entries: int, silent: int, *, alone: bool) -> float:
    """Returns the part of the bucket that an entry may draw on."""
    if alone:
        return 1 / entries
    heard = max(1, entries - silent)
    return heard / max(1, entries)
