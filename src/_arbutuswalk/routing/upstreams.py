"""Table of the upstreams known to an entry."""

import dataclasses
import enum
from typing import NamedTuple

from _arbutuswalk.routing import announcements
from _arbutuswalk.routing import prefixes

SUSPECT_AFTER_S = 1.5
GONE_AFTER_S = 4.0


class Health(enum.Enum):
    """Whether an upstream is eligible for new requests."""

    USABLE = "usable"
    SUSPECT = "suspect"
    LEAVING = "leaving"


class Row:
    """One upstream as seen by this entry.

    Attributes:
        announcement: Newest announcement.
        announced_at: When it was made, in seconds of this entry's clock.
        stalled_s: For how long this entry has stood still since then.
        failed_at: When a connection to it last failed, or minus infinity.
        leaves_at: When it shuts down, infinity unless it is leaving.
        sent_since_report: Attempts sent since the newest announcement.
        ended_since_report: Attempts ended since the newest announcement.
        active_attempts: Ids of this entry's attempts running there.
        unconfirmed_crashes: Fingerprints of attempts whose connection was
            lost, while it is not known whether the upstream died.
        survived_at: When the upstream of an attempt with a lost connection was
            found alive, in seconds, by fingerprint.
        isolated: Fingerprint of the request it is reserved for, or empty.
        prefix_index: Prefixes that are probably cached there.
        price_micro_per_hour: Price in micro-units, zero if unknown.
    """

    def __init__(
        self, *, announcement: announcements.Announcement, announced_at: float
    ):
        self.announcement = announcement
        self.announced_at = announced_at
        self.stalled_s = 0.0
        self.failed_at = float("-inf")
        self.leaves_at = float("inf")
        self.sent_since_report = 0
        self.ended_since_report = 0
        self.active_attempts: dict[str, None] = {}
        self.unconfirmed_crashes: set[str] = set()
        self.survived_at: dict[str, float] = {}
        self.isolated = ""
        self.prefix_index = prefixes.PrefixIndex(
            capacity_tokens=announcement["cache_tokens"]
        )
        self.price_micro_per_hour = 0

    @property
    def name(self) -> str:
        """Upstream name in the inventory."""
        return self.announcement["upstream"]

    @property
    def key(self) -> str:
        """Identity and incarnation."""
        return f"{self.announcement['id']}/{self.announcement['incarnation']}"

    @property
    def load(self) -> int:
        """Estimated running requests: the announced ones and later changes."""
        reported = (
            self.announcement["running"]
            + self.sent_since_report
            - self.ended_since_report
        )
        return max(reported, len(self.active_attempts))

    def silence_s(self, now: float) -> float:
        """Returns how long this entry has run without an announcement."""
        return now - self.announced_at - self.stalled_s

    def health(self, now: float) -> Health:
        """Returns whether it is eligible for new requests at ``now``."""
        if self.announcement["leaving"] or self.leaves_at < float("inf"):
            return Health.LEAVING
        if self.silence_s(now) > SUSPECT_AFTER_S:
            return Health.SUSPECT
        if self.failed_at >= self.announced_at:
            return Health.SUSPECT
        return Health.USABLE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Joined:
    """A new upstream, or a new incarnation of a known one.

    Attributes:
        row: Its new row.
        replaced: Row of the previous incarnation, if any.
    """

    row: Row
    replaced: Row | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renewed:
    """An announcement of a known incarnation."""

    row: Row
    now_leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """An announcement that contradicts an earlier one."""

    reason: str


class Gone(NamedTuple):
    """An upstream that was removed from the table."""

    row: Row
    reason: str


class Table:
    """Upstreams known to an entry.

    Attributes:
        rows: Row by identity.
        by_name: Rows by identity, by inventory name.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.by_name: dict[str, dict[str, Row]] = {}

    def rows_for(self, name: str) -> list[Row]:
        """Returns the rows of an inventory name."""
        return list(self.by_name.get(name, {}).values())

    def put(self, row: Row) -> None:
        """Adds a row, replacing one of the same identity."""
        identity = row.announcement["id"]
        self.remove(identity)
        self.rows[identity] = row
        self.by_name.setdefault(row.name, {})[identity] = row

    def remove(self, identity: str) -> Row | None:
        """Removes and returns the row of an identity, None if unknown."""
        row = self.rows.pop(identity, None)
        if row is not None:
            self.by_name[row.name].pop(identity, None)
        return row


def announce(
    table: Table,
    announcement: announcements.Announcement,
    *,
    announced_at: float,
    configured_names: frozenset[str] | None = None,
) -> Joined | Renewed | Refused:
    """Applies an announcement.

    Args:
        table: Upstreams known so far.
        announcement: The announcement.
        announced_at: When it was made, in seconds of this entry's clock.
        configured_names: Names in the inventory, None while there is none. An
            announcement of another name takes no identity from one of these.
    """
    row = table.rows.get(announcement["id"])
    is_named = _is_named(announcement["upstream"], configured_names)
    row_is_named = row is None or _is_named(row.name, configured_names)
    if row is not None and row_is_named and not is_named:
        return Refused(reason="the identity of a configured upstream")
    if (
        row is None
        or (is_named and not row_is_named)
        or row.announcement["incarnation"] < announcement["incarnation"]
    ):
        new_row = Row(announcement=announcement, announced_at=announced_at)
        _record_leaving(new_row, announcement, announced_at)
        table.put(new_row)
        return Joined(row=new_row, replaced=row)
    if row.announcement["incarnation"] > announcement["incarnation"]:
        return Refused(reason="an incarnation that has been replaced")
    if row.announcement["address"] != announcement["address"]:
        return Refused(reason="the identity of an upstream elsewhere")
    if row.announcement["upstream"] != announcement["upstream"]:
        return Refused(reason="another upstream name in one incarnation")
    if row.announcement["sequence"] >= announcement["sequence"]:
        return Renewed(row=row, now_leaving=False)
    was_leaving = row.health(announced_at) is Health.LEAVING
    row.announcement = announcement
    if announced_at > row.announced_at:
        row.announced_at = announced_at
        row.stalled_s = 0.0
    row.sent_since_report = row.ended_since_report = 0
    _record_leaving(row, announcement, announced_at)
    return Renewed(
        row=row, now_leaving=announcement["leaving"] and not was_leaving
    )


def _is_named(name: str, configured_names: frozenset[str] | None) -> bool:
    return configured_names is None or name in configured_names


def _record_leaving(
    row: Row, announcement: announcements.Announcement, announced_at: float
) -> None:
    if announcement["leaving"]:
        row.leaves_at = min(
            row.leaves_at, announced_at + announcement["leave_in_s"]
        )


def expire(table: Table, now: float) -> list[Gone]:
    """Removes upstreams without a recent announcement."""
    gone = []
    for identity, row in list(table.rows.items()):
        if row.silence_s(now) > GONE_AFTER_S:
            table.remove(identity)
            gone.append(Gone(row, "no announcement"))
    return gone


def record_stall(table: Table, stalled_s: float) -> None:
    """Records that this entry stood still and read no announcement."""
    for row in table.rows.values():
        row.stalled_s += stalled_s


def mark_leaving(
    table: Table, instances: dict[str, float], now: float
) -> list[Row]:
    """Marks upstreams on leaving instances; returns the newly marked.

    Args:
        table: The table.
        instances: Seconds until shutdown, by instance.
        now: When the notice was received.
    """
    marked = []
    for row in table.rows.values():
        notice_s = instances.get(row.announcement["instance"])
        if notice_s is None or row.health(now) is Health.LEAVING:
            continue
        row.leaves_at = now + notice_s
        marked.append(row)
    return marked


def usable(table: Table, name: str, now: float) -> list[Row]:
    """Returns the upstreams of a name that are eligible for new requests."""
    return [
        row
        for row in table.rows_for(name)
        if row.health(now) is Health.USABLE and not row.isolated
    ]


def only_reserved(table: Table, name: str, now: float) -> bool:
    """Returns whether all usable upstreams are reserved for suspects.

    This is temporary: a reservation ends once its suspect request has completed
    or has been confirmed to crash upstreams.
    """
    usable_rows = [
        row for row in table.rows_for(name) if row.health(now) is Health.USABLE
    ]
    return bool(usable_rows) and all(row.isolated for row in usable_rows)
