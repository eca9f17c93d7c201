"""Fetches a new route configuration from control in parts.

All members announce a new version to an entry at the same time, and a large
configuration takes longer to transfer over an entry's link than a watch may
last. It is therefore fetched from one member only, in parts that let other
messages pass in between. If the member fails, another one continues at the same
offset, since all members encode a version to the same bytes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from _arbutuswalk.base import events
from _arbutuswalk.wire import packed
from _arbutuswalk.wire.gen.arbutus import ttypes

PART_TIMEOUT_S = 0.5
"""Time-out for one part: ten times its transfer time at 5 Mbit/s."""
PAUSE_S = 0.1
"""Pause after all members have failed to send a part."""


class Source(Protocol):
    """A watched member of the control group.

    Attributes:
        address: Link address of the member.
        link: Link to the member.
        answered: Whether the last watch succeeded.
        routes_version: Newest configuration version announced by the member.
    """

    address: str
    link: Any
    answered: bool
    routes_version: int


class Progress:
    """Parts of one version received so far."""

    def __init__(self):
        self.version = 0
        self.data = b""

    def add(self, part: ttypes.RoutesPart, offset: int) -> bool:
        """Adds the part at ``offset``; returns whether all were received."""
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
    """Fetches until the newest version announced by any member is in use.

    Args:
        sources: Returns the watched members.
        served: Returns the version in use.
        take: Applies a configuration, given the address it came from.
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
        values = packed.unpack(data)
    except ValueError as error:
        failed.add(address)
        events.record(events.Event.ROUTES_UNREADABLE, address, str(error))
        return
    take(values, address)
