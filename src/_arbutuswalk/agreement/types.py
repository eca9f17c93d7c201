"""Types shared by the modules of the replicated log."""

import enum
import json
from typing import NamedTuple

from _arbutuswalk.storage import wal

NOOP_KIND = b"N"
MEMBERS_KIND = b"M"
COMMAND_KIND = b"A"


class Role(enum.Enum):
    """Role of a member in its term; ``TRIAL`` is a pre-vote."""

    FOLLOWER = "follower"
    TRIAL = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """Timeouts and intervals in seconds.

    ``lease_s`` must stay below ``election_s`` by more than the clocks of two
    members can drift apart over one election timeout.
    """

    heartbeat_s: float = 0.1
    election_s: float = 0.6
    lease_s: float = 0.45
    replace_after_s: float = 10.0


class Members(NamedTuple):
    """Membership of the group.

    Attributes:
        group: Random name of the group, empty before there is one.
        voters: Ids of the members that vote.
        learners: Ids of the members that receive the log but do not vote.
        addresses: ``IP:port`` of each member id.
        formed: Whether the group once had its full number of voters; until
            then it accepts no commands.
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
        after_sync: Whether it may be sent only after the state it confirms is
            durable.
    """

    to: str
    message: object
    after_sync: bool


class Ready(NamedTuple):
    """Work for the caller, in this order.

    Send ``early``; make ``snapshot``, then ``vote``, ``entries`` and
    ``commit`` durable; call ``replication.saved``; send ``late``. A durable
    ``commit`` only lets a restarted member rebuild its state sooner.
    """

    early: list[Outgoing]
    snapshot: wal.Snapshot | None
    vote: wal.Vote | None
    entries: list[wal.LogEntry]
    late: list[Outgoing]
    commit: int | None = None


def pack_members(members: Members) -> bytes:
    """Returns the log command that sets ``members``."""
    return MEMBERS_KIND + json.dumps(members._asdict(), sort_keys=True).encode()


def unpack_members(command: bytes) -> Members:
    """Parses a command made by ``pack_members``, also of a later build."""
    values = json.loads(command[1:])
    values = {name: values[name] for name in Members._fields if name in values}
    values["voters"] = tuple(values["voters"])
    values["learners"] = tuple(values["learners"])
    return Members(**values)
