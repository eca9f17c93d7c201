"""Keeps an entry registered, its lease renewed and its view current."""

import asyncio
import json
from typing import Any

from _arbutuswalk.base import background
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import migration
from _arbutuswalk.entry import placement
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire.gen.arbutus import ttypes

SYNC_TIMEOUT_S = 2 * control_client.ATTEMPT_TIMEOUT_S
"""Time for a frozen leader and for a whole attempt at its successor."""
REGISTER_TIMEOUT_S = 2.0
REGISTER_RETRY_INTERVAL_S = 0.1


async def run(entry: entry_state.Entry) -> None:
    """Keeps the entry registered and its lease renewed until cancelled.

    After an unexpected error, as from a reply that cannot be read, the whole
    view is asked for again. The lease is not renewed until it is applied.
    """
    while True:
        try:
            await (_sync(entry) if entry.registered else _register(entry))
        except Exception as error:  # noqa: BLE001
            background.log_error("sync", error)
            entry.view_version = 0
            await asyncio.sleep(REGISTER_RETRY_INTERVAL_S)
        if not entry.registered:
            await asyncio.sleep(REGISTER_RETRY_INTERVAL_S)


async def _register(entry: entry_state.Entry) -> None:
    settings = entry.settings
    outcome = await entry.control.submit(
        commands.RegisterEntry(
            entry=entry.name,
            incarnation=entry.incarnation,
            address=settings["address"],
            link_address=settings["link_address"],
            domain=settings["domain"],
            weight=settings["weight"],
            region=settings["region"],
        ),
        timeout_s=REGISTER_TIMEOUT_S,
    )
    if isinstance(outcome, outcomes.Accepted):
        entry.registered = True
        events.log(events.Event.ENTRY_REGISTERED, entry.name, entry.incarnation)
    elif isinstance(outcome, outcomes.Stale):
        wall_ms = int(entry.wall() * clock.MS_PER_S)
        entry.incarnation = max(entry.incarnation + 1, wall_ms)


async def _sync(entry: entry_state.Entry) -> None:
    """Renews the lease, which starts when the answered message is sent."""
    asked_at = entry.now()

    def record_attempt() -> None:
        nonlocal asked_at
        asked_at = entry.now()

    message = ttypes.Sync(
        entry=entry.name,
        incarnation=entry.incarnation,
        view_version=entry.view_version,
        revision=entry.revision,
        report=json.dumps(make_report(entry)).encode(),
    )
    reply = await entry.control.call(
        message, timeout_s=SYNC_TIMEOUT_S, before_attempt=record_attempt
    )
    if isinstance(reply, control_client.Unreachable):
        return
    if reply.status == ttypes.Status.INVALID:
        entry.registered = False
        return
    if reply.view_version < entry.view_version:
        return  # an older view is not applied and renews no lease
    _apply_view(entry, json.loads(reply.view), reply.view_version)
    had_lease = entry.now() < entry.lease_expires_at
    entry.lease_expires_at = asked_at + reply.lease_ms / clock.MS_PER_S
    if not had_lease:
        events.log(events.Event.LEASE_GAINED, entry.revision)


def _apply_view(
    entry: entry_state.Entry, parts: dict[str, Any], version: int
) -> None:
    evacuated_before = entry.evacuated_domains
    if "configuration" in parts:
        # A leader of a former build does not name evacuated domains.
        parts["configuration"].setdefault("evacuated", evacuated_before)
    entry.view.update(parts)
    _record_evacuations(entry, evacuated_before, version)
    entry.view_version = version
    if "entries" in parts:
        entry.control.relay_addresses = [
            row["link_address"] for row in entry.peers.values()
        ]
    if "quarantine" in parts:
        crash_quarantine.apply_isolations(entry)
    if "moves" in parts:
        _drop_ended_cut_offs(entry)
    if "leaving" in parts:
        marked = upstreams.mark_leaving(
            entry.upstreams, parts["leaving"], entry.now()
        )
        for row in marked:
            migration.start_moving(entry, row)
    if parts:
        for name in list(entry.queues):
            placement.place_queued(entry, name)


def _record_evacuations(
    entry: entry_state.Entry, before: list[str], version: int
) -> None:
    for domain in sorted(set(before) ^ set(entry.evacuated_domains)):
        is_evacuated = domain in entry.evacuated_domains
        state = evacuations.EVACUATED if is_evacuated else evacuations.OPEN
        events.log(
            events.Event.EVACUATION_IN_FORCE, domain, state, version, "view"
        )


def _drop_ended_cut_offs(entry: entry_state.Entry) -> None:
    """Drops local cut-offs of versions that no live move introduces."""
    live_versions = {
        (move["upstream"], move["new"])
        for move in entry.moves.get("live", {}).values()
    }
    entry.version_outcomes.cut_off = {
        outcome_key
        for outcome_key in entry.version_outcomes.cut_off
        if (outcome_key.upstream, outcome_key.version) in live_versions
    }


def make_report(entry: entry_state.Entry) -> dict[str, Any]:
    """Returns the observations that the control group decides on."""
    now = entry.now()
    upstream_rows = {
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
        "upstreams": upstream_rows,
        "evidence": entry.version_outcomes.report(),
        "cut": [
            "|".join(outcome_key)
            for outcome_key in entry.version_outcomes.cut_off
        ],
        "active": crash_quarantine.occupied_upstreams(entry),
        "usage": entry.slot_usage_ms,
        "waiting": {name: len(q) for name, q in entry.queues.items() if q},
    }
