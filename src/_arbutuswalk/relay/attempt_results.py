"""Records results of attempts in the log, the metrics and the statistics."""

import typing

from _arbutuswalk.base import events
from _arbutuswalk.relay import attempt_timing
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.streams import connection as connections


class Attempt(typing.Protocol):
    """What is recorded of an attempt; see ``attempts.Attempt``."""

    relay: relay_state.Relay
    request: requests.Request
    endpoint: directory.Endpoint
    exchange: connections.Exchange
    started_at: float
    timing: attempt_timing.AttemptTiming


def explain_broken_off(
    exchange: connections.Exchange,
    caller_delivery: delivery.Delivery,
    *,
    has_data: bool,
) -> str:
    """Returns why a stream that has ended is not complete, empty if it is."""
    body_end = exchange.body_end
    if not exchange.complete:
        return exchange.failure
    if caller_delivery.is_inside_event:
        return f"stream ended inside an event, body end: {body_end}"
    if not has_data and body_end == connections.BodyEnd.CONNECTION_END:
        return "stream ended without data, body end: connection end"
    return ""


def record(attempt: Attempt, result: results.Result) -> None:
    """Records the result in the log, the metrics and the outcomes."""
    relay, request = attempt.relay, attempt.request
    duration_s = relay.now() - attempt.started_at
    reason = getattr(result, "reason", "")
    if isinstance(result, results.Answered):
        reason = f"status {result.status}"
    if not isinstance(result, results.Answered | results.Delivered):
        events.record(
            events.Event.ATTEMPT_ENDED,
            request.id,
            attempt.endpoint.id,
            type(result).__name__,
            reason,
            round(duration_s * 1000),
        )
    relay.metrics.record(
        "attempt",
        f'upstream="{request.upstream}",outcome="{type(result).__name__}"',
        duration_s,
    )
    _record_outcome(attempt, result)


def _record_outcome(attempt: Attempt, result: results.Result) -> None:
    relay = attempt.relay
    ran = not isinstance(
        result, results.NotSent | results.NotRun | results.CallerLeft
    )
    succeeded = isinstance(result, results.Delivered) or (
        isinstance(result, results.Answered)
        and result.status < results.MIN_FAILURE_STATUS
    )
    if succeeded:
        _record_survived(attempt, result)
    attempt.timing.record_end(ran=ran, failed=not succeeded)
    if ran:
        relay.outlier_detector.record(
            attempt.endpoint.id, failed=not succeeded, now=relay.now()
        )


def _record_survived(
    attempt: Attempt, result: results.Answered | results.Delivered
) -> None:
    """Records that the endpoint has answered without a crash.

    A crash may look like the end of an answer that has no other end than that
    of its connection.
    """
    is_certain = result.body_end != connections.BodyEnd.CONNECTION_END
    if is_certain and attempt.exchange.reply.is_success:
        crashes.record_success(
            attempt.relay.crashes,
            attempt.request.crash_keys,
            attempt.relay.now(),
        )
