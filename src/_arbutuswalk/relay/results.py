"""What became of one sending, and what to do next.

Pure decisions: which outcome permits another endpoint, and which final answer
is true. A refusal says that the request has not run and never will.
"""

import dataclasses

from _arbutuswalk.state import routeconfig

STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
FAILURE_STATUS = 500
"""First status that tells of a failure of the upstream's own."""

MAX_SENDS = 4
"""Endpoints tried for one request, those that did not run it included."""
LEAST_LEFT_S = 0.03
"""Time below which no endpoint could answer any more: a round trip between
failure domains and the shortest work."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte has left."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """The endpoint said that it has not run the request."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """The request may have run; its answer is lost or not usable."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The time of the request is up while an endpoint may still run it."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The endpoint's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delivered:
    """A stream was passed on to its end."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLeft:
    """Nobody waits for the answer any more."""


Result = NotSent | NotRun | Lost | TimedOut | Answered | Delivered | CallerLeft


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tally:
    """What one request has used so far.

    Attributes:
        sends: Times it was sent to an endpoint or tried to be.
        arrivals: Times a byte of it may have reached one.
        runs: Times it may have run.
    """

    sends: int = 0
    arrivals: int = 0
    runs: int = 0


def add(tally: Tally, result: Result) -> Tally:
    """Returns the tally after one more sending."""
    arrived = not isinstance(result, NotSent)
    ran = arrived and not isinstance(result, NotRun)
    return Tally(
        sends=tally.sends + 1,
        arrivals=tally.arrivals + arrived,
        runs=tally.runs + ran,
    )


def may_try_again(
    result: Result, route: routeconfig.Route, tally: Tally, left_s: float
) -> bool:
    """Tells whether the request may go to another endpoint."""
    if tally.sends >= MAX_SENDS or left_s < LEAST_LEFT_S:
        return False
    if isinstance(result, NotSent | NotRun):
        return tally.runs == 0 or _may_repeat(route, tally)
    if isinstance(result, Lost):
        return _may_repeat(route, tally)
    if isinstance(result, Answered):
        failed = result.status >= FAILURE_STATUS
        return failed and _may_repeat(route, tally)
    return False


def _may_repeat(route: routeconfig.Route, tally: Tally) -> bool:
    return route.repeatable and tally.runs < route.max_attempts


def final_status(result: Result, tally: Tally) -> int:
    """Returns the status of our own final answer.

    Anything that may have run, now or before, is no refusal.
    """
    if isinstance(result, TimedOut):
        return STATUS_TIMEOUT if tally.runs else STATUS_UNAVAILABLE
    return STATUS_BAD_GATEWAY if tally.runs else STATUS_UNAVAILABLE
