"""Values that the agreement functions take and return."""

import enum
import json
from typing import NamedTuple

from _arbutuswalk.storage import wal

NOTHING = b"N"
MEMBERS = b"M"
COMMAND = b"A"


class Role(enum.Enum):
    """What a member currently does in its term."""

    FOLLOWER = "follower"
    TRIAL = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """Durations in seconds.

    ``lease_s`` must stay below ``election_s`` by more than the clocks of two
    members can drift apart over one election timeout.
    """

    heartbeat_s: float = 0.1
    election_s: float = 0.6
    lease_s: float = 0.45
    replace_after_s: float = 10.0


class Members(NamedTuple):
    """Who belongs to the group.

    Attributes:
        group: Random name of the group, empty before there is one.
        voters: Member ids that vote.
        learners: Member ids that only receive the log.
        addresses: ``IP:port`` of each member id.
        formed: Whether the group once had its full number of voters; before
            that it accepts no commands.
    """

    group: str = ""
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    addresses: dict[str, str] = {}
    formed: bool = False


class Outgoing(NamedTuple):
    """A message to send.

    Attributes:
        to: Member id.
        message: Generated thrift struct.
        after_sync: Whether it promises something that has to be durable.
    """

    to: str
    message: object
    after_sync: bool


class Ready(NamedTuple):
    """Work the caller has to do, in this order.

    Send ``early``; make ``snapshot``, then ``vote``, ``entries`` and
    ``commit`` durable; call ``replication.saved``; send ``late``. Nothing
    depends on ``commit`` being durable but how soon a restart knows its state.
    """

    early: list[Outgoing]
    snapshot: wal.Snapshot | None
    vote: wal.Vote | None
    entries: list[wal.LogEntry]
    late: list[Outgoing]
    commit: int | None = None


def pack_members(members: Members) -> bytes:
    """Returns the log command that sets ``members``."""
    return MEMBERS + json.dumps(members._asdict(), sort_keys=True).encode()


def unpack_members(command: bytes) -> Members:
    """Parses a command made by ``pack_members``."""
    values = json.loads(command[1:])
    values["voters"] = tuple(values["voters"])
    values["learners"] = tuple(values["learners"])
    return Members(**values)
