"""Decides what to blame for the crashes of endpoints.

A request that loses its connection to an endpoint that died may be the cause,
by itself or by one part of its prompt. Beside it sound requests ran there,
which share its other parts. What causes crashes crashes each endpoint, so it is
never followed by a success, while sound requests with any other part succeed
between the crashes.
"""

import math
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

REQUEST_DEATHS = 3
"""Deaths for which a request that never succeeded is blamed. One or two may be
a coincidence."""
PART_DEATHS = 4
"""Deaths for which a part that never succeeded is blamed. Sound requests share
parts, so that it is more often found where others crash endpoints."""
DEATHS_AFTER_SUCCESS = 6
"""Deaths for which a key is blamed that has succeeded before. Without a success
in between, this takes far longer than the loss of all endpoints."""
DEATHS_TO_WATCH = 2
"""Deaths at which the successes of a key are collected. A key has to add as
many deaths to those that are explained already to be blamed as well."""
SAME_MOMENT_S = 0.25
"""Time within which several deaths count as one: endpoints that fail together,
as in the loss of a failure domain, have a cause of their own."""
MAX_CANDIDATES = 256
"""Keys whose successes are collected at a time, those with most deaths."""
NO_SUCCESS = -math.inf
PART_PREFIX = "part/"
"""Start of the key of a part, which tells it from a fingerprint."""

DeathTimes = dict[str, dict[str, float]]
"""Times of deaths in seconds, by endpoint start, by key."""


class Blame(NamedTuple):
    """A key that is to blame.

    Attributes:
        key: The key.
        deaths: Number of deaths after its last success.
    """

    key: str
    deaths: int


def find_candidates(deaths: DeathTimes) -> list[str]:
    """Returns the keys that may soon be blamed."""
    candidates = [key for key in deaths if len(deaths[key]) >= DEATHS_TO_WATCH]
    candidates.sort(key=lambda key: (-len(deaths[key]), key))
    return candidates[:MAX_CANDIDATES]


def find_blamed(
    deaths: DeathTimes, successes: dict[str, float], refused: Iterable[str]
) -> list[Blame]:
    """Returns the keys to blame, the most likely first.

    A key that was never followed by a success goes before others, and a request
    before its parts. Deaths that a blamed key explains do not count against
    others.

    Args:
        deaths: Deaths at all entries.
        successes: Time of the last success by key, ``NO_SUCCESS`` if there was
            none, of the keys that all entries have reported on.
        refused: Keys that are refused already.
    """
    refused = set(refused)
    explained = {start for key in refused for start in deaths.get(key, ())}
    suspicious = {}
    for key, last_success in successes.items():
        times = _deaths_after(deaths.get(key, {}), last_success)
        enough = _deaths_to_refuse(key, last_success)
        is_enough = _count(times.values(), last_success) >= enough
        if is_enough and key not in refused:
            suspicious[key] = times
    blamed = []
    while key := _most_likely(suspicious, successes, explained):
        times = suspicious.pop(key)
        blamed.append(Blame(key, len(times)))
        explained.update(times)
    return blamed


def _most_likely(
    suspicious: DeathTimes, successes: dict[str, float], explained: set[str]
) -> str:
    """Returns the key to blame for deaths not explained, empty for none."""
    ranked = []
    for key, times in suspicious.items():
        unexplained = [
            at for start, at in times.items() if start not in explained
        ]
        count = _count(unexplained, successes[key])
        if count >= DEATHS_TO_WATCH:
            is_part = key.startswith(PART_PREFIX)
            ranked.append((successes[key], -count, is_part, key))
    return min(ranked)[-1] if ranked else ""


def _deaths_after(times: dict[str, float], moment: float) -> dict[str, float]:
    return {start: at for start, at in times.items() if at > moment}


def count_moments(times: Iterable[float]) -> int:
    """Returns the number of deaths, those of one moment counted as one."""
    count = 0
    moment = -math.inf
    for at in sorted(times):
        if at - moment > SAME_MOMENT_S:
            count += 1
            moment = at
    return count


def _deaths_to_refuse(key: str, last_success: float) -> int:
    if last_success != NO_SUCCESS:
        return DEATHS_AFTER_SUCCESS
    return PART_DEATHS if key.startswith(PART_PREFIX) else REQUEST_DEATHS


def _count(times: Collection[float], last_success: float) -> int:
    """Returns the deaths that count against a key.

    Those of one moment count once if the key has succeeded before, or if there
    are no others: endpoints may fail together for another reason.
    """
    moments = count_moments(times)
    is_known_sound = last_success != NO_SUCCESS or moments == 1
    return moments if is_known_sound else len(times)
