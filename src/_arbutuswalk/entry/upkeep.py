"""Systems that run over an entry's tables each tick."""

import asyncio

from _arbutuswalk.base import events
from _arbutuswalk.entry import copies
from _arbutuswalk.entry import core
from _arbutuswalk.entry import models
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import suspicion
from _arbutuswalk.routing import upstreams

TICK_S = 0.1
ANSWER_KEPT_S = 60.0
REPORTS_KEPT = 1000


async def run(entry: core.Entry) -> None:
    """Runs every system each tick until cancelled."""
    had_lease = False
    while True:
        await asyncio.sleep(TICK_S)
        _expire_upstreams(entry)
        _end_orphans(entry)
        _forget_answers(entry)
        _adopt_orphaned_copies(entry)
        copies.expire(entry)
        suspicion.forget_hearsay(entry)
        entry.pool.tick()
        for name in list(entry.queues):
            placing.pump(entry, name)
        if had_lease and not entry.admits:
            events.warn(events.Event.LEASE_LOST, entry.revision)
        had_lease = entry.admits


def _expire_upstreams(entry: core.Entry) -> None:
    for gone in upstreams.expire(entry.upstreams, entry.now()):
        events.log(
            events.Event.UPSTREAM_GONE, gone.row.announcement["id"], gone.reason
        )
    while len(entry.reported) > REPORTS_KEPT:
        entry.reported.pop(next(iter(entry.reported)))


def _end_orphans(entry: core.Entry) -> None:
    """Cancels requests whose callers went away and did not come back."""
    limit = entry.now() - entry.values["resume_grace_s"]
    for request in entry.requests.values():
        orphaned = request.orphaned_at
        if orphaned is None or orphaned > limit or request.answer.ended:
            continue
        if request.task is not None and not request.task.done():
            entry.metrics.count("cancelled_for_vanished_callers")
            request.task.cancel()


def _forget_answers(entry: core.Entry) -> None:
    """Forgets ended requests that can no longer be resumed."""
    limit = entry.now() - ANSWER_KEPT_S
    for request_id, request in list(entry.requests.items()):
        orphaned = request.orphaned_at
        if not request.answer.ended or orphaned is None or orphaned > limit:
            continue
        del entry.requests[request_id]
        key = (request.workspace, request.key)
        if entry.by_key.get(key) == request_id:
            del entry.by_key[key]


def _adopt_orphaned_copies(entry: core.Entry) -> None:
    """Finishes the requests of entries that are gone."""
    if not entry.admits:
        return
    for request_id in copies.orphaned(entry):
        request = copies.take_over(entry, request_id)
        request.orphaned_at = entry.now() + models.ADOPTED_GRACE_S
