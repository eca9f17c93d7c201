"""Updates that entries send each other directly, ahead of the view."""

import asyncio
import json
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.entry import entry_state
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

ANNOUNCEMENT = "announcement"
CACHE_EVENT = "cache"
SUSPECTS = "suspects"
LOST_ATTEMPT = "lost attempt"
SURVIVED = "survived"
SENT_ONCE = (SUSPECTS, LOST_ATTEMPT, SURVIVED)


def send_to_peers(entry: entry_state.Entry, update: dict[str, Any]) -> None:
    """Sends an update to every other entry.

    Announcements and cache events are repeated by their upstreams. All other
    updates are sent again if the link to a peer was closed.
    """
    message = ttypes.UpstreamNews(announcements=[json.dumps(update).encode()])
    for peer in entry.peers.values():
        peer_link = entry.link_to(peer["link_address"])
        is_sent = peer_link.send_oneway(message)
        if not is_sent and update["kind"] in SENT_ONCE:
            task = asyncio.ensure_future(_open_and_send(peer_link, message))
            entry.track_task(task)


async def _open_and_send(
    peer_link: link.Link, message: ttypes.UpstreamNews
) -> None:
    failure = await peer_link.open()
    if failure is not None:
        reason = failure.reason
    elif not peer_link.send_oneway(message):
        reason = "link closed again"
    else:
        return
    events.log(events.Event.PEER_UNINFORMED, peer_link.address, reason)
