"""Commands of the replicated log and their JSON encoding."""

import json
from typing import Any
from typing import NamedTuple


class Apply(NamedTuple):
    """Replaces the configuration if its revision is still ``expected``.

    Attributes:
        operation: Operator's id of this operation; a resend repeats it.
        operator: Name of the operator.
        expected: Revision that the operator based the change on.
        inventory: Validated inventory.
    """

    operation: str
    operator: str
    expected: int
    inventory: dict[str, Any]


class RegisterEntry(NamedTuple):
    """Registers an entry, replacing any older incarnation."""

    entry: str
    incarnation: int
    address: str
    link_address: str
    domain: str
    weight: int
    region: str


class SetEntryState(NamedTuple):
    """Sets an entry's state: ``serving``, ``draining`` or ``gone``."""

    entry: str
    incarnation: int
    state: str


class BeginCall(NamedTuple):
    """Records the intent to send a non-idempotent call."""

    workspace: str
    key: str
    digest: str
    attempt: str
    entry: str
    incarnation: int
    upstream: str
    route: str


class WithdrawCall(NamedTuple):
    """Withdraws an intent; no byte of the call has been sent."""

    workspace: str
    key: str
    attempt: str


class FinishCall(NamedTuple):
    """Records the response to a call."""

    workspace: str
    key: str
    attempt: str
    status: int
    content_type: str
    body: str


class LoseCall(NamedTuple):
    """Records that the outcome of a call is unknown."""

    workspace: str
    key: str
    attempt: str


class Isolate(NamedTuple):
    """Reserves an upstream for one suspect request at a time."""

    fingerprint: str
    upstream: str
    incarnation: int
    entry: str


class Release(NamedTuple):
    """Ends an isolation.

    Attributes:
        fingerprint: Fingerprint of the suspect.
        upstream: Id of the reserved upstream.
        cleared: Whether the suspect request completed.
        entry: The entry that reserved it, empty in logs older than the field.
    """

    fingerprint: str
    upstream: str
    cleared: bool
    entry: str = ""


class ReportDeath(NamedTuple):
    """Reports an unannounced death and the requests running at that time.

    Attributes:
        upstream: Id of the upstream.
        incarnation: Its incarnation.
        fingerprints: Requests that the entry ran there.
        entry: The reporting entry, empty in logs older than the field.
    """

    upstream: str
    incarnation: int
    fingerprints: list[str]
    entry: str = ""


class StepMove(NamedTuple):
    """Changes a move's state and shares.

    Attributes:
        move: Id of the move.
        seen_step: Step that the decision is based on; if the move has
            changed since, the command is ignored.
        state: New state.
        shares: Traffic share of the new version by route, in per mille.
        reason: Reason shown to operators.
    """

    move: str
    seen_step: int
    state: str
    shares: dict[str, int]
    reason: str


class OrderInstance(NamedTuple):
    """Records an order to the platform before it is sent."""

    order: str
    kind: str
    instance: str
    upstream: str
    version: str
    domain: str
    instance_class: str
    reclaimable: bool
    fence: int


class SettleOrder(NamedTuple):
    """Records the outcome of an order."""

    order: str
    outcome: str
    price_micro_per_hour: int


class MarkInstance(NamedTuple):
    """Records that the platform reclaims an instance.

    Attributes:
        instance: The instance, including one that was not ordered here.
        leave_in_s: Notice period in seconds.
    """

    instance: str
    leave_in_s: float


class Charge(NamedTuple):
    """Settles one billing interval.

    Attributes:
        interval: Number of the interval; each is settled once.
        bill_micro: Amount that the platform billed, in micro-units.
        amounts: Micro-units by account, which must sum to ``bill_micro``.
    """

    interval: int
    bill_micro: int
    amounts: dict[str, int]


class PublishRoutes(NamedTuple):
    """Publishes a route configuration; the highest version wins.

    Attributes:
        version: Version of the configuration.
        config: Validated configuration as JSON values.
        source: The operator's original input, deflated and in base 64.
    """

    version: int
    config: dict[str, Any]
    source: str


class BeginRollout(NamedTuple):
    """Starts the rollout of another version of an upstream."""

    upstream: str
    target: str
    duration_ms: int


class StepRollout(NamedTuple):
    """Changes a rollout's state and share.

    Attributes:
        upstream: Upstream of the rollout.
        target: Version that is rolled out.
        seen_step: Step that the decision is based on; if the rollout has
            changed since, the command is ignored.
        state: New state.
        share: Traffic share of the new version in per mille.
        reason: Reason shown to operators.
    """

    upstream: str
    target: str
    seen_step: int
    state: str
    share: int
    reason: str


class BeginEvacuation(NamedTuple):
    """Evacuates a failure domain: nothing more is sent to its endpoints.

    Attributes:
        domain: The failure domain.
        seen_step: Step of the domain that the order is based on; if it has
            changed since, the command is ignored.
    """

    domain: str
    seen_step: int


class FinishEvacuation(NamedTuple):
    """Opens a failure domain again; the fields are as above."""

    domain: str
    seen_step: int


class SettleUsage(NamedTuple):
    """Settles the counts of a closed usage window, by workspace."""

    window: int
    counts: dict[str, int]


class RecordDepartures(NamedTuple):
    """Records starts of endpoints that leave for good.

    Attributes:
        starts: Endpoint id and start, in Unix milliseconds, of each.
    """

    starts: list[list[str | int]]


class Tick(NamedTuple):
    """Advances log time so that records expire."""


Command = (
    Apply
    | RegisterEntry
    | SetEntryState
    | BeginCall
    | WithdrawCall
    | FinishCall
    | LoseCall
    | Isolate
    | Release
    | ReportDeath
    | StepMove
    | OrderInstance
    | SettleOrder
    | MarkInstance
    | Charge
    | PublishRoutes
    | BeginRollout
    | StepRollout
    | BeginEvacuation
    | FinishEvacuation
    | SettleUsage
    | RecordDepartures
    | Tick
)

_COMMAND_TYPES = {
    command_type.__name__: command_type
    for command_type in (
        Apply,
        RegisterEntry,
        SetEntryState,
        BeginCall,
        WithdrawCall,
        FinishCall,
        LoseCall,
        Isolate,
        Release,
        ReportDeath,
        StepMove,
        OrderInstance,
        SettleOrder,
        MarkInstance,
        Charge,
        PublishRoutes,
        BeginRollout,
        StepRollout,
        BeginEvacuation,
        FinishEvacuation,
        SettleUsage,
        RecordDepartures,
        Tick,
    )
}


def encode(command: Command) -> bytes:
    """Returns the JSON encoding: the type name followed by the fields."""
    return json.dumps([type(command).__name__, *command]).encode()


def decode(data: bytes) -> Command | None:
    """Parses the result of ``encode``; returns None for invalid data."""
    try:
        name, *fields = json.loads(data)
        return _COMMAND_TYPES[name](*fields)
    except (ValueError, TypeError, KeyError):
        return None
