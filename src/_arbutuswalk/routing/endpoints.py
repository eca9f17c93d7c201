"""Choosing one endpoint of an upstream for a request.

Answers moderate to heavy load by many entries that hear of each other's loads
with a lag. A model request goes where its prompt is read soonest: behind the
tokens that wait there already, and without the parts that are cached there.
Requests that share parts rank the endpoints alike, by rendezvous hashing, so
that entries which never talk send them to the same one until it is crowded.
Plain requests go where the fewest wait.
"""

import hashlib
from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

RANKED = 3
"""Endpoints by rank that a model request considers: enough to leave a crowded
one, few enough that its parts stay in few caches."""
DRAWN = 2
"""Further endpoints, drawn at random, that it considers: entries which see the
same idle endpoint do not all go there at once."""
RUNNING_TOKENS = 150
"""Tokens of a prompt in whose time one more running request delays a first
event: it makes each step of the batch about a fiftieth longer."""
FAR_REQUESTS = 0.5
"""Load that an endpoint in another failure domain counts as more."""


class Candidate(NamedTuple):
    """An endpoint that may get a request.

    Attributes:
        id: Its id.
        running: Requests it runs or holds, by the newest estimate.
        waiting_tokens: Tokens of prompts that it has not read yet.
        slots: Requests it runs at once.
        near: Whether it is in the entry's own failure domain.
        doubtful: Whether it failed lately and should come last.
    """

    id: str
    running: int
    waiting_tokens: int
    slots: int
    near: bool
    doubtful: bool


class Work(NamedTuple):
    """What a model request brings.

    Attributes:
        tokens: Tokens of its prompt.
        parts: Ids and tokens of the parts that others share, the most widely
            shared ones first.
    """

    tokens: int
    parts: tuple[tuple[str, int], ...]


class Choice(NamedTuple):
    """The endpoint chosen, and the tokens it will probably have to read."""

    id: str
    tokens: int


def choose(
    candidates: Sequence[Candidate],
    work: Work | None,
    sent_to: Collection[str],
    draws: tuple[float, float],
) -> Choice | None:
    """Returns the endpoint to send to, None if there are none.

    Args:
        candidates: Endpoints that may get the request.
        work: What a model request brings, None for a plain one.
        sent_to: Endpoints that got the request's last shared part lately.
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
    """Returns tokens' worth of time until the prompt would be read."""
    crowd = max(0, each.running - each.slots) * RUNNING_TOKENS * 4
    running = each.running * RUNNING_TOKENS
    return each.waiting_tokens + tokens + running + crowd


def _unread(work: Work, place: int, was_sent: bool) -> int:
    """Returns the tokens of the prompt that are probably not cached.

    The first in rank is where entries send the last shared part, and so is an
    endpoint that got it lately; the more widely shared ones are everywhere.
    """
    parts = work.parts if place == 0 or was_sent else work.parts[:-1]
    return max(0, work.tokens - sum(tokens for _, tokens in parts))


def _rank(affinity: str, endpoint: str) -> bytes:
    text = f"{affinity}|{endpoint}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
