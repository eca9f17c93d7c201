"""Periodic maintenance of an entry's state."""

import asyncio

from _arbutuswalk.base import background
from _arbutuswalk.base import events
from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_routes
from _arbutuswalk.entry import placement
from _arbutuswalk.entry import request_copies
from _arbutuswalk.routing import upstreams

TICK_INTERVAL_S = 0.1
ANSWER_RETENTION_S = 60.0
MAX_DEATH_REPORTS = 1000


async def run(entry: entry_state.Entry) -> None:
    """Runs all maintenance steps at each tick until cancelled.

    An error in one step is logged and ends neither the others nor the process.
    """
    had_lease = False
    while True:
        await asyncio.sleep(TICK_INTERVAL_S)
        for step in _STEPS:
            try:
                step(entry)
            except Exception as error:  # noqa: BLE001
                background.log_error(f"maintenance {step.__name__}", error)
        if had_lease and not entry.accepts_work:
            events.warn(events.Event.LEASE_LOST, entry.revision)
        had_lease = entry.accepts_work


def _expire_upstreams(entry: entry_state.Entry) -> None:
    for gone in upstreams.expire(entry.upstreams, entry.now()):
        events.log(
            events.Event.UPSTREAM_GONE, gone.row.announcement["id"], gone.reason
        )
    while len(entry.death_reports) > MAX_DEATH_REPORTS:
        entry.death_reports.pop(next(iter(entry.death_reports)))


def _cancel_unread_requests(entry: entry_state.Entry) -> None:
    """Cancels requests whose callers disconnected and did not resume."""
    unread_before = entry.now() - entry.settings["resume_grace_s"]
    for request in entry.requests.values():
        unread_since = request.unread_since
        if (
            unread_since is None
            or unread_since > unread_before
            or request.answer.ended
        ):
            continue
        if request.task is not None and not request.task.done():
            entry.metrics.count("cancelled_for_vanished_callers")
            request.task.cancel()


def _expire_answers(entry: entry_state.Entry) -> None:
    """Drops ended requests that can no longer be resumed."""
    unread_before = entry.now() - ANSWER_RETENTION_S
    for request_id, request in list(entry.requests.items()):
        unread_since = request.unread_since
        if (
            not request.answer.ended
            or unread_since is None
            or unread_since > unread_before
        ):
            continue
        del entry.requests[request_id]
        key = (request.workspace, request.key)
        if entry.request_ids_by_key.get(key) == request_id:
            del entry.request_ids_by_key[key]


def _take_over_orphaned_copies(entry: entry_state.Entry) -> None:
    """Takes over the unfinished requests of entries that are gone."""
    if not entry.accepts_work:
        return
    for request_id in request_copies.orphaned_request_ids(entry):
        request = request_copies.take_over(entry, request_id)
        request.unread_since = entry.now() + model_routes.TAKEN_OVER_GRACE_S


def _expire_copies(entry: entry_state.Entry) -> None:
    request_copies.expire(entry)


def _close_expired_connections(entry: entry_state.Entry) -> None:
    entry.pool.close_expired()


def _place_queued(entry: entry_state.Entry) -> None:
    for name in list(entry.queues):
        placement.place_queued(entry, name)


_STEPS = (
    _expire_upstreams,
    _cancel_unread_requests,
    _expire_answers,
    _take_over_orphaned_copies,
    _expire_copies,
    crash_quarantine.expire_peer_suspects,
    _close_expired_connections,
    _place_queued,
)
