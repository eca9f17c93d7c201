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

RANKED_CANDIDATES = 3
"""Highest-ranked endpoints considered for a model request: enough to avoid an
overloaded one, few enough that shared parts occupy few caches."""
RANDOM_CANDIDATES = 2
"""Further endpoints considered, sampled at random, so that entries which see
the same idle endpoint do not all choose it at once."""
RUNNING_REQUEST_DELAY_TOKENS = 150
"""Delay of the first event by one more running request, as the number of prompt
tokens read in that time: each batch step takes about a fiftieth longer."""
REMOTE_DOMAIN_LOAD_REQUESTS = 0.5
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
        slowness: Time that it takes for the same work, relative to the typical
            endpoint of the upstream.
    """

    id: str
    running: int
    waiting_tokens: int
    slots: int
    near: bool
    doubtful: bool
    slowness: float = 1.0


class PromptProfile(NamedTuple):
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


class Work(NamedTuple):
    """Expected work at an endpoint before a request's first event.

    Its unit is a prompt token read by the typical endpoint for model requests,
    else the usual answer of the upstream.

    Attributes:
        own: Work of the request itself.
        others: Work of other requests before or beside it.
    """

    own: float
    others: float


def choose(
    candidates: Sequence[Candidate],
    prompt_profile: PromptProfile | None,
    recent_holders: Collection[str],
    draws: tuple[float, float],
) -> Choice | None:
    """Returns the endpoint to send to, or None without candidates.

    Args:
        candidates: Endpoints eligible for the request.
        prompt_profile: Prompt of a model request, None for other requests.
        recent_holders: Endpoints that recently received the last shared part.
        draws: Random numbers in [0, 1).
    """
    healthy = [candidate for candidate in candidates if not candidate.doubtful]
    usable = healthy or list(candidates)
    if not usable:
        return None
    if prompt_profile is None:
        return Choice(_least_loaded(usable, draws[0]).id, 0)
    return _shortest_delay(usable, prompt_profile, recent_holders, draws)


def _least_loaded(usable: list[Candidate], draw: float) -> Candidate:
    loads_per_slot = [
        (running + (0.0 if near else REMOTE_DOMAIN_LOAD_REQUESTS))
        / (slots if slots > 1 else 1)
        * slowness
        for _, running, _, slots, near, _, slowness in usable
    ]
    highest_load = min(loads_per_slot) + 1e-9
    least_loaded = [
        candidate
        for candidate, load in zip(usable, loads_per_slot, strict=True)
        if load <= highest_load
    ]
    return least_loaded[int(draw * len(least_loaded))]


def _shortest_delay(
    usable: list[Candidate],
    prompt_profile: PromptProfile,
    recent_holders: Collection[str],
    draws: tuple[float, float],
) -> Choice:
    affinity_key = prompt_profile.parts[-1][0] if prompt_profile.parts else ""
    ranked = sorted(
        usable,
        key=lambda candidate: _rendezvous_hash(affinity_key, candidate.id),
    )
    if not affinity_key:
        ranked = usable
    lower_ranked = ranked[RANKED_CANDIDATES:]
    sampled = {
        int(draw * len(lower_ranked))
        for draw in draws[:RANDOM_CANDIDATES]
        if lower_ranked
    }
    considered = [
        *ranked[:RANKED_CANDIDATES],
        *(lower_ranked[sampled_index] for sampled_index in sampled),
    ]
    ranked_choices = [
        (_delay_tokens(candidate, tokens), rank, Choice(candidate.id, tokens))
        for rank, candidate in enumerate(considered)
        for tokens in [
            _uncached_tokens(
                prompt_profile, rank, candidate.id in recent_holders
            )
        ]
    ]
    return min(ranked_choices)[2]


def _delay_tokens(candidate: Candidate, tokens: int) -> float:
    """Returns the expected time to the first event.

    Its unit is the time in which the typical endpoint reads a prompt token.
    """
    queued_tokens = (
        max(0, candidate.running - candidate.slots)
        * RUNNING_REQUEST_DELAY_TOKENS
        * 4
    )
    running_tokens = candidate.running * RUNNING_REQUEST_DELAY_TOKENS
    delay_tokens = (
        candidate.waiting_tokens + tokens + running_tokens + queued_tokens
    )
    return delay_tokens * candidate.slowness


def expected_work(candidate: Candidate, tokens: int) -> Work:
    """Returns the expected work before the first event of a model request.

    Args:
        candidate: The endpoint.
        tokens: Prompt tokens of the request that are not cached there.
    """
    own = tokens * candidate.slowness
    return Work(own, _delay_tokens(candidate, tokens) - own)


def expected_queue(candidate: Candidate) -> Work:
    """Returns the expected work before the answer of any other request.

    Each slot ends one request in the time of an answer.
    """
    queued = max(0, candidate.running + 1 - candidate.slots)
    return Work(
        candidate.slowness,
        candidate.slowness * queued / max(1, candidate.slots),
    )


def _uncached_tokens(
    prompt_profile: PromptProfile, rank: int, recently_sent: bool
) -> int:
    """Returns the number of prompt tokens that are probably not cached.

    The last shared part is assumed to be cached at the highest-ranked endpoint
    and at those that recently received it; more widely shared parts are assumed
    to be cached at every endpoint.
    """
    parts = (
        prompt_profile.parts
        if rank == 0 or recently_sent
        else prompt_profile.parts[:-1]
    )
    return max(0, prompt_profile.tokens - sum(tokens for _, tokens in parts))


def _rendezvous_hash(affinity_key: str, endpoint: str) -> bytes:
    hash_input = f"{affinity_key}|{endpoint}".encode()
    return hashlib.blake2b(hash_input, digest_size=8).digest()
