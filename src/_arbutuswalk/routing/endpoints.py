"""Choosing one endpoint of an upstream for a request.

Answers moderate to heavy load by many entries that do not talk to each other:
prompts that share parts meet on the same endpoint by rendezvous hashing, until
that endpoint is crowded; plain requests go where the fewest wait.
"""

import hashlib
from collections.abc import Sequence
from typing import NamedTuple

CROWDED = 1.3
"""Load over the mean at which shared parts stop to attract."""
CROWDED_REQUESTS = 3
"""Requests over that bound that are still accepted, for small loads."""
FAR_REQUESTS = 0.5
"""Load that an endpoint in another failure domain counts as more."""


class Candidate(NamedTuple):
    """An endpoint that may get a request.

    Attributes:
        id: Its id.
        load: Requests it runs or holds, by the newest estimate.
        slots: Requests it runs at once.
        near: Whether it is in the entry's own failure domain.
        doubtful: Whether it failed lately and should come last.
    """

    id: str
    load: float
    slots: int
    near: bool
    doubtful: bool


def choose(
    candidates: Sequence[Candidate], affinity: str, draw: float
) -> Candidate | None:
    """Returns the endpoint to send to, None if there are none.

    Args:
        candidates: Endpoints that may get the request.
        affinity: Shared part that the request's prompt begins with, or empty.
        draw: Random number in [0, 1) that breaks ties.
    """
    trusted = [each for each in candidates if not each.doubtful]
    usable = trusted or list(candidates)
    if not usable:
        return None
    if affinity:
        return _by_affinity(usable, affinity)
    return _least_loaded(usable, draw)


def _least_loaded(usable: list[Candidate], draw: float) -> Candidate:
    def wait(each: Candidate) -> float:
        far = 0.0 if each.near else FAR_REQUESTS
        return (each.load + far) / max(1, each.slots)

    best = min(map(wait, usable))
    ties = [each for each in usable if wait(each) <= best + 1e-9]
    return ties[int(draw * len(ties))]


def _by_affinity(usable: list[Candidate], affinity: str) -> Candidate:
    ranked = sorted(usable, key=lambda each: _rank(affinity, each.id))
    mean = (sum(each.load for each in usable) + 1) / len(usable)
    bound = CROWDED * mean + CROWDED_REQUESTS
    for each in ranked:
        if each.load < min(bound, max(1, each.slots)):
            return each
    return min(usable, key=lambda each: each.load / max(1, each.slots))


def _rank(affinity: str, endpoint: str) -> bytes:
    text = f"{affinity}|{endpoint}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
