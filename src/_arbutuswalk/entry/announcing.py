"""Upstreams announce themselves at any entry; entries tell each other."""

import asyncio
import json
from typing import Any

from starlette import requests as http_requests
from starlette import responses

from _arbutuswalk.base import events
from _arbutuswalk.base import settings
from _arbutuswalk.entry import core
from _arbutuswalk.entry import http
from _arbutuswalk.entry import news
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.entry import suspicion
from _arbutuswalk.entry import transfers
from _arbutuswalk.routing import announcements
from _arbutuswalk.routing import upstreams
from _arbutuswalk.wire.gen.arbutus import ttypes

MAX_CACHE_BLOCKS = 4096
RESTART_S = 3.0
"""How long after its connections broke a restarted upstream announces."""


def announce_route(entry: core.Entry):
    """Returns the endpoint for announcements and heartbeats."""

    async def announce(
        request: http_requests.Request,
    ) -> responses.Response:
        raw = await _read_json(request)
        said = announcements.check(raw)
        if isinstance(said, announcements.BadAnnouncement):
            return _refuse("bad announcement", "; ".join(said.problems), 400)
        refused = take(entry, said, age_s=0.0)
        if refused is not None:
            events.warn(
                events.Event.ANNOUNCE_REFUSED, said["id"], refused.reason
            )
            detail = f"{said['id']} is {refused.reason}"
            return _refuse("announcement refused", detail, 409)
        news.tell_others(
            entry, {"kind": news.ANNOUNCEMENT, "said": said, "age_s": 0.0}
        )
        peers = [row["address"] for row in entry.peers.values()]
        return responses.JSONResponse({"entries": peers})

    return announce


def cache_route(entry: core.Entry):
    """Returns the endpoint for cache events."""

    async def cache_events(
        request: http_requests.Request,
    ) -> responses.Response:
        raw = await _read_json(request)
        if not _is_cache_event(raw):
            detail = "give id, incarnation, sequence, stored and removed"
            return _refuse("bad cache event", detail, 400)
        _take_cache_event(entry, raw)
        news.tell_others(entry, {"kind": news.CACHE_EVENT, "event": raw})
        return responses.JSONResponse({})

    return cache_events


def take(
    entry: core.Entry, said: announcements.Announcement, *, age_s: float
) -> upstreams.Refused | None:
    """Takes an announcement that was made ``age_s`` seconds ago."""
    heard_at = entry.now() - age_s
    outcome = upstreams.announce(entry.upstreams, said, heard_at=heard_at)
    if isinstance(outcome, upstreams.Refused):
        return outcome
    if isinstance(outcome, upstreams.Joined):
        events.log(
            events.Event.UPSTREAM_JOINED, said["id"], said["incarnation"]
        )
        _mark_known_leaving(entry)
        suspicion.follow_isolations(entry)
        _look_back(entry, outcome.replaced)
    elif outcome.now_leaving:
        transfers.on_leaving(entry, outcome.row)
    placing.pump(entry, said["upstream"])
    return None


def on_news(entry: core.Entry, message: ttypes.UpstreamNews) -> None:
    """Takes what another entry was told."""
    for item in message.announcements:
        told = json.loads(item)
        if told["kind"] == news.ANNOUNCEMENT:
            take(entry, told["said"], age_s=told["age_s"])
        elif told["kind"] == news.CACHE_EVENT:
            _take_cache_event(entry, told["event"])
        elif told["kind"] == news.SUSPECTS:
            suspicion.on_suspects(entry, told["fingerprints"])


def _look_back(entry: core.Entry, replaced: upstreams.Row | None) -> None:
    """Reports the death of an incarnation that came back before it was seen.

    Its connections broke off, but a probe met the one that replaced it.
    """
    if replaced is None:
        return
    oldest = entry.now() - RESTART_S
    replaced.broken |= {
        fingerprint
        for fingerprint, at in replaced.spared.items()
        if at > oldest
    }
    if not (replaced.broken or replaced.active):
        return
    if replaced.health(replaced.heard_at) is not upstreams.Health.LEAVING:
        report = suspicion.report_death(entry, replaced)
        entry.hold(asyncio.ensure_future(report))


def _mark_known_leaving(entry: core.Entry) -> None:
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


def _is_cache_event(raw: Any) -> bool:
    if not isinstance(raw, dict) or not settings.is_non_empty_string(
        raw.get("id")
    ):
        return False
    naturals = all(
        settings.is_non_negative_int(raw.get(key))
        for key in ("incarnation", "sequence")
    )
    lists = all(
        isinstance(raw.get(key), list)
        and len(raw[key]) <= MAX_CACHE_BLOCKS
        and all(isinstance(block, str) for block in raw[key])
        for key in ("stored", "removed")
    )
    return naturals and lists


def _take_cache_event(entry: core.Entry, event: dict[str, Any]) -> None:
    row = entry.upstreams.rows.get(event["id"])
    if row is None or row.said["incarnation"] != event["incarnation"]:
        return
    row.index.apply_event(event["sequence"], event["stored"], event["removed"])


def _refuse(title: str, detail: str, status: int) -> responses.Response:
    return http.problem_response(requests.bad(title, detail, status))
