"""State of an entry process, shared by its tasks."""

import asyncio
import random
from typing import Any

import aiohttp

from _arbutuswalk.base import clock
from _arbutuswalk.base import metrics
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import model_requests
from _arbutuswalk.limits import budget
from _arbutuswalk.limits import fair
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import attempts
from _arbutuswalk.streams import pool
from _arbutuswalk.wire import link

INITIAL_TOKENS_PER_S = 16.0
"""Tokens per second assumed for a slot before any attempt was measured."""
SPEED_SMOOTHING_FACTOR = 0.1
MIN_TOKENS_FOR_SPEED = 8


class Entry:
    """State of one entry process.

    Attributes:
        name: Id of the entry, stable across restarts.
        incarnation: Increases with each start and each new registration.
        settings: Settings by key.
        view: Parts of the replicated state, by name.
        view_version: Version of the newest part.
        registered: Whether the control group knows this incarnation.
        lease_expires_at: Time until which new work may be accepted, in
            seconds.
        draining: Whether the entry is shutting down.
        upstreams: Upstreams that announced themselves.
        queues: Queue of waiting requests by upstream name.
        retry_budgets: Retry budget by upstream name.
        version_outcomes: Outcomes by upstream, version and route.
        requests: Model requests by id, kept while they can be resumed.
        request_ids_by_key: Request id by (workspace, idempotency key).
        running_calls: Digest and future of non-idempotent calls that run
            here, by (workspace, key).
        local_suspects: Fingerprints of suspects in deaths that this entry
            reported, ahead of the view.
        peer_suspects: Expiry time of suspects that other entries reported, by
            fingerprint.
        unconfirmed_until: Time until which resends of a request wait, as its
            upstream may have died, by fingerprint.
        own_convictions: Ends of convictions that control told this entry,
            ahead of the view, in Unix milliseconds, by fingerprint.
        isolating: Id of the request that holds the reservation of a suspect,
            or waits for it, by fingerprint.
        inquiries: Unanswered inquiries about upstreams that are gone, by
            upstream key.
        death_reports: Death reports by upstream key.
        copies: Requests held for other entries, by request id.
        peer_links: Links to other entries, by address.
        pool: Connections to upstreams for calls.
        session: HTTP client that moves caches between upstreams.
        metrics: Counters and histograms.
        control: Client of the control group.
        start_request: Starts to run a request taken over from another entry.
        slot_speeds: Measured tokens per second of a slot, by upstream name.
        slot_usage_ms: Slot milliseconds by instance and workspace since the
            start.
        background_tasks: Running tasks, referenced so that they are not
            garbage-collected.
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
            read_reply=attempts.read_reply,
            connect_s=settings["connect_s"],
            now=now,
        )
        self.view: dict[str, Any] = {}
        self.view_version = 0
        self.registered = False
        self.lease_expires_at = float("-inf")
        self.draining = False
        self.upstreams = upstreams.Table()
        self.queues: dict[str, fair.FairQueue] = {}
        self.retry_budgets: dict[str, budget.Budget] = {}
        self.version_outcomes = version_outcomes.VersionOutcomes()
        self.requests: dict[str, model_requests.ModelRequest] = {}
        self.request_ids_by_key: dict[tuple[str, str], str] = {}
        self.running_calls: dict[tuple[str, str], Any] = {}
        self.local_suspects: set[str] = set()
        self.peer_suspects: dict[str, float] = {}
        self.unconfirmed_until: dict[str, float] = {}
        self.own_convictions: dict[str, int] = {}
        self.isolating: dict[str, str] = {}
        self.inquiries: dict[str, Any] = {}
        self.death_reports: dict[str, Any] = {}
        self.copies: dict[str, Any] = {}
        self.peer_links: dict[str, link.Link] = {}
        self.background_tasks: set[asyncio.Future] = set()
        self.slot_speeds: dict[str, float] = {}
        self.slot_usage_ms: dict[str, dict[str, int]] = {}
        self.metrics = metrics.Metrics()
        self.control = control_client.ControlClient(
            addresses=settings["control"], now=now
        )
        self.start_request = lambda request: None

    @property
    def inventory(self) -> inventories.Inventory | None:
        """Configuration in force at this entry, if any."""
        return self.view.get("configuration", {}).get("inventory")

    @property
    def revision(self) -> int:
        """Revision of the configuration in force at this entry."""
        return self.view.get("configuration", {}).get("revision", 0)

    @property
    def accepts_work(self) -> bool:
        """Whether the lease and the configuration allow new work."""
        return self.now() < self.lease_expires_at and self.inventory is not None

    @property
    def moves(self) -> dict[str, Any]:
        """Versions of upstreams and moves between them."""
        return self.view.get("moves", {})

    @property
    def evacuated_domains(self) -> list[str]:
        """Failure domains whose upstreams get no requests."""
        return self.view.get("configuration", {}).get("evacuated", [])

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
        """Adds time for which a workspace occupied a slot of an instance."""
        usage_by_workspace = self.slot_usage_ms.setdefault(instance, {})
        used_ms = int(seconds * clock.MS_PER_S)
        usage_by_workspace[workspace] = (
            usage_by_workspace.get(workspace, 0) + used_ms
        )

    def slot_speed(self, name: str) -> float:
        """Returns the estimated tokens per second of a slot of an upstream."""
        return self.slot_speeds.get(name, INITIAL_TOKENS_PER_S)

    def update_slot_speed(self, name: str, tokens: int, seconds: float) -> None:
        """Updates the moving average of a slot's speed with one attempt."""
        if tokens < MIN_TOKENS_FOR_SPEED or seconds <= 0:
            return
        speed = self.slot_speed(name)
        self.slot_speeds[name] = speed + SPEED_SMOOTHING_FACTOR * (
            tokens / seconds - speed
        )

    def track_task(self, task: asyncio.Future) -> None:
        """Keeps a reference to a background task until it is done."""
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request is suspected of crashing an upstream."""
        view_suspects = self.view.get("quarantine", {}).get("suspects", ())
        peer_suspect_until = self.peer_suspects.get(fingerprint, 0.0)
        if peer_suspect_until > self.now():
            return True
        return (
            fingerprint in self.local_suspects or fingerprint in view_suspects
        )

    def convicted_until_ms(self, fingerprint: str) -> int:
        """Returns when a conviction ends, zero if there is none."""
        convicted = self.view.get("quarantine", {}).get("convicted", {})
        until_ms = max(
            convicted.get(fingerprint, 0),
            self.own_convictions.get(fingerprint, 0),
        )
        now_ms = self.wall() * clock.MS_PER_S
        return until_ms if until_ms > now_ms else 0
