"""News that entries pass on to each other at once, ahead of control."""

import json
from typing import Any

from _arbutuswalk.entry import core
from _arbutuswalk.wire.gen.arbutus import ttypes

ANNOUNCEMENT = "announcement"
CACHE_EVENT = "cache"
SUSPECTS = "suspects"


def tell_others(entry: core.Entry, news: dict[str, Any]) -> None:
    """Passes news on to every other entry."""
    message = ttypes.UpstreamNews(announcements=[json.dumps(news).encode()])
    for row in entry.peers.values():
        entry.link_to(row["link_address"]).send_oneway(message)
