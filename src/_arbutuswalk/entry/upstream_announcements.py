"""Announcements and cache events of upstreams.

An upstream posts to any entry, which forwards what it receives to its peers.
"""

import asyncio
import json
from typing import Any

from starlette import requests as http_requests
from starlette import responses

from _arbutuswalk.base import events
from _arbutuswalk.base import settings
from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import http
from _arbutuswalk.entry import migration
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import peer_updates
from _arbutuswalk.entry import placement
from _arbutuswalk.routing import announcements
from _arbutuswalk.routing import upstreams
from _arbutuswalk.wire.gen.arbutus import ttypes

MAX_CACHE_EVENT_BLOCKS = 4096
RESTART_WINDOW_S = 3.0
"""Longest time from broken connections to the announcement of a restarted
upstream."""


def announce_endpoint(entry: entry_state.Entry):
    """Returns the endpoint that receives announcements and heartbeats."""

    async def announce(
        request: http_requests.Request,
    ) -> responses.Response:
        document = await _read_json(request)
        announcement = announcements.check(document)
        if isinstance(announcement, announcements.BadAnnouncement):
            return _problem_response(
                "bad announcement", "; ".join(announcement.problems), 400
            )
        refused = apply_announcement(entry, announcement, age_s=0.0)
        if refused is not None:
            events.warn(
                events.Event.ANNOUNCE_REFUSED,
                announcement["id"],
                refused.reason,
            )
            detail = f"{announcement['id']} is {refused.reason}"
            return _problem_response("announcement refused", detail, 409)
        peer_updates.send_to_peers(
            entry,
            {
                "kind": peer_updates.ANNOUNCEMENT,
                "said": announcement,
                "age_s": 0.0,
            },
        )
        addresses = [row["address"] for row in entry.peers.values()]
        return responses.JSONResponse({"entries": addresses})

    return announce


def cache_events_endpoint(entry: entry_state.Entry):
    """Returns the endpoint that receives cache events."""

    async def cache_events(
        request: http_requests.Request,
    ) -> responses.Response:
        event = await _read_json(request)
        if not _is_cache_event(event):
            detail = "give id, incarnation, sequence, stored and removed"
            return _problem_response("bad cache event", detail, 400)
        _apply_cache_event(entry, event)
        peer_updates.send_to_peers(
            entry, {"kind": peer_updates.CACHE_EVENT, "event": event}
        )
        return responses.JSONResponse({})

    return cache_events


def apply_announcement(
    entry: entry_state.Entry,
    announcement: announcements.Announcement,
    *,
    age_s: float,
) -> upstreams.Refused | None:
    """Applies an announcement that was made ``age_s`` seconds ago."""
    announced_at = entry.now() - age_s
    outcome = upstreams.announce(
        entry.upstreams,
        announcement,
        announced_at=announced_at,
        configured_names=_configured_names(entry),
    )
    if isinstance(outcome, upstreams.Refused):
        return outcome
    if isinstance(outcome, upstreams.Joined):
        events.log(
            events.Event.UPSTREAM_JOINED,
            announcement["id"],
            announcement["incarnation"],
        )
        _apply_leaving_from_view(entry)
        crash_quarantine.apply_isolations(entry)
        _report_replaced_death(entry, outcome.replaced)
    elif outcome.now_leaving:
        migration.start_moving(entry, outcome.row)
    placement.place_queued(entry, announcement["upstream"])
    return None


def _configured_names(entry: entry_state.Entry) -> frozenset[str] | None:
    if entry.inventory is None:
        return None
    return frozenset(item["name"] for item in entry.inventory["upstreams"])


def on_peer_updates(
    entry: entry_state.Entry, message: ttypes.UpstreamNews
) -> None:
    """Applies updates that a peer entry received and forwarded."""
    for encoded in message.announcements:
        update = json.loads(encoded)
        if update["kind"] == peer_updates.ANNOUNCEMENT:
            apply_announcement(entry, update["said"], age_s=update["age_s"])
        elif update["kind"] == peer_updates.CACHE_EVENT:
            _apply_cache_event(entry, update["event"])
        elif update["kind"] == peer_updates.SUSPECTS:
            crash_quarantine.add_peer_suspects(entry, update["fingerprints"])
        elif update["kind"] == peer_updates.LOST_ATTEMPT:
            crash_quarantine.hold_resends(entry, update["fingerprints"])
        elif update["kind"] == peer_updates.SURVIVED:
            crash_quarantine.release_resends(entry, update["fingerprints"])


def _report_replaced_death(
    entry: entry_state.Entry, replaced: upstreams.Row | None
) -> None:
    """Reports the death of an upstream that restarted before it was probed.

    Its connections broke, but the probe that followed was answered by the
    incarnation that replaced it, so the upstream was recorded as having
    survived its attempts.
    """
    if replaced is None:
        return
    earliest = entry.now() - RESTART_WINDOW_S
    replaced.unconfirmed_crashes |= {
        fingerprint
        for fingerprint, survived_at in replaced.survived_at.items()
        if survived_at > earliest
    }
    if not (replaced.unconfirmed_crashes or replaced.active_attempts):
        return
    if replaced.health(replaced.announced_at) is not upstreams.Health.LEAVING:
        report = crash_quarantine.report_death(entry, replaced)
        entry.track_task(asyncio.ensure_future(report))


def _apply_leaving_from_view(entry: entry_state.Entry) -> None:
    leaving = entry.view.get("leaving", {})
    upstreams.mark_leaving(entry.upstreams, leaving, entry.now())


async def _read_json(request: http_requests.Request) -> Any:
    raw = await http.read_body(request.receive)
    if not isinstance(raw, bytes):
        return None
    try:
        return json.loads(raw)
    except (ValueError, RecursionError):
        return None


def _is_cache_event(event: Any) -> bool:
    if not isinstance(event, dict) or not settings.is_non_empty_string(
        event.get("id")
    ):
        return False
    numbers_valid = all(
        settings.is_non_negative_int(event.get(key))
        for key in ("incarnation", "sequence")
    )
    lists_valid = all(
        isinstance(event.get(key), list)
        and len(event[key]) <= MAX_CACHE_EVENT_BLOCKS
        and all(isinstance(block, str) for block in event[key])
        for key in ("stored", "removed")
    )
    return numbers_valid and lists_valid


def _apply_cache_event(entry: entry_state.Entry, event: dict[str, Any]) -> None:
    row = entry.upstreams.rows.get(event["id"])
    if row is None or row.announcement["incarnation"] != event["incarnation"]:
        return
    row.prefix_index.apply_event(
        event["sequence"], event["stored"], event["removed"]
    )


def _problem_response(
    title: str, detail: str, status: int
) -> responses.Response:
    return http.problem_response(model_requests.refusal(title, detail, status))
