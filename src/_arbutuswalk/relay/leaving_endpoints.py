"""Keeps requests away from endpoints that leave.

An endpoint is told apart from others by its id and start. What its answers
state holds at once and without control; other entries learn it through the
states of endpoints that control sends.
"""

from _arbutuswalk.base import events
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import warm_up_limits
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import leaving
from _arbutuswalk.streams import replies

MS_PER_S = 1000


def record_reply(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    reply: replies.Reply,
    request_id: str,
) -> None:
    """Records what the head of an answer of an endpoint states."""
    start = directory.start_of(endpoint)
    if reply.invalid_leaving is not None:
        _record_invalid(relay, start, reply.invalid_leaving)
    if not reply.states_leaving:
        return
    _record_statement(relay, start, request_id)
    if reply.is_misdirected:
        # Another endpoint uses the address and made the statement.
        owner_id = relay.directory.ids_by_address.get(endpoint.address, "")
        owner = relay.directory.rows.get(owner_id)
        if owner is not None:
            owner_start = directory.start_of(owner.endpoint)
            _record_statement(relay, owner_start, request_id)


def merge_announcement(
    relay: relay_state.Relay,
    announcement: directory.Endpoint | str,
    source: str,
) -> None:
    """Merges an announcement that a control process sent.

    Args:
        relay: State of the entry.
        announcement: The endpoint, or why it cannot be used.
        source: Link address of the process.
    """
    if isinstance(announcement, str):
        events.record(events.Event.ENDPOINT_INVALID, source, announcement)
        return
    before = relay.directory.rows.get(announcement.id)
    is_change = directory.announce(relay.directory, announcement, relay.now())
    if is_change:
        former = before and before.endpoint
        warm_up_limits.record_announced(relay, former, announcement, source)
    if before is None or not is_change:
        return
    after = relay.directory.rows[announcement.id].endpoint
    if _has_left(before.endpoint, after):
        _note_leaving(relay, after, source, "control")
    elif _may_have_stated(relay, after, before):
        directory.mark_leaving(relay.directory, directory.start_of(after))
        former = f"start {before.endpoint.born_ms}"
        _note_leaving(relay, after, former, "former_start")


def explain_if_all_leave(
    relay: relay_state.Relay, request: requests.Request
) -> str:
    """Returns a reason if a request's endpoints are leaving, or an empty text.

    It is empty if any endpoint for the request is ready.
    """
    rows = [
        row
        for row in relay.directory.rows.values()
        if row.endpoint.upstream == request.upstream
        and row.endpoint.state != directory.GONE
    ]
    assigned = placement.filter_by_version(relay, request, rows)
    states = {row.endpoint.state for row in assigned}
    if states != {directory.LEAVING}:
        return ""
    version = " of the version" if len(assigned) < len(rows) else ""
    return f"all {len(assigned)} endpoints{version} are leaving"


def expire(relay: relay_state.Relay) -> None:
    """Forgets old statements of starts that are no longer known."""
    now = relay.now()
    directory.expire_leaving(relay.directory, now)
    relay.invalid_leaving.expire(now, directory.known_starts(relay.directory))


def _has_left(before: directory.Endpoint, after: directory.Endpoint) -> bool:
    return (
        before.born_ms == after.born_ms
        and before.state == directory.READY
        and after.state == directory.LEAVING
    )


def _may_have_stated(
    relay: relay_state.Relay, successor: directory.Endpoint, row: directory.Row
) -> bool:
    """Returns whether a new start made the statement of the former one.

    It did if it answered before this entry knew of it: nothing was heard of the
    former start after the statement, and the new one is older than that.
    """
    former = directory.start_of(row.endpoint)
    stated_at = relay.directory.leaving_starts.stated_at.get(former)
    if stated_at is None or successor.state != directory.READY:
        return False
    if successor.born_ms <= row.endpoint.born_ms:
        return False
    age_s = relay.now() - stated_at
    stated_wall_s = relay.wall() + relay.usage.clock_offset_s - age_s
    return (
        row.announced_at <= stated_at
        and successor.born_ms <= stated_wall_s * MS_PER_S
    )


def _record_statement(
    relay: relay_state.Relay, start: leaving.Start, request_id: str
) -> None:
    if directory.record_leaving(relay.directory, start, relay.now()):
        endpoint = relay.directory.rows[start.endpoint_id].endpoint
        _note_leaving(relay, endpoint, request_id, "answer")


def _note_leaving(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    source: str,
    source_kind: str,
) -> None:
    """Records that an endpoint is leaving and closes its idle connections."""
    events.record(
        events.Event.ENDPOINT_LEAVING, endpoint.id, endpoint.born_ms, source
    )
    relay.metrics.count("endpoints_leaving", f'source="{source_kind}"')
    relay.pool.close_idle(endpoint.address)


def _record_invalid(
    relay: relay_state.Relay, start: leaving.Start, value: str
) -> None:
    if relay.invalid_leaving.record(start, relay.now()):
        events.record(events.Event.ENDPOINT_LEAVING_INVALID, *start, value)
