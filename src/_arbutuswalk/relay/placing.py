"""Finds the endpoint for a request among those that announced themselves."""

import zlib

from _arbutuswalk.base import events
from _arbutuswalk.relay import core
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoints

SUSPECT_S = 1.5
"""How long an endpoint that failed comes last: longer than a heartbeat takes
to tell that it lives, or is gone."""
SILENT_S = 4.0
"""Silence of an endpoint after which it comes last: three heartbeats."""
PER_MILLE = 1000


def place(
    relay: core.Relay, request: requests.Request, tried: set[str]
) -> directory.Endpoint | None:
    """Returns an endpoint that was not tried yet, or None."""
    now = relay.now()
    rows = [
        row
        for row in relay.directory.rows.values()
        if row.endpoint.upstream == request.upstream
        and row.endpoint.state == directory.READY
        and row.endpoint.id not in tried
    ]
    allowed = _by_version(relay, request, rows)
    candidates = [_candidate(relay, row, now) for row in allowed]
    found = endpoints.choose(candidates, _affinity(request), relay.rng.random())
    if found is None:
        return None
    return relay.directory.rows[found.id].endpoint


def suspect(relay: core.Relay, endpoint: str, reason: str) -> None:
    """Lets an endpoint that failed come last for a while."""
    if relay.suspects.get(endpoint, 0.0) < relay.now():
        events.record(events.Event.ENDPOINT_SUSPECT, endpoint, reason)
    relay.suspects[endpoint] = relay.now() + SUSPECT_S


def _candidate(
    relay: core.Relay, row: directory.Row, now: float
) -> endpoints.Candidate:
    name = row.endpoint.id
    load = relay.running.get(name, 0) + relay.others.get(name, 0)
    silent = now - row.heard_at > SILENT_S
    return endpoints.Candidate(
        id=name,
        load=load,
        slots=row.endpoint.slots,
        near=row.endpoint.domain == relay.domain,
        doubtful=silent or relay.suspects.get(name, 0.0) > now,
    )


def _affinity(request: requests.Request) -> str:
    """Returns the last part that other requests may share.

    The very last part is the request's own, unless it is the only one.
    """
    if request.prompt is None or not request.prompt.parts:
        return ""
    return request.prompt.parts[-2:][0].id


def _by_version(
    relay: core.Relay, request: requests.Request, rows: list[directory.Row]
) -> list[directory.Row]:
    """Keeps to the version that a rollout gives this request."""
    rollout = relay.rollouts.get(request.upstream)
    if rollout is None:
        return rows
    target, state, share = rollout[:3]
    new = [row for row in rows if row.endpoint.version == target]
    old = [row for row in rows if row.endpoint.version != target]
    if state == "reverted":
        return old
    if state == "completed":
        return new or old
    drawn = zlib.crc32(request.id.encode()) % PER_MILLE
    if drawn < share:
        return new or old
    return old if old or share < PER_MILLE else new
