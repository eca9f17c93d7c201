"""What has changed since a request was placed on an endpoint.

Opening a connection and waiting for a permit take time.
"""

from _arbutuswalk.relay import endpoint_pauses
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import stopping
from _arbutuswalk.routing import directory


def find_refusal(
    relay: relay_state.Relay,
    request: requests.Request,
    endpoint: directory.Endpoint,
) -> results.NotSent | None:
    """Returns why a request must not be sent now, None if it may be."""
    if endpoint_pauses.is_paused(relay, endpoint):
        return results.NotSent(reason="the endpoint is paused")
    if evacuations.is_evacuated(relay, endpoint):
        return results.NotSent(reason="the failure domain is evacuated")
    return stopping.find_refusal(relay, request)
