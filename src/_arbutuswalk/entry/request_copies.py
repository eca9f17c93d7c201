"""Copies of accepted requests at a peer entry in another failure domain.

The owner sends the request when it accepts it, and events in batches as they
arrive. If the owner crashes, the holder of the copy, or the entry at which a
caller resumes, continues from the copied events. A caller that received more
events than were copied gets the answer from the start after a reset event.
"""

import asyncio
import hashlib
import json
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import events as log_events
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_requests
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

EVENT_BATCH_INTERVAL_S = 0.1
PEER_CALL_TIMEOUT_S = 1.0
COPY_RETENTION_S = 120.0
MAX_COPIES = 20_000


class RequestCopy(NamedTuple):
    """A request held for another entry.

    Attributes:
        owner: Entry that runs it.
        incarnation: Incarnation of the owner.
        request: JSON form of the request.
        events: Events copied so far.
        finished: Whether the answer is complete.
        updated_at: When the copy was last updated, in seconds.
    """

    owner: str
    incarnation: int
    request: dict[str, Any]
    events: list[bytes]
    finished: bool
    updated_at: float


def copy_holder_of(
    entry: entry_state.Entry, owner: str, request_id: str
) -> str | None:
    """Returns the entry that holds the copy of an owner's request.

    All entries that see the same list agree on it: rendezvous hashing over
    the serving entries outside the owner's failure domain.
    """
    entries = entry.view.get("entries", {})
    owner_domain = entries.get(owner, {}).get("domain", "")
    serving = {
        name: row
        for name, row in entries.items()
        if name != owner and row["state"] == "serving"
    }
    other_domains = [
        n for n, row in serving.items() if row["domain"] != owner_domain
    ]
    names = other_domains or list(serving)
    if not names:
        return None

    def rank(name: str) -> bytes:
        return hashlib.blake2b(f"{request_id}|{name}".encode()).digest()

    return max(names, key=rank)


def start_copying(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Starts to copy an accepted request and its events to the holder."""
    holder = copy_holder_of(entry, entry.name, request.request_id)
    if holder is None:
        entry.metrics.count("requests_not_copied")
        return
    address = entry.view["entries"][holder]["link_address"]
    entry.track_task(
        asyncio.ensure_future(_copy_request_and_events(entry, request, address))
    )


async def _copy_request_and_events(
    entry: entry_state.Entry, request: model_requests.ModelRequest, address: str
) -> None:
    holder_link = entry.link_to(address)
    message = ttypes.CopyRequest(
        request_id=request.request_id,
        owner=entry.name,
        owner_incarnation=entry.incarnation,
        request=json.dumps(_request_to_json(entry, request)).encode(),
    )
    reply = await holder_link.call(message, timeout_s=PEER_CALL_TIMEOUT_S)
    if not isinstance(reply, ttypes.Done):
        entry.metrics.count("requests_not_copied")
    while not request.answer.ended:
        await asyncio.sleep(EVENT_BATCH_INTERVAL_S)
        _send_events(holder_link, request, finished=False)


def _send_events(
    holder_link: link.Link,
    request: model_requests.ModelRequest,
    *,
    finished: bool,
) -> None:
    new_events = request.answer.events[request.copied_events :]
    if not new_events and not finished:
        return
    message = ttypes.CopyProgress(
        request_id=request.request_id,
        first_event=request.copied_events,
        events=new_events,
        finished=finished,
        failed=request.answer.problem is not None,
    )
    if holder_link.send_oneway(message):
        request.copied_events += len(new_events)


def send_final_events(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Sends the last events and whether the request failed."""
    holder = copy_holder_of(entry, entry.name, request.request_id)
    if holder is None:
        return
    holder_link = entry.link_to(entry.view["entries"][holder]["link_address"])
    _send_events(holder_link, request, finished=True)


def on_copy_request(
    entry: entry_state.Entry, message: ttypes.CopyRequest
) -> ttypes.Done:
    """Stores a copy for another entry."""
    if len(entry.copies) >= MAX_COPIES:
        return ttypes.Done(ok=False)
    entry.copies[message.request_id] = RequestCopy(
        owner=message.owner,
        incarnation=message.owner_incarnation,
        request=json.loads(message.request),
        events=[],
        finished=False,
        updated_at=entry.now(),
    )
    return ttypes.Done(ok=True)


def on_copy_progress(
    entry: entry_state.Entry, message: ttypes.CopyProgress
) -> None:
    """Adds events to a copy, or drops the copy of a failed request."""
    copy = entry.copies.get(message.request_id)
    if copy is None or message.first_event > len(copy.events):
        return
    if message.failed:
        del entry.copies[message.request_id]
        return
    events = copy.events[: message.first_event] + list(message.events)
    entry.copies[message.request_id] = copy._replace(
        events=events, finished=message.finished, updated_at=entry.now()
    )


def expire(entry: entry_state.Entry) -> None:
    """Drops copies that were not updated within the retention time."""
    expiry = entry.now() - COPY_RETENTION_S
    for request_id, copy in list(entry.copies.items()):
        if copy.updated_at < expiry:
            del entry.copies[request_id]


def orphaned_request_ids(entry: entry_state.Entry) -> list[str]:
    """Returns ids of unfinished copies whose owner is gone."""
    entries = entry.view.get("entries")
    if entries is None:
        return []
    orphaned_ids = []
    for request_id, copy in entry.copies.items():
        owner = entries.get(copy.owner)
        owner_registered = (
            owner is not None and owner["incarnation"] == copy.incarnation
        )
        if not owner_registered and not copy.finished:
            orphaned_ids.append(request_id)
    return orphaned_ids


async def fetch_and_take_over(
    entry: entry_state.Entry, request_id: str, workspace: str
) -> model_requests.ModelRequest | None:
    """Takes over a request that a caller resumes, if it can be found.

    Asks the owner first, then the holder of the copy. The events they have
    are copied, and an unfinished generation continues here.
    """
    if request_id not in entry.copies:
        await _fetch_copy(entry, request_id)
    copy = entry.copies.get(request_id)
    if copy is None or copy.request["workspace"] != workspace:
        return None
    return take_over(entry, request_id)


async def _fetch_copy(entry: entry_state.Entry, request_id: str) -> None:
    owner = model_requests.owner_of(request_id)
    entries = entry.view.get("entries", {})
    holder = copy_holder_of(entry, owner, request_id)
    for name in (owner, holder):
        if name is None or name == entry.name or name not in entries:
            continue
        reply = await entry.link_to(entries[name]["link_address"]).call(
            ttypes.TakeRequest(request_id=request_id),
            timeout_s=PEER_CALL_TIMEOUT_S,
        )
        if isinstance(reply, ttypes.TakeReply) and reply.request:
            entry.copies[request_id] = RequestCopy(
                owner=owner,
                incarnation=0,
                request=json.loads(reply.request),
                events=list(reply.events),
                finished=reply.finished,
                updated_at=entry.now(),
            )
            return


def on_take_request(
    entry: entry_state.Entry, message: ttypes.TakeRequest
) -> ttypes.TakeReply:
    """Hands a request over to the entry at which its caller resumes.

    A request that runs here is cancelled, because it continues there and a
    second generation would double its cost.
    """
    request = entry.requests.get(message.request_id)
    if request is not None:
        body = json.dumps(_request_to_json(entry, request)).encode()
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


def take_over(
    entry: entry_state.Entry, request_id: str
) -> model_requests.ModelRequest:
    """Turns a copy into a request of this entry and runs the rest of it."""
    copy = entry.copies.pop(request_id)
    request = _request_from_json(entry, request_id, copy.request)
    request.answer.add(copy.events)
    request.possibly_sent = True
    log_events.log(log_events.Event.COPY_ADOPTED, request_id, copy.owner)
    entry.metrics.count("copies_adopted")
    entry.requests[request_id] = request
    if request.key:
        entry.request_ids_by_key[request.workspace, request.key] = request_id
    if copy.finished:
        request.answer.finish()
    else:
        entry.start_request(request)
    return request


def _request_to_json(
    entry: entry_state.Entry, request: model_requests.ModelRequest
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


def _request_from_json(
    entry: entry_state.Entry, request_id: str, fields: dict[str, Any]
) -> model_requests.ModelRequest:
    now = entry.now()
    request = model_requests.ModelRequest(
        request_id=request_id,
        workspace=fields["workspace"],
        weight=fields["weight"],
        key=fields["key"],
        route=fields["route"],
        raw=b"",
        body=fields["body"],
        deadline=now + max(fields["left_s"], model_requests.DEFAULT_DEADLINE_S),
        priority=fields["priority"],
        now=now,
    )
    request.digest = fields["digest"]
    request.fingerprint = model_requests.fingerprint(
        request.workspace, request.route, request.digest
    )
    return request
