"""Which failure domains' callers an entry serves, by its capacity.

A caller chooses among the entries of its look-up with equal probability, so an
entry gets fewer callers only by its absence from some look-ups. The callers of
a failure domain always get the same reply: one that varied would end their
connections. So a smaller entry is returned to the callers of fewer domains.

The largest entries have a place in the look-ups of every domain and the others
in a number of them that is proportional to their capacity, but in one at least,
that of their own domain. All have fewer if the replies cannot hold as many.
Which places these are depends on hashes of the entry only, so that another
entry that comes or goes changes few of them.
"""

import functools
import hashlib
import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

from _arbutuswalk.base import events

LARGEST_FRACTION = 0.25
"""Fraction of all capacity that the entries taken for the largest have at
least, so that a few larger ones that join do not halve all replies."""
MAX_ABOVE_MEAN = 4.0
"""Capacity in means beyond which an entry is not taken for larger, so that a
single very large one does not take the places of all others."""
MIN_ENTRIES = 8
"""Entries of a reply, if there are as many: the caller tries others when some
fail."""
MIN_OTHER_FRACTION = 0.25
"""Fraction of a reply from other domains, in case the caller's is lost."""
_HASH_BYTES = 8
_CACHED_HASHES = 16_384
_CACHED_REPLIES = 16


class EntryAddress(NamedTuple):
    """Where a ready entry accepts callers.

    Attributes:
        address: ``IP:port``.
        domain: Failure domain, empty if unknown.
        cores: Its capacity, 0 if it is not stated.
    """

    address: str
    domain: str
    cores: float = 0.0


def places(
    entries: Sequence[EntryAddress], *, domain_count: int, limit: int
) -> list[float] | None:
    """Returns in the look-ups of how many domains each entry has a place.

    An entry that states no capacity is taken for an average one.

    Args:
        entries: All ready entries.
        domain_count: Failure domains of callers.
        limit: Most entries of a reply.

    Returns:
        Places of each entry, None if all are equal.
    """
    stated = [entry.cores for entry in entries if entry.cores]
    if not stated or min(stated) == max(stated):
        return None
    mean = statistics.fmean(stated)
    capacities = [entry.cores or mean for entry in entries]
    largest = min(_largest(capacities), MAX_ABOVE_MEAN * mean)
    wanted = [
        min(domain_count, max(1.0, domain_count * capacity / largest))
        for capacity in capacities
    ]
    if min(wanted) == max(wanted):
        return None
    scale = min(1.0, domain_count * limit / sum(wanted))
    return [scale * count for count in wanted]


def _largest(capacities: Sequence[float]) -> float:
    """Returns the least capacity of those that are taken for the largest."""
    left = LARGEST_FRACTION * sum(capacities)
    for capacity in sorted(capacities, reverse=True):
        left -= capacity
        if left <= 0:
            return capacity
    return min(capacities)


def with_place(
    entries: Sequence[EntryAddress], *, domain: str, limit: int
) -> list[EntryAddress]:
    """Returns the entries that have a place in the look-ups of a domain.

    Entries without one fill a reply that would be too short, or have too few
    of other domains.
    """
    stated = {entry.cores for entry in entries}
    if len(stated) <= 1:
        return list(entries)
    # What a caller states is cached only if it is a domain of entries.
    known = {entry.domain for entry in entries}
    return list(
        _with_place(tuple(entries), domain if domain in known else "", limit)
    )


@functools.lru_cache(maxsize=_CACHED_REPLIES)
def _with_place(
    entries: tuple[EntryAddress, ...], domain: str, limit: int
) -> tuple[EntryAddress, ...]:
    domains = {entry.domain for entry in entries} | {domain}
    counts = places(entries, domain_count=len(domains), limit=limit)
    if counts is None:
        return entries
    # An entry has a place up to 1; the lowest values beyond are the next ones.
    due = {
        entry: _position(entry, domain, domains) / count
        for entry, count in zip(entries, counts, strict=True)
    }
    ranked = sorted(due, key=lambda entry: (due[entry], entry.address))
    chosen = {entry for entry in ranked if due[entry] < 1.0}
    chosen.update(ranked[:MIN_ENTRIES])
    others = [entry for entry in ranked if entry.domain != domain]
    own_count = sum(entry.domain == domain for entry in chosen)
    other_count = math.ceil(
        own_count * MIN_OTHER_FRACTION / (1 - MIN_OTHER_FRACTION)
    )
    chosen.update(others[: min(other_count, limit)])
    return tuple(entry for entry in entries if entry in chosen)


def _position(entry: EntryAddress, domain: str, domains: set[str]) -> float:
    """Returns the position of a domain in the entry's order of all domains.

    The order starts with the entry's own domain. A fraction that belongs to the
    entry is added, by which the number of its places is rounded up or down.
    """
    fraction = _hash(entry.address, "")
    if domain == entry.domain:
        return fraction
    own_hash = _hash(entry.address, f"/{domain}")
    before = sum(
        _hash(entry.address, f"/{other}") < own_hash
        for other in domains
        if other not in (domain, entry.domain)
    )
    return 1 + before + fraction


@functools.lru_cache(maxsize=_CACHED_HASHES)
def _hash(address: str, text: str) -> float:
    """Returns a number from 0 to 1."""
    digest = hashlib.blake2b(
        f"{address}{text}".encode(), digest_size=_HASH_BYTES
    ).digest()
    return int.from_bytes(digest, "big") / 256**_HASH_BYTES


class CapacityLog:
    """Records which capacities entries state, whenever that changes.

    Attributes:
        last: Smallest and largest capacity, and whether some state none.
    """

    def __init__(self):
        self.last: tuple[float, float, bool] = (0.0, 0.0, True)

    def update(self, entries: Sequence[EntryAddress]) -> None:
        """Records the capacities of the ready entries."""
        stated = [entry.cores for entry in entries if entry.cores]
        smallest, largest = min(stated, default=0.0), max(stated, default=0.0)
        latest = smallest, largest, len(stated) < len(entries)
        if latest != self.last:
            self.last = latest
            events.record(
                events.Event.ENTRY_CAPACITIES,
                len(entries),
                len(stated),
                smallest,
                largest,
            )
