"""A stand-in for a model engine: slots, prefix cache, checkable tokens.

Every token names the request it answers, the generation it belongs to and its
place: ``" ref.nonce.k"``. A continued generation keeps the nonce it finds in
the forced prefix, so that a reader can tell spliced generations apart.
"""

import asyncio
import collections
import re
import uuid
from typing import Any

from _arbutuswalk.routing import prefixes

REFERENCE = re.compile(r"ref:([A-Za-z0-9_-]+)")


class Engine:
    """State of one stand-in engine.

    Attributes:
        slots: Requests it runs at a time.
        token_s: Seconds between tokens of an empty engine.
        prefill_tokens_per_s: Speed at which it reads prompts.
        cache_blocks: Blocks its prefix cache holds.
        cache: Block hashes, least recently used first.
        running: Requests in slots.
        waiting: Requests that wait for a slot.
        prompts: Prompt text of each running request, for export.
        sequence: Number of the newest cache event.
        stored: Blocks stored since the last event.
        removed: Blocks removed since the last event.
        computed_tokens: Prompt tokens read and not found in the cache.
        served: Requests it began.
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
        self.cache_blocks = max(1, cache_tokens // prefixes.BLOCK_TOKENS)
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.running = 0
        self.waiting = 0
        self.gate = asyncio.Semaphore(slots)
        self.prompts: dict[str, str] = {}
        self.sequence = 0
        self.stored: list[str] = []
        self.removed: list[str] = []
        self.computed_tokens = 0
        self.served = 0

    def cached_tokens(self, text: str) -> int:
        """Returns how many leading tokens of ``text`` are cached."""
        held = 0
        for block in prefixes.hash_blocks(text):
            if block not in self.cache:
                break
            held += prefixes.BLOCK_TOKENS
        return held

    def store(self, text: str) -> None:
        """Puts a text's blocks into the cache."""
        for block in prefixes.hash_blocks(text):
            if block not in self.cache:
                self.stored.append(block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            block, _ = self.cache.popitem(last=False)
            self.removed.append(block)

    async def prefill(self, text: str) -> int:
        """Reads a prompt; returns how many tokens were cached."""
        cached = self.cached_tokens(text)
        tokens = len(text) // prefixes.CHARS_PER_TOKEN
        uncached = max(0, tokens - cached)
        self.computed_tokens += uncached
        await asyncio.sleep(uncached / self.prefill_tokens_per_s)
        self.store(text)
        return cached

    def take_cache_event(self) -> dict[str, Any] | None:
        """Returns what changed in the cache since the last event."""
        if not self.stored and not self.removed:
            return None
        self.sequence += 1
        event = {
            "sequence": self.sequence,
            "stored": self.stored[-1000:],
            "removed": self.removed[-1000:],
        }
        self.stored, self.removed = [], []
        return event


def reference_of(prompt: str) -> str:
    """Returns the reference that a prompt carries."""
    found = REFERENCE.findall(prompt)
    return found[-1] if found else "none"


def token(reference: str, nonce: str, place: int) -> str:
    """Returns one token's text."""
    return f" {reference}.{nonce}.{place}"


def split_tokens(text: str) -> list[tuple[str, str, int]]:
    """Parses text made of tokens; raises ValueError for anything else."""
    tokens = []
    for part in text.split():
        reference, nonce, place = part.rsplit(".", 2)
        tokens.append((reference, nonce, int(place)))
    return tokens


def start_of(continue_from: dict[str, Any] | None) -> tuple[str, int]:
    """Returns the nonce and the place of the next token."""
    if continue_from:
        tokens = split_tokens(continue_from["text"])
        if tokens:
            return tokens[0][1], len(tokens)
    return uuid.uuid4().hex[:6], 0
