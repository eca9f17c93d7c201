"""Chooses an upstream by expected queueing, uncached prefill and price.

All cost terms are in seconds, so that they can be added. Ties are broken by
rendezvous hashing on the prompt prefix, so that entries choose the same
upstream without exchanging their choices.
"""

import hashlib
from collections.abc import Sequence
from typing import NamedTuple

from _arbutuswalk.routing import prefixes
from _arbutuswalk.routing import upstreams

LOAD_BOUND_FACTOR = 1.7
"""Ratio of an upstream's load to the mean above which load outweighs cache
affinity, as in consistent hashing with bounded loads."""


class Weights(NamedTuple):
    """Weights of the cost terms.

    Attributes:
        prefill_tokens_per_s: Prefill throughput of an engine.
        service_s: Seconds for which a request holds a slot.
        full_batch_delay_s: Seconds that a full batch adds to a request.
        price_penalty_s: Seconds of latency considered equal to a price that
            is higher by the lowest price.
    """

    prefill_tokens_per_s: float = 6000.0
    service_s: float = 2.0
    full_batch_delay_s: float = 0.15
    price_penalty_s: float = 0.02


DEFAULT_WEIGHTS = Weights()


class Features(NamedTuple):
    """Properties of a request that are known before it is sent.

    Attributes:
        prompt_tokens: Estimated prompt length in tokens.
        blocks: Block hashes of the prompt prefix.
        affinity: Key for rendezvous hashing.
    """

    prompt_tokens: int
    blocks: tuple[str, ...]
    affinity: str


def features_of(prompt: str) -> Features:
    """Returns the features of a prompt."""
    blocks = prefixes.hash_blocks(prompt)
    affinity = blocks[0] if blocks else prompt[: prefixes.BLOCK_CHARS]
    tokens = len(prompt) // prefixes.CHARS_PER_TOKEN
    return Features(tokens, blocks, affinity)


def choose(
    rows: Sequence[upstreams.Row],
    features: Features,
    *,
    weights: Weights = DEFAULT_WEIGHTS,
    avoid: frozenset[str] = frozenset(),
) -> upstreams.Row | None:
    """Returns the cheapest upstream with a free slot, or None.

    Args:
        rows: Upstreams eligible for new requests.
        features: Features of the request.
        weights: Weights of the cost terms.
        avoid: Keys of upstreams to use only if no other has a free slot.
    """
    with_free_slot = [
        row for row in rows if row.load < row.announcement["slots"]
    ]
    preferred = [row for row in with_free_slot if row.key not in avoid]
    candidates = preferred or with_free_slot
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    mean_load = sum(row.load for row in candidates) / len(candidates)
    lowest_price = min(
        (
            row.price_micro_per_hour
            for row in candidates
            if row.price_micro_per_hour
        ),
        default=0,
    )

    def cost(row: upstreams.Row) -> tuple[float, bytes]:
        cost_s = (
            _batch_delay_s(row, mean_load, weights)
            + _prefill_s(row, features, weights)
            + _price_penalty_s(row, lowest_price, weights)
        )
        return round(cost_s, 3), _rendezvous_hash(features.affinity, row)

    return min(candidates, key=cost)


def _batch_delay_s(
    row: upstreams.Row, mean_load: float, weights: Weights
) -> float:
    """Returns the delay by the batch in seconds.

    Up to the load bound it depends on the mean load instead of the upstream's
    own load, so that cache affinity decides.
    """
    slots = max(1, row.announcement["slots"])
    excess_load = row.load + 1 - LOAD_BOUND_FACTOR * (mean_load + 1)
    if excess_load <= 0:
        return weights.full_batch_delay_s * mean_load / slots
    return weights.full_batch_delay_s * (mean_load + excess_load * 4) / slots


def _prefill_s(
    row: upstreams.Row, features: Features, weights: Weights
) -> float:
    cached_tokens = (
        row.prefix_index.match(features.blocks) * prefixes.BLOCK_TOKENS
    )
    uncached_tokens = max(
        0.0, features.prompt_tokens - cached_tokens * row.prefix_index.trust
    )
    return uncached_tokens / weights.prefill_tokens_per_s


def _price_penalty_s(
    row: upstreams.Row, lowest_price: int, weights: Weights
) -> float:
    if not lowest_price or not row.price_micro_per_hour:
        return 0.0
    return weights.price_penalty_s * (
        row.price_micro_per_hour / lowest_price - 1
    )


def _rendezvous_hash(affinity: str, row: upstreams.Row) -> bytes:
    text = f"{affinity}|{row.announcement['id']}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
