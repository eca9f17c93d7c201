"""Required endpoints of an upstream by tokens asked and measured speed.

Designed for model requests, tens to hundreds a second over some to a hundred
endpoints, whose prompts each endpoint reads one after the other while it
generates for a batch: waves of three times the load within seconds, and
reclaims of a whole failure domain without notice.

The mean number of endpoints that have prompts to read is the prompt load in
units of endpoints, whatever the sizes of the prompts (Little's law); backlog
that grows is load that did not fit. With the time to read one prompt it yields
the expected time to the first event at any number of endpoints.
"""

import collections
import math
import statistics
from collections.abc import Iterable
from typing import NamedTuple

from _arbutuswalk.state import routeconfig

WAIT_SHARE = 1 / 3
"""Largest expected wait for other prompts, as a share of what the objective
leaves beside reading the own one. A time with an exponential distribution
exceeds three times its mean in 5 %."""
ON_DEMAND_WAIT_SHARE = 1 / 2
"""The same for on-demand endpoints, where a surplus costs the full price: 14 %
of such times exceed twice their mean."""
MAX_OWN_SHARE = 1 / 2
"""Largest share of the objective that reading the own prompt is taken to need.
The strictest objective is that of requests with short prompts."""
MAX_UTILIZATION = 0.6
"""Largest share of the time in which endpoints read prompts, whatever the
objective: entries place requests by loads that are some tenths of a second
old."""
MIN_UTILIZATION = 0.25
"""The share to which the prompt load is spread at most. More endpoints do not
make an idle one read faster."""
GAP_SHARE = 0.8
"""Largest pace between events, as a share of the objective for gaps."""
SLOT_SHARE = 0.5
"""Share of the slots in use at the peak."""
ON_DEMAND_SLOT_SHARE = 0.7
"""The same for on-demand endpoints."""
MIN_BATCH = 4
"""Concurrent requests per endpoint below which paces are not improved further:
the fixed part of a step predominates."""
SATURATED_SHARE = 0.8
"""Share of endpoints with prompts to read from which a growing backlog counts
as load, and from which it hides the size of prompts."""
MIN_SAMPLES = 4
"""Samples from which a load is estimated."""
PEAK_WINDOW_S = 3.0
"""Window of the load whose peak is held."""
TYPICAL_WINDOW_S = 6.0
"""Window of the load that requires on-demand endpoints; it spans a loss."""
TREND_WINDOW_S = 6.0
"""Window whose halves are compared for a trend."""
TREND_DEVIATIONS = 2.5
"""Rise between the halves from which it is a trend, in standard deviations of
as many independent requests."""
MAX_GROWTH = 2.0
"""Largest factor of a trend: a queue makes the load rise faster than demand."""
HOLD_BOOTS = 5.0
"""Time for which a required count is held, in start-up times."""
MIN_HOLD_S = 12.0
"""Least time for which a required count is held."""
AFTER_DOMAIN_LOSS = ", domain lost"
"""Added to the bound that is decisive if a failure domain is lost."""
AVERAGE_SAMPLES = 60
"""Samples over which prompt sizes and batches are averaged."""


class Sample(NamedTuple):
    """Load of an upstream at one time.

    Attributes:
        running: Concurrent requests.
        reading: Endpoints that have prompt tokens to read.
        waiting_tokens: Prompt tokens to be read.
        serving: Serving endpoints.
    """

    running: float
    reading: float
    waiting_tokens: float
    serving: float


class Speed(NamedTuple):
    """Speed of a typical endpoint, in seconds.

    Attributes:
        read_s: Time to read a prompt token.
        pace_s: Time between events of a stream, 0 if unknown.
    """

    read_s: float
    pace_s: float = 0.0


class Objectives(NamedTuple):
    """What an upstream has to keep, and with which endpoints.

    Attributes:
        first_event_s: Objective for the first event, 0 for none.
        gap_s: Objective for the gap between events, 0 for none.
        slots: Concurrent requests that an endpoint accepts, 0 if unknown.
        is_model: Whether its endpoints read prompts.
    """

    first_event_s: float
    gap_s: float
    slots: int
    is_model: bool


class Counts(NamedTuple):
    """Required endpoints.

    Attributes:
        reclaimable: Endpoints if these cost the reclaimable price.
        on_demand: Endpoints required even at the on-demand price.
        bound: What requires ``reclaimable``.
    """

    reclaimable: float
    on_demand: float
    bound: str


def whole(count: float) -> int:
    """Returns a number of endpoints that is at least ``count``."""
    return math.ceil(count)


class Sizing:
    """Load of one upstream while this process holds the duty.

    Attributes:
        samples: Times and samples, oldest first.
        required: Times and counts that were required, oldest first.
        speed: Last known speed. Loaded endpoints yield no new one.
        prompt_tokens: Average uncached tokens of a prompt, 0 if unknown.
        batch: Average concurrent requests of an endpoint.
        counts: Last result, None if the speed is unknown.
    """

    def __init__(self):
        self.samples: collections.deque[tuple[float, Sample]] = (
            collections.deque()
        )
        self.required: collections.deque[tuple[float, Counts]] = (
            collections.deque()
        )
        self.speed: Speed | None = None
        self.prompt_tokens = 0.0
        self.batch = 0.0
        self.counts: Counts | None = None


def record(
    sizing: Sizing, sample: Sample, speed: Speed | None, now: float
) -> None:
    """Records the load and, if it could be measured, the speed."""
    sizing.samples.append((now, sample))
    while sizing.samples[0][0] < now - TYPICAL_WINDOW_S:
        sizing.samples.popleft()
    if speed is not None:
        sizing.speed = Speed(
            speed.read_s or (sizing.speed.read_s if sizing.speed else 0.0),
            speed.pace_s or (sizing.speed.pace_s if sizing.speed else 0.0),
        )
    recent = _window(sizing, now - PEAK_WINDOW_S, now)
    if len(recent) < MIN_SAMPLES:
        return
    load = _middle(recent)
    if 0 < load.reading <= SATURATED_SHARE * load.serving:
        # A queue lengthens as its endpoint nears saturation.
        is_alone = 1 - load.reading / load.serving
        sizing.prompt_tokens = _average(
            sizing.prompt_tokens, load.waiting_tokens / load.reading * is_alone
        )
    if load.serving:
        sizing.batch = _average(sizing.batch, load.running / load.serving)


def update(
    sizing: Sizing,
    objectives: Objectives,
    scaling: routeconfig.Scaling,
    now: float,
    *,
    is_complete: bool = True,
) -> Counts | None:
    """Computes the required endpoints.

    Args:
        sizing: Recorded load.
        objectives: What has to be kept.
        scaling: Start-up time and failure domains.
        now: Seconds.
        is_complete: Whether all entries report their load. Until then no count
            falls.

    Returns:
        The counts, None if the speed or an objective is unknown.
    """
    sizing.counts = None
    recent = _window(sizing, now - PEAK_WINDOW_S, now)
    if len(recent) < MIN_SAMPLES or not _is_known(sizing, objectives):
        return None
    typical = _middle(_window(sizing, now - TYPICAL_WINDOW_S, now))
    on_demand_bounds = _bounds(
        sizing,
        objectives,
        _offered(sizing, typical, objectives, scaling.boot_s, now),
        ON_DEMAND_WAIT_SHARE,
        ON_DEMAND_SLOT_SHARE,
    )
    on_demand_bound = max(on_demand_bounds, key=on_demand_bounds.get)
    on_demand = on_demand_bounds[on_demand_bound]
    peak = _offered(sizing, _middle(recent), objectives, scaling.boot_s, now)
    growth = _growth(sizing, scaling.boot_s, now)
    bounds = _bounds(
        sizing,
        objectives,
        peak._replace(
            running=peak.running * growth, reading=peak.reading * growth
        ),
        WAIT_SHARE,
        SLOT_SHARE,
    )
    bounds[on_demand_bound + AFTER_DOMAIN_LOSS] = _before_domain_loss(
        on_demand, scaling
    )
    bound = max(bounds, key=bounds.get)
    current = Counts(bounds[bound], on_demand, bound)
    sizing.counts = _hold(sizing, current, scaling, now, is_complete)
    return sizing.counts


def _is_known(sizing: Sizing, objectives: Objectives) -> bool:
    if not objectives.is_model:
        return objectives.slots > 0
    is_measured = sizing.speed is not None and sizing.speed.read_s > 0
    return is_measured and objectives.first_event_s > 0


def _window(sizing: Sizing, since: float, until: float) -> list[Sample]:
    return [sample for at, sample in sizing.samples if since < at <= until]


def _middle(samples: list[Sample]) -> Sample:
    """Returns the means of the middle halves, which one sample cannot move."""
    return Sample(
        *(_middle_mean(values) for values in zip(*samples, strict=True))
    )


def _middle_mean(values: Iterable[float]) -> float:
    ordered = sorted(values)
    cut = len(ordered) // 4
    return statistics.fmean(ordered[cut : len(ordered) - cut])


def _average(before: float, value: float) -> float:
    return before + (value - before) / AVERAGE_SAMPLES if before else value


def _halves(sizing: Sizing, now: float) -> tuple[Sample, Sample] | None:
    middle = now - TREND_WINDOW_S / 2
    earlier = _window(sizing, now - TREND_WINDOW_S, middle)
    later = _window(sizing, middle, now)
    if min(len(earlier), len(later)) < MIN_SAMPLES:
        return None
    return _middle(earlier), _middle(later)


def _growth(sizing: Sizing, boot_s: float, now: float) -> float:
    """Returns the factor by which load rises until a new endpoint serves."""
    halves = _halves(sizing, now)
    if halves is None:
        return 1.0
    before, after = (half.running for half in halves)
    rise = after - before
    if rise <= TREND_DEVIATIONS * math.sqrt(max(before, 1.0)):
        return 1.0
    half_s = TREND_WINDOW_S / 2
    ahead_s = boot_s + half_s / 2
    return min(MAX_GROWTH, 1 + rise / half_s * ahead_s / after)


def _offered(
    sizing: Sizing,
    load: Sample,
    objectives: Objectives,
    boot_s: float,
    now: float,
) -> Sample:
    """Returns the load with the prompts that endpoints could not keep up with.

    Backlog beyond the objective has to be read within a start-up time.
    """
    halves = _halves(sizing, now)
    is_saturated = load.reading > SATURATED_SHARE * load.serving
    if not objectives.is_model or halves is None or not is_saturated:
        return load
    before, after = (
        half.waiting_tokens * sizing.speed.read_s for half in halves
    )
    missing = max(0.0, after - before) / (TREND_WINDOW_S / 2)
    tolerated_s = load.serving * WAIT_SHARE * objectives.first_event_s
    late = max(0.0, after - tolerated_s) / max(boot_s, TREND_WINDOW_S)
    return load._replace(reading=load.reading + missing + late)


def _bounds(
    sizing: Sizing,
    objectives: Objectives,
    load: Sample,
    wait_share: float,
    slot_share: float,
) -> dict[str, float]:
    """Returns the endpoints that each bound requires."""
    bounds = {"minimum": 0.0}
    if objectives.slots:
        bounds["slots"] = load.running / (objectives.slots * slot_share)
    if not objectives.is_model:
        return bounds
    pace_s = sizing.speed.pace_s
    bounds["prompt reading"] = load.reading / _utilization(
        sizing, objectives.first_event_s, wait_share
    )
    permitted_pace_s = GAP_SHARE * objectives.gap_s
    if 0 < permitted_pace_s < pace_s:
        batch = max(MIN_BATCH, sizing.batch * permitted_pace_s / pace_s)
        bounds["generation"] = load.running / batch
    return bounds


def _utilization(
    sizing: Sizing, objective_s: float, wait_share: float
) -> float:
    """Returns the share of time in which endpoints may read prompts.

    Prompts of one length that are sent to endpoints at random wait for
    ``read_s * utilization / (1 - utilization) / 2`` on average.
    """
    read_s = sizing.prompt_tokens * sizing.speed.read_s
    own_s = min(read_s, MAX_OWN_SHARE * objective_s)
    left_s = objective_s - own_s - sizing.speed.pace_s
    if not read_s or left_s <= 0:
        return MIN_UTILIZATION
    wait_s = wait_share * left_s
    utilization = wait_s / (wait_s + read_s / 2)
    return min(MAX_UTILIZATION, max(MIN_UTILIZATION, utilization))


def _before_domain_loss(
    on_demand: float, scaling: routeconfig.Scaling
) -> float:
    """Returns the endpoints of which enough remain if a domain is lost."""
    domain_count = len(scaling.prices)
    if domain_count < 2:
        return on_demand
    return on_demand * domain_count / (domain_count - 1)


def _hold(
    sizing: Sizing,
    current: Counts,
    scaling: routeconfig.Scaling,
    now: float,
    is_complete: bool,
) -> Counts:
    """Returns the largest count of the time for which counts are held."""
    hold_s = max(MIN_HOLD_S, HOLD_BOOTS * scaling.boot_s)
    while sizing.required and sizing.required[0][0] < now - hold_s:
        sizing.required.popleft()
    if not is_complete and sizing.required:
        held = max(counts for _, counts in sizing.required)
        on_demand = max(current.on_demand, sizing.required[-1][1].on_demand)
        current = max(current, held)._replace(on_demand=on_demand)
    sizing.required.append((now, current))
    largest = max(counts for _, counts in sizing.required)
    return largest._replace(on_demand=current.on_demand)
