"""Applies announcements of endpoints to the directory of a control process."""

import json
from collections.abc import Iterable

from _arbutuswalk.base import events
from _arbutuswalk.base import metrics as process_metrics
from _arbutuswalk.control import member as members
from _arbutuswalk.routing import directory as directories
from _arbutuswalk.wire.gen.arbutus import ttypes


def apply(
    directory: directories.Directory,
    endpoint: directories.Endpoint,
    now: float,
    metrics: process_metrics.Metrics,
) -> bool:
    """Applies an announcement; returns whether it changed the directory."""
    owner_id = directory.ids_by_address.get(endpoint.address, endpoint.id)
    owner = directory.rows.get(owner_id)
    is_change = directories.announce(directory, endpoint, now)
    metrics.count("announcements", f'news="{is_change}"')
    is_configured = directories.is_configured(directory, endpoint)
    if not is_configured:
        metrics.count("announcements_unconfigured")
    if is_change:
        events.record(
            events.Event.ENDPOINT_CHANGED,
            endpoint.id,
            endpoint.upstream,
            endpoint.version,
            endpoint.state,
            endpoint.born_ms,
            endpoint.sequence,
            endpoint.address,
            is_configured,
        )
    new_owner_id = directory.ids_by_address.get(endpoint.address, owner_id)
    if owner is not None and new_owner_id != owner_id:
        events.record(
            events.Event.ENDPOINT_DISPLACED,
            owner_id,
            owner.endpoint.upstream,
            owner.endpoint.born_ms,
            endpoint.id,
            endpoint.address,
        )
    return is_change


def forward(
    member: members.Member,
    addresses: Iterable[str],
    endpoint: directories.Endpoint,
) -> None:
    """Sends an announcement to the members at some addresses."""
    payload = json.dumps(endpoint).encode()
    message = ttypes.UpstreamNews(announcements=[payload])
    for address in addresses:
        member.link_to(address).send_oneway(message)
