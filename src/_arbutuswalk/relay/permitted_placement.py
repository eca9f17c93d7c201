"""Finds an endpoint for a request, which may have to wait to be sent there."""

import math

from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import endpoint_pauses
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import leaving_endpoints
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import slotted_placement
from _arbutuswalk.relay import slow_start
from _arbutuswalk.relay import warm_up_limits
from _arbutuswalk.routing import directory

MAX_PERMIT_REQUESTS = 3
"""Permits that one request asks for before it is refused."""
MAX_WAIT_FRACTION = 0.25
"""Longest wait for a permit, a connection or the end of a pause, as a fraction
of the route's objective: most of it remains for the endpoint."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
RETRY_AFTER_JITTER_FRACTION = 0.5
"""Random increase of Retry-After, as a share of the wait, so that callers that
are refused together do not return together."""


def has_endpoint(relay: relay_state.Relay, request: requests.Request) -> bool:
    """Returns whether an endpoint is known, however long the wait for it."""
    return (
        placement.find_placement(
            relay,
            request,
            set(),
            max_permit_wait_s=math.inf,
            max_pause_wait_s=math.inf,
            within_connection_limits=False,
        )
        is not None
    )


async def find(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> placement.Placement | results.NotSent:
    """Returns an endpoint that the request may be sent to now.

    Endpoints that need no wait are preferred. If there is none, the request
    waits a short time for a permit, a connection or the end of a pause.
    """
    started_at = relay.now()
    found = await _find_permitted(relay, request, tried)
    while isinstance(found, results.NotSent):
        left_s = min(
            started_at + _max_wait(request) - relay.now(),
            _objective_left(relay, request),
        )
        if left_s <= 0 or not _awaits_connection(relay, request, tried):
            break
        await connection_limits.wait(relay, request, left_s)
        found = await _find_permitted(relay, request, tried)
    return found


def _awaits_connection(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> bool:
    """Returns whether an endpoint is left out for want of a connection."""
    return any(
        not connection_limits.may_use_another(relay, endpoint)
        for endpoint in placement.ready_endpoints(relay, request, tried)
    )


async def _find_permitted(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> placement.Placement | results.NotSent:
    for number in range(MAX_PERMIT_REQUESTS):
        max_wait_s = max_pause_wait_s = 0.0
        chosen = placement.find_placement(relay, request, tried)
        if (
            number == MAX_PERMIT_REQUESTS - 1
            and chosen is not None
            and not slow_start.is_warm(relay, chosen.endpoint)
        ):
            # The last permit is worth a wait if no other endpoint serves.
            chosen = placement.find_placement(
                relay,
                request,
                tried,
                accepts=lambda e: slow_start.is_warm(relay, e),
            )
        if chosen is None:
            max_wait_s = _max_wait(request)
            max_pause_wait_s = min(max_wait_s, _objective_left(relay, request))
            chosen = find_after_wait(relay, request, tried)
        if chosen is not None:
            slot_wait_s = min(
                _max_wait(request), _objective_left(relay, request)
            )
            chosen = await slotted_placement.find(
                relay, request, tried, chosen, slot_wait_s
            )
        if chosen is None:
            break
        is_permitted = False
        warms_up = warm_up_limits.rate(relay, chosen.endpoint) is not None
        try:
            is_permitted = await endpoint_pauses.acquire(
                relay, chosen.endpoint, max_pause_wait_s
            ) and await endpoint_limits.acquire(
                relay, chosen.endpoint, max_wait_s
            )
        finally:
            if not is_permitted:
                slotted_placement.drop(relay, chosen)
        if is_permitted and warms_up:
            ends_at = warm_up_limits.permit_ends_at(relay, chosen.endpoint)
            return chosen._replace(permit_ends_at=ends_at)
        if is_permitted:
            return chosen
    return explain_none(relay, request, tried)


def find_after_wait(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> placement.Placement | None:
    """Returns an endpoint that may be sent the request after a short wait."""
    max_wait_s = _max_wait(request)
    return placement.find_placement(
        relay,
        request,
        tried,
        max_permit_wait_s=max_wait_s,
        max_pause_wait_s=min(max_wait_s, _objective_left(relay, request)),
    )


def explain_none(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> results.NotSent:
    """Returns why no endpoint may be sent the request, and when one may."""
    endpoints = placement.ready_endpoints(relay, request, set())
    untried = [e for e in endpoints if e.id not in tried]
    paused = [
        e for e in endpoints if endpoint_pauses.expected_wait(relay, e) > 0
    ]
    if not untried and not paused:
        reason = leaving_endpoints.explain_if_all_leave(
            relay, request
        ) or evacuations.explain_if_none_left(relay, request)
        return results.NotSent(reason=reason or "no endpoint is ready")
    waits_s = [_expected_wait(relay, e) for e in {*untried, *paused}]
    first_wait_s = min([wait_s for wait_s in waits_s if wait_s], default=0.0)
    retry_after_s = _spread(relay, max(MIN_RETRY_AFTER_S, first_wait_s))
    if not paused:
        return results.NotSent(
            reason=f"the limits of {len(untried)} endpoints are used up",
            retry_after_s=min(MAX_RETRY_AFTER_S, retry_after_s),
        )
    return results.NotSent(
        reason=f"{len(paused)} of {len(endpoints)} endpoints are paused, the"
        f" first wait ends in {first_wait_s:.2f} s",
        retry_after_s=retry_after_s,
    )


def _max_wait(request: requests.Request) -> float:
    """Returns the longest time in seconds that a request may wait."""
    return MAX_WAIT_FRACTION * request.route.objective_s


def _objective_left(
    relay: relay_state.Relay, request: requests.Request
) -> float:
    """Returns the time in seconds for which waiting may be of use."""
    ends_at = min(
        request.deadline, request.received_at + request.route.objective_s
    )
    return max(0.0, ends_at - relay.now())


def _expected_wait(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float:
    return max(
        endpoint_pauses.expected_wait(relay, endpoint),
        endpoint_limits.expected_wait(relay, endpoint),
        connection_limits.expected_wait(relay, endpoint),
        brittle_endpoints.expected_wait(relay, endpoint),
    )


def _spread(relay: relay_state.Relay, wait_s: float) -> float:
    longest_s = RETRY_AFTER_JITTER_FRACTION * min(wait_s, MAX_RETRY_AFTER_S)
    return wait_s + longest_s * relay.rng.random()
