"""Decides what an entry that stops may still send to an endpoint.

What has not been sent to one is refused, so that callers can send it elsewhere.
"""

from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.state import routeconfig

REASON = "the entry stops"
RETRY_AFTER_S = 0.1
"""Retry-After of a refusal: other entries can take the request at once."""
USUAL_PERCENT = 90.0
"""Percentile of a route's answers that counts as their usual time."""


def has_time(
    relay: relay_state.Relay, request: requests.Request, read_at: float
) -> bool:
    """Returns whether a request may be sent to an endpoint now.

    One that may run once has to reach its deadline before the end. One that may
    be repeated needs its usual time, as it can be ended with an answer; a
    stream cannot once it has begun, so the usual time is enough only for those
    that were read early.

    Args:
        relay: State of the entry.
        request: The request.
        read_at: When it was read, in seconds.
    """
    stop = relay.stop
    if stop is None:
        return True
    now = relay.now()
    needed_s = request.deadline + results.TIMEOUT_ANSWER_GRACE_S - now
    is_stream = request.route.kind == routeconfig.STREAM
    if request.route.repeatable and not (
        is_stream and read_at > stop.accepts_until
    ):
        usual_s = _usual_time(relay, stop, request.route)
        needed_s = min(needed_s, usual_s or needed_s)
    return now + needed_s <= stop.answers_due_at


def find_refusal(
    relay: relay_state.Relay, request: requests.Request
) -> results.NotSent | None:
    """Returns why an admitted request may not be sent, None if it may."""
    if has_time(relay, request, request.received_at):
        return None
    return results.NotSent(reason=REASON, retry_after_s=RETRY_AFTER_S)


def _usual_time(
    relay: relay_state.Relay, stop: relay_state.Stop, route: routeconfig.Route
) -> float:
    """Returns the time in seconds that answers usually take, 0 if unknown."""
    if route.name not in stop.usual_s:
        stop.usual_s[route.name] = relay.metrics.quantile(
            "answer", f'route="{route.name}"', USUAL_PERCENT
        )
    return max(route.objective_s, stop.usual_s[route.name])
