"""Asks the other entries what they ran on an upstream that is gone.

One of those requests may have ended it, and its entry may not have noticed yet.
"""

import asyncio
import json
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.entry import entry_state
from _arbutuswalk.routing import upstreams
from _arbutuswalk.wire.gen.arbutus import ttypes

QUERY = "ran on"
ANSWER_TIMEOUT_S = 0.3


class Inquiry(NamedTuple):
    """An inquiry that is not answered yet.

    Attributes:
        upstream: Upstream name of what is gone.
        task: Asks the other entries.
    """

    upstream: str
    task: asyncio.Future


class RanOn(NamedTuple):
    """Fingerprints of requests that ran on an upstream.

    Attributes:
        running: Those of which it is not known whether the upstream died.
        suspects: Those named in the report of its death.
    """

    running: set[str]
    suspects: set[str]


def is_open(entry: entry_state.Entry, upstream: str) -> bool:
    """Returns whether an inquiry about an upstream name is unanswered."""
    return any(
        inquiry.upstream == upstream for inquiry in entry.inquiries.values()
    )


def running_on(entry: entry_state.Entry, row: upstreams.Row) -> set[str]:
    """Returns the requests of which this entry does not know how they ended.

    Attempts that broke count as well: the request that caused a crash need not
    be the first whose connection ended.
    """
    return row.unconfirmed_crashes | {
        entry.requests[request_id].fingerprint
        for request_id in row.active_attempts
        if request_id in entry.requests
    }


def ran_on(entry: entry_state.Entry, key: str) -> RanOn:
    """Returns what this entry ran on the upstream of ``key``."""
    row = entry.upstreams.rows.get(key.rpartition("/")[0])
    is_known = row is not None and row.key == key
    running = running_on(entry, row) if is_known else set()
    report = entry.death_reports.get(key)
    return RanOn(running, report.fingerprints if report else set())


def answer(entry: entry_state.Entry, key: str) -> ttypes.ReadReply:
    """Returns the answer to another entry's inquiry."""
    result = [sorted(fingerprints) for fingerprints in ran_on(entry, key)]
    return ttypes.ReadReply(
        status=ttypes.Status.OK, result=json.dumps(result).encode()
    )


async def ask(entry: entry_state.Entry, key: str) -> RanOn:
    """Returns what all entries ran on the upstream of ``key``."""
    found = ran_on(entry, key)
    replies = await asyncio.gather(
        *[
            _ask_peer(entry, peer["link_address"], key)
            for peer in entry.peers.values()
        ]
    )
    for reply in replies:
        found.running.update(reply.running)
        found.suspects.update(reply.suspects)
    return found


async def _ask_peer(entry: entry_state.Entry, address: str, key: str) -> RanOn:
    reply = await entry.link_to(address).call(
        ttypes.Read(query=QUERY, argument=key), timeout_s=ANSWER_TIMEOUT_S
    )
    if isinstance(reply, ttypes.ReadReply) and reply.result:
        return RanOn(*map(set, json.loads(reply.result)))
    events.log(events.Event.INQUIRY_UNANSWERED, key, address, repr(reply))
    return RanOn(set(), set())
