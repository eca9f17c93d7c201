"""Decides how many endpoints of which kind run in which failure domain."""

from typing import Any

from _arbutuswalk.control import process

Wanted = tuple[str, str, bool, int]
"""Upstream, failure domain, whether reclaimable, and number."""


class Fleet:
    """Orders of this holder.

    Attributes:
        ordered: Number that was last accepted, by upstream, domain and kind.
        refused_at: When an order was last refused, by the same.
    """

    def __init__(self):
        self.ordered: dict[tuple[str, str, bool], int] = {}
        self.refused_at: dict[tuple[str, str, bool], float] = {}

    def note(self, order: Any, accepted: bool, now: float) -> None:
        """Notes the outcome of an order."""
        key = (order.upstream, order.domain, order.reclaimable)
        if accepted:
            self.ordered[key] = order.count
            self.refused_at.pop(key, None)
        else:
            self.refused_at[key] = now


def decide(parts: process.Parts, fleet: Fleet) -> list[Wanted]:
    """Returns the orders that are due."""
    del parts, fleet
    return []
