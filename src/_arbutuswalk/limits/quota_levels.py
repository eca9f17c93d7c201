"""Rate and burst of a quota, and the levels that admit requests."""

from typing import NamedTuple

USED_OVERSHOOT_FRACTION = 0.6
"""Fraction of the permitted overshoot that is used deliberately; the rest
covers what entries take before their reports reach each other."""
LATE_RESERVE_FRACTION = 0.3
"""Fraction of the burst that late requests leave for requests that are on time.
Otherwise a workspace over its quota would use it for late responses."""
LARGE_REQUEST_FRACTION = 0.1
"""Fraction of the burst from which a request counts as large."""
SMALL_RESERVE_FRACTION = 0.3
"""Fraction of the burst that large requests leave for small ones."""


class QuotaTolerance(NamedTuple):
    """Accuracy with which a quota must be enforced.

    Attributes:
        window_s: Length of the windows in which the quota is checked.
        overshoot: Fraction by which a window may exceed rate and burst.
        tolerance: Tokens by which it may exceed them in addition.
    """

    window_s: float
    overshoot: float
    tolerance: float


def effective_quota(
    rate: float, burst: float, quota_tolerance: QuotaTolerance
) -> tuple[float, float]:
    """Returns the rate and burst to enforce.

    Wrongly refusing a request costs its caller more than a small overshoot
    costs the system, so a part of the permitted overshoot is used. The used
    part of the tolerance is divided equally between rate and burst.
    """
    factor = 1 + USED_OVERSHOOT_FRACTION * quota_tolerance.overshoot
    extra_tokens = USED_OVERSHOOT_FRACTION * quota_tolerance.tolerance / 2
    return (
        rate * factor + extra_tokens / quota_tolerance.window_s,
        burst * factor + extra_tokens,
    )


def window_limit(
    rate: float, burst: float, quota_tolerance: QuotaTolerance
) -> float:
    """Returns the tokens that may be used in one window at most."""
    allowance = rate * quota_tolerance.window_s + burst
    return (
        allowance * (1 + quota_tolerance.overshoot) + quota_tolerance.tolerance
    )


def required_level(
    cost: float, burst: float, *, late: bool, usable_fraction: float = 1.0
) -> float:
    """Returns the level from which a request is admitted.

    Large requests leave a reserve for small ones, which use few tokens and
    are worth as much each. The level is the same for all large requests, so
    that the largest are not refused forever. A request is large by the whole
    burst, also where only a fraction of it is usable.
    """
    size_factor = min(1.0, cost / (LARGE_REQUEST_FRACTION * burst))
    burst *= usable_fraction
    reserve = (
        size_factor * SMALL_RESERVE_FRACTION + late * LATE_RESERVE_FRACTION
    )
    return min(cost, LARGE_REQUEST_FRACTION * burst) + reserve * burst


def usable_fraction(entries: int, unreachable: int, *, is_split: bool) -> float:
    """Returns the fraction of the bucket that an entry may use."""
    if is_split:
        return 1 / entries
    return max(1, entries - unreachable) / entries
