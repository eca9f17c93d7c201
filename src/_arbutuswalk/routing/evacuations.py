"""Evacuated failure domains, as processes that send to endpoints know them."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import rows
from _arbutuswalk.base import settings
from _arbutuswalk.routing import endpoint_fields

OPEN = "open"


class Evacuation(NamedTuple):
    """The state of one failure domain.

    Attributes:
        state: ``open``; with any other state nothing is sent there.
        step: Number of its changes.
        changed_ms: Time of the last change, in Unix milliseconds.
    """

    state: str
    step: int
    changed_ms: int


class Evacuations:
    """The newest known state of each failure domain that ever had one.

    Attributes:
        by_domain: State by failure domain.
        domains: The domains that are evacuated.
    """

    def __init__(self):
        self.by_domain: dict[str, Evacuation] = {}
        self.domains: frozenset[str] = frozenset()

    def merge(self, domain: str, received: Evacuation) -> bool:
        """Merges a state from any control process.

        One that lags behind the others is not followed back.

        Returns:
            Whether the state is newer than the known one.
        """
        known = self.by_domain.get(domain)
        if known is not None and _order(received) <= _order(known):
            return False
        self.by_domain[domain] = received
        self.domains = frozenset(
            name
            for name, evacuation in self.by_domain.items()
            if evacuation.state != OPEN
        )
        return True


def from_json(values: Any) -> dict[str, Evacuation]:
    """Returns the states in a decoded JSON value by domain.

    Those that cannot be used are left out, and the others hold.

    Args:
        values: Fields by domain; of a later build there may be more of them.
    """
    if not isinstance(values, Mapping):
        return {}
    parsed = {domain: _parse(domain, row) for domain, row in values.items()}
    return {domain: row for domain, row in parsed.items() if row is not None}


def _parse(domain: str, fields: Any) -> Evacuation | None:
    if not endpoint_fields.is_name(domain) or not isinstance(fields, list):
        return None
    try:
        evacuation = rows.parse(Evacuation, fields)
    except TypeError:
        return None
    is_usable = (
        endpoint_fields.is_name(evacuation.state)
        and settings.is_non_negative_int(evacuation.step)
        and settings.is_non_negative_int(evacuation.changed_ms)
    )
    return evacuation if is_usable else None


def _order(evacuation: Evacuation) -> tuple[int, int]:
    """Orders states; the steps begin again if control has lost its disks."""
    return evacuation.changed_ms, evacuation.step
