"""The capacity of an instance, as its settings state it."""

from typing import Any
from typing import NamedTuple

REPORT_KEY = "capacity"
CORES = "cores"
MAX_CORES = 1e6
"""A larger number is no number of cores."""


class Capacity(NamedTuple):
    """What a process may use of its instance.

    Attributes:
        cores: Processor time as a number of cores, 0 if it is not stated.
    """

    cores: float = 0.0


def to_json(capacity: Capacity) -> dict[str, Any]:
    """Returns the part of a report that states a capacity, if there is one."""
    if not capacity.cores:
        return {}
    return {REPORT_KEY: {CORES: capacity.cores}}


def from_json(report: dict[str, Any]) -> Capacity:
    """Returns the capacity in a report.

    Builds that state none, or state it in another way, have one of 0.
    """
    values = report.get(REPORT_KEY)
    cores = values.get(CORES) if isinstance(values, dict) else None
    is_valid = (
        isinstance(cores, int | float)
        and not isinstance(cores, bool)
        and 0 < cores <= MAX_CORES
    )
    return Capacity(cores=float(cores) if is_valid else 0.0)
