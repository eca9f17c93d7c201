"""Detects the crash of an endpoint before its next heartbeat is missed.

A lost connection may be the only one that failed. A refused connection shows
that no process listens any more.
"""

import asyncio

from _arbutuswalk.base import background
from _arbutuswalk.base import events
from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import path_opener
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import warm_up_limits
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import tunnels

PROBE_DELAY_S = 0.1
"""Time after a lost connection at which another is opened. A process that ends
accepts connections for a moment."""


def start(relay: relay_state.Relay, endpoint: directory.Endpoint) -> None:
    """Opens a connection to an endpoint soon, unless that is under way."""
    endpoint_start = directory.start_of(endpoint)
    if endpoint_start in relay.probed_starts:
        return
    if evacuations.is_evacuated(relay, endpoint):
        return
    relay.probed_starts.add(endpoint_start)
    background.start("probe", _probe(relay, endpoint))


def start_silent(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    peer: str = "",
    *,
    has_request: bool = False,
) -> None:
    """Opens a connection to a silent endpoint, unless that is under way.

    An endpoint that does not accept one becomes a suspect.

    Args:
        relay: State of the entry.
        endpoint: The endpoint.
        peer: Peer that the connection is to go through, empty for any path.
        has_request: Whether a request of this entry waits for the endpoint. If
            it is in an evacuated failure domain, no other one is examined:
            nothing is sent on the connection, and only it shows whether the
            request may go elsewhere.
    """
    endpoint_start = directory.start_of(endpoint)
    if endpoint_start in relay.probed_starts:
        return
    if evacuations.is_evacuated(relay, endpoint) and not has_request:
        return
    relay.probed_starts.add(endpoint_start)
    background.start("probe", _probe_silent(relay, endpoint, peer))


async def _probe_silent(
    relay: relay_state.Relay, endpoint: directory.Endpoint, peer: str
) -> None:
    try:
        may_connect = connection_limits.may_use_another(relay, endpoint)
        if peer:
            # A peer replies to a request for no address as well.
            address = endpoint.address if may_connect else ""
            connection = await path_opener.open_through(relay, peer, address)
        elif may_connect:
            connection = await relay.pool.open(endpoint.address)
        else:
            return
        if isinstance(connection, tunnels.PeerFailed):
            return
        if isinstance(connection, pool.NotOpened):
            if connection.is_path_failure:
                return
            record_not_opened(relay, endpoint, connection)
            placement.mark_suspect(relay, endpoint.id, connection.reason)
            relay.pool.close_idle(endpoint.address)
        else:
            relay.heard_at[endpoint.id] = relay.now()
            connection_limits.release(relay, endpoint, connection)
    finally:
        relay.probed_starts.discard(directory.start_of(endpoint))


async def _probe(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> None:
    try:
        await asyncio.sleep(PROBE_DELAY_S)
        if not connection_limits.may_use_another(relay, endpoint):
            return
        connection = await relay.pool.acquire(
            endpoint.address, non_idempotent=True
        )
        if isinstance(connection, pool.NotOpened):
            record_not_opened(relay, endpoint, connection)
        else:
            connection_limits.release(relay, endpoint, connection)
    finally:
        relay.probed_starts.discard(directory.start_of(endpoint))


def record_not_opened(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    failure: pool.NotOpened,
) -> None:
    """Records a failed connection, which may show that the endpoint crashed."""
    if failure.is_path_failure:
        return
    relay.unreachable_at[endpoint.id] = relay.now()
    # What accepts connections there next may have just started.
    warm_up_limits.assume(relay, endpoint)
    if failure.refused:
        crashes.record_refused_connection(
            relay.crashes, directory.start_of(endpoint), relay.now()
        )
        resolve_suspects(relay)


def resolve_suspects(relay: relay_state.Relay) -> None:
    """Records which suspects ran on endpoints that have died."""
    is_cut_off = relay.paths.is_cut_off
    if not is_cut_off:
        _probe_withdrawn(relay)
    confirmed = crashes.resolve_suspects(
        relay.crashes,
        relay.directory,
        relay.now(),
        relay.options.heartbeat_s,
        is_cut_off=is_cut_off,
    )
    for suspect in confirmed:
        events.record(
            events.Event.DEATH_NOTED,
            suspect.request_id,
            suspect.endpoint_id,
            suspect.born_ms,
            ",".join(suspect.keys),
        )


def _probe_withdrawn(relay: relay_state.Relay) -> None:
    """Examines endpoints whose deaths were withdrawn, with the path restored.

    Each is examined once. One that was replaced needs no connection to tell.
    """
    for suspect in relay.crashes.suspects:
        row = relay.directory.rows.get(suspect.endpoint_id)
        if (
            suspect.withdrawn
            and suspect.start not in relay.crashes.reprobed_starts
            and row is not None
            and directory.start_of(row.endpoint) == suspect.start
            and row.endpoint.state == directory.READY
        ):
            relay.crashes.reprobed_starts.add(suspect.start)
            start(relay, row.endpoint)
    relay.crashes.reprobed_starts &= {
        suspect.start for suspect in relay.crashes.suspects
    }
