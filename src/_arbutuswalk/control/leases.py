"""Leases that the leader grants to entries, and the revisions they serve."""

import json
from typing import NamedTuple

from _arbutuswalk.state import entries
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire.gen.arbutus import ttypes

LEASE_S = 3.0
"""How long an entry may admit work after it requested a lease."""
LOST_TIMEOUT_S = 2 * LEASE_S
"""Time without a lease request after which an entry counts as lost."""


class Grant(NamedTuple):
    """The lease of an entry and what the entry last reported.

    Attributes:
        expires_at: Leader's time at which every lease granted has expired.
        revision: Revision that the entry last reported to serve.
        view_version: View version that the entry last reported.
        synced_at: Leader's time of its last request.
        report: Entry's last report.
    """

    expires_at: float
    revision: int
    view_version: int
    synced_at: float
    report: dict


class Leases:
    """The leader's volatile table of grants.

    A new leader does not know what its predecessor granted, so it assumes that
    every known entry was granted a lease, with no revision, at that moment.

    Attributes:
        grants: Grant by (entry, incarnation).
        leader_since: When this leader's term began.
    """

    def __init__(self, *, leader_since: float):
        self.grants: dict[tuple[str, int], Grant] = {}
        self.leader_since = leader_since

    def find(self, entry: str, incarnation: int) -> Grant:
        """Returns the grant of an entry, or an assumed one if unknown."""
        assumed = Grant(
            self.leader_since + LEASE_S, 0, 0, self.leader_since, {}
        )
        return self.grants.get((entry, incarnation), assumed)

    def record_sync(self, message: ttypes.Sync, now: float) -> None:
        """Records an entry's request, without extending its lease."""
        known = self.find(message.entry, message.incarnation)
        self.grants[message.entry, message.incarnation] = known._replace(
            revision=message.revision,
            view_version=message.view_version,
            synced_at=now,
            report=json.loads(message.report or b"{}"),
        )

    def is_overdue(
        self, message: ttypes.Sync, now: float, interval_s: float
    ) -> bool:
        """Returns whether an entry got no lease here for over ``interval_s``.

        It may have asked other members meanwhile, and hold little of a lease.
        """
        known = self.grants.get((message.entry, message.incarnation))
        return known is None or now > known.expires_at - LEASE_S + interval_s

    def grant(self, message: ttypes.Sync, now: float) -> None:
        """Records a lease granted at ``now``."""
        known = self.find(message.entry, message.incarnation)
        key = (message.entry, message.incarnation)
        self.grants[key] = known._replace(
            expires_at=now + LEASE_S, synced_at=now
        )

    def entries_behind(
        self, tables: rows.Tables, revision: int, now: float
    ) -> list[str]:
        """Returns the entries that may still serve an older revision."""
        behind = []
        for entry, row in tables.entries.items():
            if row.state == entries.GONE:
                continue
            grant = self.find(entry, row.incarnation)
            if grant.revision < revision and grant.expires_at > now:
                behind.append(entry)
        return behind

    def is_idle(self, tables: rows.Tables, upstream: str) -> bool:
        """Returns whether no request runs on an isolated upstream.

        Every entry must have seen the isolation and have reported since that
        it runs nothing there.
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

    def lost_entries(
        self, tables: rows.Tables, now: float
    ) -> list[tuple[str, int]]:
        """Returns the entries whose last lease request is too long ago."""
        return [
            (entry, row.incarnation)
            for entry, row in tables.entries.items()
            if row.state != entries.GONE
            and now - self.find(entry, row.incarnation).synced_at
            > LOST_TIMEOUT_S
        ]

    def reports(self, tables: rows.Tables) -> dict[str, dict]:
        """Returns the last report of each entry that is not gone."""
        return {
            entry: self.find(entry, row.incarnation).report
            for entry, row in tables.entries.items()
            if row.state != entries.GONE
        }
