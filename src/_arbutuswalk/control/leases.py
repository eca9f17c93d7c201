"""Leases that the leader grants to entries, and what is in force where."""

import json
from typing import NamedTuple

from _arbutuswalk.state import entries
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire.gen.arbutus import ttypes

LEASE_S = 3.0
"""How long an entry may admit work after it asked for a stamp."""
LOST_S = 2 * LEASE_S
"""After how long without a stamp an entry counts as gone."""


class Grant(NamedTuple):
    """What the leader last granted to an entry.

    Attributes:
        until: Leader's time at which every stamp given has run out.
        revision: Revision the entry last said it serves.
        view_version: Version of the view it last said it has.
        synced_at: Leader's time of its last request.
        report: Entry's last report.
    """

    until: float
    revision: int
    view_version: int
    synced_at: float
    report: dict


class Leases:
    """The leader's volatile table of grants.

    A new leader does not know what its predecessor granted, so every known
    entry counts as holding a fresh stamp with no revision from that moment.

    Attributes:
        grants: Grant by (entry, incarnation).
        since: When this leader began.
    """

    def __init__(self, *, since: float):
        self.grants: dict[tuple[str, int], Grant] = {}
        self.since = since

    def find(self, entry: str, incarnation: int) -> Grant:
        """Returns the grant of an entry, assumed if none is known."""
        unknown = Grant(self.since + LEASE_S, 0, 0, self.since, {})
        return self.grants.get((entry, incarnation), unknown)

    def note(self, message: ttypes.Sync, now: float) -> None:
        """Notes what an entry says, before it is given a new stamp."""
        known = self.find(message.entry, message.incarnation)
        self.grants[message.entry, message.incarnation] = known._replace(
            revision=message.revision,
            view_version=message.view_version,
            synced_at=now,
            report=json.loads(message.report or b"{}"),
        )

    def grant(self, message: ttypes.Sync, now: float) -> None:
        """Notes a stamp given at ``now``."""
        known = self.find(message.entry, message.incarnation)
        key = (message.entry, message.incarnation)
        self.grants[key] = known._replace(until=now + LEASE_S, synced_at=now)

    def behind(
        self, tables: rows.Tables, revision: int, now: float
    ) -> list[str]:
        """Returns entries that may still serve an older revision."""
        late = []
        for entry, row in tables.entries.items():
            if row.state == entries.GONE:
                continue
            grant = self.find(entry, row.incarnation)
            if grant.revision < revision and grant.until > now:
                late.append(entry)
        return late

    def is_alone(self, tables: rows.Tables, upstream: str) -> bool:
        """Tells whether nothing runs on an upstream that was reserved.

        Every entry has to have seen the reservation and to have said since
        that it runs nothing there.
        """
        isolation = tables.isolations.get(upstream)
        if isolation is None:
            return False
        for entry, row in tables.entries.items():
            if row.state == entries.GONE:
                continue
            grant = self.find(entry, row.incarnation)
            if grant.view_version < isolation.index:
                return False
            if upstream in grant.report.get("active", ()):
                return False
        return True

    def lost(self, tables: rows.Tables, now: float) -> list[tuple[str, int]]:
        """Returns entries that have not asked for a stamp for too long."""
        return [
            (entry, row.incarnation)
            for entry, row in tables.entries.items()
            if row.state != entries.GONE
            and now - self.find(entry, row.incarnation).synced_at > LOST_S
        ]

    def reports(self, tables: rows.Tables) -> dict[str, dict]:
        """Returns the last report of each entry that is not gone."""
        return {
            entry: self.find(entry, row.incarnation).report
            for entry, row in tables.entries.items()
            if row.state != entries.GONE
        }
