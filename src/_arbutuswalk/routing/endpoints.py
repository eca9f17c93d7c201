"""Chooses an endpoint of an upstream for a request.

Designed for moderate to heavy load from many entries that learn of each other's
load with a lag. A model request goes to the endpoint expected to finish its
prefill first, given the tokens queued there and the prompt parts cached there.
Requests that share parts rank the endpoints in the same order, by rendezvous
hashing, so that entries which do not communicate send them to the same endpoint
until it is overloaded. Other requests go to the endpoint with the least load.
"""

import hashlib
from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

RANKED = 3
"""Highest-ranked endpoints considered for a model request: enough to avoid an
overloaded one, few enough that shared parts occupy few caches."""
DRAWN = 2
"""Further endpoints considered, sampled at random, so that entries which see
the same idle endpoint do not all choose it at once."""
RUNNING_TOKENS = 150
"""Delay of the first event by one more running request, as the number of prompt
tokens read in that time: each batch step takes about a fiftieth longer."""
FAR_REQUESTS = 0.5
"""Extra load assumed for an endpoint in another failure domain."""


class Candidate(NamedTuple):
    """An endpoint eligible for a request.

    Attributes:
        id: Endpoint id.
        running: Estimated number of running and queued requests.
        waiting_tokens: Prompt tokens that it has not read yet.
        slots: Maximum number of concurrent requests.
        near: Whether it is in the entry's own failure domain.
        doubtful: Whether it failed recently and is to be used only as a last
            resort.
    """

    id: str
    running: int
    waiting_tokens: int
    slots: int
    near: bool
    doubtful: bool


class Work(NamedTuple):
    """Size and shared parts of a model request's prompt.

    Attributes:
        tokens: Number of prompt tokens.
        parts: Ids and token counts of the parts shared with other requests,
            the most widely shared ones first.
    """

    tokens: int
    parts: tuple[tuple[str, int], ...]


class Choice(NamedTuple):
    """The chosen endpoint and the prompt tokens probably not cached there."""

    id: str
    tokens: int


def choose(
    candidates: Sequence[Candidate],
    work: Work | None,
    sent_to: Collection[str],
    draws: tuple[float, float],
) -> Choice | None:
    """Returns the endpoint to send to, or None without candidates.

    Args:
        candidates: Endpoints eligible for the request.
        work: Prompt of a model request, None for other requests.
        sent_to: Endpoints that recently received the last shared part.
        draws: Random numbers in [0, 1).
    """
    trusted = [each for each in candidates if not each.doubtful]
    usable = trusted or list(candidates)
    if not usable:
        return None
    if work is None:
        return Choice(_least_loaded(usable, draws[0]).id, 0)
    return _soonest(usable, work, sent_to, draws)


def _least_loaded(usable: list[Candidate], draw: float) -> Candidate:
    def wait(each: Candidate) -> float:
        far = 0.0 if each.near else FAR_REQUESTS
        return (each.running + far) / max(1, each.slots)

    best = min(map(wait, usable))
    ties = [each for each in usable if wait(each) <= best + 1e-9]
    return ties[int(draw * len(ties))]


def _soonest(
    usable: list[Candidate],
    work: Work,
    sent_to: Collection[str],
    draws: tuple[float, float],
) -> Choice:
    affinity = work.parts[-1][0] if work.parts else ""
    ranked = sorted(usable, key=lambda each: _rank(affinity, each.id))
    if not affinity:
        ranked = usable
    others = ranked[RANKED:]
    drawn = {int(draw * len(others)) for draw in draws[:DRAWN] if others}
    considered = [*ranked[:RANKED], *(others[index] for index in drawn)]
    choices = [
        (_delay(each, tokens), place, Choice(each.id, tokens))
        for place, each in enumerate(considered)
        for tokens in [_unread(work, place, each.id in sent_to)]
    ]
    return min(choices)[2]


def _delay(each: Candidate, tokens: int) -> int:
    """Returns the expected time to read the prompt, in prompt tokens."""
    crowd = max(0, each.running - each.slots) * RUNNING_TOKENS * 4
    running = each.running * RUNNING_TOKENS
    return each.waiting_tokens + tokens + running + crowd


def _unread(work: Work, place: int, was_sent: bool) -> int:
    """Returns the number of prompt tokens that are probably not cached.

    The last shared part is assumed to be cached at the highest-ranked endpoint
    and at those that recently received it; more widely shared parts are assumed
    to be cached at every endpoint.
    """
    parts = work.parts if place == 0 or was_sent else work.parts[:-1]
    return max(0, work.tokens - sum(tokens for _, tokens in parts))


def _rank(affinity: str, endpoint: str) -> bytes:
    text = f"{affinity}|{endpoint}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
