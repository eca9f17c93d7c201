"""Directory of announced endpoints.

An endpoint is one running process of an upstream. Control processes and entries
each keep a directory and merge announcements in any order: for one endpoint the
newest start wins, and within a start the highest sequence. Leaving is final
within a start, so that a late announcement cannot make an endpoint ready again.

An announcement of an upstream that the configuration does not name displaces no
endpoint of one that it names, neither by id nor by address.
"""

import json
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import rows
from _arbutuswalk.base import settings
from _arbutuswalk.routing import announcement_order
from _arbutuswalk.routing import endpoint_fields
from _arbutuswalk.routing import leaving
from _arbutuswalk.routing import warm_ups

READY = endpoint_fields.READY
LEAVING = endpoint_fields.LEAVING
GONE = endpoint_fields.GONE


class Endpoint(NamedTuple):
    """Newest announcement of an endpoint.

    Attributes:
        id: Endpoint id, which a later start may reuse.
        born_ms: Time of this start, in Unix milliseconds.
        sequence: Number of the announcement within the start.
        upstream: Name of the upstream it serves.
        address: ``IP:port``, empty if only its end is known.
        domain: Failure domain.
        version: Software version.
        slots: Maximum number of concurrent requests.
        state: ``ready``, ``leaving`` or ``gone``.
        reclaimable: Whether the platform may reclaim it at short notice.
        cold_s: Remaining warm-up time in seconds.
    """

    id: str
    born_ms: int
    sequence: int
    upstream: str
    address: str
    domain: str
    version: str
    slots: int
    state: str
    reclaimable: bool = False
    cold_s: float = 0.0


class Heartbeat(NamedTuple):
    """What an announcement says that is no relevant change."""

    id: str
    born_ms: int
    sequence: int
    cold_s: float


class Row(NamedTuple):
    """An endpoint and when it last announced itself.

    Attributes:
        endpoint: The newest announcement.
        announced_at: Local time of the newest announcement, in seconds.
        revision: Directory revision of the newest announcement.
        change_revision: Directory revision of the newest change other than of
            the sequence or the rest of a known warm-up.
    """

    endpoint: Endpoint
    announced_at: float
    revision: int
    change_revision: int


class Directory:
    """Endpoints known to one process.

    Attributes:
        rows: Row by endpoint id.
        ids_by_address: Endpoint id by address.
        leaving_starts: Starts that state in their answers that they leave.
        warm_ups: Starts that warm up.
        replaced_starts: Starts that had not stated that they leave when another
            process announced itself at their address.
        upstream_names: Upstreams that the configuration names, empty before the
            first one; None where there is no configuration of upstreams.
        revision: Number of updates so far.
    """

    def __init__(self, *, upstream_names: frozenset[str] | None = None):
        self.upstream_names = upstream_names
        self.leaving_starts = leaving.LeavingStarts()
        self.warm_ups = warm_ups.WarmUps()
        self.replaced_starts: set[leaving.Start] = set()
        self.rows: dict[str, Row] = {}
        self.ids_by_address: dict[str, str] = {}
        self.revision = 0


def announce(directory: Directory, announcement: Endpoint, now: float) -> bool:
    """Merges one announcement.

    Returns:
        Whether it changed anything relevant to routing. A higher sequence
        alone only shows that the endpoint is alive.
    """
    if start_of(announcement) in directory.leaving_starts.stated_at:
        announcement = _as_leaving(announcement)
    existing = directory.rows.get(announcement.id)
    merged = announcement_order.merge(
        existing and existing.endpoint, announcement, directory.upstream_names
    )
    if merged is None:
        return False
    owner = _other_owner(directory, merged)
    names = directory.upstream_names
    takes_address = bool(merged.address)
    if owner is not None:
        if announcement_order.is_overtaken(merged, owner.endpoint, names):
            return False
        takes_address = announcement_order.may_displace(
            merged, owner.endpoint, names
        )
        if takes_address:
            _displace(directory, owner)
    _put_row(directory, merged, now)
    if merged.sequence == announcement.sequence:
        directory.warm_ups.record(start_of(merged), merged.cold_s, now)
    if takes_address:
        directory.ids_by_address[merged.address] = merged.id
    return existing is None or announcement_order.is_relevant_change(
        existing.endpoint, merged
    )


def is_configured(directory: Directory, endpoint: Endpoint) -> bool:
    """Returns whether the configuration names an endpoint's upstream."""
    return announcement_order.is_configured(endpoint, directory.upstream_names)


def deregister(
    directory: Directory, endpoint_id: str, born_ms: int | None, now: float
) -> bool:
    """Marks an endpoint as gone; returns whether that changed its state."""
    existing = directory.rows.get(endpoint_id)
    if existing is None:
        return False
    if born_ms is not None and born_ms < existing.endpoint.born_ms:
        return False
    if existing.endpoint.state == GONE:
        return False
    _put_row(directory, existing.endpoint._replace(state=GONE), now)
    return True


def record_leaving(
    directory: Directory, start: leaving.Start, stated_at: float
) -> bool:
    """Records that a start stated that it leaves.

    Returns:
        Whether an endpoint that was ready is leaving now.
    """
    directory.leaving_starts.record(start, stated_at)
    return mark_leaving(directory, start)


def mark_leaving(directory: Directory, start: leaving.Start) -> bool:
    """Makes the row of a start leaving, if it is ready.

    Returns:
        Whether it was ready.
    """
    row = directory.rows.get(start.endpoint_id)
    if row is None or start_of(row.endpoint) != start:
        return False
    if row.endpoint.state != READY:
        return False
    _put_row(directory, _as_leaving(row.endpoint), row.announced_at)
    return True


def expire_leaving(directory: Directory, now: float) -> None:
    """Forgets old statements of starts not in the directory, and warm-ups."""
    known = known_starts(directory)
    directory.leaving_starts.expire(now, known)
    directory.replaced_starts &= known
    directory.warm_ups.expire(known, now)


def known_starts(directory: Directory) -> set[leaving.Start]:
    """Returns the starts of the endpoints in the directory."""
    return {start_of(row.endpoint) for row in directory.rows.values()}


def start_of(endpoint: Endpoint | Heartbeat) -> leaving.Start:
    """Returns the start of an endpoint."""
    return leaving.Start(endpoint.id, endpoint.born_ms)


def is_leaving(directory: Directory, start: leaving.Start) -> bool:
    """Returns whether a start is leaving or gone."""
    if start in directory.leaving_starts.stated_at:
        return True
    row = directory.rows.get(start.endpoint_id)
    return (
        row is not None
        and start_of(row.endpoint) == start
        and row.endpoint.state != READY
    )


def expire(directory: Directory, now: float, silent_s: float) -> list[str]:
    """Removes rows not updated for ``silent_s`` seconds; returns their ids."""
    expired_ids = find_silent(directory, now, silent_s)
    for endpoint_id in expired_ids:
        remove(directory, endpoint_id)
    return expired_ids


def find_silent(directory: Directory, now: float, silent_s: float) -> list[str]:
    """Returns the ids of rows not updated for ``silent_s`` seconds."""
    return [
        endpoint_id
        for endpoint_id, row in directory.rows.items()
        if now - row.announced_at > silent_s
    ]


def remove(directory: Directory, endpoint_id: str) -> None:
    """Removes the row of one endpoint id."""
    row = directory.rows.pop(endpoint_id)
    if directory.ids_by_address.get(row.endpoint.address) == endpoint_id:
        del directory.ids_by_address[row.endpoint.address]


def updated_since(directory: Directory, revision: int) -> list[Endpoint]:
    """Returns the endpoints whose rows changed after ``revision``."""
    return [
        row.endpoint
        for row in directory.rows.values()
        if row.revision > revision
    ]


def has_changes_since(directory: Directory, revision: int) -> bool:
    """Returns whether anything but sequences changed after ``revision``."""
    return any(
        row.change_revision > revision for row in directory.rows.values()
    )


def heartbeat_of(endpoint: Endpoint) -> Heartbeat:
    """Returns what an announcement says that is no relevant change."""
    return Heartbeat(
        endpoint.id, endpoint.born_ms, endpoint.sequence, endpoint.cold_s
    )


def with_heartbeat(endpoint: Endpoint, heartbeat: Heartbeat) -> Endpoint:
    """Returns a known endpoint as announced again with no relevant change."""
    return endpoint._replace(
        sequence=heartbeat.sequence, cold_s=heartbeat.cold_s
    )


def decode(data: bytes) -> Endpoint | str:
    """Returns the endpoint in a message, or why there is none."""
    try:
        return from_json(json.loads(data))
    except (ValueError, RecursionError) as error:
        return str(error)


def from_json(values: Any) -> Endpoint | str:
    """Returns the endpoint in a decoded JSON value, or why it is unusable.

    Raises:
        ValueError: The value is no list of the fields of an endpoint. A process
            of another version may have encoded it.
    """
    if not isinstance(values, list) or not (
        _MIN_ENDPOINT_FIELDS <= len(values) <= len(Endpoint._fields)
    ):
        raise ValueError("not the fields of an endpoint")
    endpoint = Endpoint(*values)
    wrong = _find_wrong(endpoint)
    if not wrong and endpoint.state != GONE:
        # Of an endpoint that is gone, only its end may be known.
        names = ("upstream", "domain", "version", "address")
        wrong = [name for name in names if not getattr(endpoint, name)]
    return f"odd fields: {', '.join(wrong)}" if wrong else endpoint


def heartbeat_from_json(values: Any) -> Heartbeat | str:
    """Returns the heartbeat in a decoded JSON value, or why it is unusable.

    Raises:
        ValueError: The value is no list of the fields of a heartbeat.
    """
    if not isinstance(values, list) or len(values) < len(Heartbeat._fields):
        raise ValueError("not the fields of a heartbeat")
    heartbeat = rows.parse(Heartbeat, values)
    wrong = _find_wrong(heartbeat)
    return f"odd fields: {', '.join(wrong)}" if wrong else heartbeat


def _find_wrong(values: Endpoint | Heartbeat) -> list[str]:
    """Returns the fields whose values cannot be used."""
    return [
        name
        for name, value in values._asdict().items()
        if not _FIELD_CHECKS[name](value)
    ]


def _is_state(value: Any) -> bool:
    return isinstance(value, str) and value in (READY, LEAVING, GONE)


_MIN_ENDPOINT_FIELDS = len(Endpoint._fields) - len(Endpoint._field_defaults)
_FIELD_CHECKS = {
    "id": endpoint_fields.is_name,
    "born_ms": endpoint_fields.is_born,
    "sequence": endpoint_fields.is_sequence,
    "upstream": endpoint_fields.is_text,
    "address": lambda value: value == "" or endpoint_fields.is_address(value),
    "domain": endpoint_fields.is_text,
    "version": endpoint_fields.is_text,
    "slots": endpoint_fields.is_slots,
    "state": _is_state,
    "reclaimable": settings.is_bool,
    "cold_s": endpoint_fields.is_duration,
}


def _as_leaving(endpoint: Endpoint) -> Endpoint:
    return endpoint._replace(
        state=LEAVING if endpoint.state == READY else endpoint.state
    )


def _other_owner(directory: Directory, endpoint: Endpoint) -> Row | None:
    """Returns the row of another endpoint that has an endpoint's address."""
    owner_id = directory.ids_by_address.get(endpoint.address, endpoint.id)
    return None if owner_id == endpoint.id else directory.rows.get(owner_id)


def _displace(directory: Directory, owner: Row) -> None:
    """Takes its address from an endpoint.

    One of a configured upstream is gone for good, as another process uses its
    address. Any other may prove sound once the configuration names it: it is
    removed until it announces itself again.
    """
    if not is_configured(directory, owner.endpoint):
        remove(directory, owner.endpoint.id)
        return
    if owner.endpoint.state == READY:
        directory.replaced_starts.add(start_of(owner.endpoint))
    gone = owner.endpoint._replace(state=GONE)
    _put_row(directory, gone, owner.announced_at)


def _put_row(directory: Directory, endpoint: Endpoint, now: float) -> None:
    directory.revision += 1
    revision = directory.revision
    existing = directory.rows.get(endpoint.id)
    changed = existing is None or announcement_order.is_relevant_change(
        existing.endpoint, endpoint
    )
    change_revision = revision if changed else existing.change_revision
    row = Row(endpoint, now, revision, change_revision)
    directory.rows[endpoint.id] = row
