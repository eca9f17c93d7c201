"""Which endpoints lately got which shared part of a prompt."""

import collections

KEPT_S = 8.0
"""How long a part counts as cached where it was sent: engines keep parts by
last use, for some seconds under load."""
MOST_PARTS = 20_000
"""Parts remembered; the oldest go first."""


class Recent:
    """Times at which this entry sent parts to endpoints.

    Attributes:
        sent: Time by endpoint, by part, the part sent last at the end.
    """

    def __init__(self):
        self.sent: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def note(self, part: str, endpoint: str, now: float) -> None:
        """Notes that an endpoint got a part."""
        self.sent.setdefault(part, {})[endpoint] = now
        self.sent.move_to_end(part)
        if len(self.sent) > MOST_PARTS:
            self.sent.popitem(last=False)

    def holders(self, part: str, now: float) -> set[str]:
        """Returns the endpoints that probably still hold a part."""
        return {
            endpoint
            for endpoint, at in self.sent.get(part, {}).items()
            if now - at <= KEPT_S
        }
