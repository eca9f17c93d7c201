"""What an entry knows about the slots of brittle endpoints."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.routing import leaving
from _arbutuswalk.wire import slot_messages


class LeaderReply(NamedTuple):
    """The leader's reply to a message about slots.

    Attributes:
        leader: Address and term of the leader.
        endpoint_id: Endpoint whose slot it gave out, empty if it gave out none.
    """

    leader: str
    endpoint_id: str


class Lease(NamedTuple):
    """A slot that this entry was given.

    Attributes:
        leader: Address and term of the leader that gave it out.
        start: The endpoint.
    """

    leader: str
    start: leaving.Start


MakeContent = Callable[[str], slot_messages.Content]
"""Returns the content of a message to the leader with this address and term."""
CallLeader = Callable[[MakeContent, float], Awaitable[LeaderReply | str]]
"""Sends a message to the leader, given the longest wait for a slot in seconds.
Returns why there is no reply if the leader is unknown or does not answer."""


class SlotClient:
    """State of an entry's slots.

    Attributes:
        call_leader: Sends a message to the leader.
        source: Where the last slot came from.
        replied_at: When a leader last replied, in seconds.
        leases: Lease by id.
        ended: Ends that the leader has not been told.
        is_reporting: Whether a task reports them.
        lease_count: Leases asked for so far.
        away_until: Time until which an endpoint that turned a request away gets
            none while no leader answers.
        invalid_from: Endpoints that made an invalid statement.
    """

    def __init__(self, *, now: float):
        self.call_leader: CallLeader = _no_leader
        self.source = ""
        self.replied_at = now
        self.leases: dict[str, Lease] = {}
        self.ended: list[slot_messages.Ended] = []
        self.is_reporting = False
        self.lease_count = 0
        self.away_until: dict[leaving.Start, float] = {}
        self.invalid_from: set[leaving.Start] = set()


async def _no_leader(*_: object) -> str:
    return "no leader is known"
