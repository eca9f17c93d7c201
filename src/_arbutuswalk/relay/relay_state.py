"""State of an entry that relays requests unmodified."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.base import capacities
from _arbutuswalk.base import clock
from _arbutuswalk.base import metrics
from _arbutuswalk.limits import hedging
from _arbutuswalk.limits import pauses
from _arbutuswalk.limits import quota
from _arbutuswalk.limits import quota_levels
from _arbutuswalk.limits import retries
from _arbutuswalk.relay import answer_buffers
from _arbutuswalk.relay import endpoint_speeds
from _arbutuswalk.relay import first_data_estimates
from _arbutuswalk.relay import late_refusals
from _arbutuswalk.relay import lateness
from _arbutuswalk.relay import paths
from _arbutuswalk.relay import permit_client
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import rollout_outcomes
from _arbutuswalk.relay import slot_client
from _arbutuswalk.relay import usage
from _arbutuswalk.relay import workspace_demand
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import evacuations
from _arbutuswalk.routing import leaving
from _arbutuswalk.routing import outliers
from _arbutuswalk.routing import recent_parts
from _arbutuswalk.routing import refusals
from _arbutuswalk.routing import routetable
from _arbutuswalk.routing import stated_limits
from _arbutuswalk.streams import pool

DEFAULT_ENTRY_COUNT = 16
"""Number of entries assumed to share a limit until control has reported it."""

STARTUP_WAIT_S = 3.0
"""Time after the process start in which requests wait for a configuration or an
endpoint. Every endpoint has announced itself twice by then."""
MAX_STARTUP_WAIT_S = 1.0
"""Longest such wait of a single request."""


class Options(NamedTuple):
    """Settings of the data path.

    Attributes:
        retry_ratio: Retries allowed per window, as a share of its requests.
        retry_extra: Retries allowed per window beyond that share.
        retry_window_s: Length of the retry window.
        usage_window_s: Length of a usage window.
        quota: Permitted inaccuracy of quotas.
        heartbeat_s: Heartbeat interval of endpoints.
        capacity: What this process may use of its instance.
        extra_attempts: Second attempts that are made while the first one is
            running, as a share of the requests of a route; 0 for none.
        rejects_late: Whether requests that would be late are rejected.
    """

    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    usage_window_s: float
    quota: quota_levels.QuotaTolerance
    heartbeat_s: float
    capacity: capacities.Capacity = capacities.Capacity()
    extra_attempts: float = 0.0
    rejects_late: bool = False


class Load(NamedTuple):
    """Requests in progress, and prompt tokens that were not read yet."""

    running: int = 0
    waiting_tokens: int = 0


@dataclasses.dataclass(kw_only=True)
class Stop:
    """An entry's orderly stop.

    Attributes:
        accepts_until: When it stops to accept connections, in seconds.
        answers_due_at: When all answers are to have been received, in seconds.
        usual_s: Usual time of the answers of each route, in seconds.
    """

    accepts_until: float
    answers_due_at: float
    usual_s: dict[str, float] = dataclasses.field(default_factory=dict)


class Relay:
    """State of one entry, shared by the functions of the data path.

    Attributes:
        name: Id of the entry.
        incarnation: Start time of this process, in Unix milliseconds.
        domain: Failure domain of the entry.
        dialect: HTTP conventions of the endpoints.
        options: Settings of the data path.
        now: Monotonic clock.
        wall: Wall clock.
        rng: Source of random numbers.
        pool: Connections to endpoints.
        paths: Whether it reaches endpoints itself.
        answer_buffers: Sizes of the answers that are being buffered.
        route_table: Route configuration, None before the first.
        directory: Known endpoints.
        own_loads: Load from this entry by endpoint.
        other_loads: Load from other entries by endpoint.
        endpoint_speeds: Measured and known speeds of endpoints.
        workspace_demand: Counted and known demand of workspaces.
        stated_limits: Limits that endpoints state.
        invalid_leaving: Starts whose invalid statement was logged.
        permits: Permits for endpoints that state a limit.
        stated_brittle: Rejections per second that brittle endpoints survive.
        slots: Slots of brittle endpoints.
        pauses: Pauses that endpoints asked this entry for.
        connection_waiters: Requests that wait for a connection, by upstream.
        outlier_detector: Failure rates of endpoints that report good health.
        crashes: Requests that were running when endpoints died.
        probed_starts: Starts of endpoints that a connection is opened to after
            one was lost.
        refusals: What is refused as it crashes endpoints.
        lateness: Longest deadlines of the callers of each route.
        first_data: Expected times to the first data of answers.
        late_refusals: What was asked for and refused as late.
        recent_parts: Endpoints that recently received shared prompt parts.
        heard_at: When an endpoint last sent something, by id.
        unreachable_at: When a connection to an endpoint last failed, by id.
        suspect_until: Time until which an endpoint is used last, by id.
        retry_windows: Retry window by upstream.
        hedging: When requests are sent to a second endpoint meanwhile.
        quota_buckets: Quota bucket by workspace.
        usage: Started requests by window and workspace.
        rollout_outcomes: Outcomes of the versions of rollouts.
        rollouts: Rollout rows from control, by upstream.
        evacuations: Failure domains that are or were evacuated.
        entry_count: Entries that share limits, including unreachable ones.
        unreachable_entries: Those of them that control cannot reach.
        draining: Whether the process is shutting down.
        stop: Times of the shutdown, None before it.
        open_requests: Callers' requests that have no complete answer.
        control_updated: Set and replaced at each update from control.
        started_at: When the process started, in seconds.
        metrics: Metrics of the entry.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        dialect: requests.Dialect,
        options: Options,
        now: clock.Clock = clock.monotonic,
        wall: clock.Clock = clock.wall,
        rng: random.Random | None = None,
    ):
        self.name = name
        self.domain = domain
        self.dialect = dialect
        self.options = options
        self.now = now
        self.wall = wall
        self.rng = rng or random.Random()
        self.incarnation = int(wall() * clock.MS_PER_S)
        self.pool = pool.Pool(read_reply=dialect.read, now=now)
        self.answer_buffers = answer_buffers.AnswerBuffers()
        self.route_table: routetable.RouteTable | None = None
        self.directory = directory.Directory(upstream_names=frozenset())
        self.paths = paths.Paths(
            now=now,
            count_endpoints=lambda: len(self.directory.rows),
            last_heard_at=lambda: max(
                self.heard_at.values(), default=-math.inf
            ),
        )
        self.own_loads: dict[str, Load] = {}
        self.other_loads: dict[str, Load] = {}
        self.endpoint_speeds = endpoint_speeds.EndpointSpeeds()
        self.workspace_demand = workspace_demand.WorkspaceDemand()
        self.stated_limits = stated_limits.StatedLimits()
        self.invalid_leaving = leaving.LeavingStarts()
        self.permits = permit_client.PermitClient()
        self.stated_brittle = stated_limits.StatedLimits()
        self.slots = slot_client.SlotClient(now=now())
        self.pauses = pauses.Pauses()
        self.connection_waiters: dict[str, list] = {}
        self.recent_parts = recent_parts.RecentParts()
        self.lateness = lateness.LatenessTracker()
        self.first_data = first_data_estimates.FirstDataEstimates()
        self.late_refusals = late_refusals.LateRefusals()
        self.crashes = crashes.CrashTracker()
        self.outlier_detector = outliers.OutlierDetector()
        self.probed_starts: set[leaving.Start] = set()
        self.refusals = refusals.Refusals()
        self.heard_at: dict[str, float] = {}
        self.unreachable_at: dict[str, float] = {}
        self.suspect_until: dict[str, float] = {}
        self.retry_windows: dict[str, retries.RetryWindow] = {}
        self.hedging = hedging.Hedging(
            share=options.extra_attempts, rng=self.rng
        )
        self.quota_buckets: dict[str, quota.Bucket] = {}
        self.usage = usage.Usage(window_s=options.usage_window_s)
        self.rollout_outcomes = rollout_outcomes.RolloutOutcomes()
        self.rollouts: dict[str, list] = {}
        self.evacuations = evacuations.Evacuations()
        self.entry_count = DEFAULT_ENTRY_COUNT
        self.unreachable_entries = 0
        self.draining = False
        self.stop: Stop | None = None
        self.open_requests: set = set()
        self.control_updated = asyncio.Event()
        self.started_at = now()
        self.metrics = metrics.Metrics()

    @property
    def routes_version(self) -> int | None:
        """Version of the route configuration in use, None if there is none."""
        return self.route_table.config.version if self.route_table else None

    @property
    def ready(self) -> bool:
        """Whether this entry accepts requests."""
        return self.route_table is not None and not self.draining

    def add_load(self, endpoint: str, running: int, tokens: int) -> None:
        """Adds the amounts, which may be negative, to an endpoint's load."""
        previous = self.own_loads.pop(endpoint, Load())
        load = Load(
            previous.running + running, previous.waiting_tokens + tokens
        )
        if load.running or load.waiting_tokens:
            self.own_loads[endpoint] = load

    def known_loads(self, endpoint: str) -> tuple[Load, Load]:
        """Returns the loads of an endpoint from this and from other entries."""
        return (
            self.own_loads.get(endpoint, Load()),
            self.other_loads.get(endpoint, Load()),
        )

    def remove_unknown_endpoints(self) -> None:
        """Forgets when endpoints that are not in the directory failed."""
        for times in (
            self.heard_at,
            self.unreachable_at,
            self.suspect_until,
        ):
            for endpoint_id in times.keys() - self.directory.rows.keys():
                del times[endpoint_id]

    def notify_waiters(self) -> None:
        """Wakes all tasks that wait for an update from control."""
        former_event, self.control_updated = (
            self.control_updated,
            asyncio.Event(),
        )
        former_event.set()

    async def wait_until_known(self, is_known: Callable[[], bool]) -> bool:
        """Waits until ``is_known()`` is true, but only shortly after the start.

        A process that has just started is likely to receive the missing state
        soon; one that has been running for a while is not.

        Returns:
            Whether ``is_known()`` is true now.
        """
        wait_until = min(
            self.started_at + STARTUP_WAIT_S, self.now() + MAX_STARTUP_WAIT_S
        )
        while not is_known():
            left_s = wait_until - self.now()
            if left_s <= 0:
                return False
            try:
                async with asyncio.timeout(left_s):
                    await self.control_updated.wait()
            except TimeoutError:
                return is_known()
        return True

    def retry_window(self, upstream: str) -> retries.RetryWindow:
        """Returns the upstream's retry window, creating it if needed."""
        window = self.retry_windows.get(upstream)
        if window is None:
            window = self.retry_windows[upstream] = retries.RetryWindow(
                ratio=self.options.retry_ratio,
                extra=self.options.retry_extra,
                window_s=self.options.retry_window_s,
                first_window_ends_at=self.started_at
                + self.options.retry_window_s,
            )
        return window
