"""An entry's part in finding requests that crash upstreams."""

import asyncio

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import core
from _arbutuswalk.entry import news
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.streams import answer

PROBE_TIMEOUT_S = 0.5
PROBE_PAUSE_S = 0.01
"""Pause between probes of an upstream that accepts and does not answer."""
PROBE = b"HEAD / HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
REPORT_TIMEOUT_S = 5.0
PAUSE_S = 0.05
ALONE_LIMIT_S = 3.0
HEARSAY_S = 2.0
"""How long another entry's word of a suspect counts: longer than a report
takes to be committed and to show in every view."""
MAX_ISOLATED = 0.34
"""Part of an upstream name's instances that suspects may hold at a time."""
_REFUSED, _OPEN, _NO_ANSWER = "refused", "open", "no answer"


async def is_dead(entry: core.Entry, row: upstreams.Row) -> bool:
    """Tells whether an upstream's process is gone.

    A refused connection proves it, and so does a newer incarnation. Where
    nothing answers at all, only silence towards every entry does: this entry
    alone may be cut off.
    """
    broke_at = entry.now()
    probe = await _probe(row.announcement["address"])
    if probe == _REFUSED:
        return True
    if probe == _OPEN and not row.isolated:
        return _is_replaced(entry, row)  # by a newer incarnation
    if probe == _OPEN:
        return await _was_restarted(entry, row, broke_at)
    while entry.now() - row.announced_at < upstreams.SUSPECT_AFTER_S:
        if row.announced_at > broke_at:
            return False
        await asyncio.sleep(PAUSE_S)
    return row.announced_at <= broke_at


async def _was_restarted(
    entry: core.Entry, row: upstreams.Row, broke_at: float
) -> bool:
    """Waits for the next word of an upstream on which a suspect ran.

    A process that died and was started again at once answers a probe.
    """
    while entry.now() - broke_at < upstreams.GONE_AFTER_S:
        if _is_replaced(entry, row):
            return True
        if row.announced_at > broke_at:
            return False
        await asyncio.sleep(PAUSE_S)
    return True


async def _probe(address: str) -> str:
    """Asks an upstream's HTTP server for any answer at all.

    A process that is just ending still accepts connections for a moment, so
    that only an answer shows that it runs.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            while not await _answers(host, int(port)):
                await asyncio.sleep(PROBE_PAUSE_S)
    except ConnectionRefusedError:
        return _REFUSED
    except (TimeoutError, OSError):
        return _NO_ANSWER
    return _OPEN


async def _answers(host: str, port: int) -> bool:
    """Tells whether a new connection brings a byte before it ends."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(PROBE)
        return bool(await reader.read(1))
    except ConnectionResetError:
        return False
    finally:
        writer.close()


def _is_replaced(entry: core.Entry, row: upstreams.Row) -> bool:
    return entry.upstreams.rows.get(row.announcement["id"]) is not row


async def report_death(entry: core.Entry, row: upstreams.Row) -> str:
    """Reports an unannounced death once, for all that ran there.

    Returns:
        The fingerprint blamed for it, or an empty string.
    """
    report = entry.reported.get(row.key)
    if report is None:
        report = asyncio.ensure_future(_report(entry, row))
        entry.reported[row.key] = report
    return await asyncio.shield(report)


async def _report(entry: core.Entry, row: upstreams.Row) -> str:
    # Attempts that broke off before this report was made count as well: the
    # guilty one need not be the first whose connection was seen to end.
    running = set(row.unconfirmed_crashes)
    for request_id in row.active_attempts:
        other = entry.requests.get(request_id)
        if other is not None:
            running.add(other.fingerprint)
    entry.suspects |= running
    news.tell_others(
        entry, {"kind": news.SUSPECTS, "fingerprints": sorted(running)}
    )
    if entry.upstreams.rows.get(row.announcement["id"]) is row:
        entry.upstreams.remove(row.announcement["id"])
    events.warn(events.Event.UPSTREAM_GONE, row.announcement["id"], "died")
    outcome = await entry.control.submit(
        commands.ReportDeath(
            row.announcement["id"],
            row.announcement["incarnation"],
            sorted(running),
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


def on_suspects(entry: core.Entry, fingerprints: list[str]) -> None:
    """Takes suspects of a death that another entry reports just now.

    Until the report is committed and shows in the view, a resend that comes
    here would run beside others on a second upstream.
    """
    until = entry.now() + HEARSAY_S
    entry.heard_suspects |= dict.fromkeys(fingerprints, until)


def forget_hearsay(entry: core.Entry) -> None:
    """Forgets suspects whose word from another entry has run out."""
    now = entry.now()
    for fingerprint, until in list(entry.heard_suspects.items()):
        if until <= now:
            del entry.heard_suspects[fingerprint]


async def place_alone(
    entry: core.Entry,
    request: requests.ModelRequest,
    *,
    avoid: frozenset[str],
) -> upstreams.Row | answer.Problem | None:
    """Reserves an upstream for a suspect; None when time runs out."""
    while entry.now() < request.deadline:
        rows = _free_for_isolation(entry, request)
        rows.sort(key=lambda row: (row.key in avoid, row.load))
        if rows:
            row = rows[0]
            outcome = await _isolate(entry, row, request)
            if isinstance(outcome, outcomes.Convicted):
                return convicted_problem(request, outcome.until_ms)
            if isinstance(outcome, outcomes.Granted):
                if await _becomes_alone(entry, row, request):
                    placing.reserve(row, request)
                    return row
                await release(entry, request, cleared=False)
        await asyncio.sleep(PAUSE_S)
    return None


def _free_for_isolation(
    entry: core.Entry, request: requests.ModelRequest
) -> list[upstreams.Row]:
    """Returns upstreams that may be reserved, a part of all at most."""
    rows = placing.candidates(
        entry, request.upstream, request.route, request.request_id
    )
    named = entry.upstreams.rows_for(request.upstream)
    taken = sum(bool(row.isolated) for row in named)
    most = max(1, int(len(named) * MAX_ISOLATED))
    return rows if taken < most else []


async def _becomes_alone(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> bool:
    """Waits until no entry runs anything else on a reserved upstream.

    Only then does a second death there prove anything.
    """
    deadline = entry.now() + ALONE_LIMIT_S
    try:
        while entry.now() < deadline:
            found = await entry.control.read(
                "alone", row.announcement["id"], timeout_s=REPORT_TIMEOUT_S
            )
            if _is_replaced(entry, row):
                return False
            if row.health(entry.now()) is not upstreams.Health.USABLE:
                return False
            if isinstance(found, dict) and found["alone"]:
                return True
            await asyncio.sleep(PAUSE_S)
    except asyncio.CancelledError:
        release_later(entry, request)
        raise
    return False


def occupied(entry: core.Entry) -> list[str]:
    """Returns the upstreams on which this entry runs anything.

    An attempt that broke off counts until it is known whether its upstream
    died: its part in a death is still to be told.
    """
    return [
        identity
        for identity, row in entry.upstreams.rows.items()
        if row.active_attempts or row.unconfirmed_crashes
    ]


def follow_isolations(entry: core.Entry) -> None:
    """Clears reserved upstreams of this entry's other requests."""
    isolations = entry.view.get("quarantine", {}).get("isolations", {})
    for identity, row in entry.upstreams.rows.items():
        row.isolated = isolations.get(identity, "")
        if not row.isolated:
            continue
        for request_id in row.active_attempts:
            request = entry.requests.get(request_id)
            if request and request.fingerprint != row.isolated:
                request.move.set()


async def _isolate(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> object:
    request.isolation = row.announcement["id"]
    outcome = await entry.control.submit(
        commands.Isolate(
            request.fingerprint,
            row.announcement["id"],
            row.announcement["incarnation"],
            entry.name,
        ),
        timeout_s=REPORT_TIMEOUT_S,
    )
    if isinstance(outcome, outcomes.Granted):
        row.isolated = request.fingerprint
    elif isinstance(outcome, control_client.Unreachable):
        await release(entry, request, cleared=False)
    else:
        request.isolation = ""
    if isinstance(outcome, outcomes.Stale) and not _is_replaced(entry, row):
        entry.upstreams.remove(row.announcement["id"])  # its death is known
    return outcome


async def release(
    entry: core.Entry, request: requests.ModelRequest, *, cleared: bool
) -> None:
    """Ends the isolation of a request, if it has one.

    After a death the report has ended it already; saying so again is no
    harm, while one that stays would keep the upstream from everybody.
    """
    identity, request.isolation = request.isolation, ""
    if not identity:
        return
    row = entry.upstreams.rows.get(identity)
    if row is not None and row.isolated == request.fingerprint:
        row.isolated = ""
    if cleared:
        entry.suspects.discard(request.fingerprint)
    await entry.control.submit(
        commands.Release(request.fingerprint, identity, cleared),
        timeout_s=REPORT_TIMEOUT_S,
    )


def release_later(entry: core.Entry, request: requests.ModelRequest) -> None:
    """Ends the isolation of a request that was cancelled."""
    task = asyncio.ensure_future(release(entry, request, cleared=False))
    entry.hold(task)


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
