"""Results of attempts, and the retry decisions based on them.

Pure functions that decide which result permits an attempt at another endpoint
and which final status is correct. A refusal means that the request has not run
and will not be run.
"""

import dataclasses

from _arbutuswalk.state import routeconfig

STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
MIN_FAILURE_STATUS = 500
"""Lowest status that indicates a failure of the upstream itself."""

MAX_SENDS = 4
"""Maximum attempts per request, including those that did not run it."""
MIN_TIME_LEFT_S = 0.03
"""Remaining time below which no endpoint can answer: a round trip between
failure domains and the shortest processing time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the request was sent.

    Attributes:
        reason: Why not.
        retry_after_s: When the caller is to send it again, None if unknown.
    """

    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """The endpoint reported that it has not run the request."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """The request may have run; its answer is lost or unusable."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The deadline has passed while an endpoint may still run the request."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The endpoint sent a complete answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    body_end: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delivered:
    """A stream was forwarded to its end.

    Attributes:
        body_end: What ended it.
        rest_bytes: Size of what followed its last complete event.
    """

    body_end: str
    rest_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLeft:
    """The caller has closed the connection."""


Result = NotSent | NotRun | Lost | TimedOut | Answered | Delivered | CallerLeft


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tally:
    """Counts of the attempts of one request.

    Attributes:
        sends: Attempts to send it to an endpoint.
        arrivals: Attempts of which a byte may have reached an endpoint.
        runs: Attempts in which it may have run.
    """

    sends: int = 0
    arrivals: int = 0
    runs: int = 0


def tally_result(tally: Tally, result: Result) -> Tally:
    """Returns the tally after one more attempt."""
    may_have_arrived = not isinstance(result, NotSent)
    may_have_run = may_have_arrived and not isinstance(result, NotRun)
    return Tally(
        sends=tally.sends + 1,
        arrivals=tally.arrivals + may_have_arrived,
        runs=tally.runs + may_have_run,
    )


def may_retry(
    result: Result, route: routeconfig.Route, tally: Tally, left_s: float
) -> bool:
    """Returns whether the request may be sent to another endpoint."""
    if tally.sends >= MAX_SENDS or left_s < MIN_TIME_LEFT_S:
        return False
    if isinstance(result, NotSent | NotRun):
        return tally.runs == 0 or _may_run_again(route, tally)
    if isinstance(result, Lost):
        return _may_run_again(route, tally)
    if isinstance(result, Answered):
        failed = result.status >= MIN_FAILURE_STATUS
        return failed and _may_run_again(route, tally)
    return False


def _may_run_again(route: routeconfig.Route, tally: Tally) -> bool:
    return route.repeatable and tally.runs < route.max_attempts


def final_status(result: Result, tally: Tally) -> int:
    """Returns the status of the entry's own final answer.

    A request that may have run in any attempt is not answered with a refusal.
    """
    if isinstance(result, TimedOut):
        return STATUS_TIMEOUT if tally.runs else STATUS_UNAVAILABLE
    return STATUS_BAD_GATEWAY if tally.runs else STATUS_UNAVAILABLE
