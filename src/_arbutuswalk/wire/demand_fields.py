"""Demand as entries send it to control, and shares as control sends them back.

Demand: by upstream, what is admitted per second and, by workspace, rows of a
priority and what is asked per second. Shares: by upstream and workspace, steps
of what is asked relative to the share.
"""

import math
from collections.abc import Mapping
from typing import Any

from _arbutuswalk.base import settings

STEP = 1.2
"""Ratio of two neighbouring values relative to the share."""
MAX_STEPS = 26
"""Most steps, over a hundred times the share."""
KEEPING_STEPS = 0.75
"""Distance up to which the former step is kept, against changes by chance."""
MAX_RATE = 1e15
"""Largest rate that is accepted, per second."""

Rates = Mapping[tuple[str, str, int], float]
"""Rates per second by upstream, workspace and priority."""


def demand_to_json(asked: Rates, admitted: Rates) -> dict[str, Any]:
    """Returns the demand of an entry with two significant digits."""
    demand: dict[str, Any] = {}
    for (upstream, workspace, priority), rate in asked.items():
        _, by_workspace = demand.setdefault(upstream, [0.0, {}])
        rows = by_workspace.setdefault(workspace, [])
        rows.append([priority, _rounded(rate)])
    for (upstream, _, _), rate in admitted.items():
        if upstream in demand:
            demand[upstream][0] += rate
    for fields in demand.values():
        fields[0] = _rounded(fields[0])
    return demand


def is_rate(value: Any) -> bool:
    """Returns whether a value can be added to other rates."""
    return settings.is_number(value) and 0 <= value <= MAX_RATE


def steps(factor: float, before: int) -> int:
    """Returns the steps of a factor of at least 1, the former ones if close."""
    exact = math.log(factor) / math.log(STEP)
    return before if abs(exact - before) <= KEEPING_STEPS else round(exact)


def factor(step_count: int) -> float:
    """Returns the factor of a number of steps."""
    return STEP**step_count


def valid_excess(values: Any) -> dict[tuple[str, str], float]:
    """Returns factors by upstream and workspace, without unusable ones."""
    if not isinstance(values, dict):
        return {}
    return {
        (upstream, workspace): factor(step_count)
        for upstream, by_workspace in values.items()
        if isinstance(by_workspace, dict)
        for workspace, step_count in by_workspace.items()
        if settings.is_non_negative_int(step_count) and step_count <= MAX_STEPS
    }


def _rounded(rate: float) -> float:
    if rate <= 0:
        return 0
    digits = 1 - math.floor(math.log10(rate))
    return round(rate, digits) if digits > 0 else int(round(rate, digits))
