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

DEATH_CONFIRMATION_HEARTBEATS = 1.5
"""Heartbeat intervals without a heartbeat after a lost connection that confirm
an endpoint's death."""
DEATH_RETENTION_S = 60.0
"""Time for which a death counts against a request."""
DEATHS_TO_REFUSE = 3
"""Deaths at which a request is refused. When several endpoints die together, a
request that did not cause it can be involved in one or two deaths."""


PART_PREFIX = "part/"
"""Start of the key of a part, which tells it from a fingerprint."""
MAX_PART_ID_CHARACTERS = 32


class Suspect(NamedTuple):
    """A request that lost its connection to an endpoint.

    Attributes:
        request_id: Id of the request.
        keys: What may be to blame: its fingerprint, and the parts of its prompt
            that other requests may share.
        endpoint_id: Id of the endpoint.
        born_ms: Start time of the endpoint, in Unix milliseconds.
        lost_at: When the connection was lost, in seconds.
    """

    request_id: str
    keys: tuple[str, ...]
    endpoint_id: str
    born_ms: int
    lost_at: float


class CrashTracker:
    """Suspects and confirmed deaths known to one entry.

    Attributes:
        suspects: Requests whose endpoints may have died.
        deaths: Times of deaths by endpoint start, by request fingerprint.
    """

    def __init__(self):
        self.suspects: list[Suspect] = []
        self.deaths: dict[str, dict[str, float]] = {}


def part_key(part_id: str) -> str:
    """Returns the key of a part of a prompt, limited in length."""
    if len(part_id) > MAX_PART_ID_CHARACTERS:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=12).hexdigest()
    return PART_PREFIX + part_id


def fingerprint(workspace: str, target: str, body: bytes) -> str:
    """Returns a digest that identifies a request when it is sent again."""
    digest = hashlib.blake2b(body, digest_size=12)
    digest.update(f"\n{workspace}\n{target}".encode())
    return digest.hexdigest()


def record_lost_connection(
    crashes: CrashTracker,
    request_id: str,
    keys: tuple[str, ...],
    endpoint: directory.Endpoint,
    now: float,
) -> None:
    """Records that a request lost its connection to an endpoint."""
    crashes.suspects.append(
        Suspect(request_id, keys, endpoint.id, endpoint.born_ms, now)
    )


def resolve_suspects(
    crashes: CrashTracker,
    endpoint_directory: directory.Directory,
    now: float,
    heartbeat_s: float,
) -> list[Suspect]:
    """Resolves suspects whose confirmation time has passed.

    Returns:
        Suspects whose endpoints have died.
    """
    confirmation_s = DEATH_CONFIRMATION_HEARTBEATS * heartbeat_s
    confirmed = []
    undecided = []
    for suspect in crashes.suspects:
        if now - suspect.lost_at < confirmation_s:
            undecided.append(suspect)
        elif _is_dead(suspect, endpoint_directory):
            confirmed.append(suspect)
            endpoint_start = f"{suspect.endpoint_id}/{suspect.born_ms}"
            death_times = crashes.deaths.setdefault(suspect.keys[0], {})
            death_times[endpoint_start] = suspect.lost_at
    crashes.suspects = undecided
    _expire_deaths(crashes, now)
    return confirmed


def fingerprints_to_refuse(reports: list[dict[str, list[str]]]) -> list[str]:
    """Returns the fingerprints to refuse, given all entries' deaths."""
    starts_by_fingerprint: dict[str, set[str]] = {}
    for report in reports:
        for request_fingerprint, endpoint_starts in report.items():
            starts_by_fingerprint.setdefault(request_fingerprint, set()).update(
                endpoint_starts
            )
    return sorted(
        candidate
        for candidate, endpoint_starts in starts_by_fingerprint.items()
        if len(endpoint_starts) >= DEATHS_TO_REFUSE
    )


def _is_dead(suspect: Suspect, endpoint_directory: directory.Directory) -> bool:
    row = endpoint_directory.rows.get(suspect.endpoint_id)
    if row is None or row.endpoint.born_ms != suspect.born_ms:
        return True
    if row.endpoint.state != directory.READY:
        # The connection was closed by an orderly shutdown.
        return False
    return row.announced_at < suspect.lost_at


def _expire_deaths(crashes: CrashTracker, now: float) -> None:
    for request_fingerprint, death_times in list(crashes.deaths.items()):
        for endpoint_start, lost_at in list(death_times.items()):
            if now - lost_at > DEATH_RETENTION_S:
                del death_times[endpoint_start]
        if not death_times:
            del crashes.deaths[request_fingerprint]
