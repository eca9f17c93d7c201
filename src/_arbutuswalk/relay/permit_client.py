"""What an entry knows about permits for endpoints that have a limit."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.limits import permits
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import stated_limits


class Limit(NamedTuple):
    """A limit of an endpoint.

    Attributes:
        rate_per_s: Requests per second from all entries together.
        statement: Statement that it is from, None for that of a warm-up.
    """

    rate_per_s: float
    statement: stated_limits.Statement | None


class LeaderDecision(NamedTuple):
    """The leader's decision on a request for a permit.

    Attributes:
        leader: Address of the leader.
        decision: Whether it grants a permit.
        asking_entries: Number of entries that asked recently.
    """

    leader: str
    decision: permits.Decision
    asking_entries: int


AskLeader = Callable[
    [directory.Endpoint, Limit, float],
    Awaitable[LeaderDecision | str],
]
"""Asks the leader for a permit, given the endpoint, its limit and the longest
wait in seconds. Returns why there is no decision if the leader is
unknown or does not answer."""


class PermitClient:
    """State of an entry's permits.

    Attributes:
        ask_leader: Asks the leader.
        source: Where the last decision came from.
        next_ask_at: Time before which no permit is expected, by endpoint.
        pacers: Pacer of the own share by endpoint, while no leader answers.
    """

    def __init__(self):
        self.ask_leader: AskLeader = _no_leader
        self.source = ""
        self.next_ask_at: dict[str, float] = {}
        self.pacers: dict[str, permits.SharePacer] = {}


async def _no_leader(*_: object) -> str:
    return "no leader is known"
