"""Demand as entries send it to control, and shares as control sends them back.

Demand: by upstream, what is admitted per second, the workspaces, and rows of a
priority and what each of them asks per second. Shares: by upstream and
workspace, steps of what is asked relative to the share.
"""

import math
from collections.abc import Mapping
from typing import Any

from _arbutuswalk.base import settings

STEP = 1.2
"""Ratio of two neighbouring values relative to the share."""
MAX_STEPS = 26
"""Most steps, over a hundred times the share."""
FIRST_STEPS = 1.5
"""Distance from its share up to which a workspace is not over it: a third, more
than most differences by chance at a few requests a second."""
KEEPING_STEPS = 0.75
"""Distance up to which a further step is kept."""
MAX_RATE = 1e15
"""Largest rate that is accepted, per second."""

Rates = Mapping[tuple[str, str, int], float]
"""Rates per second by upstream, workspace and priority."""


def demand_to_json(asked: Rates, admitted: Rates) -> dict[str, Any]:
    """Returns the demand of an entry with two significant digits."""
    return {
        upstream: _upstream_to_json(asked, admitted, upstream)
        for upstream in sorted({upstream for upstream, _, _ in asked})
    }


def _upstream_to_json(asked: Rates, admitted: Rates, name: str) -> list[Any]:
    keys = [key for key in asked if key[0] == name]
    workspaces = sorted({workspace for _, workspace, _ in keys})
    priorities = sorted({priority for _, _, priority in keys})
    total = sum(rate for key, rate in admitted.items() if key[0] == name)
    return [
        _rounded(total),
        workspaces,
        [
            [
                priority,
                [
                    _rounded(asked.get((name, workspace, priority), 0.0))
                    for workspace in workspaces
                ],
            ]
            for priority in priorities
        ],
    ]


def is_rate(value: Any) -> bool:
    """Returns whether a value can be added to other rates."""
    return settings.is_number(value) and 0 <= value <= MAX_RATE


def steps(factor: float, before: int) -> int:
    """Returns the steps of a factor of at least 1, the former ones if close."""
    exact = math.log(factor) / math.log(STEP)
    kept_steps = KEEPING_STEPS if before else FIRST_STEPS
    return before if abs(exact - before) <= kept_steps else round(exact)


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
