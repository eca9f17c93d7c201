"""Requests that crash the endpoints that run them.

A request whose connection broke off is a suspect; if its endpoint is not heard
again it was running there when the endpoint died. Entries report the deaths of
each request's fingerprint, control adds them up, and a request that was there
at several deaths is refused everywhere for a while. An endpoint that resets
connections and lives on makes no suspect guilty.
"""

import hashlib
from typing import NamedTuple

from _arbutuswalk.routing import directory

CONFIRM_HEARTBEATS = 1.5
"""Heartbeats for which an endpoint is silent after a lost connection if it has
died."""
KEPT_S = 60.0
"""How long a death counts against a request."""
DEATHS = 3
"""Deaths at which a request is refused: innocent requests were there at one or
two when several endpoints died together."""


class Suspect(NamedTuple):
    """A request that lost its connection to an endpoint."""

    fingerprint: str
    endpoint: str
    born_ms: int
    at: float


class Crashes:
    """Suspects and deaths that this entry knows of.

    Attributes:
        suspects: Requests whose endpoints may have died.
        deaths: Time by endpoint's start, by fingerprint.
    """

    def __init__(self):
        self.suspects: list[Suspect] = []
        self.deaths: dict[str, dict[str, float]] = {}


def fingerprint(workspace: str, target: str, body: bytes) -> str:
    """Returns what a request is known by when it comes again."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(f"\n{workspace}\n{target}".encode())
    return digest.hexdigest()


def note_lost(
    crashes: Crashes, request: str, endpoint: directory.Endpoint, now: float
) -> None:
    """Notes that a request lost its connection to an endpoint."""
    crashes.suspects.append(
        Suspect(request, endpoint.id, endpoint.born_ms, now)
    )


def review(
    crashes: Crashes,
    found: directory.Directory,
    now: float,
    heartbeat_s: float,
) -> list[Suspect]:
    """Decides on suspects whose time is up; returns those at a death."""
    confirm_s = CONFIRM_HEARTBEATS * heartbeat_s
    guilty = []
    waiting = []
    for suspect in crashes.suspects:
        if now - suspect.at < confirm_s:
            waiting.append(suspect)
        elif _has_died(suspect, found):
            guilty.append(suspect)
            start = f"{suspect.endpoint}/{suspect.born_ms}"
            known = crashes.deaths.setdefault(suspect.fingerprint, {})
            known[start] = suspect.at
    crashes.suspects = waiting
    _forget(crashes, now)
    return guilty


def add_up(reports: list[dict[str, list[str]]]) -> list[str]:
    """Returns the fingerprints to refuse, from all entries' deaths."""
    starts: dict[str, set[str]] = {}
    for report in reports:
        for request, known in report.items():
            starts.setdefault(request, set()).update(known)
    return sorted(r for r, known in starts.items() if len(known) >= DEATHS)


def _has_died(suspect: Suspect, found: directory.Directory) -> bool:
    row = found.rows.get(suspect.endpoint)
    if row is None or row.endpoint.born_ms != suspect.born_ms:
        return True
    if row.endpoint.state != directory.READY:
        # It leaves in an orderly way; the connection broke off for that.
        return False
    return row.heard_at < suspect.at


def _forget(crashes: Crashes, now: float) -> None:
    for request, known in list(crashes.deaths.items()):
        for start, at in list(known.items()):
            if now - at > KEPT_S:
                del known[start]
        if not known:
            del crashes.deaths[request]
