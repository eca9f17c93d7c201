"""State of an entry process: tables that its systems run over."""

import asyncio
import random
from typing import Any

import aiohttp

from _arbutuswalk.base import clock
from _arbutuswalk.base import metrics
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import requests
from _arbutuswalk.limits import budget
from _arbutuswalk.limits import fair
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import attempts
from _arbutuswalk.streams import pool
from _arbutuswalk.wire import link

FIRST_SPEED = 16.0
"""Tokens a second that a slot is taken to give before any was seen."""
SPEED_GAIN = 0.1
LEAST_TOKENS = 8


class Entry:
    """Everything one entry process knows.

    Attributes:
        name: Id of the entry, stable over restarts.
        incarnation: Higher with each start and each new registration.
        values: Settings.
        view: Parts of the replicated state, by part.
        view_version: Version of the newest part.
        registered: Whether control knows this incarnation.
        lease_until: Until when new work may be admitted, in seconds.
        draining: Whether the entry is on its way out.
        upstreams: Upstreams that announced themselves.
        queues: Waiting tickets by upstream name.
        budgets: Retry budget by upstream name.
        evidence: Outcomes by upstream, version and route.
        requests: Model requests by id, kept while they can be resumed.
        by_key: Request id by (workspace, idempotency key).
        calls: Futures of non-repeatable calls that run here, by (workspace,
            key).
        suspects: Fingerprints known to be suspect, ahead of the view.
        heard_suspects: Time until which another entry's word of a suspect
            counts, by fingerprint.
        reported: Death reports by upstream key.
        copies: Requests held for other entries, by request id.
        news_links: Links to other entries.
        pool: Connections to upstreams for calls.
        session: Client for moving caches between upstreams.
        metrics: Counters and histograms.
        control: Client of the control group.
        start_request: Starts to run a request that was taken over.
        speeds: Tokens a second that a slot gives, learnt, by upstream name.
        usage: Slot milliseconds by instance and workspace since the start.
        tasks: Background tasks that have to be held on to.
    """

    def __init__(
        self,
        *,
        values: dict[str, Any],
        incarnation: int,
        session: aiohttp.ClientSession,
        now: clock.Clock = clock.monotonic,
        wall: clock.Clock = clock.wall,
        rng: random.Random | None = None,
    ):
        self.values = values
        self.name = values["id"]
        self.incarnation = incarnation
        self.now = now
        self.wall = wall
        self.rng = rng or random.Random()
        self.session = session
        self.pool = pool.Pool(
            read=attempts.read_reply, connect_s=values["connect_s"], now=now
        )
        self.view: dict[str, Any] = {}
        self.view_version = 0
        self.registered = False
        self.lease_until = float("-inf")
        self.draining = False
        self.upstreams = upstreams.Table()
        self.queues: dict[str, fair.FairQueue] = {}
        self.budgets: dict[str, budget.Budget] = {}
        self.evidence = version_outcomes.VersionOutcomes()
        self.requests: dict[str, requests.ModelRequest] = {}
        self.by_key: dict[tuple[str, str], str] = {}
        self.calls: dict[tuple[str, str], Any] = {}
        self.suspects: set[str] = set()
        self.heard_suspects: dict[str, float] = {}
        self.reported: dict[str, Any] = {}
        self.copies: dict[str, Any] = {}
        self.news_links: dict[str, link.Link] = {}
        self.tasks: set[asyncio.Future] = set()
        self.speeds: dict[str, float] = {}
        self.usage: dict[str, dict[str, int]] = {}
        self.metrics = metrics.Metrics()
        self.control = control_client.ControlClient(
            addresses=values["control"], now=now
        )
        self.start_request = lambda request: None

    @property
    def inventory(self) -> inventories.Inventory | None:
        """The configuration in force here."""
        return self.view.get("configuration", {}).get("inventory")

    @property
    def revision(self) -> int:
        """Revision of the configuration in force here."""
        return self.view.get("configuration", {}).get("revision", 0)

    @property
    def admits(self) -> bool:
        """Whether new work may be accepted right now."""
        return self.now() < self.lease_until and self.inventory is not None

    @property
    def moves(self) -> dict[str, Any]:
        """Versions and moves."""
        return self.view.get("moves", {})

    @property
    def peers(self) -> dict[str, Any]:
        """Other entries that are not gone, by id."""
        entries = self.view.get("entries", {})
        return {name: row for name, row in entries.items() if name != self.name}

    def queue_of(self, name: str) -> fair.FairQueue:
        """Returns the queue of an upstream name."""
        return self.queues.setdefault(name, fair.FairQueue())

    def budget_of(self, name: str) -> budget.Budget:
        """Returns the retry budget of an upstream name."""
        found = self.budgets.get(name)
        if found is None:
            found = budget.Budget(now=self.now())
            self.budgets[name] = found
        return found

    def link_to(self, address: str) -> link.Link:
        """Returns the link to another entry."""
        found = self.news_links.get(address)
        if found is None:
            found = link.Link(address=address, now=self.now)
            self.news_links[address] = found
        return found

    def note_usage(self, instance: str, workspace: str, seconds: float) -> None:
        """Adds time that a workspace held a slot of an instance."""
        of_instance = self.usage.setdefault(instance, {})
        spent_ms = int(seconds * clock.MS_PER_S)
        of_instance[workspace] = of_instance.get(workspace, 0) + spent_ms

    def speed_of(self, name: str) -> float:
        """Returns the tokens a second that a slot of an upstream gives."""
        return self.speeds.get(name, FIRST_SPEED)

    def learn_speed(self, name: str, tokens: int, seconds: float) -> None:
        """Notes how fast one attempt was."""
        if tokens < LEAST_TOKENS or seconds <= 0:
            return
        old = self.speed_of(name)
        self.speeds[name] = old + SPEED_GAIN * (tokens / seconds - old)

    def hold(self, task: asyncio.Future) -> None:
        """Keeps a background task alive until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a request ran where an upstream died."""
        known = self.view.get("quarantine", {}).get("suspects", ())
        heard_until = self.heard_suspects.get(fingerprint, 0.0)
        if heard_until > self.now():
            return True
        return fingerprint in self.suspects or fingerprint in known

    def convicted_until_ms(self, fingerprint: str) -> int:
        """Returns until when a request is refused, zero if it is not."""
        convicted = self.view.get("quarantine", {}).get("convicted", {})
        until_ms = convicted.get(fingerprint, 0)
        now_ms = self.wall() * clock.MS_PER_S
        return until_ms if until_ms > now_ms else 0
