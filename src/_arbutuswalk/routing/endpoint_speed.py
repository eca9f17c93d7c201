"""Estimates how fast the endpoints of an upstream work, compared to each other.

Designed for moderate to heavy load, where each entry sees few answers of each
endpoint: the samples of all entries are compared in one place. A factor leaves
1 only if the endpoints of the upstream differ clearly, so that equal endpoints
are chosen between as without it.
"""

import math
import statistics
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

MIN_READ_TOKENS = 256
"""Prompt tokens from which the time to read them is compared. That of fewer is
mostly the time to start."""
MAX_SLOTS_IN_USE = 0.5
"""Share of the slots in use up to which the time to read is compared: later
requests wait for the batch, however fast the endpoint is."""
MIN_GAPS = 3
"""Gaps between events from which the pace of a stream is compared."""
GAP_QUANTILE = 6
"""One gap in so many is below the one that counts."""
MAX_GAPS = 32
"""Gaps of one stream that are kept, the first ones."""
LOG_STEPS = 100
"""Steps of a measure in which it becomes e times as large."""

MIN_SAMPLES = 6
"""Samples from which an endpoint is compared."""
MIN_QUARTILE_SAMPLES = 4
"""Samples from which one of them does not move their quartile."""
READ_QUANTILE = 4
"""One time to read in so many is below the one that counts in seconds: others
contain waits that no entry knew of when it sent the request."""
PACE_QUANTILE = 2
"""The same for the pace, which leaves such waits out already."""
MIN_ENDPOINTS = 4
"""Compared endpoints from which they have a typical one."""
PRIOR_SAMPLES = 2
"""Samples of typical speed assumed of every endpoint."""
MIN_SPREAD = 1.4
"""Ratio of the upper to the lower quartile of an upstream's endpoints from
which they differ: above the effect of unequal load."""
MAX_SPREAD = 3.2
"""Such ratio from which it is the load that differs: some endpoints read
prompts all the time, which makes their pace several times as slow."""
MIN_ERRORS = 3.0
"""The least such ratio, in standard errors of one endpoint's estimate."""
MAX_PACE_ERROR = 0.2
"""Standard error of the pace from which it is the load that differs, if a
quarter of the endpoints have it: their pace has two values, with and without
prompts to read. Stalls alone do not reach it from 20 samples on."""
MIN_ERROR = 0.05
"""Least standard error assumed, on the logarithmic scale. Samples of one
endpoint share its load."""
MAX_FACTOR = 3.0
"""Largest factor, and the inverse of the smallest."""
QUARTILES_TO_DEVIATION = 1 / 1.35
"""Standard deviation of a normal distribution by the range of its quartiles."""
MEDIAN_ERROR = 1.25
"""Standard error of a median, by that of a mean."""


class Measures(NamedTuple):
    """What one answer shows of an endpoint's speed, as logarithmic steps.

    Attributes:
        read: Time to read a prompt token, None if unknown.
        pace: Time between two events of its stream, None if unknown.
    """

    read: int | None
    pace: int | None


class Seconds(NamedTuple):
    """Times that a typical endpoint takes, 0 if unknown.

    Attributes:
        read_s: Time to read a prompt token.
        pace_s: Time between two events of a stream.
    """

    read_s: float
    pace_s: float


class ReadLoad(NamedTuple):
    """What an endpoint had to do before its first event, as far as known.

    Attributes:
        own_tokens: Uncached prompt tokens of the request itself.
        waiting_tokens: Prompt tokens of others that it had not read.
        running: Requests that it had in progress.
        slots: Maximum number of concurrent requests.
    """

    own_tokens: int
    waiting_tokens: int
    running: int
    slots: int


def measure_read(load: ReadLoad, took_s: float) -> int | None:
    """Returns the time to read a token, None if it cannot be told.

    The time in a queue would be blamed on the endpoint's speed, so answers of
    endpoints with much other work are left out.
    """
    is_queued = (
        load.waiting_tokens > load.own_tokens
        or load.running > load.slots * MAX_SLOTS_IN_USE
    )
    if is_queued or load.own_tokens < MIN_READ_TOKENS or took_s <= 0:
        return None
    return _log_steps(took_s / (load.own_tokens + load.waiting_tokens))


def measure_pace(gaps_s: list[float]) -> int | None:
    """Returns the time between events, None of too few.

    A low quantile leaves out the events that waited for other requests'
    prompts, and short stalls.
    """
    if len(gaps_s) < MIN_GAPS:
        return None
    gap_s = sorted(gaps_s)[len(gaps_s) // GAP_QUANTILE]
    return _log_steps(gap_s) if gap_s > 0 else None


def _log_steps(value: float) -> int:
    return round(math.log(value) * LOG_STEPS)


def typical_seconds(
    samples: Collection[Collection[Measures]],
) -> Seconds | None:
    """Returns the times of the mean endpoint, None if none is known.

    Args:
        samples: Recent samples by endpoint. An endpoint counts by a quantile,
            which a stall of one answer does not move.
    """
    found = [
        _typical(
            [
                [
                    value
                    for each in measures
                    if (value := each[position]) is not None
                ]
                for measures in samples
            ],
            quantile,
        )
        for position, quantile in enumerate((READ_QUANTILE, PACE_QUANTILE))
    ]
    return Seconds(*found) if any(found) else None


def _typical(values: list[list[int]], quantile: int) -> float:
    """Returns the geometric mean of the endpoints in seconds, 0 if unknown.

    Endpoints with few samples count together.
    """
    if sum(map(len, values)) < MIN_SAMPLES:
        return 0.0
    groups = [each for each in values if len(each) >= MIN_QUARTILE_SAMPLES]
    groups = groups or [[value for each in values for value in each]]
    mean = statistics.fmean(
        sorted(each)[len(each) // quantile] for each in groups
    )
    return math.exp(mean / LOG_STEPS)


class _Estimate(NamedTuple):
    """An estimated logarithm and its standard error."""

    value: float
    error: float


def find_slowness(
    samples: Mapping[str, Iterable[Measures]],
) -> dict[str, float] | None:
    """Returns the time that endpoints take, relative to the typical one.

    Args:
        samples: Recent samples of the endpoints of one upstream, by endpoint.

    Returns:
        Factor by endpoint, empty if they do not differ, None if it cannot be
        told because their load differs too much.
    """
    by_measure = [
        _deviations(
            {
                endpoint: [
                    value
                    for measures in endpoint_samples
                    if (value := measures[position]) is not None
                ]
                for endpoint, endpoint_samples in samples.items()
            }
        )
        for position in range(len(Measures._fields))
    ]
    combined = {
        endpoint: _combine(
            [found[endpoint] for found in by_measure if endpoint in found]
        )
        for endpoint in set().union(*by_measure)
    }
    if len(combined) < MIN_ENDPOINTS:
        return {}
    lower, _, upper = _quartiles(each.value for each in combined.values())
    error = statistics.median(each.error for each in combined.values())
    spread = upper - lower
    if spread < max(math.log(MIN_SPREAD), MIN_ERRORS * error):
        return {}
    if spread > math.log(MAX_SPREAD) or _varies(by_measure[-1].values()):
        return None
    return {
        endpoint: _factor(estimate)
        for endpoint, estimate in combined.items()
        if abs(estimate.value) > estimate.error
    }


def _varies(paces: Collection[_Estimate]) -> bool:
    """Returns whether the paces of a quarter of the endpoints vary."""
    if len(paces) < MIN_ENDPOINTS:
        return False
    return _quartiles(each.error for each in paces)[2] > MAX_PACE_ERROR


def _quartiles(values: Iterable[float]) -> list[float]:
    return statistics.quantiles(values, n=4)


def _factor(estimate: _Estimate) -> float:
    """Returns the factor of an endpoint.

    One that seems faster than possible is among few that are not overloaded.
    """
    limit = math.log(MAX_FACTOR)
    if estimate.value < -limit:
        return 1.0
    return math.exp(min(limit, estimate.value))


def _deviations(values: dict[str, list[int]]) -> dict[str, _Estimate]:
    """Returns estimates of one measure, relative to the median endpoint."""
    estimates = {
        endpoint: _estimate(endpoint_values)
        for endpoint, endpoint_values in values.items()
        if len(endpoint_values) >= MIN_SAMPLES
    }
    if len(estimates) < MIN_ENDPOINTS:
        return {}
    typical = statistics.median(each.value for each in estimates.values())
    return {
        endpoint: _Estimate(
            (estimate.value - typical) * _weight(len(values[endpoint])),
            estimate.error,
        )
        for endpoint, estimate in estimates.items()
    }


def _weight(sample_count: int) -> float:
    return sample_count / (sample_count + PRIOR_SAMPLES)


def _estimate(values: list[int]) -> _Estimate:
    """Returns the median, which stalls and some cached prompts don't move."""
    lower, median, upper = _quartiles(values)
    deviation = (upper - lower) * QUARTILES_TO_DEVIATION
    error = MEDIAN_ERROR * deviation / math.sqrt(len(values))
    return _Estimate(median / LOG_STEPS, max(MIN_ERROR, error / LOG_STEPS))


def _combine(estimates: list[_Estimate]) -> _Estimate:
    """Returns the mean, weighted by accuracy."""
    weights = [each.error**-2 for each in estimates]
    total = sum(weights)
    value = sum(
        weight * each.value
        for weight, each in zip(weights, estimates, strict=True)
    )
    return _Estimate(value / total, total**-0.5)
