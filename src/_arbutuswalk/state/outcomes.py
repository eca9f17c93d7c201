"""Outcomes of commands, as dataclasses with a tag in their JSON form."""

import dataclasses
import json
from typing import Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The command took effect, now or when it was first sent."""

    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another operator was first.

    Attributes:
        revision: Revision in force.
        operator: Who made it.
        operation: By which operation.
    """

    revision: int
    operator: str
    operation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reused:
    """The id was used before with another body."""

    what: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stale:
    """The command speaks of something that has moved on."""

    what: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The caller of this attempt, and no other, may send the call."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallState:
    """The call was begun before.

    Attributes:
        state: ``running``, ``done`` or ``unknown``.
        entry: Entry that runs or ran it.
        upstream: Upstream that runs or ran it.
        route: Route's name.
        status: HTTP status of the answer when done.
        content_type: Its content type.
        body: Its body, in base 64.
    """

    state: str
    entry: str
    upstream: str
    route: str
    status: int
    content_type: str
    body: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Absent:
    """There is no such record."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Occupied:
    """The upstream is reserved for another suspect."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Convicted:
    """The request is refused until ``until_ms`` of log time."""

    fingerprint: str
    until_ms: int


Outcome = (
    Accepted
    | Conflict
    | Reused
    | Stale
    | Granted
    | CallState
    | Absent
    | Occupied
    | Convicted
)

_TYPES = {
    kind.__name__: kind
    for kind in (
        Accepted,
        Conflict,
        Reused,
        Stale,
        Granted,
        CallState,
        Absent,
        Occupied,
        Convicted,
    )
}


def to_json(outcome: Outcome) -> dict[str, Any]:
    """Returns the outcome's fields with its type as ``tag``."""
    return {"tag": type(outcome).__name__, **dataclasses.asdict(outcome)}


def encode(outcome: Outcome) -> bytes:
    """Returns the outcome as JSON bytes."""
    return json.dumps(to_json(outcome)).encode()


def decode(data: bytes | dict[str, Any]) -> Outcome:
    """Parses ``encode``'s or ``to_json``'s result."""
    fields = dict(data) if isinstance(data, dict) else json.loads(data)
    return _TYPES[fields.pop("tag")](**fields)
