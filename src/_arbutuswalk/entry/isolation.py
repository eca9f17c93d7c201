"""Runs suspects on upstreams that are reserved for them."""

import asyncio

from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import placement
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.streams import answer

EXCLUSIVE_TIMEOUT_S = 3.0
MAX_ISOLATED_FRACTION = 0.34
"""Maximum fraction of an upstream name's instances reserved for suspects."""


async def place_isolated(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    *,
    avoid: frozenset[str],
) -> upstreams.Row | answer.Problem | None:
    """Reserves an upstream for a suspect.

    Identical requests of an entry take turns: the reservation must last until
    it is known whether the upstream survived the one that runs there.

    Returns:
        The upstream, a refusal, or None if the deadline has passed or the
        request is no suspect any more.
    """
    try:
        return await _place_in_turn(entry, request, avoid)
    except asyncio.CancelledError:
        release_isolation_in_background(entry, request)
        raise


async def _place_in_turn(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    avoid: frozenset[str],
) -> upstreams.Row | answer.Problem | None:
    fingerprint = request.fingerprint
    while entry.now() < request.deadline and entry.is_suspect(fingerprint):
        until_ms = entry.convicted_until_ms(fingerprint)
        if until_ms:
            return crash_quarantine.convicted_problem(request, until_ms)
        holder = entry.isolating.setdefault(fingerprint, request.request_id)
        if holder == request.request_id:
            placed = await _try_to_isolate(entry, request, avoid)
            if placed is not None:
                return placed
        await asyncio.sleep(crash_quarantine.POLL_INTERVAL_S)
    _end_turn(entry, request)
    return None


async def _try_to_isolate(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    avoid: frozenset[str],
) -> upstreams.Row | answer.Problem | None:
    rows = _isolation_candidates(entry, request)
    if not rows:
        return None
    row = min(rows, key=lambda row: (row.key in avoid, row.load))
    outcome = await _isolate(entry, row, request)
    if isinstance(outcome, outcomes.Convicted):
        crash_quarantine.record_conviction(entry, outcome)
        _end_turn(entry, request)
        return crash_quarantine.convicted_problem(request, outcome.until_ms)
    if isinstance(outcome, outcomes.Granted):
        if await _wait_until_exclusive(entry, row):
            placement.reserve(row, request)
            return row
        await release_isolation(entry, request, cleared=False)
    return None


def _end_turn(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Lets the next identical request of this entry be isolated."""
    if entry.isolating.get(request.fingerprint) == request.request_id:
        del entry.isolating[request.fingerprint]


def _isolation_candidates(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> list[upstreams.Row]:
    """Returns upstreams that may be reserved, within the maximum fraction."""
    rows = placement.candidates(
        entry, request.upstream, request.route, request.request_id
    )
    instances = entry.upstreams.rows_for(request.upstream)
    isolated = sum(bool(row.isolated) for row in instances)
    max_isolated = max(1, int(len(instances) * MAX_ISOLATED_FRACTION))
    return rows if isolated < max_isolated else []


async def _wait_until_exclusive(
    entry: entry_state.Entry, row: upstreams.Row
) -> bool:
    """Waits until no entry runs another request on a reserved upstream.

    Otherwise a second death there would not prove which request caused it.
    """
    deadline = entry.now() + EXCLUSIVE_TIMEOUT_S
    while entry.now() < deadline:
        reply = await entry.control.read(
            "alone",
            row.announcement["id"],
            timeout_s=crash_quarantine.CONTROL_TIMEOUT_S,
        )
        if crash_quarantine.is_replaced(entry, row):
            return False
        if row.health(entry.now()) is not upstreams.Health.USABLE:
            return False
        if isinstance(reply, dict) and reply["alone"]:
            return True
        await asyncio.sleep(crash_quarantine.POLL_INTERVAL_S)
    return False


async def _isolate(
    entry: entry_state.Entry,
    row: upstreams.Row,
    request: model_requests.ModelRequest,
) -> object:
    request.isolated_upstream = row.announcement["id"]
    outcome = await entry.control.submit(
        commands.Isolate(
            request.fingerprint,
            row.announcement["id"],
            row.announcement["incarnation"],
            entry.name,
        ),
        timeout_s=crash_quarantine.CONTROL_TIMEOUT_S,
    )
    if isinstance(outcome, outcomes.Granted):
        row.isolated = request.fingerprint
    elif isinstance(outcome, control_client.Unreachable):
        await release_isolation(entry, request, cleared=False)
    else:
        request.isolated_upstream = ""
    if isinstance(outcome, outcomes.Stale) and not crash_quarantine.is_replaced(
        entry, row
    ):
        entry.upstreams.remove(
            row.announcement["id"]
        )  # its death is already recorded
    return outcome


async def release_isolation(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    *,
    cleared: bool,
) -> None:
    """Ends the isolation of a request, if it has one.

    After a death the report has already ended it. Releasing it again is
    harmless, while an isolation that remained would block the upstream.
    """
    upstream_id, request.isolated_upstream = request.isolated_upstream, ""
    if not upstream_id:
        _end_turn(entry, request)
        return
    row = entry.upstreams.rows.get(upstream_id)
    if row is not None and row.isolated == request.fingerprint:
        row.isolated = ""
    if cleared:
        entry.local_suspects.discard(request.fingerprint)
    await entry.control.submit(
        commands.Release(request.fingerprint, upstream_id, cleared, entry.name),
        timeout_s=crash_quarantine.CONTROL_TIMEOUT_S,
    )
    _end_turn(entry, request)


def keep_until_reported(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    row: upstreams.Row,
) -> None:
    """Keeps a reservation whose upstream died until the report has ended it.

    To end it before would hide which request the upstream ran alone.
    """
    if not request.isolated_upstream:
        return
    request.isolated_upstream = ""

    async def end_turn() -> None:
        await crash_quarantine.report_death(entry, row)
        _end_turn(entry, request)

    entry.track_task(asyncio.ensure_future(end_turn()))


def end_conviction(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Ends the turn of a convicted request, whose reservation has ended."""
    request.isolated_upstream = ""
    _end_turn(entry, request)


def release_isolation_in_background(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Ends the isolation of a cancelled request in the background."""
    task = asyncio.ensure_future(
        release_isolation(entry, request, cleared=False)
    )
    entry.track_task(task)
