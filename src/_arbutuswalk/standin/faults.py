"""Fault injection settings of a simulated runner or service."""

import random
from typing import Any

from _arbutuswalk.base import settings

NON_NEGATIVE_INTEGER = "a whole number"
FIELDS = (
    settings.Field("error_rate", "0 to 1", settings.is_fraction, 0.0),
    settings.Field("slow_factor", "1 or more", settings.is_positive, 1.0),
    settings.Field("after_s", "seconds", settings.is_non_negative, 0.0),
    settings.Field(
        "from_running", NON_NEGATIVE_INTEGER, settings.is_non_negative_int, 0
    ),
    settings.Field(
        "route", "a route or nothing", lambda v: isinstance(v, str), ""
    ),
    settings.Field(
        "die_on", "text in a prompt", lambda v: isinstance(v, str), ""
    ),
    settings.Field(
        "stall_after", NON_NEGATIVE_INTEGER, settings.is_non_negative_int, 0
    ),
    settings.Field(
        "cut_after", NON_NEGATIVE_INTEGER, settings.is_non_negative_int, 0
    ),
    settings.Field("cross", "true or false", settings.is_bool, False),
    settings.Field("late_s", "seconds", settings.is_non_negative, 0.0),
    settings.Field("pause_s", "seconds", settings.is_non_negative, 0.0),
)


class Faults:
    """The faults to inject and the conditions under which they apply.

    Attributes:
        values: Fault settings by key.
        set_at: Monotonic time at which they were set, in seconds.
    """

    def __init__(self, *, values: dict[str, Any], set_at: float):
        self.values = values
        self.set_at = set_at

    def are_active(self, route: str, running_count: int, now: float) -> bool:
        """Tells whether faults apply to ``route`` at this time and load."""
        values = self.values
        if values["route"] and values["route"] != route:
            return False
        if running_count < values["from_running"]:
            return False
        return now - self.set_at >= values["after_s"]

    def should_fail(self, rng: random.Random) -> bool:
        """Decides at random whether one request fails."""
        return rng.random() < self.values["error_rate"]


def no_faults(now: float) -> Faults:
    """Returns settings that inject no faults."""
    values = settings.check({}, FIELDS, where="faults")
    return Faults(values=values, set_at=now)
