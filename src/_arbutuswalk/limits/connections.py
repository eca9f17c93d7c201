"""Division of a limit of connections to one endpoint among the entries.

Each entry may hold some connections of its own, in use or idle. The rest is
for connections in use beyond that, by whichever entries need them. Entries keep
no idle connection beyond their own, so all together hold no more than the limit
while each knows the number of entries and what the others use.
"""

from typing import NamedTuple

SHARED_PER_SLOT = 2
"""Shared connections per slot of an endpoint, as far as the limit permits:
enough to keep it busy and fill its queue, so that entries with unequal load
have to refuse nothing that it could serve."""
MAX_PART_OF_FREE = 3
"""Most of the free shared connections that an entry uses, as a multiple of its
part of all connections in use. Entries learn with a delay what others use, and
many of them would otherwise take the same free connections."""


class Division(NamedTuple):
    """How the connections to one endpoint are divided.

    Attributes:
        own: Connections that each entry may hold.
        shared: Connections in use, by all entries together, up to which an
            entry may use more than its own.
    """

    own: int
    shared: int


def divide(limit: int, entries: int, slots: int) -> Division:
    """Divides a limit among the entries.

    Args:
        limit: Connections that the endpoint accepts.
        entries: Number of entries.
        slots: Requests that the endpoint processes at a time.
    """
    entries = max(1, entries)
    shared = min(limit, SHARED_PER_SLOT * max(1, slots))
    own = (limit - shared) // entries
    return Division(own, limit - own * entries)


def has_own(division: Division, own_in_use: int) -> bool:
    """Returns whether one of an entry's own connections is not in use.

    It may always use one, so that no entry is left without.
    """
    return own_in_use < max(1, division.own)


def may_use_another(
    division: Division, own_in_use: int, others_in_use: int
) -> bool:
    """Returns whether an entry may use one more connection."""
    if has_own(division, own_in_use):
        return True
    in_use = own_in_use + others_in_use
    free = division.shared - in_use
    used_of_shared = own_in_use - division.own
    most_of_shared = MAX_PART_OF_FREE * free * own_in_use / in_use
    return free > 0 and used_of_shared < most_of_shared
