"""Handles messages that other entries and operators send to an entry."""

import json
from typing import Any

from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import peer_inquiries
from _arbutuswalk.entry import request_copies
from _arbutuswalk.entry import upstream_announcements
from _arbutuswalk.wire.gen.arbutus import ttypes

RELAY_TIMEOUT_S = 1.5

_REPLY_TYPES = {
    ttypes.Submit: ttypes.SubmitReply,
    ttypes.Sync: ttypes.SyncReply,
    ttypes.Read: ttypes.ReadReply,
}


def make_handler(entry: entry_state.Entry):
    """Returns the handler for an entry's link server."""

    async def handle(message: object) -> object | None:
        if isinstance(message, ttypes.UpstreamNews):
            upstream_announcements.on_peer_updates(entry, message)
            return None
        if isinstance(message, ttypes.CopyProgress):
            request_copies.on_copy_progress(entry, message)
            return None
        if isinstance(message, ttypes.CopyRequest):
            return request_copies.on_copy_request(entry, message)
        if isinstance(message, ttypes.TakeRequest):
            return request_copies.on_take_request(entry, message)
        if isinstance(message, ttypes.Dump):
            return ttypes.DumpReply(
                state=json.dumps(dump_state(entry)).encode()
            )
        if isinstance(message, ttypes.Read) and message.query == "explain":
            return _explain(entry, message.argument or "")
        if (
            isinstance(message, ttypes.Read)
            and message.query == peer_inquiries.QUERY
        ):
            return peer_inquiries.answer(entry, message.argument or "")
        if type(message) in _REPLY_TYPES:
            return await _relay(entry, message)
        return None

    return handle


async def _relay(entry: entry_state.Entry, message: object) -> object:
    """Forwards a message to the control group for a partitioned entry."""
    reply = await entry.control.call(
        message, timeout_s=RELAY_TIMEOUT_S, relayed=True
    )
    if isinstance(reply, control_client.Unreachable):
        return _REPLY_TYPES[type(message)](
            status=ttypes.Status.UNAVAILABLE, reason=reply.reason
        )
    return reply


def _explain(entry: entry_state.Entry, request_id: str) -> ttypes.ReadReply:
    request = entry.requests.get(request_id)
    if request is None:
        return ttypes.ReadReply(
            status=ttypes.Status.INVALID,
            reason=f"{request_id} is not known here any more",
        )
    result = {"request_id": request_id, "history": request.history}
    return ttypes.ReadReply(
        status=ttypes.Status.OK, result=json.dumps(result).encode()
    )


def dump_state(entry: entry_state.Entry) -> dict[str, Any]:
    """Returns the state of the process as JSON values, for operators."""
    now = entry.now()
    return {
        "role": "entry",
        "id": entry.name,
        "incarnation": entry.incarnation,
        "revision": entry.revision,
        "view_version": entry.view_version,
        "lease_left_s": max(0.0, entry.lease_expires_at - now),
        "draining": entry.draining,
        "upstreams": {
            upstream_id: {
                "said": row.announcement,
                "health": row.health(now).value,
                "load": row.load,
                "active": len(row.active_attempts),
                "isolated": row.isolated,
                "blocks": len(row.prefix_index.blocks),
                "trust": row.prefix_index.trust,
            }
            for upstream_id, row in entry.upstreams.rows.items()
        },
        "requests": {
            request_id: {
                "workspace": request.workspace,
                "upstream": request.upstream,
                "attempts": request.attempts,
                "events": len(request.answer.events),
                "ended": request.answer.ended,
            }
            for request_id, request in entry.requests.items()
        },
        "copies": len(entry.copies),
        "waiting": {name: len(q) for name, q in entry.queues.items()},
        "evidence": entry.version_outcomes.report(),
        "cut": [
            "|".join(outcome_key)
            for outcome_key in entry.version_outcomes.cut_off
        ],
        "counters": {
            f"{name}{{{labels}}}": count
            for (name, labels), count in entry.metrics.counters.items()
        },
    }
