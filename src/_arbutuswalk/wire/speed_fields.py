"""Speeds of endpoints as control sends them to entries."""

import math
from typing import Any

from _arbutuswalk.base import settings

STEP = 1.1
"""Ratio of two neighbouring speeds. Smaller changes are not sent."""
MAX_STEPS = 12
"""Most steps from the typical speed, about three times as fast or slow."""


def steps(factor: float) -> int:
    """Returns the number of steps from 1 that is nearest to a factor."""
    return round(math.log(factor) / math.log(STEP))


def factor(step_count: int) -> float:
    """Returns the factor of a number of steps."""
    return STEP**step_count


def valid(values: Any) -> dict[str, tuple[int, int]]:
    """Returns the start and steps of endpoints, without unusable ones."""
    if not isinstance(values, dict):
        return {}
    return {
        endpoint_id: (fields[0], fields[1])
        for endpoint_id, fields in values.items()
        if isinstance(fields, list)
        and len(fields) >= 2
        and settings.is_non_negative_int(fields[0])
        and type(fields[1]) is int
        and abs(fields[1]) <= MAX_STEPS
    }
