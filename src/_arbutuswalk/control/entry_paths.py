"""Which entries reach endpoints: for look-ups, and as peers of others."""

import hashlib
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from _arbutuswalk.control import entry_reports

MAX_PEERS = 4
"""Peers named to an entry: enough that one or two may fail meanwhile."""


def reports_for_lookups(
    entries: Iterable[entry_reports.KnownEntry],
) -> list[dict[str, Any]]:
    """Returns the reports of ready entries that can serve requests.

    If none can, all ready ones are returned: they may recover at any time.
    """
    ready = [entry.report for entry in entries if entry.report.get("ready")]
    serving = [report for report in ready if report.get("serves", True)]
    return serving or ready


def peers_of(
    name: str,
    reachable_entries: Callable[[], dict[str, entry_reports.KnownEntry]],
) -> list[str]:
    """Returns addresses of entries that open tunnels for an entry.

    Args:
        name: The entry, empty for none.
        reachable_entries: Returns the entries that control hears, by id.
    """
    if not name:
        return []
    able = [
        (_rank(name, peer), entry.report["tunnel_address"])
        for peer, entry in reachable_entries().items()
        if peer != name and _opens_tunnels(entry.report)
    ]
    return [address for _, address in sorted(able)[:MAX_PEERS]]


def _opens_tunnels(report: dict[str, Any]) -> bool:
    return bool(
        report.get("ready") and report.get("tunnel_address")
    ) and not report.get("cut_off")


def _rank(name: str, peer: str) -> bytes:
    """Ranks the peers of different entries differently, to spread the load."""
    return hashlib.blake2b(f"{name}|{peer}".encode(), digest_size=8).digest()
