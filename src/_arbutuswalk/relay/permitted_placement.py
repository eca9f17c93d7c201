"""Finds an endpoint for a request and acquires the permit that it requires."""

import math

from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import leaving_endpoints
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results

MAX_PERMIT_REQUESTS = 3
"""Permits that one request asks for before it is refused."""
MAX_WAIT_FRACTION = 0.25
"""Longest wait for a permit, as a fraction of the route's objective: most of it
remains for the endpoint."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
RETRY_AFTER_JITTER_FRACTION = 0.5
"""Random increase of Retry-After, as a share of the wait, so that callers that
are refused together do not return together."""


def has_endpoint(relay: relay_state.Relay, request: requests.Request) -> bool:
    """Returns whether an endpoint is known, with or without a permit."""
    return (
        placement.find_placement(
            relay, request, set(), max_permit_wait_s=math.inf
        )
        is not None
    )


async def find(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> placement.Placement | results.NotSent:
    """Returns an endpoint that the request may be sent to now.

    Endpoints that need no wait are preferred. If there is none, the request
    waits a short time for a permit.
    """
    for _ in range(MAX_PERMIT_REQUESTS):
        max_wait_s = 0.0
        chosen = placement.find_placement(relay, request, tried)
        if chosen is None:
            max_wait_s = MAX_WAIT_FRACTION * request.route.objective_s
            chosen = placement.find_placement(
                relay, request, tried, max_permit_wait_s=max_wait_s
            )
        if chosen is None:
            break
        if await endpoint_limits.acquire(relay, chosen.endpoint, max_wait_s):
            return chosen
    return _no_endpoint(relay, request, tried)


def _no_endpoint(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> results.NotSent:
    waits_s = [
        endpoint_limits.expected_wait(relay, endpoint)
        for endpoint in placement.ready_endpoints(relay, request, tried)
    ]
    if not waits_s:
        reason = leaving_endpoints.explain_if_all_leave(relay, request)
        return results.NotSent(reason=reason or "no endpoint is ready")
    wait_s = max(MIN_RETRY_AFTER_S, min(waits_s))
    wait_s *= 1 + RETRY_AFTER_JITTER_FRACTION * relay.rng.random()
    return results.NotSent(
        reason=f"the limits of {len(waits_s)} endpoints are used up",
        retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
    )
