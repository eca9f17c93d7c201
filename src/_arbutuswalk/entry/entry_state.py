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
from _arbutuswalk.routing import evidence
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import attempts
from _arbutuswalk.streams import pool
from _arbutuswalk.wire import link

INITIAL_TOKENS_PER_S = 16.0
"""Tokens a second that a slot is taken to give before any was seen."""
SPEED_SMOOTHING = 0.1
MIN_TOKENS_FOR_SPEED = 8


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
        settings: dict[str, Any],
        incarnation: int,
        session: aiohttp.ClientSession,
        now: clock.Clock = clock.monotonic,
        wall: clock.Clock = clock.wall,
        rng: random.Random | None = None,
    ):
        self.settings = settings
        self.name = settings["id"]
        self.incarnation = incarnation
        self.now = now
        self.wall = wall
        self.rng = rng or random.Random()
        self.session = session
        self.pool = pool.Pool(
            read=attempts.read_reply, connect_s=settings["connect_s"], now=now
        )
        self.view: dict[str, Any] = {}
        self.view_version = 0
        self.registered = False
        self.lease_expires_at = float("-inf")
        self.draining = False
        self.upstreams = upstreams.Table()
        self.queues: dict[str, fair.FairQueue] = {}
        self.retry_budgets: dict[str, budget.Budget] = {}
        self.evidence = evidence.Evidence()
        self.requests: dict[str, requests.ModelRequest] = {}
        self.request_ids_by_key: dict[tuple[str, str], str] = {}
        self.running_calls: dict[tuple[str, str], Any] = {}
        self.local_suspects: set[str] = set()
        self.peer_suspects: dict[str, float] = {}
        self.death_reports: dict[str, Any] = {}
        self.copies: dict[str, Any] = {}
        self.peer_links: dict[str, link.Link] = {}
        self.tasks: set[asyncio.Future] = set()
        self.slot_speeds: dict[str, float] = {}
        self.slot_usage_ms: dict[str, dict[str, int]] = {}
        self.metrics = metrics.Metrics()
        self.control = control_client.ControlClient(
            addresses=settings["control"], now=now
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
    def accepts_work(self) -> bool:
        """Whether new work may be accepted right now."""
        return self.now() < self.lease_expires_at and self.inventory is not None

    @property
    def moves(self) -> dict[str, Any]:
        """Versions and moves."""
        return self.view.get("moves", {})

    @property
    def peers(self) -> dict[str, Any]:
        """Other entries that are not gone, by id."""
        entries = self.view.get("entries", {})
        return {name: row for name, row in entries.items() if name != self.name}

    def queue_for(self, name: str) -> fair.FairQueue:
        """Returns the queue of an upstream name."""
        return self.queues.setdefault(name, fair.FairQueue())

    def retry_budget_for(self, name: str) -> budget.Budget:
        """Returns the retry budget of an upstream name."""
        retry_budget = self.retry_budgets.get(name)
        if retry_budget is None:
            retry_budget = budget.Budget(now=self.now())
            self.retry_budgets[name] = retry_budget
        return retry_budget

    def link_to(self, address: str) -> link.Link:
        """Returns the link to another entry."""
        peer_link = self.peer_links.get(address)
        if peer_link is None:
            peer_link = link.Link(address=address, now=self.now)
            self.peer_links[address] = peer_link
        return peer_link

    def record_usage(
        self, instance: str, workspace: str, seconds: float
    ) -> None:
        """Adds time that a workspace held a slot of an instance."""
        usage_by_workspace = self.slot_usage_ms.setdefault(instance, {})
        used_ms = int(seconds * clock.MS_PER_S)
        usage_by_workspace[workspace] = (
            usage_by_workspace.get(workspace, 0) + used_ms
        )

    def slot_speed(self, name: str) -> float:
        """Returns the tokens a second that a slot of an upstream gives."""
        return self.slot_speeds.get(name, INITIAL_TOKENS_PER_S)

    def update_slot_speed(self, name: str, tokens: int, seconds: float) -> None:
        """Notes how fast one attempt was."""
        if tokens < MIN_TOKENS_FOR_SPEED or seconds <= 0:
            return
        speed = self.slot_speed(name)
        self.slot_speeds[name] = speed + SPEED_SMOOTHING * (
            tokens / seconds - speed
        )

    def track_task(self, task: asyncio.Future) -> None:
        """Keeps a background task alive until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a request ran where an upstream died."""
        view_suspects = self.view.get("quarantine", {}).get("suspects", ())
        peer_suspect_until = self.peer_suspects.get(fingerprint, 0.0)
        if peer_suspect_until > self.now():
            return True
        return (
            fingerprint in self.local_suspects or fingerprint in view_suspects
        )

    def convicted_until_ms(self, fingerprint: str) -> int:
        """Returns until when a request is refused, zero if it is not."""
        convicted = self.view.get("quarantine", {}).get("convicted", {})
        until_ms = convicted.get(fingerprint, 0)
        now_ms = self.wall() * clock.MS_PER_S
        return until_ms if until_ms > now_ms else 0
