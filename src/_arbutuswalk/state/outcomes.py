"""Outcomes of commands; their JSON form names the type in ``tag``."""

import dataclasses
import json
from typing import Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The command took effect, now or when it was first sent."""

    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """The configuration was changed by another operation.

    Attributes:
        revision: Current revision.
        operator: Operator who made it.
        operation: Id of the operation that made it.
    """

    revision: int
    operator: str
    operation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reused:
    """The id was already used with another body."""

    what: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stale:
    """The command refers to state that has changed since."""

    what: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """This attempt alone may proceed: send the call or use the upstream."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallState:
    """The call was begun by an earlier attempt.

    Attributes:
        state: ``running``, ``done`` or ``unknown``.
        entry: Entry that sent it.
        upstream: Upstream that it was sent to.
        route: Name of the route.
        status: HTTP status of the response if done.
        content_type: Content type of the response.
        body: Body of the response, in base 64.
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
    """The record does not exist."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Occupied:
    """The upstream or the suspect is already part of another reservation."""

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

_OUTCOME_TYPES = {
    outcome_type.__name__: outcome_type
    for outcome_type in (
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
    """Parses the result of ``encode`` or ``to_json``."""
    fields = dict(data) if isinstance(data, dict) else json.loads(data)
    return _OUTCOME_TYPES[fields.pop("tag")](**fields)
