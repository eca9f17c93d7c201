"""Expected time to the first data of an answer, learned from earlier ones.

Placement compares the work before the first event at endpoints in units of
work: typical prompt tokens for model requests, usual answers for others. Here
the time of a unit is learned for each upstream and kind of request from this
entry's own answers: the work that was expected when a request was sent, and the
time that its first data took. The time is the median of the latter by the
former, weighted by the work, which minimizes the sum of absolute errors, so
that neither some stalls nor some cached prompts move it.
"""

import collections
import math
from typing import NamedTuple

from _arbutuswalk.limits import late_admission
from _arbutuswalk.routing import selection

MAX_SAMPLES = 64
"""Latest answers that are kept of each upstream and kind."""
MIN_SAMPLES = 12
"""Answers from which a time is estimated."""
MAX_AGE_S = 30.0
"""Age at which an answer is forgotten."""
MIN_PROMPT_WORK = 256.0
"""Work of a model request from which its answer is counted, in prompt tokens.
That of less is mostly the fixed time."""
MAX_WEIGHT_FACTOR = 4.0
"""Largest weight of an answer, relative to the median one."""
FIXED_TIME_WINDOW_S = 300.0
"""Time after which the fixed time begins to be forgotten; after twice that it
is."""


class Key(NamedTuple):
    """What answers are comparable in.

    Attributes:
        upstream: Name of the upstream.
        kind: Kind of the route.
        has_prompt: Whether they are model requests.
    """

    upstream: str
    kind: str
    has_prompt: bool


class _Sample(NamedTuple):
    """One answer: when it began, its expected work and the time it took."""

    at: float
    work: float
    took_s: float


class FirstDataTimes:
    """Recent answers of one upstream and kind of request.

    Attributes:
        has_fixed_time: Whether their time has a part that is not work, which is
            the least time that was seen.
        samples: Latest answers.
        fixed_s: Least time in the running window and in the one before.
        idle_unit_s: Least time of a unit in these windows: that without the
            work of others which is not known.
        window_ends_at: When the running window ends, in seconds.
        unit_s: Time of a unit of work by the samples, None if not computed.
    """

    def __init__(self, *, has_fixed_time: bool, now: float):
        self.has_fixed_time = has_fixed_time
        self.samples: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self.fixed_s = (math.inf, math.inf)
        self.idle_unit_s = (math.inf, math.inf)
        self.window_ends_at = now + FIXED_TIME_WINDOW_S
        self.unit_s: float | None = None

    def record(self, work: selection.Work, took_s: float, now: float) -> None:
        """Records the time to the first data of a successful answer."""
        if now >= self.window_ends_at:
            self.fixed_s = (math.inf, self.fixed_s[0])
            self.idle_unit_s = (math.inf, self.idle_unit_s[0])
            self.window_ends_at = now + FIXED_TIME_WINDOW_S
        self.fixed_s = (min(self.fixed_s[0], took_s), self.fixed_s[1])
        total = work.own + work.others
        if self.has_fixed_time and total < MIN_PROMPT_WORK:
            return
        self.samples.append(_Sample(now, total, took_s))
        self.unit_s = None

    def estimate(
        self, work: selection.Work, now: float
    ) -> late_admission.Estimate | None:
        """Returns the expected time, None if too little is known."""
        while self.samples and self.samples[0].at < now - MAX_AGE_S:
            self.samples.popleft()
            self.unit_s = None
        if len(self.samples) < MIN_SAMPLES:
            return None
        fixed_s = min(self.fixed_s) if self.has_fixed_time else 0.0
        if self.unit_s is None:
            self.unit_s = _unit_time(self.samples, fixed_s)
            least_s = min(self.idle_unit_s[0], self.unit_s)
            self.idle_unit_s = (least_s, self.idle_unit_s[1])
        own_s = work.own * min(self.idle_unit_s)
        return late_admission.Estimate(
            own_s=fixed_s + own_s,
            wait_s=(work.own + work.others) * self.unit_s - own_s,
        )


def _unit_time(samples: collections.deque[_Sample], fixed_s: float) -> float:
    """Returns the weighted median of the time of a unit of work."""
    works = sorted(sample.work for sample in samples)
    max_weight = MAX_WEIGHT_FACTOR * works[len(works) // 2]
    weighted = sorted(
        (
            max(0.0, sample.took_s - fixed_s) / sample.work,
            min(sample.work, max_weight),
        )
        for sample in samples
    )
    half = sum(weight for _, weight in weighted) / 2
    for unit_s, weight in weighted:
        half -= weight
        if half <= 0:
            return unit_s
    return weighted[-1][0]


class FirstDataEstimates:
    """Times of all upstreams, as far as this entry has sent requests there."""

    def __init__(self):
        self.times: dict[Key, FirstDataTimes] = {}

    def record(
        self, key: Key, work: selection.Work, took_s: float, now: float
    ) -> None:
        """Records the time to the first data of a successful answer."""
        times = self.times.get(key)
        if times is None:
            times = self.times[key] = FirstDataTimes(
                has_fixed_time=key.has_prompt, now=now
            )
        times.record(work, took_s, now)

    def estimate(
        self, key: Key, work: selection.Work, now: float
    ) -> late_admission.Estimate | None:
        """Returns the expected time, None if too little is known."""
        times = self.times.get(key)
        return None if times is None else times.estimate(work, now)

    def keep_upstreams(self, names: set[str]) -> None:
        """Forgets the upstreams that are not among ``names``."""
        for key in [key for key in self.times if key.upstream not in names]:
            del self.times[key]
