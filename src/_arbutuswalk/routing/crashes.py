"""Detects requests that crash the endpoints that run them.

A request that loses its connection becomes a suspect. If the endpoint sends no
further heartbeat, the request was running there when the endpoint died.
Entries report these deaths by request fingerprint and control aggregates them;
a request involved in several deaths is refused by all entries for a limited
time. An endpoint that resets connections but keeps running is not a death.
"""

import hashlib
from typing import NamedTuple

from _arbutuswalk.routing import directory

CONFIRM_HEARTBEATS = 1.5
"""Heartbeat intervals without a heartbeat after a lost connection that confirm
an endpoint's death."""
KEPT_S = 60.0
"""Time for which a death counts against a request."""
DEATHS = 3
"""Deaths at which a request is refused. When several endpoints die together, a
request that did not cause it can be involved in one or two deaths."""


class Suspect(NamedTuple):
    """A request that lost its connection to an endpoint.

    Attributes:
        fingerprint: Fingerprint of the request.
        endpoint: Id of the endpoint.
        born_ms: Start time of the endpoint, in Unix milliseconds.
        at: When the connection was lost, in seconds.
    """

    fingerprint: str
    endpoint: str
    born_ms: int
    at: float


class Crashes:
    """Suspects and confirmed deaths known to one entry.

    Attributes:
        suspects: Requests whose endpoints may have died.
        deaths: Times of deaths by endpoint start, by request fingerprint.
    """

    def __init__(self):
        self.suspects: list[Suspect] = []
        self.deaths: dict[str, dict[str, float]] = {}


def fingerprint(workspace: str, target: str, body: bytes) -> str:
    """Returns a digest that identifies a request when it is sent again."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(f"\n{workspace}\n{target}".encode())
    return digest.hexdigest()


def note_lost(
    crashes: Crashes, request: str, endpoint: directory.Endpoint, now: float
) -> None:
    """Records that a request lost its connection to an endpoint."""
    crashes.suspects.append(
        Suspect(request, endpoint.id, endpoint.born_ms, now)
    )


def review(
    crashes: Crashes,
    found: directory.Directory,
    now: float,
    heartbeat_s: float,
) -> list[Suspect]:
    """Resolves suspects whose confirmation time has passed.

    Returns:
        Suspects whose endpoints have died.
    """
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
    """Returns the fingerprints to refuse, given all entries' deaths."""
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
        # The connection was closed by an orderly shutdown.
        return False
    return row.heard_at < suspect.at


def _forget(crashes: Crashes, now: float) -> None:
    for request, known in list(crashes.deaths.items()):
        for start, at in list(known.items()):
            if now - at > KEPT_S:
                del known[start]
        if not known:
            del crashes.deaths[request]
