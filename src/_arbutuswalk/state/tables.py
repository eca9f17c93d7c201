"""Rows and tables of the replicated state."""

from typing import Any
from typing import NamedTuple


class Operation(NamedTuple):
    """An operator's finished operation, kept to answer resends."""

    digest: str
    outcome: dict[str, Any]
    at_ms: int


class Revision(NamedTuple):
    """One accepted configuration in the history."""

    revision: int
    operation: str
    operator: str
    at_ms: int


class EntryRow(NamedTuple):
    """An entry process known to the system."""

    incarnation: int
    address: str
    link_address: str
    domain: str
    weight: int
    region: str
    state: str
    at_ms: int


class CallRow(NamedTuple):
    """A non-repeatable call.

    Attributes:
        state: ``running``, ``done`` or ``unknown``.
    """

    digest: str
    attempt: str
    entry: str
    incarnation: int
    upstream: str
    route: str
    state: str
    status: int
    content_type: str
    body: str
    at_ms: int


class SuspectRow(NamedTuple):
    """A request that was running where an upstream died."""

    deaths: int
    at_ms: int


class IsolationRow(NamedTuple):
    """An upstream reserved for one suspect.

    Attributes:
        fingerprint: The suspect.
        entry: Entry that runs it.
        index: Log index of the reservation.
    """

    fingerprint: str
    entry: str
    index: int


class DeathRow(NamedTuple):
    """An unannounced death.

    Attributes:
        at_ms: Log time of the first report.
        blamed: Fingerprint convicted for it, or empty.
        waiting: Requests that become suspects if the isolated one is cleared.
    """

    at_ms: int
    blamed: str
    waiting: list[str]


class MoveRow(NamedTuple):
    """A version move.

    Attributes:
        state: ``waiting``, ``growing``, ``baking``, ``done``,
            ``taken_back``, ``superseded`` or ``settled``, which is a taken
            back move whose revision the operator has since undone.
        shares: Per mille of new-version traffic by route.
        step: Counts the changes of this row.
    """

    upstream: str
    old: str
    new: str
    revision: int
    started_ms: int
    deadline_ms: int
    state: str
    shares: dict[str, int]
    step: int
    changed_ms: int
    reason: str


class InstanceRow(NamedTuple):
    """An instance that the fleet ordered."""

    upstream: str
    version: str
    domain: str
    instance_class: str
    reclaimable: bool
    state: str
    price_micro_per_hour: int
    fence: int
    at_ms: int


class OrderRow(NamedTuple):
    """An order to the platform."""

    kind: str
    instance: str
    outcome: str
    fence: int
    at_ms: int


class RolloutRow(NamedTuple):
    """A rollout of an upstream's version.

    Attributes:
        state: ``growing``, ``completed`` or ``reverted``.
        share: Per mille of the traffic that the new version gets.
        step: Counts the changes of this row.
    """

    target: str
    state: str
    share: int
    step: int
    started_ms: int
    duration_ms: int
    changed_ms: int
    reason: str


class Tables:
    """Every replicated table; each log entry changes all of them at once.

    Attributes:
        time_ms: Log time, which never goes back.
        revision: Revision of the configuration.
        inventory: The configuration, None before the first.
        operations: Operations by id.
        history: Accepted configurations, oldest first.
        versions: Version in full use by upstream name.
        entries: Entries by id.
        calls: Non-repeatable calls by ``workspace`` + newline + ``key``.
        withdrawn: Log time at which an attempt was withdrawn, by attempt.
        suspects: Suspect requests by fingerprint.
        isolations: Suspect that an upstream is reserved for, by upstream id.
        convicted: Log time until which a fingerprint is refused.
        deaths: Unannounced deaths by upstream id + ``/`` + incarnation.
        moves: Moves by id.
        instances: Instances by id.
        leaving: Reclaimed instances: (log time of the notice, its seconds).
        orders: Orders by id.
        charges: Micro-units by account.
        billed_micro: Sum of all bills.
        intervals: Number of the last settled interval.
        highest_fence: Highest fence of any order.
        routes_version: Version of the configuration of routes, 0 for none.
        routes: That configuration as JSON values.
        routes_source: What the operator sent for it, deflated, in base 64.
        rollouts: Rollout by upstream name.
        usage: Settled counts by workspace, by number of the window.
        expired_ms: Log time at which records were last expired.
        changed: Log index of the last change of each part of the view.
        applied: Index of the last log entry applied.
    """

    def __init__(self):
        self.time_ms = 0
        self.revision = 0
        self.inventory: dict[str, Any] | None = None
        self.operations: dict[str, Operation] = {}
        self.history: list[Revision] = []
        self.versions: dict[str, str] = {}
        self.entries: dict[str, EntryRow] = {}
        self.calls: dict[str, CallRow] = {}
        self.withdrawn: dict[str, int] = {}
        self.suspects: dict[str, SuspectRow] = {}
        self.isolations: dict[str, IsolationRow] = {}
        self.convicted: dict[str, int] = {}
        self.deaths: dict[str, DeathRow] = {}
        self.moves: dict[str, MoveRow] = {}
        self.instances: dict[str, InstanceRow] = {}
        self.leaving: dict[str, list[float]] = {}
        self.orders: dict[str, OrderRow] = {}
        self.charges: dict[str, int] = {}
        self.billed_micro = 0
        self.intervals = 0
        self.highest_fence = 0
        self.routes_version = 0
        self.routes: dict[str, Any] | None = None
        self.routes_source = ""
        self.rollouts: dict[str, RolloutRow] = {}
        self.usage: dict[str, dict[str, int]] = {}
        self.expired_ms = 0
        self.changed: dict[str, int] = {}
        self.applied = 0
