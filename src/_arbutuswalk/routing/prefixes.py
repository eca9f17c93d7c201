"""Index of the prompt prefixes probably cached by an upstream."""

import collections
import hashlib
from collections.abc import Sequence

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
MAX_BLOCKS_PER_PROMPT = 512
TRUST_FACTOR_PER_GAP = 0.5
TRUST_INCREASE_PER_EVENT = 0.05


def hash_blocks(text: str) -> tuple[str, ...]:
    """Returns a chained hash for each complete block of ``text``.

    Two texts have the first n hashes in common if and only if they have the
    first n blocks in common.
    """
    chained_hash = hashlib.blake2b(digest_size=8)
    hashes = []
    block_count = min(len(text) // BLOCK_CHARS, MAX_BLOCKS_PER_PROMPT)
    for i in range(block_count):
        block = text[i * BLOCK_CHARS : (i + 1) * BLOCK_CHARS]
        chained_hash.update(block.encode())
        hashes.append(chained_hash.copy().hexdigest())
    return tuple(hashes)


class PrefixIndex:
    """LRU index of the block hashes probably cached by one upstream.

    Updated from the requests that this entry routes there and from the cache
    events that the upstream publishes. Events arrive late and with gaps; a gap
    lowers the trust in the index instead of clearing it.

    Attributes:
        capacity_blocks: Number of blocks that the cache can hold.
        blocks: Hashes, least recently used first.
        trust: Confidence in a hit, from 0 to 1.
        last_event_sequence: Sequence number of the newest event.
    """

    def __init__(self, *, capacity_tokens: int):
        self.capacity_blocks = max(1, capacity_tokens // BLOCK_TOKENS)
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.trust = 1.0
        self.last_event_sequence = 0

    def record(self, hashes: Sequence[str]) -> None:
        """Records the blocks of a prompt that was sent to the upstream."""
        for block in hashes:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity_blocks:
            self.blocks.popitem(last=False)

    def match(self, hashes: Sequence[str]) -> int:
        """Returns the number of leading blocks that are probably cached."""
        for i, block in enumerate(hashes):
            if block not in self.blocks:
                return i
        return len(hashes)

    def apply_event(
        self, sequence: int, stored: Sequence[str], removed: Sequence[str]
    ) -> None:
        """Applies one cache event; old ones are ignored."""
        if sequence <= self.last_event_sequence:
            return
        if sequence > self.last_event_sequence + 1 and self.last_event_sequence:
            self.trust *= TRUST_FACTOR_PER_GAP
        else:
            self.trust = min(1.0, self.trust + TRUST_INCREASE_PER_EVENT)
        self.last_event_sequence = sequence
        for block in removed:
            self.blocks.pop(block, None)
        self.record(stored)
