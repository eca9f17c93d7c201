"""Moving work off an upstream that is leaving, cache first."""

import asyncio

import aiohttp

from _arbutuswalk.base import events
from _arbutuswalk.entry import core
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams

CONCURRENT_MOVES = 4
EXPORT_TIMEOUT_S = 1.0
MARGIN_S = 0.3


def on_leaving(entry: core.Entry, row: upstreams.Row) -> None:
    """Starts moving the work that runs on a leaving upstream."""
    events.log(events.Event.UPSTREAM_LEAVING, row.announcement["id"])
    entry.hold(asyncio.ensure_future(_move_all(entry, row)))


async def _move_all(entry: core.Entry, row: upstreams.Row) -> None:
    """Moves requests, those with most left to do first.

    A request that will surely end before the upstream goes stays.
    """
    running = [
        entry.requests[request_id]
        for request_id in row.active_attempts
        if request_id in entry.requests
    ]
    running.sort(key=lambda request: -request.remaining_tokens)
    for start in range(0, len(running), CONCURRENT_MOVES):
        for request in running[start : start + CONCURRENT_MOVES]:
            if not _will_end(entry, row, request):
                request.move.set()
        await asyncio.sleep(0)


def _will_end(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> bool:
    left_s = row.leaves_at - entry.now() - MARGIN_S
    needed_s = request.remaining_tokens / entry.speed_of(row.name)
    return needed_s < left_s


async def export_cache(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> None:
    """Copies a request's cache to where it will likely go on.

    Failing is no harm: the cache is then computed again.
    """
    left_s = row.leaves_at - entry.now()
    if left_s < MARGIN_S:
        return
    rows = placing.candidates(
        entry, request.upstream, request.route, request.request_id
    )
    target = choose.choose(rows, request.features)
    if target is None:
        return
    timeout_s = min(EXPORT_TIMEOUT_S, left_s)
    try:
        async with asyncio.timeout(timeout_s):
            data = await _export(entry, row, request)
            if data and await _import(entry, target, data):
                target.prefix_index.record(request.features.blocks)
                entry.metrics.count("caches_moved")
    except (TimeoutError, aiohttp.ClientError, OSError):
        entry.metrics.count("caches_not_moved")


async def _export(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> bytes:
    url = f"http://{row.announcement['address']}/v1/cache/{request.request_id}"
    async with entry.session.get(url) as response:
        return await response.read() if response.status == 200 else b""


async def _import(entry: core.Entry, row: upstreams.Row, data: bytes) -> bool:
    url = f"http://{row.announcement['address']}/v1/cache"
    async with entry.session.put(url, data=data) as response:
        return response.status == 200
