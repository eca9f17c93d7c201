"""Keeps an entry from sending to endpoints of evacuated failure domains.

What an entry knows last stays in force while it is cut off from control.
Requests that run in a domain when it is evacuated go on.
"""

from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import warm_up_limits
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import evacuations


def merge(relay: relay_state.Relay, news: dict[str, Any], source: str) -> None:
    """Takes the evacuations from a reply of control.

    A former build sends none, which changes nothing.
    """
    received = evacuations.from_json(news.get("evacuations"))
    for domain, evacuation in received.items():
        if relay.evacuations.merge(domain, evacuation):
            state, step, _ = evacuation
            events.record(
                events.Event.EVACUATION_IN_FORCE, domain, state, step, source
            )
            relay.metrics.count("evacuations", f'state="{state}"')
            if state == evacuations.OPEN:
                _assume_warm_ups(relay, domain)


def _assume_warm_ups(relay: relay_state.Relay, domain: str) -> None:
    """Assumes that the endpoints of a reopened domain warm up.

    They may have started again, or have lost their caches, without requests.
    """
    for row in relay.directory.rows.values():
        if row.endpoint.domain == domain:
            warm_up_limits.assume(relay, row.endpoint)


def is_evacuated(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> bool:
    """Returns whether an endpoint is in an evacuated failure domain."""
    return endpoint.domain in relay.evacuations.domains


def explain_if_none_left(
    relay: relay_state.Relay, request: requests.Request
) -> str:
    """Returns a reason if only evacuated domains have endpoints for a request.

    It is empty if any other endpoint is ready, or if none is ready at all.
    """
    if not relay.evacuations.domains:
        return ""
    ready = [
        row.endpoint
        for row in relay.directory.rows.values()
        if row.endpoint.upstream == request.upstream
        and row.endpoint.state == directory.READY
    ]
    if not ready or not all(is_evacuated(relay, e) for e in ready):
        return ""
    return f"all {len(ready)} ready endpoints are in evacuated failure domains"
