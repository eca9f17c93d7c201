"""Rows and tables of the replicated state."""

from typing import Any
from typing import NamedTuple


class Operation(NamedTuple):
    """A completed operation, kept to answer resends."""

    digest: str
    outcome: dict[str, Any]
    at_ms: int


class Revision(NamedTuple):
    """One accepted revision of the configuration."""

    revision: int
    operation: str
    operator: str
    at_ms: int


class EntryRow(NamedTuple):
    """A registered entry process."""

    incarnation: int
    address: str
    link_address: str
    domain: str
    weight: int
    region: str
    state: str
    at_ms: int


class CallRow(NamedTuple):
    """A non-idempotent call.

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
    """A request that was running on an upstream when it died."""

    deaths: int
    at_ms: int


class IsolationRow(NamedTuple):
    """The reservation of an upstream for one suspect.

    Attributes:
        fingerprint: Fingerprint of the suspect.
        entry: Entry that sends it.
        index: Log index of the reservation.
    """

    fingerprint: str
    entry: str
    index: int


class DeathRow(NamedTuple):
    """An unannounced death of an upstream.

    Attributes:
        at_ms: Log time of the first report.
        blamed: Fingerprint of the convicted request, or empty.
        waiting: Requests that become suspects if the reservation ends without
            a conviction.
    """

    at_ms: int
    blamed: str
    waiting: list[str]


class MoveRow(NamedTuple):
    """A version move.

    Attributes:
        state: ``waiting``, ``growing``, ``baking``, ``done``,
            ``taken_back``, ``superseded`` or ``settled``: a taken back move
            whose target the operator has since undone.
        shares: Traffic share of the new version by route, in per mille.
        step: Number of changes of this row.
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
    """An instance ordered from the platform."""

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
        share: Traffic share of the new version in per mille.
        step: Number of changes of this row.
    """

    target: str
    state: str
    share: int
    step: int
    started_ms: int
    duration_ms: int
    changed_ms: int
    reason: str


class EvacuationRow(NamedTuple):
    """Whether a failure domain is evacuated.

    Attributes:
        state: ``evacuated`` or ``open``.
        step: Number of changes of this row.
        changed_ms: Log time of the last change.
    """

    state: str
    step: int
    changed_ms: int


class DepartureRow(NamedTuple):
    """A start of an endpoint that leaves or has left.

    Attributes:
        endpoint_id: Id of the endpoint.
        born_ms: Time of the start, in Unix milliseconds.
        at_ms: Log time at which it was recorded.
    """

    endpoint_id: str
    born_ms: int
    at_ms: int


class Tables:
    """All replicated tables; each log entry is applied to them atomically.

    Attributes:
        time_ms: Log time, which never decreases.
        revision: Revision of the configuration.
        inventory: The configuration, None before the first.
        operations: Operations by id.
        history: Accepted configurations, oldest first.
        versions: Version before any active move, by upstream name.
        entries: Entries by id.
        calls: Non-idempotent calls by ``workspace`` + newline + ``key``.
        withdrawn: Log time at which an attempt was withdrawn, by attempt.
        suspects: Suspect requests by fingerprint.
        isolations: Reservations by upstream id.
        convicted: Log time until which a request is refused, by fingerprint.
        deaths: Unannounced deaths by upstream id + ``/`` + incarnation.
        moves: Moves by id.
        instances: Instances by id.
        leaving: Reclaimed instances: [log time of the notice, seconds of
            notice] by instance id.
        orders: Orders by id.
        charges: Micro-units by account.
        billed_micro: Sum of all bills in micro-units.
        intervals: Number of the last settled interval.
        highest_fence: Highest fence of any order.
        routes_version: Version of the route configuration, 0 before the first.
        routes: Route configuration as JSON values, None before the first.
        routes_source: The operator's original input, deflated and in base 64.
        rollouts: Rollouts by upstream name.
        evacuations: Failure domains that are or were evacuated, by name.
        usage: Settled counts by window number and workspace.
        departures: Starts of endpoints that leave by endpoint id + ``/`` +
            time of the start, the oldest record first.
        departures_changed: Log index of the last departure, 0 before the first.
        expired_ms: Log time of the last removal of expired records.
        changed: Log index of the last change of each part of the view.
        applied: Index of the last log entry applied.
        first_skipped: Index of the first log entry, or of the snapshot, with
            something that only a later build knows, 0 if there is none. It
            depends on the build, so snapshots do not contain it.
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
        self.evacuations: dict[str, EvacuationRow] = {}
        self.usage: dict[str, dict[str, int]] = {}
        self.departures: dict[str, DepartureRow] = {}
        self.departures_changed = 0
        self.expired_ms = 0
        self.changed: dict[str, int] = {}
        self.applied = 0
        self.first_skipped = 0

    @property
    def published_version(self) -> int | None:
        """Version of the route configuration, None before the first."""
        return self.routes_version if self.routes is not None else None
