"""Detects the deaths of endpoints and what requests ran there.

A request that loses its connection becomes a suspect. If the endpoint refuses a
connection or sends no further heartbeat, the request was running there when the
endpoint died. Entries report these deaths by what may be to blame, the request
or a part of its prompt, and control decides what all entries refuse. An
endpoint that resets connections but keeps running is not a death.
"""

import collections
import hashlib
from typing import NamedTuple

from _arbutuswalk.routing import crash_blame
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import leaving

DEATH_CONFIRMATION_HEARTBEATS = 1.5
"""Heartbeat intervals without a heartbeat after a lost connection that confirm
an endpoint's death."""
WITHDRAWN_CONFIRMATION_HEARTBEATS = 2.5
"""The same for a death that was withdrawn: its evidence was doubted once."""
DEATH_RETENTION_S = 60.0
"""Time for which a death counts against what may be to blame."""
MAX_PART_ID_CHARACTERS = 32
MAX_SUCCESSES = 4096
"""Keys whose last success is known; the oldest are forgotten first."""


class Suspect(NamedTuple):
    """A request that lost its connection to an endpoint.

    Attributes:
        request_id: Id of the request.
        keys: What may be to blame: its fingerprint, and the parts of its prompt
            that other requests may share.
        endpoint_id: Id of the endpoint.
        born_ms: Start time of the endpoint, in Unix milliseconds.
        lost_at: When the connection was lost, in seconds.
        withdrawn: Whether its death was withdrawn, as the entry had taken its
            own path to the endpoints for lost.
    """

    request_id: str
    keys: tuple[str, ...]
    endpoint_id: str
    born_ms: int
    lost_at: float
    withdrawn: bool = False

    @property
    def start(self) -> leaving.Start:
        """The start of the endpoint."""
        return leaving.Start(self.endpoint_id, self.born_ms)


class CrashTracker:
    """Suspects, confirmed deaths and successes known to one entry.

    Attributes:
        suspects: Requests whose endpoints may have died.
        confirmed: Those of them whose endpoints have died.
        reprobed_starts: Starts whose deaths were withdrawn, and to which
            another connection was opened since.
        refused_at: When starts of endpoints last refused a connection.
        deaths: Times of deaths by endpoint start, by key.
        successes: Time of the last success by key, the oldest first.
        candidates: Keys that control collects successes of.
    """

    def __init__(self):
        self.suspects: list[Suspect] = []
        self.confirmed: list[Suspect] = []
        self.reprobed_starts: set[leaving.Start] = set()
        self.refused_at: dict[leaving.Start, float] = {}
        self.deaths: dict[str, dict[str, float]] = {}
        self.successes: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.candidates: frozenset[str] = frozenset()


def part_key(part_id: str) -> str:
    """Returns the key of a part of a prompt, limited in length."""
    if len(part_id) > MAX_PART_ID_CHARACTERS:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=12).hexdigest()
    return crash_blame.PART_PREFIX + part_id


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


def record_refused_connection(
    crashes: CrashTracker, start: leaving.Start, now: float
) -> None:
    """Records that no process of an endpoint listens."""
    crashes.refused_at[start] = now


def withdraw_deaths(crashes: CrashTracker, since: float) -> None:
    """Withdraws deaths that may have been failures of the network.

    Their requests are suspects again: endpoints that deadly requests crashed
    one after the other look like a lost path, too.
    """
    recent = {
        suspect._replace(withdrawn=True): None
        for suspect in (*crashes.suspects, *crashes.confirmed)
        if suspect.lost_at >= since
    }
    earlier = [s for s in crashes.suspects if s.lost_at < since]
    crashes.suspects = [*earlier, *recent]
    crashes.confirmed = [s for s in crashes.confirmed if s.lost_at < since]
    crashes.refused_at.clear()
    for key, death_times in list(crashes.deaths.items()):
        for endpoint_start, lost_at in list(death_times.items()):
            if lost_at >= since:
                del death_times[endpoint_start]
        if not death_times:
            del crashes.deaths[key]


def record_success(
    crashes: CrashTracker, keys: tuple[str, ...], now: float
) -> None:
    """Records that an endpoint survived a request.

    Most fingerprints never come again, so that only those with a death count.
    """
    for key in keys:
        is_part = key.startswith(crash_blame.PART_PREFIX)
        if is_part or key in crashes.deaths or key in crashes.candidates:
            crashes.successes[key] = now
            crashes.successes.move_to_end(key)
    while len(crashes.successes) > MAX_SUCCESSES:
        crashes.successes.popitem(last=False)


def resolve_suspects(
    crashes: CrashTracker,
    endpoint_directory: directory.Directory,
    now: float,
    heartbeat_s: float,
    *,
    is_cut_off: bool = False,
) -> list[Suspect]:
    """Resolves suspects whose endpoints have died or could show life.

    Args:
        crashes: Suspects and deaths of this entry.
        endpoint_directory: Endpoints known to it.
        now: Time in seconds.
        heartbeat_s: Interval of heartbeats in seconds.
        is_cut_off: Whether the entry reaches no endpoint itself. Until it does,
            deaths that were withdrawn stay undecided.

    Returns:
        Suspects whose endpoints have died.
    """
    confirmation_s = DEATH_CONFIRMATION_HEARTBEATS * heartbeat_s
    withdrawn_s = WITHDRAWN_CONFIRMATION_HEARTBEATS * heartbeat_s
    confirmed = []
    undecided = []
    for suspect in crashes.suspects:
        refuses = _refuses_connections(crashes, suspect, endpoint_directory)
        is_undecided = now - suspect.lost_at < confirmation_s
        if suspect.withdrawn:
            is_undecided = is_cut_off or now - suspect.lost_at < withdrawn_s
        if not refuses and is_undecided:
            if now - suspect.lost_at <= DEATH_RETENTION_S:
                undecided.append(suspect)
        elif refuses or _is_dead(suspect, endpoint_directory, heartbeat_s):
            confirmed.append(suspect)
            endpoint_start = f"{suspect.endpoint_id}/{suspect.born_ms}"
            for key in suspect.keys:
                death_times = crashes.deaths.setdefault(key, {})
                death_times[endpoint_start] = suspect.lost_at
    crashes.suspects = undecided
    crashes.confirmed += confirmed
    _expire(crashes, now, confirmation_s)
    return confirmed


def deaths_to_json(crashes: CrashTracker, now: float) -> dict[str, dict]:
    """Returns the ages of the deaths by endpoint start, by key."""
    return {
        key: {start: now - lost_at for start, lost_at in times.items()}
        for key, times in crashes.deaths.items()
    }


def successes_to_json(
    crashes: CrashTracker, keys: frozenset[str], now: float
) -> dict[str, float | None]:
    """Returns the age of the last success of each key, None without one."""
    return {
        key: now - crashes.successes[key] if key in crashes.successes else None
        for key in keys
    }


def _refuses_connections(
    crashes: CrashTracker,
    suspect: Suspect,
    endpoint_directory: directory.Directory,
) -> bool:
    refused_at = crashes.refused_at.get(suspect.start, suspect.lost_at)
    return refused_at > suspect.lost_at and not directory.is_leaving(
        endpoint_directory, suspect.start
    )


def _is_dead(
    suspect: Suspect,
    endpoint_directory: directory.Directory,
    heartbeat_s: float,
) -> bool:
    row = endpoint_directory.rows.get(suspect.endpoint_id)
    if row is None or row.endpoint.born_ms != suspect.born_ms:
        return True
    if suspect.start in endpoint_directory.replaced_starts:
        return True
    if row.endpoint.state != directory.READY:
        # The connection was closed by an orderly shutdown.
        return False
    if suspect.withdrawn and not _hears_others(
        suspect, endpoint_directory, heartbeat_s
    ):
        return False
    return row.announced_at < suspect.lost_at


def _hears_others(
    suspect: Suspect,
    endpoint_directory: directory.Directory,
    heartbeat_s: float,
) -> bool:
    """Returns whether another endpoint's later heartbeat has come in."""
    return any(
        row.announced_at > suspect.lost_at + heartbeat_s
        for endpoint_id, row in endpoint_directory.rows.items()
        if endpoint_id != suspect.endpoint_id
    )


def _expire(crashes: CrashTracker, now: float, confirmation_s: float) -> None:
    crashes.confirmed = [
        suspect
        for suspect in crashes.confirmed
        if now - suspect.lost_at <= DEATH_RETENTION_S
    ]
    for key, death_times in list(crashes.deaths.items()):
        for endpoint_start, lost_at in list(death_times.items()):
            if now - lost_at > DEATH_RETENTION_S:
                del death_times[endpoint_start]
        if not death_times:
            del crashes.deaths[key]
    crashes.refused_at = {
        start: refused_at
        for start, refused_at in crashes.refused_at.items()
        if now - refused_at <= confirmation_s
    }
