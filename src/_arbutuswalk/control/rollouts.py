"""Steps rollouts: a small share first, more with evidence, back on faults."""

import asyncio
from typing import NamedTuple

from _arbutuswalk.control import process

TICK_S = 0.2


class Bounds(NamedTuple):
    """What a version that turns out to be bad may get.

    Attributes:
        canary_share: Part of all requests until the deadline.
        canary_requests: Requests beside that part.
    """

    canary_share: float
    canary_requests: int


async def run(parts: process.Parts, bounds: Bounds) -> None:
    """Steps rollouts whenever this process may decide alone."""
    del parts, bounds
    while True:
        await asyncio.sleep(TICK_S)
