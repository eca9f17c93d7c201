"""Fetches a new configuration of routes from control, part by part.

Every member tells an entry of a new version at the same moment, and a large
configuration takes longer over an entry's link than a watch may. So one member
is asked, in parts between which other messages pass, and another goes on where
it fails: all members pack a version to the same bytes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from _arbutuswalk.base import events
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire.gen.arbutus import ttypes

PART_TIMEOUT_S = 0.5
"""Time for one part: ten times what it takes over 5 Mbit/s."""
PAUSE_S = 0.1
"""Pause after no member gave a part."""


class Source(Protocol):
    """A member of control that is watched.

    Attributes:
        address: Its link address.
        link: Link to it.
        answered: Whether its last answer was good.
        routes_version: Newest configuration that it told of.
    """

    address: str
    link: Any
    answered: bool
    routes_version: int


class Progress:
    """Parts of one version that have come so far."""

    def __init__(self):
        self.version = 0
        self.data = b""

    def add(self, part: ttypes.RoutesPart, offset: int) -> bool:
        """Adds a part asked for at ``offset``; returns whether it is whole."""
        if part.version != self.version:
            self.version = part.version
            self.data = b""
        if offset == len(self.data):
            self.data += part.data
        return len(self.data) >= part.size


async def fetch(
    sources: Callable[[], Sequence[Source]],
    served: Callable[[], int],
    take: Callable[[Any, str], None],
) -> None:
    """Fetches until the newest version that a member told of is served.

    Args:
        sources: Returns the members that are watched.
        served: Returns the version that is served now.
        take: Serves a configuration, given the address it came from.
    """
    progress = Progress()
    failed: set[str] = set()
    while True:
        ahead = [
            each
            for each in sources()
            if each.answered and each.routes_version > served()
        ]
        if not ahead:
            return
        untried = [each for each in ahead if each.address not in failed]
        if not untried:
            failed.clear()
            await asyncio.sleep(PAUSE_S)
            continue
        source = max(untried, key=lambda each: each.routes_version)
        offset = len(progress.data)
        part = await source.link.call(
            ttypes.RoutesRequest(offset=offset), timeout_s=PART_TIMEOUT_S
        )
        if not isinstance(part, ttypes.RoutesPart) or part.version <= served():
            failed.add(source.address)
            continue
        if progress.add(part, offset):
            _take_whole(progress, source.address, take, failed)


def _take_whole(
    progress: Progress,
    address: str,
    take: Callable[[Any, str], None],
    failed: set[str],
) -> None:
    data, progress.data = progress.data, b""
    try:
        values = compressed_json.decode(data)
    except ValueError as error:
        failed.add(address)
        events.record(events.Event.ROUTES_UNREADABLE, address, str(error))
        return
    take(values, address)
