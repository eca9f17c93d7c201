"""Which requests are refused as they would be answered late.

Answers the load of more requests than an upstream can answer inside their
objectives, for seconds or minutes, from callers of different priority and from
workspaces of which some ask for several times their share. Each entry decides
for itself, on the load that all entries report. What is refused leaves its
place to others at once, instead of being answered late like all of them.

A request is refused if its wait for the work of others exceeds a limit. An
expected time of up to half of the time left is always accepted, and so is a
wait of a quarter of it. Of the rest, without the error of the estimate, the
most urgent priority in use may take all, the next one a quarter, the one after
that a ninth: entries learn of each other's load with a lag, so limits that are
close to each other would not tell priorities apart. A workspace over its fair
share may take its part of that. So as the load grows, workspaces over their
shares and less urgent requests are refused first. Priorities make no difference
in a short burst, which the upstream can answer in time.
"""

import statistics
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

ROOM_FRACTION = 0.5
"""Expected time that is always accepted, as a fraction of the time left."""
MIN_WAIT_FRACTION = 0.25
"""Wait that is always accepted, as a fraction of the time left, however long a
request's own work takes."""
OVERLOAD_FRACTION = 0.35
"""Expected time of half of the recent requests, as a fraction of their time
left, from which an upstream is overloaded and not in a burst."""
ERROR_FRACTION = 0.15
"""Part of the time left that is kept for the error of the estimate, which is as
often too low as too high."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
RETRY_AFTER_JITTER_FRACTION = 0.5
"""Random increase of Retry-After, as a share of the wait, so that callers that
are refused together do not return together."""


class Estimate(NamedTuple):
    """Expected time to the first event, or to a whole answer.

    Attributes:
        own_s: Time of the request's own work, at an idle endpoint.
        wait_s: Further time, because of the work of others.
    """

    own_s: float
    wait_s: float


class Decision(NamedTuple):
    """Whether a request is refused, and why.

    Attributes:
        is_late: Whether it is refused.
        estimate_s: Expected time to the first event or whole answer.
        limit_s: Longest time with which it is accepted.
        wait_s: Part of the expected time that the work of others takes.
    """

    is_late: bool
    estimate_s: float
    limit_s: float
    wait_s: float


def is_overloaded(fractions: Collection[float]) -> bool:
    """Returns whether an upstream is overloaded for more than a burst.

    Args:
        fractions: Expected times of recent requests, by their time left.
    """
    return bool(fractions) and statistics.median(fractions) > OVERLOAD_FRACTION


def decide(
    estimate: Estimate,
    *,
    left_s: float,
    priority: int,
    priorities_in_use: Iterable[int],
    excess: float,
) -> Decision:
    """Decides on one request.

    Args:
        estimate: Expected time at the endpoint that it would be sent to.
        left_s: Its objective, or the time until its deadline if that is less.
        priority: Its priority, 0 for the most urgent.
        priorities_in_use: Priorities of recent requests for the upstream, none
            if it is not overloaded.
        excess: What its workspace asks for relative to its fair share of the
            upstream, 1 if it is inside its share or if that is not known.
    """
    more_urgent = sum(other < priority for other in set(priorities_in_use))
    share = (1 + more_urgent) ** -2 / max(1.0, excess)
    left_s = max(0.0, left_s)
    room_s = max(
        ROOM_FRACTION * left_s - estimate.own_s, MIN_WAIT_FRACTION * left_s
    )
    sure_s = (1 - ERROR_FRACTION) * left_s - estimate.own_s
    max_wait_s = room_s + share * max(0.0, sure_s - room_s)
    return Decision(
        is_late=estimate.wait_s > max_wait_s,
        estimate_s=estimate.own_s + estimate.wait_s,
        limit_s=estimate.own_s + max_wait_s,
        wait_s=estimate.wait_s,
    )


def retry_after(decision: Decision, draw: float) -> float:
    """Returns the seconds after which a refused request would be accepted.

    Args:
        decision: The refusal.
        draw: Random number in [0, 1).
    """
    wait_s = max(MIN_RETRY_AFTER_S, decision.estimate_s - decision.limit_s)
    wait_s *= 1 + RETRY_AFTER_JITTER_FRACTION * draw
    return min(MAX_RETRY_AFTER_S, wait_s)
