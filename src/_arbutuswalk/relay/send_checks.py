"""What prevents sending a request after a connection was acquired.

Meanwhile the caller may have left, the endpoint may have changed its state, and
its failure domain may have been evacuated.
"""

from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import endpoint_pauses
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import results
from _arbutuswalk.relay import stopping
from _arbutuswalk.relay import warm_up_limits


def find_obstacle(
    relay: relay_state.Relay,
    caller_delivery: delivery.Delivery,
    chosen: placement.Placement,
    started_at: float,
) -> results.NotSent | results.CallerLeft | None:
    """Returns why a request may not be sent now, None if it may be.

    Args:
        relay: State of the entry.
        caller_delivery: Answer to the request's caller.
        chosen: Where it is to be sent.
        started_at: Since when it has waited for its connection, in seconds.
    """
    request, now = caller_delivery.request, relay.now()
    if caller_delivery.caller_left:
        return results.CallerLeft()
    if request.deadline - now < results.MIN_TIME_LEFT_S:
        return results.NotSent(reason="no time left")
    if endpoint_pauses.is_paused(relay, chosen.endpoint):
        return results.NotSent(reason="the endpoint is paused")
    if evacuations.is_evacuated(relay, chosen.endpoint):
        return results.NotSent(reason="the failure domain is evacuated")
    if warm_up_limits.needs_other_permit(
        relay, chosen.endpoint, chosen.permit_ends_at, now - started_at
    ):
        return results.NotSent(
            reason="no valid permit for an endpoint that warms up"
        )
    return stopping.find_refusal(relay, request)
