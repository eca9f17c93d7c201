"""A simulated model engine with slots, a prefix cache and traceable tokens.

Every token consists of the reference of its request, the id of its generation
and its position: ``" reference.generation_id.position"``. A generation that
continues a forced prefix takes over the generation id in that prefix, so that
a reader can detect tokens of two generations in one answer.
"""

import asyncio
import collections
import re
import uuid
from typing import Any

from _arbutuswalk.routing import prefixes

REFERENCE_PATTERN = re.compile(r"ref:([A-Za-z0-9_-]+)")


class Engine:
    """State of one simulated engine.

    Attributes:
        slots: Maximum number of concurrent requests.
        token_s: Seconds for each generated token.
        prefill_tokens_per_s: Uncached prompt tokens processed per second.
        cache_capacity_blocks: Capacity of the prefix cache, in blocks.
        cached_blocks: Hashes of cached blocks, least recently used first.
        running_count: Number of requests that occupy a slot.
        waiting_count: Number of requests that wait for a slot.
        slot_semaphore: Limits the concurrent requests to ``slots``.
        prompts_by_request_id: Prompts including forced prefixes, for export
            of the cache.
        event_sequence: Sequence number of the last cache event.
        stored_blocks: Blocks added since the last cache event.
        removed_blocks: Blocks evicted since the last cache event.
        computed_tokens: Total prompt tokens that were not cached.
        started_requests: Total requests that obtained a slot.
    """

    def __init__(
        self,
        *,
        slots: int,
        token_s: float,
        prefill_tokens_per_s: float,
        cache_tokens: int,
    ):
        self.slots = slots
        self.token_s = token_s
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.cache_capacity_blocks = max(
            1, cache_tokens // prefixes.BLOCK_TOKENS
        )
        self.cached_blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.running_count = 0
        self.waiting_count = 0
        self.slot_semaphore = asyncio.Semaphore(slots)
        self.prompts_by_request_id: dict[str, str] = {}
        self.event_sequence = 0
        self.stored_blocks: list[str] = []
        self.removed_blocks: list[str] = []
        self.computed_tokens = 0
        self.started_requests = 0

    def count_cached_tokens(self, text: str) -> int:
        """Returns how many leading tokens of ``text`` are cached."""
        cached_tokens = 0
        for block in prefixes.hash_blocks(text):
            if block not in self.cached_blocks:
                break
            cached_tokens += prefixes.BLOCK_TOKENS
        return cached_tokens

    def cache_text(self, text: str) -> None:
        """Adds the blocks of ``text`` to the cache and evicts the oldest."""
        for block in prefixes.hash_blocks(text):
            if block not in self.cached_blocks:
                self.stored_blocks.append(block)
            self.cached_blocks[block] = None
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > self.cache_capacity_blocks:
            block, _ = self.cached_blocks.popitem(last=False)
            self.removed_blocks.append(block)

    async def prefill(self, text: str) -> int:
        """Processes a prompt; returns how many of its tokens were cached."""
        cached_tokens = self.count_cached_tokens(text)
        prompt_tokens = len(text) // prefixes.CHARS_PER_TOKEN
        uncached_tokens = max(0, prompt_tokens - cached_tokens)
        self.computed_tokens += uncached_tokens
        await asyncio.sleep(uncached_tokens / self.prefill_tokens_per_s)
        self.cache_text(text)
        return cached_tokens

    def take_cache_event(self) -> dict[str, Any] | None:
        """Returns the cache changes since the last event, or None.

        An event lists the newest 1000 blocks of each kind at most.
        """
        if not self.stored_blocks and not self.removed_blocks:
            return None
        self.event_sequence += 1
        event = {
            "sequence": self.event_sequence,
            "stored": self.stored_blocks[-1000:],
            "removed": self.removed_blocks[-1000:],
        }
        self.stored_blocks, self.removed_blocks = [], []
        return event


def parse_reference(prompt: str) -> str:
    """Returns the last ``ref:`` value in a prompt, or ``none``."""
    references = REFERENCE_PATTERN.findall(prompt)
    return references[-1] if references else "none"


def format_token(reference: str, generation_id: str, position: int) -> str:
    """Returns the text of one token."""
    return f" {reference}.{generation_id}.{position}"


def parse_tokens(text: str) -> list[tuple[str, str, int]]:
    """Parses generated text into (reference, generation id, position).

    Raises:
        ValueError: The text is not made of tokens of this engine.
    """
    tokens = []
    for token in text.split():
        reference, generation_id, position = token.rsplit(".", 2)
        tokens.append((reference, generation_id, int(position)))
    return tokens


def continuation_start(continue_from: dict[str, Any] | None) -> tuple[str, int]:
    """Returns the generation id and the position of the next token."""
    if continue_from:
        tokens = parse_tokens(continue_from["text"])
        if tokens:
            return tokens[0][1], len(tokens)
    return uuid.uuid4().hex[:6], 0
