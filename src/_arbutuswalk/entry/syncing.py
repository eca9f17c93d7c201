"""Registration, lease and view: what ties an entry to the control group."""

import asyncio
import json
from typing import Any

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import core
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import suspicion
from _arbutuswalk.entry import transfers
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire.gen.arbutus import ttypes

SYNC_TIMEOUT_S = 2.0
REGISTER_TIMEOUT_S = 2.0
PAUSE_S = 0.1


async def run(entry: core.Entry) -> None:
    """Keeps the entry registered and its lease fresh until cancelled."""
    while True:
        if not entry.registered:
            await _register(entry)
        else:
            await _sync(entry)
        if not entry.registered:
            await asyncio.sleep(PAUSE_S)


async def _register(entry: core.Entry) -> None:
    values = entry.values
    outcome = await entry.control.submit(
        commands.RegisterEntry(
            entry=entry.name,
            incarnation=entry.incarnation,
            address=values["address"],
            link_address=values["link_address"],
            domain=values["domain"],
            weight=values["weight"],
            region=values["region"],
        ),
        timeout_s=REGISTER_TIMEOUT_S,
    )
    if isinstance(outcome, outcomes.Accepted):
        entry.registered = True
        events.log(events.Event.ENTRY_REGISTERED, entry.name, entry.incarnation)
    elif isinstance(outcome, outcomes.Stale):
        wall_ms = int(entry.wall() * clock.MS_PER_S)
        entry.incarnation = max(entry.incarnation + 1, wall_ms)


async def _sync(entry: core.Entry) -> None:
    """Asks for a stamp; the lease runs from before the asking."""
    asked_at = entry.now()
    message = ttypes.Sync(
        entry=entry.name,
        incarnation=entry.incarnation,
        view_version=entry.view_version,
        revision=entry.revision,
        report=json.dumps(report(entry)).encode(),
    )
    reply = await entry.control.call(message, timeout_s=SYNC_TIMEOUT_S)
    if isinstance(reply, control_client.Unreachable):
        return
    if reply.status == ttypes.Status.INVALID:
        entry.registered = False
        return
    if reply.view_version < entry.view_version:
        return  # never go back, and take no lease from who would
    _take_view(entry, json.loads(reply.view), reply.view_version)
    had_lease = entry.now() < entry.lease_until
    entry.lease_until = asked_at + reply.lease_ms / clock.MS_PER_S
    if not had_lease:
        events.log(events.Event.LEASE_GAINED, entry.revision)


def _take_view(entry: core.Entry, parts: dict[str, Any], version: int) -> None:
    entry.view.update(parts)
    entry.view_version = version
    if "entries" in parts:
        entry.control.relays = [
            row["link_address"] for row in entry.peers.values()
        ]
    if "quarantine" in parts:
        suspicion.follow_isolations(entry)
    if "moves" in parts:
        _forget_cuts(entry)
    if "leaving" in parts:
        marked = upstreams.mark_leaving(
            entry.upstreams, parts["leaving"], entry.now()
        )
        for row in marked:
            transfers.on_leaving(entry, row)
    if parts:
        for name in list(entry.queues):
            placing.pump(entry, name)


def _forget_cuts(entry: core.Entry) -> None:
    """Ends local cut-offs of versions that no live move brings in."""
    live = {
        (move["upstream"], move["new"])
        for move in entry.moves.get("live", {}).values()
    }
    entry.evidence.cut_off = {
        side
        for side in entry.evidence.cut_off
        if (side.upstream, side.version) in live
    }


def report(entry: core.Entry) -> dict[str, Any]:
    """Returns what the control group's decisions need from this entry."""
    now = entry.now()
    known = {
        row.announcement["id"]: [
            row.name,
            row.announcement["version"],
            row.announcement["instance"],
            row.announcement["domain"],
            row.announcement["instance_class"],
            row.announcement["slots"],
            row.load,
            row.health(now) is upstreams.Health.USABLE,
        ]
        for row in entry.upstreams.rows.values()
    }
    return {
        "upstreams": known,
        "evidence": entry.evidence.report(),
        "cut": ["|".join(side) for side in entry.evidence.cut_off],
        "active": suspicion.occupied(entry),
        "usage": entry.usage,
        "waiting": {name: len(q) for name, q in entry.queues.items() if q},
    }
