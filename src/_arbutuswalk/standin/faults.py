"""Fault switches of a stand-in runner or service."""

import random
from typing import Any

from _arbutuswalk.base import settings

NATURAL = "a whole number"
FIELDS = (
    settings.Field("error_rate", "0 to 1", settings.is_fraction, 0.0),
    settings.Field("slow_factor", "1 or more", settings.is_positive, 1.0),
    settings.Field("after_s", "seconds", settings.is_non_negative, 0.0),
    settings.Field("from_running", NATURAL, settings.is_non_negative_int, 0),
    settings.Field(
        "route", "a route or nothing", lambda v: isinstance(v, str), ""
    ),
    settings.Field(
        "die_on", "text in a prompt", lambda v: isinstance(v, str), ""
    ),
    settings.Field("stall_after", NATURAL, settings.is_non_negative_int, 0),
    settings.Field("cut_after", NATURAL, settings.is_non_negative_int, 0),
    settings.Field("cross", "true or false", settings.is_bool, False),
    settings.Field("late_s", "seconds", settings.is_non_negative, 0.0),
)


class Faults:
    """Switches that say how a stand-in misbehaves, and when.

    Attributes:
        values: Switch by name.
        since: When they were set, in seconds.
    """

    def __init__(self, *, values: dict[str, Any], since: float):
        self.values = values
        self.since = since

    def active(self, route: str, running: int, now: float) -> bool:
        """Tells whether faults show on ``route`` under this load."""
        values = self.values
        if values["route"] and values["route"] != route:
            return False
        if running < values["from_running"]:
            return False
        return now - self.since >= values["after_s"]

    def fails(self, rng: random.Random) -> bool:
        """Draws whether one request fails."""
        return rng.random() < self.values["error_rate"]


def none(now: float) -> Faults:
    """Returns switches that are all off."""
    values = settings.check({}, FIELDS, where="faults")
    return Faults(values=values, since=now)
