"""News that entries pass on to each other at once, ahead of control."""

import json
from typing import Any

from _arbutuswalk.entry import entry_state
from _arbutuswalk.wire.gen.arbutus import ttypes

ANNOUNCEMENT = "announcement"
CACHE_EVENT = "cache"
SUSPECTS = "suspects"


def tell_others(entry: entry_state.Entry, update: dict[str, Any]) -> None:
    """Passes news on to every other entry."""
    message = ttypes.UpstreamNews(announcements=[json.dumps(update).encode()])
    for peer in entry.peers.values():
        entry.link_to(peer["link_address"]).post(message)
