"""Places requests on brittle endpoints."""

from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory


async def find(
    relay: relay_state.Relay,
    request: requests.Request,
    tried: set[str],
    chosen: placement.Placement,
    max_wait_s: float,
) -> placement.Placement | None:
    """Returns a placement with a slot if its endpoint is brittle.

    Without a slot within ``max_wait_s`` an endpoint that is not brittle is
    chosen, if there is any.
    """
    if not _is_brittle(relay, chosen.endpoint):
        return chosen
    other = placement.find_placement(
        relay,
        request,
        tried,
        accepts=lambda endpoint: not _is_brittle(relay, endpoint),
    )
    candidates = [
        chosen.endpoint,
        *(
            endpoint
            for endpoint in _usable_endpoints(relay, request, tried)
            if endpoint.id != chosen.endpoint.id
            and _is_brittle(relay, endpoint)
        ),
    ]
    endpoint_id, lease_id = await brittle_endpoints.acquire(
        relay, request, candidates, 0.0 if other is not None else max_wait_s
    )
    if not endpoint_id:
        return other
    if endpoint_id == chosen.endpoint.id:
        return chosen._replace(lease_id=lease_id)
    start = next(
        directory.start_of(e) for e in candidates if e.id == endpoint_id
    )
    found = placement.find_placement(
        relay,
        request,
        tried,
        accepts=lambda endpoint: directory.start_of(endpoint) == start,
    )
    if found is None:
        brittle_endpoints.drop(relay, lease_id)
        return other
    return found._replace(lease_id=lease_id)


def _usable_endpoints(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> list[directory.Endpoint]:
    """Returns the endpoints that need no wait, without doubtful ones if any."""
    usable_ids = placement.usable_endpoints(
        relay, request, tried, needs_sound=True
    ) or placement.usable_endpoints(relay, request, tried, needs_sound=False)
    return [relay.directory.rows[name].endpoint for name in usable_ids]


def drop(relay: relay_state.Relay, found: placement.Placement) -> None:
    """Gives the slot of a placement back that is not used."""
    brittle_endpoints.drop(relay, found.lease_id)


def _is_brittle(relay: relay_state.Relay, endpoint: directory.Endpoint) -> bool:
    return brittle_endpoints.rejections_per_s(relay, endpoint) is not None
