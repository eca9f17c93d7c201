"""Moves requests off an upstream that is leaving, with their caches."""

import asyncio

import aiohttp

from _arbutuswalk.base import events
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import placement
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams
from _arbutuswalk.streams import attempts
from _arbutuswalk.wire import http_answers

MOVES_PER_BATCH = 4
CACHE_COPY_TIMEOUT_S = 1.0
MAX_CACHE_BYTES = 16 * 1024 * 1024
"""Largest cache that is copied; a larger one is computed anew."""
LEAVE_MARGIN_S = 0.3


def start_moving(entry: entry_state.Entry, row: upstreams.Row) -> None:
    """Starts to move the requests that run on a leaving upstream."""
    events.log(events.Event.UPSTREAM_LEAVING, row.announcement["id"])
    entry.track_task(asyncio.ensure_future(_request_moves(entry, row)))


async def _request_moves(entry: entry_state.Entry, row: upstreams.Row) -> None:
    """Requests moves, starting with the most remaining tokens.

    A request that is expected to end before the upstream leaves is not moved.
    """
    running = [
        entry.requests[request_id]
        for request_id in row.active_attempts
        if request_id in entry.requests
    ]
    running.sort(key=lambda request: -request.remaining_tokens)
    for start in range(0, len(running), MOVES_PER_BATCH):
        for request in running[start : start + MOVES_PER_BATCH]:
            if not _ends_before_leaving(entry, row, request):
                request.move_requested.set()
        await asyncio.sleep(0)


def _ends_before_leaving(
    entry: entry_state.Entry,
    row: upstreams.Row,
    request: model_requests.ModelRequest,
) -> bool:
    left_s = row.leaves_at - entry.now() - LEAVE_MARGIN_S
    needed_s = request.remaining_tokens / entry.slot_speed(row.name)
    return needed_s < left_s


async def copy_cache(
    entry: entry_state.Entry,
    row: upstreams.Row,
    request: model_requests.ModelRequest,
) -> None:
    """Copies a request's cache to the upstream likely to continue it.

    A failure is harmless: the cache is then recomputed.
    """
    left_s = row.leaves_at - entry.now()
    if left_s < LEAVE_MARGIN_S:
        return
    rows = placement.candidates(
        entry, request.upstream, request.route, request.request_id
    )
    target = choose.choose(rows, request.features)
    if target is None:
        return
    timeout_s = min(CACHE_COPY_TIMEOUT_S, left_s)
    try:
        async with asyncio.timeout(timeout_s):
            data = await _download_cache(entry, row, request)
            if data and await _upload_cache(entry, target, data):
                target.prefix_index.record(request.features.blocks)
                entry.metrics.count("caches_moved")
    except (TimeoutError, aiohttp.ClientError, OSError):
        entry.metrics.count("caches_not_moved")


async def _download_cache(
    entry: entry_state.Entry,
    row: upstreams.Row,
    request: model_requests.ModelRequest,
) -> bytes:
    url = f"http://{row.announcement['address']}/v1/cache/{request.request_id}"
    async with entry.session.get(url) as response:
        coding = response.headers.get("Transfer-Encoding", "")
        has_end = response.content_length is not None or coding == "chunked"
        if response.status != attempts.STATUS_OK or not has_end:
            # The client takes a reset for the end of a body without a length.
            response.close()
            return b""
        data = await http_answers.read_body(response, MAX_CACHE_BYTES)
        return data or b""


async def _upload_cache(
    entry: entry_state.Entry, row: upstreams.Row, data: bytes
) -> bool:
    url = f"http://{row.announcement['address']}/v1/cache"
    async with entry.session.put(url, data=data) as response:
        return response.status == attempts.STATUS_OK
