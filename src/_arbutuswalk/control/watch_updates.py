"""Builds the parts of a watch's reply that depend on what the entry has.

An entry is sent changes of endpoints by every control process, but loads and
heartbeats only where it asks for them: at hundreds of entries they are most of
the bytes between control and entries.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.control import entry_reports
from _arbutuswalk.routing import directory as directories
from _arbutuswalk.state import tables as rows


class Wanted(NamedTuple):
    """What an entry asks for in a watch.

    Attributes:
        status_since: Directory revision of its last loads and heartbeats, None
            if it wants neither.
        compact: Whether it understands heartbeats without the whole endpoint.
        unknown_ids: Endpoints that it does not have.
        speeds_since: Revision of the speeds of endpoints that it has, None if
            it wants none.
        shares_since: The same of the shares of workspaces.
        peers_of: Its id if it asks for entries that open tunnels, or empty.
    """

    status_since: int | None
    compact: bool = False
    unknown_ids: frozenset[str] = frozenset()
    peers_of: str = ""
    speeds_since: int | None = None
    shares_since: int | None = None


def wanted_by(report: dict[str, Any], revision: int) -> Wanted:
    """Returns what an entry's report asks for.

    An entry of a former version does not say and gets everything.

    Args:
        report: The entry's report.
        revision: Directory revision whose changes it has.
    """
    if "status_since" not in report:
        return Wanted(revision)
    since = report["status_since"]
    speeds_since = report.get("speeds", [0])[0] if revision else 0
    wants_shares = since is not None and "demand" in report
    shares_since = report["demand"][0] if wants_shares and revision else 0
    return Wanted(
        status_since=None if since is None else min(since, revision),
        compact=True,
        unknown_ids=frozenset(report.get("unknown", ())),
        peers_of=report.get("entry", "") if report.get("wants_peers") else "",
        speeds_since=None if since is None else speeds_since,
        shares_since=shares_since if wants_shares else None,
    )


def common_parts(tables: rows.Tables) -> dict[str, Any]:
    """Returns what every reply contains: operators' orders, and a feature.

    ``warm_up_permits`` says that the sender issues such permits, which its
    other parts do not show.
    """
    return {
        "rollouts": tables.rollouts,
        "evacuations": tables.evacuations,
        "warm_up_permits": True,
    }


def parts(
    directory: directories.Directory,
    revision: int,
    wanted: Wanted,
    loads: Callable[[], entry_reports.Loads],
) -> dict[str, Any]:
    """Returns the endpoints, heartbeats and loads of a reply.

    Args:
        directory: Endpoints known to this process.
        revision: Directory revision whose changes the entry has.
        wanted: What the entry asks for.
        loads: Returns the loads of all entries.
    """
    if not wanted.compact:
        endpoints = directories.updated_since(directory, revision)
        return {"endpoints": endpoints, "loads": loads()}
    changed, heartbeats = [], []
    for endpoint_id, row in directory.rows.items():
        if row.change_revision > revision or endpoint_id in wanted.unknown_ids:
            changed.append(row.endpoint)
        elif (
            wanted.status_since is not None
            and row.revision > wanted.status_since
        ):
            heartbeats.append(directories.heartbeat_of(row.endpoint))
    if wanted.status_since is None:
        return {"endpoints": changed}
    return {"endpoints": changed, "heartbeats": heartbeats, "loads": loads()}
