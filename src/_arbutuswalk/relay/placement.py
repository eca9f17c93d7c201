"""Selects an endpoint for a request from the directory."""

import zlib
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import endpoint_pauses
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import slow_start
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import selection

SUSPECT_DURATION_S = 1.5
"""Time for which an endpoint is used last after a failure: longer than it takes
a heartbeat to show that it is alive, or a missing one that it is gone."""
DOUBTFUL_AFTER_HEARTBEATS = 3.3
"""Heartbeat intervals without a heartbeat after which an endpoint is used last:
one heartbeat may be lost and the next one late."""
FULL_SHARE_PER_MILLE = 1000
NO_LOAD = relay_state.Load()


class Placement(NamedTuple):
    """The endpoint for a request.

    Attributes:
        endpoint: The endpoint.
        uncached_tokens: Prompt tokens to be read there.
        lease_id: Lease of its slot if it is brittle, empty without one.
        permit_ends_at: Until when the request may be sent if the endpoint warms
            up, in seconds; None if it did not when it was chosen.
    """

    endpoint: directory.Endpoint
    uncached_tokens: int
    lease_id: str = ""
    permit_ends_at: float | None = None


def find_placement(
    relay: relay_state.Relay,
    request: requests.Request,
    tried: set[str],
    *,
    max_permit_wait_s: float = 0.0,
    max_pause_wait_s: float = 0.0,
    within_connection_limits: bool = True,
    accepts: Callable[[directory.Endpoint], bool] | None = None,
) -> Placement | None:
    """Returns an endpoint that was not tried yet, None if there is none.

    Endpoints with a limit are left out if no permit is expected within
    ``max_permit_wait_s``, paused ones if no request may be sent within
    ``max_pause_wait_s``. ``within_connection_limits`` leaves out those that
    accept no other connection, ``accepts`` any others.
    """
    now = relay.now()
    candidates = _find_candidates(
        relay, request, tried, max_permit_wait_s, max_pause_wait_s
    )
    if accepts is not None:
        candidates = [
            candidate
            for candidate in candidates
            if accepts(relay.directory.rows[candidate.id].endpoint)
        ]
    for group in slow_start.groups(relay, candidates):
        chosen = _choose(relay, request, group, now)
        if (
            chosen is not None
            and within_connection_limits
            and not connection_limits.has_own_connection(relay, chosen.endpoint)
        ):
            connected = _with_connection(relay, group)
            chosen = _choose(relay, request, connected, now)
        if chosen is not None:
            return chosen
    return None


def expected_work(
    relay: relay_state.Relay, request: requests.Request, chosen: Placement
) -> selection.Work | None:
    """Returns the expected work before the first event at an endpoint.

    It is None if the endpoint is not known any more.
    """
    row = relay.directory.rows.get(chosen.endpoint.id)
    if row is None:
        return None
    (candidate,) = _make_candidates(relay, [row], relay.now())
    if request.prompt is None:
        return selection.expected_queue(candidate)
    return selection.expected_work(candidate, chosen.uncached_tokens)


def usable_endpoints(
    relay: relay_state.Relay,
    request: requests.Request,
    tried: set[str],
    *,
    needs_sound: bool,
) -> list[str]:
    """Returns the endpoints that a request may be sent to now.

    Args:
        relay: State of the entry.
        request: The request.
        tried: Endpoints to leave out.
        needs_sound: Whether to leave out those that failed recently.
    """
    candidates = _find_candidates(relay, request, tried, 0.0, 0.0)
    return [
        candidate.id
        for candidate in _with_connection(relay, candidates)
        if not (candidate.doubtful and needs_sound)
    ]


def _find_candidates(
    relay: relay_state.Relay,
    request: requests.Request,
    tried: set[str],
    max_permit_wait_s: float,
    max_pause_wait_s: float,
) -> list[selection.Candidate]:
    """Returns the endpoints that may be sent a request after these waits."""
    now = relay.now()
    rows = _ready_rows(relay, request, tried)
    if endpoint_limits.are_known(relay):
        rows = [
            row
            for row in rows
            if endpoint_limits.expected_wait(relay, row.endpoint)
            <= max_permit_wait_s
        ]
    if relay.pauses.rows:
        rows = [
            row
            for row in rows
            if endpoint_pauses.expected_wait(relay, row.endpoint)
            <= max_pause_wait_s
        ]
    eligible = filter_by_version(relay, request, rows)
    return _make_candidates(relay, eligible, now)


def _choose(
    relay: relay_state.Relay,
    request: requests.Request,
    candidates: list[selection.Candidate],
    now: float,
) -> Placement | None:
    prompt_profile = _prompt_profile(request)
    choice = selection.choose(
        candidates,
        prompt_profile,
        relay.recent_parts.endpoints_holding(
            _last_shared_part(prompt_profile), now
        ),
        (relay.rng.random(), relay.rng.random()),
    )
    if choice is None:
        return None
    return Placement(relay.directory.rows[choice.id].endpoint, choice.tokens)


def _with_connection(
    relay: relay_state.Relay, candidates: list[selection.Candidate]
) -> list[selection.Candidate]:
    """Returns sound candidates with a connection of the entry's own.

    If there are none, it returns all that may be sent another request.
    """
    usable = [
        candidate
        for candidate in candidates
        if connection_limits.may_use_another(
            relay, relay.directory.rows[candidate.id].endpoint
        )
    ]
    preferred = [
        candidate
        for candidate in usable
        if not candidate.doubtful
        and connection_limits.has_own_connection(
            relay, relay.directory.rows[candidate.id].endpoint
        )
    ]
    return preferred or usable


def ready_endpoints(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> list[directory.Endpoint]:
    """Returns the ready endpoints for a request that were not tried yet."""
    rows = filter_by_version(relay, request, _ready_rows(relay, request, tried))
    return [row.endpoint for row in rows]


def _ready_rows(
    relay: relay_state.Relay, request: requests.Request, tried: set[str]
) -> list[directory.Row]:
    upstream = request.upstream
    rows = [
        row
        for row in relay.directory.rows.values()
        if (endpoint := row.endpoint).upstream == upstream
        and endpoint.state == directory.READY
        and endpoint.id not in tried
    ]
    if relay.evacuations.domains:
        return [
            r for r in rows if not evacuations.is_evacuated(relay, r.endpoint)
        ]
    return rows


def record_sent(
    relay: relay_state.Relay, request: requests.Request, endpoint: str
) -> None:
    """Records that the request's shared parts are sent to an endpoint."""
    part = _last_shared_part(_prompt_profile(request))
    if part:
        relay.recent_parts.record(part, endpoint, relay.now())


def mark_suspect(relay: relay_state.Relay, endpoint: str, reason: str) -> None:
    """Makes a failed endpoint a last resort for a limited time."""
    if relay.suspect_until.get(endpoint, 0.0) < relay.now():
        events.record(events.Event.ENDPOINT_SUSPECT, endpoint, reason)
    relay.suspect_until[endpoint] = relay.now() + SUSPECT_DURATION_S


def _make_candidates(
    relay: relay_state.Relay, rows: list[directory.Row], now: float
) -> list[selection.Candidate]:
    outliers = relay.outlier_detector.outliers(
        [row.endpoint.id for row in rows], now
    )
    silent_s = doubtful_after_s(relay)
    own_loads, other_loads = relay.own_loads, relay.other_loads
    suspect_until, speeds = relay.suspect_until, relay.endpoint_speeds
    knows_speeds = bool(speeds.slowness)
    candidates = []
    for row in rows:
        endpoint = row.endpoint
        endpoint_id = endpoint.id
        own_running, own_tokens = own_loads.get(endpoint_id, NO_LOAD)
        other_running, other_tokens = other_loads.get(endpoint_id, NO_LOAD)
        candidates.append(
            selection.Candidate(
                id=endpoint_id,
                running=own_running + other_running,
                waiting_tokens=own_tokens + other_tokens,
                slots=endpoint.slots,
                near=endpoint.domain == relay.domain,
                doubtful=now - row.announced_at > silent_s
                or endpoint_id in outliers
                or suspect_until.get(endpoint_id, 0.0) > now,
                slowness=speeds.factor(endpoint, now) if knows_speeds else 1.0,
            )
        )
    return candidates


def doubtful_after_s(relay: relay_state.Relay) -> float:
    """Returns the time without a heartbeat after which endpoints are last."""
    return DOUBTFUL_AFTER_HEARTBEATS * relay.options.heartbeat_s


def _prompt_profile(
    request: requests.Request,
) -> selection.PromptProfile | None:
    """Returns the prompt of a model request, None for other requests.

    The last part is unique to the request, unless it is the only one.
    """
    if request.prompt is None:
        return None
    parts = request.prompt.parts
    shared_parts = parts[:-1] or parts
    return selection.PromptProfile(request.prompt.tokens_in, shared_parts)


def _last_shared_part(prompt_profile: selection.PromptProfile | None) -> str:
    return (
        prompt_profile.parts[-1][0]
        if prompt_profile is not None and prompt_profile.parts
        else ""
    )


def filter_by_version(
    relay: relay_state.Relay,
    request: requests.Request,
    rows: list[directory.Row],
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
    share_position = zlib.crc32(request.id.encode()) % FULL_SHARE_PER_MILLE
    if share_position < share:
        return new or old
    return old if old or share < FULL_SHARE_PER_MILLE else new
