"""Commands that the replicated log carries, and their JSON form."""

import json
from typing import Any
from typing import NamedTuple


class Apply(NamedTuple):
    """Makes an inventory the configuration if ``expected`` still holds.

    Attributes:
        operation: Operator's id of this operation, equal on a resend.
        operator: Who asks.
        expected: Revision the operator saw.
        inventory: Validated inventory.
    """

    operation: str
    operator: str
    expected: int
    inventory: dict[str, Any]


class RegisterEntry(NamedTuple):
    """Adds an entry, or replaces its older incarnation."""

    entry: str
    incarnation: int
    address: str
    link_address: str
    domain: str
    weight: int
    region: str


class SetEntryState(NamedTuple):
    """Moves an entry to ``serving``, ``draining`` or ``gone``."""

    entry: str
    incarnation: int
    state: str


class BeginCall(NamedTuple):
    """Records the intent of a non-repeatable call."""

    workspace: str
    key: str
    digest: str
    attempt: str
    entry: str
    incarnation: int
    upstream: str
    route: str


class WithdrawCall(NamedTuple):
    """Takes an intent back; no byte of the call has left."""

    workspace: str
    key: str
    attempt: str


class FinishCall(NamedTuple):
    """Records the answer of a call."""

    workspace: str
    key: str
    attempt: str
    status: int
    content_type: str
    body: str


class LoseCall(NamedTuple):
    """Records that nobody knows whether a call ran."""

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
    """Ends an isolation; ``cleared`` when the suspect completed."""

    fingerprint: str
    upstream: str
    cleared: bool


class ReportDeath(NamedTuple):
    """An upstream died unannounced while running these requests."""

    upstream: str
    incarnation: int
    fingerprints: list[str]


class StepMove(NamedTuple):
    """Changes a move's state and shares.

    Attributes:
        move: Id of the move.
        seen_step: Step the decision was made on; a stale one is ignored.
        state: New state.
        shares: Per mille of new-version traffic by route.
        reason: Why, for the operator.
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
    """Records what became of an order."""

    order: str
    outcome: str
    price_micro_per_hour: int


class MarkInstance(NamedTuple):
    """Records that the platform reclaims an instance.

    Attributes:
        instance: The instance, whoever ordered it.
        leave_in_s: Seconds of notice.
    """

    instance: str
    leave_in_s: float


class Charge(NamedTuple):
    """Settles one interval.

    Attributes:
        interval: Number of the interval; each is settled once.
        bill_micro: What the platform billed for it.
        amounts: Micro-units by account, which sum to ``bill_micro``.
    """

    interval: int
    bill_micro: int
    amounts: dict[str, int]


class PublishRoutes(NamedTuple):
    """Offers a configuration of routes; the highest version wins.

    Attributes:
        version: Its version.
        config: Checked configuration as JSON values.
        source: What the operator sent, deflated and in base 64.
    """

    version: int
    config: dict[str, Any]
    source: str


class BeginRollout(NamedTuple):
    """Asks that an upstream's traffic move to another version."""

    upstream: str
    target: str
    duration_ms: int


class StepRollout(NamedTuple):
    """Changes a rollout's state and share.

    Attributes:
        upstream: Upstream that is rolled out.
        target: Version it moves to.
        seen_step: Step the decision was made on; a stale one is ignored.
        state: New state.
        share: Per mille of the traffic that the new version gets.
        reason: Why, for the operator.
    """

    upstream: str
    target: str
    seen_step: int
    state: str
    share: int
    reason: str


class SettleUsage(NamedTuple):
    """Fixes the counts of a closed usage window, by workspace."""

    window: int
    counts: dict[str, int]


class Tick(NamedTuple):
    """Lets log time pass, so that records expire."""


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
    | SettleUsage
    | Tick
)

_TYPES = {
    kind.__name__: kind
    for kind in (
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
        SettleUsage,
        Tick,
    )
}


def encode(command: Command) -> bytes:
    """Returns the JSON form: a type name and its fields."""
    return json.dumps([type(command).__name__, *command]).encode()


def decode(data: bytes) -> Command | None:
    """Parses ``encode``'s result; None for anything else."""
    try:
        name, *fields = json.loads(data)
        return _TYPES[name](*fields)
    except (ValueError, TypeError, KeyError):
        return None
