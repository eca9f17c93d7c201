"""State of an entry that relays requests as they are."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.base import metrics
from _arbutuswalk.limits import quota
from _arbutuswalk.limits import retries
from _arbutuswalk.relay import patience
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import usage
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import health
from _arbutuswalk.routing import recent
from _arbutuswalk.routing import routetable
from _arbutuswalk.streams import pool

UNKNOWN_ENTRIES = 16
"""Entries that share a bound until control has told how many there are."""

LEARN_S = 3.0
"""Time after the start in which requests wait for what is not known yet: by
then every endpoint has announced itself twice."""
MOST_WAIT_S = 1.0
"""Longest such wait of one request."""
USUAL_WEIGHT = 0.05
"""Weight of one more time in the usual one: some twenty requests count."""
SLOW_TIMES = 3.0
"""Times the usual time to the first byte from which an answer is slow: bad
versions are several times slower."""


class Options(NamedTuple):
    """Settings of the data path.

    Attributes:
        retry_ratio: Retries as a part of the requests of a window.
        retry_extra: Retries of a window beside that part.
        retry_window_s: Length of that window.
        usage_window_s: Length of a window of usage.
        quota: How exactly quotas have to be kept.
        heartbeat_s: Interval of endpoints' heartbeats.
    """

    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    usage_window_s: float
    quota: quota.QuotaTolerance
    heartbeat_s: float


class Load(NamedTuple):
    """Requests under way, and tokens of prompts that were not read yet."""

    running: int = 0
    waiting_tokens: int = 0


class Outcomes:
    """Outcomes of one version of an upstream at this entry.

    Attributes:
        ran: Requests that ran.
        failed: Those of them that failed.
        timed: Those that were compared with the objective.
        slow: Those of them whose first byte took several times as long as
            is usual on their route.
    """

    def __init__(self):
        self.ran = 0
        self.failed = 0
        self.timed = 0
        self.slow = 0


class Relay:
    """Tables of one entry; the data path's functions run over them.

    Attributes:
        name: Entry's id.
        incarnation: Start of this process, in milliseconds.
        domain: Own failure domain.
        dialect: How endpoints are spoken to.
        pool: Connections to endpoints.
        table: Configuration of routes, None before the first.
        directory: Endpoints.
        loads: Own load by endpoint.
        others: Load by other entries by endpoint.
        health: Failures of endpoints that say they are well.
        crashes: Requests that were there when endpoints died.
        refused: Fingerprints of requests that control has refused.
        patience: How long callers of each route wait.
        recent: Endpoints that lately got shared parts of prompts.
        suspects: Time until which an endpoint comes last, by id.
        retries: Window of retries by upstream.
        buckets: Quota bucket by workspace.
        usage: Requests begun, by window and workspace.
        outcomes: Outcomes by (upstream, version).
        usual_s: Usual time to the first byte by route.
        rollouts: Rollout rows by upstream, from control.
        entries: Entries that share the bounds, unreachable ones included.
        silent: Those of them that control does not hear.
        draining: Whether the process is leaving.
        news: Set and replaced when control told something.
        started_at: When the process started, in seconds.
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
        self.table: routetable.RouteTable | None = None
        self.directory = directory.Directory()
        self.loads: dict[str, Load] = {}
        self.others: dict[str, Load] = {}
        self.recent = recent.Recent()
        self.patience = patience.Patience()
        self.crashes = crashes.Crashes()
        self.health = health.Health()
        self.refused: frozenset[str] = frozenset()
        self.suspects: dict[str, float] = {}
        self.retries: dict[str, retries.RetryWindow] = {}
        self.buckets: dict[str, quota.Bucket] = {}
        self.usage = usage.Usage(window_s=options.usage_window_s)
        self.outcomes: dict[tuple[str, str], Outcomes] = {}
        self.usual_s: dict[str, float] = {}
        self.rollouts: dict[str, list] = {}
        self.entries = UNKNOWN_ENTRIES
        self.silent = 0
        self.draining = False
        self.news = asyncio.Event()
        self.started_at = now()
        self.metrics = metrics.Metrics()

    @property
    def routes_version(self) -> int:
        """Version of the configuration that is served, 0 for none."""
        return self.table.config.version if self.table else 0

    @property
    def ready(self) -> bool:
        """Whether callers should use this entry."""
        return self.table is not None and not self.draining

    def add_load(self, endpoint: str, running: int, tokens: int) -> None:
        """Adds to the own load of an endpoint, or takes from it."""
        before = self.loads.pop(endpoint, Load())
        load = Load(before.running + running, before.waiting_tokens + tokens)
        if load.running or load.waiting_tokens:
            self.loads[endpoint] = load

    def tell(self) -> None:
        """Wakes all that wait for news from control."""
        news, self.news = self.news, asyncio.Event()
        news.set()

    async def learn(self, known: Callable[[], bool]) -> bool:
        """Waits, shortly after the start, until something is known.

        A process that has just started may be able to serve in a moment; one
        that has run for a while and knows nothing cannot.

        Returns:
            Whether it is known now.
        """
        until = min(self.started_at + LEARN_S, self.now() + MOST_WAIT_S)
        while not known():
            left = until - self.now()
            if left <= 0:
                return False
            try:
                async with asyncio.timeout(left):
                    await self.news.wait()
            except TimeoutError:
                return known()
        return True

    def note_first_byte(
        self, route: str, took_s: float, *, usual: bool
    ) -> bool:
        """Notes a time to the first byte.

        Args:
            route: Name of the route.
            took_s: The time in seconds.
            usual: Whether it shapes what is usual; a new version's does not.

        Returns:
            Whether it took several times as long as usual.
        """
        known = self.usual_s.get(route)
        if usual:
            before = took_s if known is None else known
            self.usual_s[route] = before + USUAL_WEIGHT * (took_s - before)
        return known is not None and took_s > SLOW_TIMES * known

    def retry_window(self, upstream: str) -> retries.RetryWindow:
        """Returns the upstream's window of retries."""
        found = self.retries.get(upstream)
        if found is None:
            found = self.retries[upstream] = retries.RetryWindow(
                ratio=self.options.retry_ratio,
                extra=self.options.retry_extra,
                window_s=self.options.retry_window_s,
            )
        return found
