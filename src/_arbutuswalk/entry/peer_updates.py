"""Updates that entries send each other directly, ahead of the view."""

import json
from typing import Any

from _arbutuswalk.entry import entry_state
from _arbutuswalk.wire.gen.arbutus import ttypes

ANNOUNCEMENT = "announcement"
CACHE_EVENT = "cache"
SUSPECTS = "suspects"
LOST_ATTEMPT = "lost attempt"
SURVIVED = "survived"


def send_to_peers(entry: entry_state.Entry, update: dict[str, Any]) -> None:
    """Sends an update to every other entry."""
    message = ttypes.UpstreamNews(announcements=[json.dumps(update).encode()])
    for peer in entry.peers.values():
        entry.link_to(peer["link_address"]).send_oneway(message)
