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
TIMEOUT_ANSWER_GRACE_S = 0.1
"""Time after the deadline for which an endpoint's own time-out answer is
awaited: less than the quarter of a second by which an answer may be late."""
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRetry:
    """The decision not to send a request to another endpoint.

    Attributes:
        decision: What decided it.
        inputs: The values that it was decided on.
    """

    decision: str
    inputs: str = ""


def why_no_retry(
    result: Result, route: routeconfig.Route, tally: Tally, left_s: float
) -> NoRetry | None:
    """Returns why a request may not be retried, None if it may be."""
    if isinstance(result, Delivered | CallerLeft):
        return NoRetry(decision=type(result).__name__)
    if isinstance(result, Answered) and result.status < MIN_FAILURE_STATUS:
        return NoRetry(decision="Answered", inputs=f"status {result.status}")
    if isinstance(result, TimedOut) or left_s < MIN_TIME_LEFT_S:
        return NoRetry(decision="time left", inputs=f"{left_s:.3f} s")
    if tally.sends >= MAX_SENDS:
        return NoRetry(decision="sends", inputs=f"{tally.sends} of {MAX_SENDS}")
    if isinstance(result, NotSent | NotRun) and not tally.runs:
        return None
    if not route.repeatable:
        return NoRetry(decision="not repeatable", inputs=f"kind {route.kind}")
    if tally.runs >= route.max_attempts:
        return NoRetry(
            decision="max_attempts",
            inputs=f"{tally.runs} of {route.max_attempts}",
        )
    return None


def final_status(result: Result, tally: Tally) -> int:
    """Returns the status of the entry's own final answer.

    A request that may have run in any attempt is not answered with a refusal.
    """
    if isinstance(result, TimedOut):
        return STATUS_TIMEOUT if tally.runs else STATUS_UNAVAILABLE
    return STATUS_BAD_GATEWAY if tally.runs else STATUS_UNAVAILABLE
