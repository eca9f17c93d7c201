"""What an endpoint states about itself in the head of an answer."""

from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import endpoint_pauses
from _arbutuswalk.relay import leaving_endpoints
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import stated_limits
from _arbutuswalk.streams import replies


def record_any(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    reply: replies.Reply,
    request_id: str,
) -> None:
    """Records what holds whichever exchange the answer belongs to."""
    leaving_endpoints.record_reply(relay, endpoint, reply, request_id)
    brittle_endpoints.record_reply(relay, endpoint, reply, request_id)


def record_limit(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    reply: replies.Reply,
    request_id: str,
) -> None:
    """Records the limit that an answer states, or that it states none."""
    statement = stated_limits.Statement(
        endpoint.born_ms, reply.limit_per_s, relay.now()
    )
    endpoint_limits.record_statement(relay, endpoint.id, statement, request_id)


def record_pause(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    reply: replies.Reply | None,
    request_id: str,
) -> None:
    """Records a pause, also in an answer to a caller that has left."""
    if reply is not None:
        endpoint_pauses.record_reply(relay, endpoint, reply, request_id)
