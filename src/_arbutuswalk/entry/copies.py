"""Copies of accepted requests at a peer entry in another failure domain.

The owner sends the request when it accepts it, and events in batches as they
come. If the owner dies, whoever holds the copy, or is asked for it by a
caller, goes on from the events it has. A caller that had seen more than was
copied gets the answer from the start after a reset event.
"""

import asyncio
import hashlib
import json
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import events as log_events
from _arbutuswalk.entry import core
from _arbutuswalk.entry import requests
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

BATCH_S = 0.1
FETCH_TIMEOUT_S = 1.0
KEPT_S = 120.0
MAX_COPIES = 20_000


class Copy(NamedTuple):
    """A request held for another entry.

    Attributes:
        owner: Entry that runs it.
        incarnation: Its incarnation.
        request: JSON form of the request.
        events: Events copied so far.
        finished: Whether the answer is whole.
        at: When something last came, in seconds.
    """

    owner: str
    incarnation: int
    request: dict[str, Any]
    events: list[bytes]
    finished: bool
    at: float


def peer_of(entry: core.Entry, owner: str, request_id: str) -> str | None:
    """Returns the entry that holds the copy of an owner's request.

    All entries that see the same list agree on it: rendezvous hashing over
    the serving entries outside the owner's failure domain.
    """
    entries = entry.view.get("entries", {})
    home = entries.get(owner, {}).get("domain", "")
    serving = {
        name: row
        for name, row in entries.items()
        if name != owner and row["state"] == "serving"
    }
    apart = [n for n, row in serving.items() if row["domain"] != home]
    names = apart or list(serving)
    if not names:
        return None

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{request_id}|{name}".encode()).digest()

    return max(names, key=weight)


def send_request(entry: core.Entry, request: requests.ModelRequest) -> None:
    """Sends a copy of an accepted request and then of its events."""
    peer = peer_of(entry, entry.name, request.request_id)
    if peer is None:
        entry.metrics.count("requests_not_copied")
        return
    address = entry.view["entries"][peer]["link_address"]
    entry.hold(asyncio.ensure_future(_copy(entry, request, address)))


async def _copy(
    entry: core.Entry, request: requests.ModelRequest, address: str
) -> None:
    target = entry.link_to(address)
    message = ttypes.CopyRequest(
        request_id=request.request_id,
        owner=entry.name,
        owner_incarnation=entry.incarnation,
        request=json.dumps(_to_json(entry, request)).encode(),
    )
    reply = await target.call(message, timeout_s=FETCH_TIMEOUT_S)
    if not isinstance(reply, ttypes.Done):
        entry.metrics.count("requests_not_copied")
    while not request.answer.ended:
        await asyncio.sleep(BATCH_S)
        _send_events(target, request, finished=False)


def _send_events(
    target: link.Link, request: requests.ModelRequest, *, finished: bool
) -> None:
    fresh = request.answer.events[request.copied :]
    if not fresh and not finished:
        return
    message = ttypes.CopyProgress(
        request_id=request.request_id,
        first_event=request.copied,
        events=fresh,
        finished=finished,
        failed=request.answer.problem is not None,
    )
    if target.send_oneway(message):
        request.copied += len(fresh)


def send_end(entry: core.Entry, request: requests.ModelRequest) -> None:
    """Tells the peer that the request has ended, whole or failed."""
    peer = peer_of(entry, entry.name, request.request_id)
    if peer is None:
        return
    target = entry.link_to(entry.view["entries"][peer]["link_address"])
    _send_events(target, request, finished=True)


def on_copy_request(
    entry: core.Entry, message: ttypes.CopyRequest
) -> ttypes.Done:
    """Holds a copy for another entry."""
    if len(entry.copies) >= MAX_COPIES:
        return ttypes.Done(ok=False)
    entry.copies[message.request_id] = Copy(
        owner=message.owner,
        incarnation=message.owner_incarnation,
        request=json.loads(message.request),
        events=[],
        finished=False,
        at=entry.now(),
    )
    return ttypes.Done(ok=True)


def on_copy_progress(entry: core.Entry, message: ttypes.CopyProgress) -> None:
    """Adds events to a copy, or drops the copy of a failed request."""
    copy = entry.copies.get(message.request_id)
    if copy is None or message.first_event > len(copy.events):
        return
    if message.failed:
        del entry.copies[message.request_id]
        return
    events = copy.events[: message.first_event] + list(message.events)
    entry.copies[message.request_id] = copy._replace(
        events=events, finished=message.finished, at=entry.now()
    )


def expire(entry: core.Entry) -> None:
    """Forgets copies that nobody can need any more."""
    oldest = entry.now() - KEPT_S
    for request_id, copy in list(entry.copies.items()):
        if copy.at < oldest:
            del entry.copies[request_id]


def orphaned(entry: core.Entry) -> list[str]:
    """Returns copies that are unfinished and whose owner is gone."""
    entries = entry.view.get("entries")
    if entries is None:
        return []
    lost = []
    for request_id, copy in entry.copies.items():
        owner = entries.get(copy.owner)
        alive = owner is not None and owner["incarnation"] == copy.incarnation
        if not alive and not copy.finished:
            lost.append(request_id)
    return lost


async def adopt(
    entry: core.Entry, request_id: str, workspace: str
) -> requests.ModelRequest | None:
    """Takes over a request whose events a caller wants, if it can be found.

    Asks the owner first, then the peer that holds the copy. What they have
    is copied here, and a generation that is still to come goes on here.
    """
    if request_id not in entry.copies:
        await _fetch(entry, request_id)
    copy = entry.copies.get(request_id)
    if copy is None or copy.request["workspace"] != workspace:
        return None
    return take_over(entry, request_id)


async def _fetch(entry: core.Entry, request_id: str) -> None:
    owner = requests.owner_of(request_id)
    entries = entry.view.get("entries", {})
    holder = peer_of(entry, owner, request_id)
    for name in (owner, holder):
        if name is None or name == entry.name or name not in entries:
            continue
        reply = await entry.link_to(entries[name]["link_address"]).call(
            ttypes.TakeRequest(request_id=request_id),
            timeout_s=FETCH_TIMEOUT_S,
        )
        if isinstance(reply, ttypes.TakeReply) and reply.request:
            entry.copies[request_id] = Copy(
                owner=owner,
                incarnation=0,
                request=json.loads(reply.request),
                events=list(reply.events),
                finished=reply.finished,
                at=entry.now(),
            )
            return


def on_take(entry: core.Entry, message: ttypes.TakeRequest) -> ttypes.TakeReply:
    """Hands a request to the entry where its caller now is.

    A request that runs here stops here: it goes on over there, and two
    generations of it would cost twice.
    """
    request = entry.requests.get(message.request_id)
    if request is not None:
        body = json.dumps(_to_json(entry, request)).encode()
        events = list(request.answer.events)
        finished = request.answer.done
        if request.task is not None and not request.answer.ended:
            request.task.cancel()
        return ttypes.TakeReply(request=body, events=events, finished=finished)
    copy = entry.copies.get(message.request_id)
    if copy is None:
        return ttypes.TakeReply(request=b"", events=[], finished=False)
    return ttypes.TakeReply(
        request=json.dumps(copy.request).encode(),
        events=copy.events,
        finished=copy.finished,
    )


def take_over(entry: core.Entry, request_id: str) -> requests.ModelRequest:
    """Makes a copy into a request of this entry, and runs what is left."""
    copy = entry.copies.pop(request_id)
    request = _from_json(entry, request_id, copy.request)
    request.answer.add(copy.events)
    request.sent = True
    log_events.log(log_events.Event.COPY_ADOPTED, request_id, copy.owner)
    entry.metrics.count("copies_adopted")
    entry.requests[request_id] = request
    if request.key:
        entry.by_key[request.workspace, request.key] = request_id
    if copy.finished:
        request.answer.finish()
    else:
        entry.start_request(request)
    return request


def _to_json(
    entry: core.Entry, request: requests.ModelRequest
) -> dict[str, Any]:
    return {
        "workspace": request.workspace,
        "weight": request.weight,
        "key": request.key,
        "digest": request.digest,
        "route": request.route,
        "body": request.body,
        "left_s": request.deadline - entry.now(),
        "priority": request.priority,
    }


def _from_json(
    entry: core.Entry, request_id: str, values: dict[str, Any]
) -> requests.ModelRequest:
    now = entry.now()
    request = requests.ModelRequest(
        request_id=request_id,
        workspace=values["workspace"],
        weight=values["weight"],
        key=values["key"],
        route=values["route"],
        raw=b"",
        body=values["body"],
        deadline=now + max(values["left_s"], requests.DEFAULT_DEADLINE_S),
        priority=values["priority"],
        now=now,
    )
    request.digest = values["digest"]
    request.fingerprint = requests.fingerprint(
        request.workspace, request.route, request.digest
    )
    return request
