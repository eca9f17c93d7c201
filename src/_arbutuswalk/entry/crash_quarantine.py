"""Detects upstream deaths and isolates requests suspected of causing them."""

import asyncio
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import peer_inquiries
from _arbutuswalk.entry import peer_updates
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.streams import answer

PROBE_TIMEOUT_S = 0.5
PROBE_INTERVAL_S = 0.01
"""Interval between probes of an upstream that accepts but does not answer."""
PROBE_REQUEST = b"HEAD / HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
CONTROL_TIMEOUT_S = 5.0
MAX_REPORT_TIME_S = 60.0
POLL_INTERVAL_S = 0.05
PEER_SUSPECT_TTL_S = 2.0
"""How long a suspect reported by another entry counts. This is longer than a
report takes to be committed and to reach every view."""
UNCONFIRMED_TTL_S = upstreams.SUSPECT_AFTER_S + 0.2
"""How long a resend waits until it is known whether the upstream on which the
request broke has died: the longest time of ``is_dead`` for an upstream that is
not reserved, and time for the messages."""
_REFUSED, _ANSWERED, _NO_ANSWER = "refused", "open", "no answer"


async def is_dead(entry: entry_state.Entry, row: upstreams.Row) -> bool:
    """Returns whether an upstream's process is gone.

    A refused connection or a newer incarnation proves it. If the probe gets
    no answer at all, the upstream counts as dead only once its announcements
    stop at every entry, since this entry alone may be partitioned.
    """
    broke_at = entry.now()
    probe = await _probe(row.announcement["address"])
    if probe == _REFUSED:
        return True
    if probe == _ANSWERED and not row.isolated:
        return is_replaced(entry, row)  # has a newer incarnation
    if probe == _ANSWERED:
        return await _was_restarted(entry, row, broke_at)
    while row.silence_s(entry.now()) < upstreams.SUSPECT_AFTER_S:
        if row.announced_at > broke_at:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return row.announced_at <= broke_at


async def _was_restarted(
    entry: entry_state.Entry, row: upstreams.Row, broke_at: float
) -> bool:
    """Waits for the next announcement of an upstream that ran a suspect.

    A process that died and was restarted immediately answers a probe.
    """
    stalled_before_s = row.stalled_s
    while (
        entry.now() - broke_at - (row.stalled_s - stalled_before_s)
        < upstreams.GONE_AFTER_S
    ):
        if is_replaced(entry, row):
            return True
        if row.announced_at > broke_at:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return is_replaced(entry, row) or row.announced_at <= broke_at


async def _probe(address: str) -> str:
    """Probes an upstream's HTTP server for any answer.

    A process that is exiting still accepts connections for a moment, so only
    an answer proves that it runs.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            while not await _sends_any_byte(host, int(port)):
                await asyncio.sleep(PROBE_INTERVAL_S)
    except ConnectionRefusedError:
        return _REFUSED
    except (TimeoutError, OSError):
        return _NO_ANSWER
    return _ANSWERED


async def _sends_any_byte(host: str, port: int) -> bool:
    """Returns whether a new connection yields a byte before it closes."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(PROBE_REQUEST)
        return bool(await reader.read(1))
    except ConnectionResetError:
        return False
    finally:
        writer.close()


def is_replaced(entry: entry_state.Entry, row: upstreams.Row) -> bool:
    """Returns whether a row is no longer the newest of its upstream."""
    return entry.upstreams.rows.get(row.announcement["id"]) is not row


class DeathReport(NamedTuple):
    """A death that this entry reports.

    Attributes:
        fingerprints: Requests that this entry ran there.
        task: Submits the report; returns the fingerprint blamed.
    """

    fingerprints: set[str]
    task: asyncio.Future


async def report_death(entry: entry_state.Entry, row: upstreams.Row) -> str:
    """Reports an unannounced death once, with all requests that ran there.

    Returns:
        The fingerprint blamed for it, or an empty string.
    """
    report = entry.death_reports.get(row.key)
    if report is None:
        fingerprints = peer_inquiries.running_on(entry, row)
        report = DeathReport(
            fingerprints,
            asyncio.ensure_future(
                _submit_death_report(entry, row, fingerprints)
            ),
        )
        entry.death_reports[row.key] = report
        start_inquiry(entry, row)
    return await asyncio.shield(report.task)


async def _submit_death_report(
    entry: entry_state.Entry, row: upstreams.Row, fingerprints: set[str]
) -> str:
    entry.local_suspects |= fingerprints
    if entry.upstreams.rows.get(row.announcement["id"]) is row:
        entry.upstreams.remove(row.announcement["id"])
    events.warn(events.Event.UPSTREAM_GONE, row.announcement["id"], "died")
    outcome = await _submit_until_answered(
        entry,
        commands.ReportDeath(
            row.announcement["id"],
            row.announcement["incarnation"],
            sorted(fingerprints),
            entry.name,
        ),
    )
    if isinstance(outcome, outcomes.Convicted):
        record_conviction(entry, outcome)
        entry.local_suspects -= fingerprints
        events.warn(
            events.Event.SUSPECT_CONVICTED,
            outcome.fingerprint,
            outcome.until_ms,
        )
        return outcome.fingerprint
    return ""


async def _submit_until_answered(
    entry: entry_state.Entry, report: commands.ReportDeath
) -> object:
    """Submits a death report until control answers, or for a limited time.

    A repeated report changes nothing. Until it is committed, the peers have
    its suspects from this entry only.
    """
    update = {
        "kind": peer_updates.SUSPECTS,
        "fingerprints": report.fingerprints,
    }
    peer_updates.send_to_peers(entry, update)
    news = asyncio.ensure_future(_repeat_update(entry, update))
    ends_at = entry.now() + MAX_REPORT_TIME_S
    try:
        while True:
            outcome = await entry.control.submit(
                report, timeout_s=CONTROL_TIMEOUT_S
            )
            if not isinstance(outcome, control_client.Unreachable):
                return outcome
            events.warn(
                events.Event.DEATH_UNREPORTED, report.upstream, outcome.reason
            )
            if entry.now() > ends_at:
                return outcome
            await asyncio.sleep(POLL_INTERVAL_S)
    finally:
        news.cancel()


async def _repeat_update(
    entry: entry_state.Entry, update: dict[str, Any]
) -> None:
    while True:
        await asyncio.sleep(PEER_SUSPECT_TTL_S / 2)
        peer_updates.send_to_peers(entry, update)


def record_conviction(
    entry: entry_state.Entry, conviction: outcomes.Convicted
) -> None:
    """Refuses a convicted request from now on, ahead of the view."""
    now_ms = entry.wall() * clock.MS_PER_S
    for fingerprint, until_ms in list(entry.own_convictions.items()):
        if until_ms <= now_ms:
            del entry.own_convictions[fingerprint]
    entry.own_convictions[conviction.fingerprint] = conviction.until_ms


def announce_lost_attempt(
    entry: entry_state.Entry, row: upstreams.Row, fingerprint: str
) -> None:
    """Holds resends of a request whose upstream may have died, at all entries.

    Until the upstream was probed, a resend would be placed beside other
    requests on the next one.
    """
    if row.health(entry.now()) is upstreams.Health.LEAVING:
        return
    hold_resends(entry, [fingerprint])
    peer_updates.send_to_peers(
        entry,
        {"kind": peer_updates.LOST_ATTEMPT, "fingerprints": [fingerprint]},
    )


def announce_survival(entry: entry_state.Entry, fingerprint: str) -> None:
    """Releases the resends of a request whose upstream has not died."""
    release_resends(entry, [fingerprint])
    peer_updates.send_to_peers(
        entry, {"kind": peer_updates.SURVIVED, "fingerprints": [fingerprint]}
    )


def hold_resends(entry: entry_state.Entry, fingerprints: list[str]) -> None:
    """Holds resends of requests until a probe has ended."""
    expires_at = entry.now() + UNCONFIRMED_TTL_S
    entry.unconfirmed_until |= dict.fromkeys(fingerprints, expires_at)


def release_resends(entry: entry_state.Entry, fingerprints: list[str]) -> None:
    """Releases resends after a probe that was answered."""
    for fingerprint in fingerprints:
        entry.unconfirmed_until.pop(fingerprint, None)


def start_inquiry(entry: entry_state.Entry, row: upstreams.Row) -> None:
    """Asks the other entries what they ran on an upstream that is gone."""
    if row.key in entry.inquiries:
        return

    async def ask() -> None:
        try:
            found = await peer_inquiries.ask(entry, row.key)
        finally:
            del entry.inquiries[row.key]
        hold_resends(entry, sorted(found.running))
        add_peer_suspects(entry, sorted(found.suspects))

    task = asyncio.ensure_future(ask())
    entry.track_task(task)
    entry.inquiries[row.key] = peer_inquiries.Inquiry(row.name, task)


async def hold_requests_on(
    entry: entry_state.Entry, row: upstreams.Row
) -> None:
    """Holds resends of all requests that run on an upstream that is gone.

    Nothing else of its name is placed until the other entries have answered.
    """
    start_inquiry(entry, row)
    await asyncio.shield(entry.inquiries[row.key].task)


async def wait_while_unconfirmed(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Waits while the request may have crashed an upstream moments ago."""
    while entry.now() < request.deadline and _is_held(entry, request):
        await asyncio.sleep(PROBE_INTERVAL_S)
        _suspect_unsettled(entry)


def _is_held(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> bool:
    fingerprint = request.fingerprint
    if entry.is_suspect(fingerprint) or entry.convicted_until_ms(fingerprint):
        return False
    return entry.now() < entry.unconfirmed_until.get(
        fingerprint, 0.0
    ) or peer_inquiries.is_open(entry, request.upstream)


def may_share(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> bool:
    """Returns whether a request may run beside others at this moment."""
    fingerprint = request.fingerprint
    return not (
        _is_held(entry, request)
        or entry.is_suspect(fingerprint)
        or entry.convicted_until_ms(fingerprint)
    )


def add_peer_suspects(
    entry: entry_state.Entry, fingerprints: list[str]
) -> None:
    """Records suspects of a death that another entry is reporting.

    Until the report is committed and shows in the view, a resend that arrives
    here would otherwise share a second upstream with other requests.
    """
    expires_at = entry.now() + PEER_SUSPECT_TTL_S
    entry.peer_suspects |= dict.fromkeys(fingerprints, expires_at)


def expire_peer_suspects(entry: entry_state.Entry) -> None:
    """Drops expired suspects of other entries' reports and held resends."""
    now = entry.now()
    for fingerprint, expires_at in list(entry.peer_suspects.items()):
        if expires_at <= now:
            del entry.peer_suspects[fingerprint]
    _suspect_unsettled(entry)


def _suspect_unsettled(entry: entry_state.Entry) -> None:
    """Makes suspects of held requests of which no news came in time."""
    now = entry.now()
    for fingerprint, expires_at in list(entry.unconfirmed_until.items()):
        if expires_at <= now:
            del entry.unconfirmed_until[fingerprint]
            add_peer_suspects(entry, [fingerprint])


def occupied_upstreams(entry: entry_state.Entry) -> list[str]:
    """Returns ids of upstreams that run a request of this entry.

    A broken attempt counts until it is known whether its upstream died, since
    a death report may still have to name it.
    """
    return [
        upstream_id
        for upstream_id, row in entry.upstreams.rows.items()
        if row.active_attempts or row.unconfirmed_crashes
    ]


def apply_isolations(entry: entry_state.Entry) -> None:
    """Applies isolations and moves other requests off reserved upstreams."""
    isolations = entry.view.get("quarantine", {}).get("isolations", {})
    for upstream_id, row in entry.upstreams.rows.items():
        row.isolated = isolations.get(upstream_id, "")
        if not row.isolated:
            continue
        for request_id in row.active_attempts:
            request = entry.requests.get(request_id)
            if request and request.fingerprint != row.isolated:
                request.move_requested.set()


def convicted_problem(
    request: model_requests.ModelRequest, until_ms: int
) -> answer.Problem:
    """Returns the refusal of a request convicted of crashing upstreams."""
    return answer.Problem(
        422,
        "request quarantined",
        "upstreams died while running this request; change it before sending"
        f" it again, or wait until {until_ms} ms of wall time",
        "yes" if request.possibly_sent else "no",
    )


def seconds_until(entry: entry_state.Entry, until_ms: int) -> int:
    """Returns the whole seconds until a conviction ends, at least one."""
    left_ms = until_ms - entry.wall() * clock.MS_PER_S
    return max(1, int(left_ms / clock.MS_PER_S) + 1)
