"""An entry's part in finding requests that crash upstreams."""

import asyncio

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.entry import core
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.streams import answer

PROBE_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 5.0
PAUSE_S = 0.05


async def is_dead(row: upstreams.Row) -> bool:
    """Tells whether nothing listens at an upstream's address any more."""
    host, _, port = row.said["address"].rpartition(":")
    try:
        _, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), PROBE_TIMEOUT_S
        )
    except (TimeoutError, OSError):
        return True
    writer.close()
    return False


async def report_death(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> str:
    """Reports an unannounced death once, for all that ran there.

    Returns:
        The fingerprint blamed for it, or an empty string.
    """
    report = entry.reported.get(row.key)
    if report is None:
        report = asyncio.ensure_future(_report(entry, row, request))
        entry.reported[row.key] = report
    return await asyncio.shield(report)


async def _report(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> str:
    running = {request.fingerprint}
    for request_id in row.active:
        other = entry.requests.get(request_id)
        if other is not None:
            running.add(other.fingerprint)
    entry.suspects |= running
    entry.upstreams.remove(row.said["id"])
    events.warn(events.Event.UPSTREAM_GONE, row.said["id"], "died")
    outcome = await entry.control.submit(
        commands.ReportDeath(
            row.said["id"], row.said["incarnation"], sorted(running)
        ),
        timeout_s=REPORT_TIMEOUT_S,
    )
    if isinstance(outcome, outcomes.Convicted):
        entry.suspects -= running
        events.warn(
            events.Event.SUSPECT_CONVICTED,
            outcome.fingerprint,
            outcome.until_ms,
        )
        return outcome.fingerprint
    return ""


async def place_alone(
    entry: core.Entry,
    request: requests.ModelRequest,
    *,
    avoid: frozenset[str],
) -> upstreams.Row | answer.Problem | None:
    """Reserves an upstream for a suspect; None when time runs out."""
    while entry.now() < request.deadline:
        rows = placing.candidates(
            entry, request.upstream, request.route, request.request_id
        )
        rows.sort(key=lambda row: (row.key in avoid, len(row.active), row.load))
        for row in rows:
            outcome = await _isolate(entry, row, request)
            if isinstance(outcome, outcomes.Granted):
                row.isolated = request.fingerprint
                placing.reserve(row, request)
                return row
            if isinstance(outcome, outcomes.Convicted):
                return convicted_problem(request, outcome.until_ms)
        await asyncio.sleep(PAUSE_S)
    return None


async def _isolate(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> object:
    return await entry.control.submit(
        commands.Isolate(request.fingerprint, row.said["id"], entry.name),
        timeout_s=REPORT_TIMEOUT_S,
    )


async def release(
    entry: core.Entry,
    row: upstreams.Row,
    request: requests.ModelRequest,
    *,
    cleared: bool,
) -> None:
    """Ends the isolation of a suspect that did not bring its upstream down."""
    row.isolated = ""
    if cleared:
        entry.suspects.discard(request.fingerprint)
    await entry.control.submit(
        commands.Release(request.fingerprint, row.said["id"], cleared),
        timeout_s=REPORT_TIMEOUT_S,
    )


def release_later(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> None:
    """Ends the isolation of a request that was cancelled."""
    entry.hold(
        asyncio.ensure_future(release(entry, row, request, cleared=False))
    )


def convicted_problem(
    request: requests.ModelRequest, until_ms: int
) -> answer.Problem:
    """Returns the refusal of a request that crashes upstreams."""
    return answer.Problem(
        422,
        "request quarantined",
        "upstreams died while running this request; change it before sending"
        f" it again, or wait until {until_ms} ms of wall time",
        "yes" if request.sent else "no",
    )


def seconds_until(entry: core.Entry, until_ms: int) -> int:
    """Returns the whole seconds until a conviction ends, at least one."""
    left_ms = until_ms - entry.wall() * clock.MS_PER_S
    return max(1, int(left_ms / clock.MS_PER_S) + 1)
