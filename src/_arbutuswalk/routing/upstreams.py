"""The table of upstreams an entry knows, and the systems that age it."""

import dataclasses
import enum
from typing import NamedTuple

from _arbutuswalk.routing import announcements
from _arbutuswalk.routing import prefixes

SUSPECT_AFTER_S = 1.5
GONE_AFTER_S = 4.0


class Health(enum.Enum):
    """Whether an upstream may get new work."""

    USABLE = "usable"
    SUSPECT = "suspect"
    LEAVING = "leaving"


class Row:
    """One upstream as this entry sees it.

    Attributes:
        said: Its newest announcement.
        heard_at: When that was made, in this entry's seconds.
        failed_at: When a connection to it last failed, or minus infinity.
        leaves_at: When it goes away, if it is leaving.
        sent: Attempts sent since the load report it carries.
        ended: Attempts ended since that report.
        active: Ids of this entry's attempts that run there now.
        broken: Fingerprints of attempts that broke off there, while it is
            not known whether the upstream died.
        spared: When a broken attempt's upstream was found alive, in seconds,
            by fingerprint.
        isolated: Fingerprint it is reserved for, or empty.
        index: Prefixes its cache probably holds.
        price: Micro-units an hour, zero if unknown.
    """

    def __init__(self, *, said: announcements.Announcement, heard_at: float):
        self.said = said
        self.heard_at = heard_at
        self.failed_at = float("-inf")
        self.leaves_at = float("inf")
        self.sent = 0
        self.ended = 0
        self.active: dict[str, None] = {}
        self.broken: set[str] = set()
        self.spared: dict[str, float] = {}
        self.isolated = ""
        self.index = prefixes.PrefixIndex(capacity_tokens=said["cache_tokens"])
        self.price = 0

    @property
    def name(self) -> str:
        """Name of the upstream in the inventory."""
        return self.said["upstream"]

    @property
    def key(self) -> str:
        """Identity and incarnation."""
        return f"{self.said['id']}/{self.said['incarnation']}"

    @property
    def load(self) -> int:
        """Requests it runs: its report and what was sent since."""
        reported = self.said["running"] + self.sent - self.ended
        return max(reported, len(self.active))

    def health(self, now: float) -> Health:
        """Returns whether it may get new work at ``now``."""
        if self.said["leaving"] or self.leaves_at < float("inf"):
            return Health.LEAVING
        if now - self.heard_at > SUSPECT_AFTER_S:
            return Health.SUSPECT
        if self.failed_at >= self.heard_at:
            return Health.SUSPECT
        return Health.USABLE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Joined:
    """A new upstream or a new incarnation of one.

    Attributes:
        replaced: The row of the older incarnation, if any.
    """

    row: Row
    replaced: Row | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renewed:
    """A known upstream was heard again."""

    row: Row
    now_leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The announcement contradicts what is known."""

    reason: str


class Gone(NamedTuple):
    """An upstream that was removed from the table."""

    row: Row
    reason: str


class Table:
    """Upstreams by identity.

    Attributes:
        rows: Row by identity.
        by_name: Identities by inventory name.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.by_name: dict[str, dict[str, Row]] = {}

    def named(self, name: str) -> list[Row]:
        """Returns the rows of one upstream name."""
        return list(self.by_name.get(name, {}).values())

    def put(self, row: Row) -> None:
        """Adds or replaces a row."""
        identity = row.said["id"]
        self.remove(identity)
        self.rows[identity] = row
        self.by_name.setdefault(row.name, {})[identity] = row

    def remove(self, identity: str) -> Row | None:
        """Removes and returns a row."""
        row = self.rows.pop(identity, None)
        if row is not None:
            self.by_name[row.name].pop(identity, None)
        return row


def announce(
    table: Table, said: announcements.Announcement, *, heard_at: float
) -> Joined | Renewed | Refused:
    """Takes an announcement, made at ``heard_at`` by this entry's clock."""
    row = table.rows.get(said["id"])
    if row is None or row.said["incarnation"] < said["incarnation"]:
        fresh = Row(said=said, heard_at=heard_at)
        _note_leaving(fresh, said, heard_at)
        table.put(fresh)
        return Joined(row=fresh, replaced=row)
    if row.said["incarnation"] > said["incarnation"]:
        return Refused(reason="an incarnation that has been replaced")
    if row.said["address"] != said["address"]:
        return Refused(reason="the identity of an upstream elsewhere")
    if row.said["upstream"] != said["upstream"]:
        return Refused(reason="another upstream name in one incarnation")
    if row.said["sequence"] >= said["sequence"]:
        return Renewed(row=row, now_leaving=False)
    was_leaving = row.health(heard_at) is Health.LEAVING
    row.said = said
    row.heard_at = max(row.heard_at, heard_at)
    row.sent = row.ended = 0
    _note_leaving(row, said, heard_at)
    return Renewed(row=row, now_leaving=said["leaving"] and not was_leaving)


def _note_leaving(
    row: Row, said: announcements.Announcement, heard_at: float
) -> None:
    if said["leaving"]:
        row.leaves_at = min(row.leaves_at, heard_at + said["leave_in_s"])


def expire(table: Table, now: float) -> list[Gone]:
    """Removes upstreams that were not heard for too long."""
    gone = []
    for identity, row in list(table.rows.items()):
        if now - row.heard_at > GONE_AFTER_S:
            table.remove(identity)
            gone.append(Gone(row, "no announcement"))
    return gone


def mark_leaving(
    table: Table, instances: dict[str, float], now: float
) -> list[Row]:
    """Marks upstreams on leaving instances; returns the newly marked.

    Args:
        table: The table.
        instances: Seconds of notice by instance.
        now: When the notice was heard.
    """
    marked = []
    for row in table.rows.values():
        notice_s = instances.get(row.said["instance"])
        if notice_s is None or row.health(now) is Health.LEAVING:
            continue
        row.leaves_at = now + notice_s
        marked.append(row)
    return marked


def usable(table: Table, name: str, now: float) -> list[Row]:
    """Returns the upstreams of a name that may get new work."""
    return [
        row
        for row in table.named(name)
        if row.health(now) is Health.USABLE and not row.isolated
    ]


def only_reserved(table: Table, name: str, now: float) -> bool:
    """Tells whether all that are up are reserved for suspects, for a moment.

    A reservation ends once its suspect has completed or is convicted.
    """
    up = [row for row in table.named(name) if row.health(now) is Health.USABLE]
    return bool(up) and all(row.isolated for row in up)
