"""Placing requests on upstreams: fair queues and early refusals."""

import asyncio
from typing import NamedTuple

from _arbutuswalk.entry import core
from _arbutuswalk.entry import requests
from _arbutuswalk.limits import fair
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.routing import versions
from _arbutuswalk.streams import answer

RETRY_AFTER_S = 1


class Waiting(NamedTuple):
    """A request in a queue.

    Attributes:
        request: The request.
        avoid: Keys of upstreams to avoid.
        future: Gets the row, reserved for the request.
    """

    request: requests.ModelRequest
    avoid: frozenset[str]
    future: asyncio.Future


def candidates(
    entry: core.Entry, name: str, route: str, request_id: str
) -> list[upstreams.Row]:
    """Returns the upstreams that may run a request, by its version."""
    rows = upstreams.usable(entry.upstreams, name, entry.now())
    wanted, fallback = versions.pick_version(
        entry.moves, name, route, request_id
    )
    cut = (
        version_outcomes.OutcomeKey(name, wanted, route)
        in entry.evidence.cut_off
    )
    if not cut:
        chosen = [row for row in rows if row.announcement["version"] == wanted]
        if chosen or not fallback:
            return chosen
    return [row for row in rows if row.announcement["version"] == fallback]


def early_refusal(
    entry: core.Entry, request: requests.ModelRequest
) -> answer.Problem | None:
    """Refuses a new request whose deadline cannot be met.

    The estimate counts what its workspace has waiting and the share that
    others get meanwhile. A request waits while all upstreams are reserved for
    suspects.
    """
    rows = candidates(
        entry, request.upstream, request.route, request.request_id
    )
    if not rows:
        if upstreams.only_reserved(
            entry.upstreams, request.upstream, entry.now()
        ):
            return None
        return answer.Problem(
            503,
            "no upstream",
            f"no upstream of {request.upstream} is up; come back later",
            "no",
            RETRY_AFTER_S,
        )
    slots = sum(row.announcement["slots"] for row in rows)
    queue = entry.queue_of(request.upstream)
    ticket = _ticket(request, None)
    ahead = queue.cost_ahead(ticket, _total_weight(entry))
    speed = max(1, slots) * entry.speed_of(request.upstream)
    wait_s = ahead / speed
    left_s = request.deadline - entry.now()
    if ahead and wait_s + request.max_tokens / speed > left_s:
        return answer.Problem(
            429,
            "deadline cannot be met",
            f"about {wait_s:.1f} s of work is waiting before this request",
            "no",
            max(RETRY_AFTER_S, int(wait_s - left_s) + 1),
        )
    return None


def enqueue(
    entry: core.Entry,
    request: requests.ModelRequest,
    *,
    avoid: frozenset[str] = frozenset(),
) -> fair.Ticket:
    """Puts a request into its queue and places what can be placed.

    A new request is put there when it is accepted, so that those which come
    at the same moment see it before them.
    """
    future = asyncio.get_running_loop().create_future()
    ticket = _ticket(request, Waiting(request, avoid, future))
    entry.queue_of(request.upstream).push(ticket)
    pump(entry, request.upstream)
    return ticket


async def place(
    entry: core.Entry, request: requests.ModelRequest, ticket: fair.Ticket
) -> upstreams.Row | None:
    """Waits for an upstream; None when the deadline passes first."""
    future = ticket.payload.future
    try:
        left_s = request.deadline - entry.now()
        return await asyncio.wait_for(future, max(0.0, left_s))
    except TimeoutError:
        return None
    except asyncio.CancelledError:
        forget(entry, ticket)
        raise
    finally:
        ticket.cancelled = True


def forget(entry: core.Entry, ticket: fair.Ticket) -> None:
    """Takes a request out of its queue, or gives its place back."""
    ticket.cancelled = True
    waiting = ticket.payload
    if waiting.future.done() and not waiting.future.cancelled():
        release(entry, waiting.future.result(), waiting.request)


def pump(entry: core.Entry, name: str) -> None:
    """Places whatever waits for an upstream name, in fair order."""
    entry.queue_of(name).serve(lambda ticket: _place_one(entry, ticket))


def _place_one(entry: core.Entry, ticket: fair.Ticket) -> bool:
    waiting = ticket.payload
    request = waiting.request
    if waiting.future.done():
        return True
    rows = candidates(
        entry, request.upstream, request.route, request.request_id
    )
    row = choose.choose(rows, request.features, avoid=waiting.avoid)
    if row is None:
        return False
    reserve(row, request)
    waiting.future.set_result(row)
    return True


def reserve(row: upstreams.Row, request: requests.ModelRequest) -> None:
    """Counts a request on an upstream."""
    row.sent_since_report += 1
    row.active_attempts[request.request_id] = None
    row.prefix_index.record(request.features.blocks)


def release(
    entry: core.Entry, row: upstreams.Row, request: requests.ModelRequest
) -> None:
    """Ends a reservation and places what waited for it."""
    row.ended_since_report += 1
    row.active_attempts.pop(request.request_id, None)
    pump(entry, row.name)


def _ticket(
    request: requests.ModelRequest, waiting: Waiting | None
) -> fair.Ticket:
    return fair.Ticket(
        workspace=request.workspace,
        weight=request.weight,
        cost=request.cost,
        deadline=request.deadline,
        payload=waiting,
    )


def _total_weight(entry: core.Entry) -> float:
    workspaces = entry.inventory["workspaces"] if entry.inventory else []
    return sum(workspace["weight"] for workspace in workspaces) or 1.0
