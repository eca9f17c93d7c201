"""Opens connections to endpoints, through other entries if necessary."""

import asyncio
from typing import Any

from _arbutuswalk.base import background
from _arbutuswalk.base import events
from _arbutuswalk.base import stalls
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import tunnels

TUNNEL_TIMEOUT_S = 0.6
PEERS_TRIED = 2
"""Peers that are asked for one connection."""
PEERS_WAIT_S = 0.5
"""Time for which a connection waits for control to name peers: a little longer
than a watch takes."""
PROBE_INTERVAL_S = 0.5
"""Time between connections that show whether the path is restored."""
EVIDENCE_S = 1.0
"""Time before the path was found lost in which failures of endpoints are taken
for its loss."""


def install(relay: relay_state.Relay) -> None:
    """Makes an entry use its peers while it reaches no endpoint itself."""

    async def open_on_any_path(
        address: str,
    ) -> connections.Connection | pool.NotOpened:
        return await _open(relay, address)

    def handle_loss() -> None:
        _handle_loss(relay)

    def handle_restoration(cut_off_s: float) -> None:
        events.record(events.Event.PATH_RESTORED, round(cut_off_s, 2))
        relay.pool.close_idle_if(lambda connection: bool(connection.peer))

    relay.pool.opener = open_on_any_path
    relay.paths.on_lost = handle_loss
    relay.paths.on_restored = handle_restoration


def to_json(relay: relay_state.Relay) -> dict[str, Any]:
    """Returns what the entry reports on its path to the endpoints."""
    paths = relay.paths
    return {
        "cut_off": paths.is_cut_off,
        "serves": not paths.is_cut_off or bool(paths.usable_peers()),
        "wants_peers": paths.wants_peers,
    }


def merge_peers(relay: relay_state.Relay, peers: list[str]) -> None:
    """Takes the peers from a reply of control, which may name none.

    Idle tunnels through others are closed: such a peer may be about to stop.
    """
    if not peers:
        return
    relay.paths.peers = tuple(peers)
    relay.pool.close_idle_if(
        lambda connection: not relay.paths.may_reuse(connection.peer)
    )


async def _open(
    relay: relay_state.Relay, address: str
) -> connections.Connection | pool.NotOpened:
    if not relay.paths.is_cut_off:
        opened = await relay.pool.open_directly(address)
        if not isinstance(opened, pool.NotOpened):
            relay.paths.record_success()
            return opened
        relay.paths.record_failure(address, refused=opened.refused)
        if relay.paths.is_doubtful:
            background.start("path", _try_another_endpoint(relay))
        if not relay.paths.is_cut_off:
            return opened
    return await _open_through_peer(relay, address)


async def _open_through_peer(
    relay: relay_state.Relay, address: str
) -> connections.Connection | pool.NotOpened:
    paths = relay.paths
    if not paths.peers and paths.is_cut_off:
        left_s = paths.cut_off_since + PEERS_WAIT_S - relay.now()
        await _wait_for_peers(relay, left_s)
    peers = paths.usable_peers()
    for peer in relay.rng.sample(peers, min(PEERS_TRIED, len(peers))):
        opened = await open_through(relay, peer, address)
        if not isinstance(opened, tunnels.PeerFailed):
            return opened
    return pool.NotOpened(
        reason="no path to endpoints", refused=False, is_path_failure=True
    )


async def open_through(
    relay: relay_state.Relay, peer: str, address: str
) -> connections.Connection | pool.NotOpened | tunnels.PeerFailed:
    """Opens a connection through one peer and records what that shows."""
    connection = relay.pool.make_connection(address, peer)
    started_at = relay.now()
    failure = await tunnels.open_tunnel(
        connection, name=relay.name, timeout_s=TUNNEL_TIMEOUT_S
    )
    late_s = relay.now() - started_at - TUNNEL_TIMEOUT_S
    relay.metrics.count("tunnels", f'opened="{failure is None}"')
    if not isinstance(failure, tunnels.PeerFailed):
        relay.paths.record_peer_heard(peer)
        return connection if failure is None else failure
    events.record(events.Event.TUNNEL_FAILED, peer, address, failure.reason)
    is_silent = failure.is_silent and late_s <= stalls.MIN_STALL_S
    if is_silent or failure.has_lost_tunnels:
        give_up_peer(relay, peer)
    else:
        relay.paths.record_peer_failure(peer)
    return failure


def give_up_peer(relay: relay_state.Relay, peer: str) -> None:
    """Uses other peers than one whose tunnels are dead, idle ones as well."""
    relay.paths.record_peer_silence(peer)
    relay.pool.close_idle_if(lambda connection: connection.peer == peer)


async def _wait_for_peers(relay: relay_state.Relay, left_s: float) -> None:
    """Waits until control has named peers, or the time is over."""
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            while not relay.paths.peers and relay.paths.is_cut_off:
                await relay.control_updated.wait()
    except TimeoutError:
        return


def _handle_loss(relay: relay_state.Relay) -> None:
    """Takes back what failures of the path were taken for."""
    paths = relay.paths
    events.record(
        events.Event.PATH_LOST,
        "silent" if paths.is_silent else "refused",
        len(paths.failures),
        len(paths.peers),
    )
    relay.metrics.count("path_lost")
    relay.suspect_until.clear()
    crashes.withdraw_deaths(relay.crashes, relay.now() - EVIDENCE_S)
    if paths.is_silent:
        relay.pool.close_idle_if(lambda connection: not connection.peer)
    background.start("path", _probe_until_restored(relay))


async def _probe_until_restored(relay: relay_state.Relay) -> None:
    """Opens connections on the entry's own path until one succeeds.

    The first one is opened at once, to an endpoint that has not failed if there
    is one: those that have may be the only ones that are gone.
    """
    while relay.paths.is_cut_off:
        untried = _untried_addresses(relay)
        await _probe(relay, untried or _ready_addresses(relay))
        if relay.paths.is_cut_off:
            await asyncio.sleep(PROBE_INTERVAL_S)


async def _try_another_endpoint(relay: relay_state.Relay) -> None:
    """Finds out whether the path is lost, or only endpoints have failed."""
    await _probe(relay, _untried_addresses(relay))


async def _probe(relay: relay_state.Relay, addresses: list[str]) -> None:
    """Opens a connection to one of these addresses on the entry's own path."""
    if not addresses:
        return
    address = relay.rng.choice(addresses)
    opened = await relay.pool.open_directly(address)
    if isinstance(opened, pool.NotOpened):
        relay.paths.record_failure(address, refused=opened.refused)
    else:
        opened.abort()
        relay.paths.record_success()


def _untried_addresses(relay: relay_state.Relay) -> list[str]:
    """Returns the addresses of ready endpoints that have not failed lately."""
    failures = relay.paths.failures
    return [a for a in _ready_addresses(relay) if a not in failures]


def _ready_addresses(relay: relay_state.Relay) -> list[str]:
    return [
        row.endpoint.address
        for row in relay.directory.rows.values()
        if row.endpoint.state == directory.READY
        and not evacuations.is_evacuated(relay, row.endpoint)
    ]
