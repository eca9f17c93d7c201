"""The directory of endpoints that announced themselves.

An endpoint is one running process of an upstream. Control and entries keep a
directory each and merge announcements in any order: of one endpoint the newest
start wins, and within a start the highest sequence. Leaving is final for a
start, so that a late announcement cannot bring an endpoint back.
"""

from typing import Any
from typing import NamedTuple

READY = "ready"
LEAVING = "leaving"
GONE = "gone"


class Endpoint(NamedTuple):
    """What an endpoint last said of itself.

    Attributes:
        id: Its id, which a later start may bear again.
        born_ms: When this start began, in Unix milliseconds.
        sequence: Number of the announcement within the start.
        upstream: Name of the upstream it serves.
        address: ``IP:port``.
        domain: Failure domain.
        version: Version of its software.
        slots: Requests it runs at once.
        state: ``ready``, ``leaving`` or ``gone``.
        reclaimable: Whether the platform may take it away.
        cold_s: Seconds for which it is still slow after its start.
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


class Row(NamedTuple):
    """An endpoint and when it was last heard.

    Attributes:
        endpoint: What it said.
        heard_at: Holder's time of the newest announcement, in seconds.
        revision: Holder's revision at which it was last heard.
        news_revision: Revision at which more than its sequence changed.
    """

    endpoint: Endpoint
    heard_at: float
    revision: int
    news_revision: int


class Directory:
    """Rows of all endpoints known to one process.

    Attributes:
        rows: Row by endpoint id.
        holders: Id of the endpoint at each address.
        revision: Counts the changes.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.holders: dict[str, str] = {}
        self.revision = 0


def announce(directory: Directory, said: Endpoint, now: float) -> bool:
    """Takes one announcement.

    Returns:
        Whether it changed what requests may be sent where. A higher sequence
        alone only shows that the endpoint lives.
    """
    known = directory.rows.get(said.id)
    merged = said if known is None else _merge(known.endpoint, said)
    if merged is None:
        return False
    holder = directory.rows.get(directory.holders.get(merged.address, ""))
    if holder is not None and holder.endpoint.id != merged.id:
        if holder.endpoint.born_ms > merged.born_ms:
            return False
        _put(directory, holder.endpoint._replace(state=GONE), holder.heard_at)
    _put(directory, merged, now)
    directory.holders[merged.address] = merged.id
    return known is None or _differs(known.endpoint, merged)


def leave(
    directory: Directory, endpoint_id: str, born_ms: int | None, now: float
) -> bool:
    """Notes that an endpoint deregistered; returns whether that is news."""
    known = directory.rows.get(endpoint_id)
    if known is None:
        return False
    if born_ms is not None and born_ms < known.endpoint.born_ms:
        return False
    if known.endpoint.state == GONE:
        return False
    _put(directory, known.endpoint._replace(state=GONE), now)
    return True


def expire(directory: Directory, now: float, silent_s: float) -> list[str]:
    """Drops rows that were not heard for ``silent_s``; returns their ids."""
    old = [
        name
        for name, row in directory.rows.items()
        if now - row.heard_at > silent_s
    ]
    for name in old:
        forget(directory, name)
    return old


def forget(directory: Directory, name: str) -> None:
    """Drops one row."""
    row = directory.rows.pop(name)
    if directory.holders.get(row.endpoint.address) == name:
        del directory.holders[row.endpoint.address]


def since(directory: Directory, revision: int) -> list[Endpoint]:
    """Returns the endpoints whose rows changed after ``revision``."""
    return [
        row.endpoint
        for row in directory.rows.values()
        if row.revision > revision
    ]


def has_news_since(directory: Directory, revision: int) -> bool:
    """Tells whether more than sequences changed after ``revision``."""
    return any(row.news_revision > revision for row in directory.rows.values())


def from_json(fields: list[Any]) -> Endpoint:
    """Parses an endpoint that went through JSON as a list."""
    return Endpoint(*fields)


def _merge(known: Endpoint, said: Endpoint) -> Endpoint | None:
    """Returns the newer of two announcements, None if nothing is new."""
    if said.born_ms != known.born_ms:
        return said if said.born_ms > known.born_ms else None
    state = max(known.state, said.state, key=(READY, LEAVING, GONE).index)
    if said.sequence > known.sequence:
        return said._replace(state=state)
    if state != known.state:
        return known._replace(state=state)
    return None


def _differs(before: Endpoint, after: Endpoint) -> bool:
    return before._replace(sequence=0, cold_s=0.0) != after._replace(
        sequence=0, cold_s=0.0
    )


def _put(directory: Directory, endpoint: Endpoint, now: float) -> None:
    directory.revision += 1
    revision = directory.revision
    known = directory.rows.get(endpoint.id)
    news = known is None or _differs(known.endpoint, endpoint)
    news_revision = revision if news else known.news_revision
    row = Row(endpoint, now, revision, news_revision)
    directory.rows[endpoint.id] = row
