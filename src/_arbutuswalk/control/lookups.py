"""Selects the entries that a caller's look-up returns.

Designed for more entries than fit one reply. Callers drop their connections to
entries that are missing from a newer reply, so all control processes select the
same entries for a failure domain, and a change of one entry replaces few
others.
"""

import hashlib
from collections.abc import Iterable

from _arbutuswalk.control import entry_places

MAX_OWN_FRACTION = 0.75
"""Largest fraction of a reply in the caller's failure domain, so that the
caller knows other entries if that domain is lost."""


EntryAddress = entry_places.EntryAddress


def select(
    entries: Iterable[EntryAddress], *, domain: str, limit: int
) -> list[EntryAddress]:
    """Returns at most ``limit`` entries for callers in a failure domain.

    Entries of that domain come first, then the others; both are ranked by
    rendezvous hashing on the domain, so that each entry is returned to the
    callers of about as many domains as any other. Entries of less capacity than
    others are returned to the callers of fewer domains.
    """
    candidates = entry_places.with_place(
        list(entries), domain=domain, limit=limit
    )
    ranked = sorted(candidates, key=lambda entry: _rank(domain, entry.address))
    if len(ranked) <= limit:
        return ranked
    own = [entry for entry in ranked if entry.domain == domain]
    others = [entry for entry in ranked if entry.domain != domain]
    own_count = max(
        min(len(own), int(MAX_OWN_FRACTION * limit)), limit - len(others)
    )
    return own[:own_count] + others[: limit - own_count]


def _rank(domain: str, address: str) -> bytes:
    return hashlib.blake2b(f"{domain}|{address}".encode()).digest()
