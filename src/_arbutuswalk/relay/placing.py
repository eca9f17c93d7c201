"""Selects an endpoint for a request from the directory."""

import zlib
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.relay import core
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoints

SUSPECT_S = 1.5
"""Time for which an endpoint is used last after a failure: longer than it takes
a heartbeat to show that it is alive, or a missing one that it is gone."""
SILENT_HEARTBEATS = 3.3
"""Heartbeat intervals without a heartbeat after which an endpoint is used last:
one heartbeat may be lost and the next one late."""
PER_MILLE = 1000


class Place(NamedTuple):
    """The endpoint for a request, and the prompt tokens to be read there."""

    endpoint: directory.Endpoint
    tokens: int


def place(
    relay: core.Relay, request: requests.Request, tried: set[str]
) -> Place | None:
    """Returns an endpoint that was not tried yet, None if there is none."""
    now = relay.now()
    rows = [
        row
        for row in relay.directory.rows.values()
        if row.endpoint.upstream == request.upstream
        and row.endpoint.state == directory.READY
        and row.endpoint.id not in tried
    ]
    allowed = _by_version(relay, request, rows)
    work = _work(request)
    failing = relay.health.doubtful([row.endpoint.id for row in allowed], now)
    found = endpoints.choose(
        [_candidate(relay, row, now, failing) for row in allowed],
        work,
        relay.recent.holders(_last_part(work), now),
        (relay.rng.random(), relay.rng.random()),
    )
    if found is None:
        return None
    return Place(relay.directory.rows[found.id].endpoint, found.tokens)


def sent(relay: core.Relay, request: requests.Request, endpoint: str) -> None:
    """Records that the request's shared parts are sent to an endpoint."""
    part = _last_part(_work(request))
    if part:
        relay.recent.note(part, endpoint, relay.now())


def suspect(relay: core.Relay, endpoint: str, reason: str) -> None:
    """Makes a failed endpoint a last resort for a limited time."""
    if relay.suspects.get(endpoint, 0.0) < relay.now():
        events.record(events.Event.ENDPOINT_SUSPECT, endpoint, reason)
    relay.suspects[endpoint] = relay.now() + SUSPECT_S


def _candidate(
    relay: core.Relay, row: directory.Row, now: float, failing: set[str]
) -> endpoints.Candidate:
    name = row.endpoint.id
    own, others = relay.loads.get(name), relay.others.get(name, (0, 0))
    running, waiting = own or (0, 0)
    silent_s = SILENT_HEARTBEATS * relay.options.heartbeat_s
    doubtful = now - row.heard_at > silent_s or name in failing
    return endpoints.Candidate(
        id=name,
        running=running + others[0],
        waiting_tokens=waiting + others[1],
        slots=row.endpoint.slots,
        near=row.endpoint.domain == relay.domain,
        doubtful=doubtful or relay.suspects.get(name, 0.0) > now,
    )


def _work(request: requests.Request) -> endpoints.Work | None:
    """Returns the prompt of a model request, None for other requests.

    The last part is unique to the request, unless it is the only one.
    """
    if request.prompt is None:
        return None
    parts = request.prompt.parts
    shared = parts[:-1] or parts
    return endpoints.Work(request.prompt.tokens_in, shared)


def _last_part(work: endpoints.Work | None) -> str:
    return work.parts[-1][0] if work is not None and work.parts else ""


def _by_version(
    relay: core.Relay, request: requests.Request, rows: list[directory.Row]
) -> list[directory.Row]:
    """Filters endpoints by the version that a rollout assigns to a request."""
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
