"""A simulated cloud platform: instances, prices, reclaim notices, bills.

Instances are simulated runners or services in this process, where a real
platform would start machines. The number of concurrent starts is limited, as
by the bandwidth of a store of model weights.
"""

import asyncio
import random
import time
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.base import settings
from _arbutuswalk.standin import runner as runners
from _arbutuswalk.standin import server as servers
from _arbutuswalk.standin import service as services

FIELDS = (
    settings.Field("id", "a name", settings.is_non_empty_string),
    settings.Field("address", "IP:port", settings.is_address),
    settings.Field("entries", "a list of IP:port", settings.is_address_list),
    settings.Field("host", "an IP", settings.is_non_empty_string, "127.0.0.1"),
    settings.Field("first_port", "a port", settings.is_non_negative_int),
    settings.Field("run_log", "path of a file", settings.is_non_empty_string),
    settings.Field("start_s", "seconds", settings.is_non_negative, 0.3),
    settings.Field("refuse_rate", "0 to 1", settings.is_fraction, 0.0),
    settings.Field("token_s", "seconds", settings.is_positive, 0.02),
    settings.Field("slots", "a whole number", settings.is_non_negative_int, 8),
    settings.Field(
        "prices",
        "a table of micro-units an hour by class",
        lambda v: isinstance(v, dict),
        {},
    ),
)
DEFAULT_PRICE_MICRO_PER_HOUR = 1_000_000
ON_DEMAND_PRICE_FACTOR = 3
SECONDS_PER_HOUR = 3600
MAX_CONCURRENT_STARTS = 4


class Instance:
    """One instance that was ordered from the platform.

    Attributes:
        spec: Body of the order.
        upstream: The simulated runner or service that runs on it.
        price_micro_per_hour: Price in micro-units per hour.
        started_at: Monotonic time from which it is billed, in seconds.
        ended_at: Monotonic time at which it ended, or None.
        reclaim_at: Monotonic time of its reclaim, or None without notice.
    """

    def __init__(
        self, *, spec: dict[str, Any], upstream: Any, price_micro_per_hour: int
    ):
        self.spec = spec
        self.upstream = upstream
        self.price_micro_per_hour = price_micro_per_hour
        self.started_at = time.monotonic()
        self.ended_at: float | None = None
        self.reclaim_at: float | None = None

    def bill_micro(self, now: float) -> int:
        """Returns the cost until ``now`` or its end, in micro-units."""
        billed_until = self.ended_at if self.ended_at is not None else now
        return int(
            (billed_until - self.started_at)
            * self.price_micro_per_hour
            / SECONDS_PER_HOUR
        )


class Platform:
    """The simulated platform.

    Attributes:
        values: Settings.
        instances: Instances by id, including those that have ended.
        reclaim_notices: Reclaim notices, oldest first.
        highest_fence: Highest fencing token seen in an order.
        next_port: Port of the next instance.
        refusal_rate: Fraction of the orders that are refused.
        start_semaphore: Limits the concurrent starts.
    """

    def __init__(self, *, values: dict[str, Any]):
        self.values = values
        self.instances: dict[str, Instance] = {}
        self.reclaim_notices: list[dict[str, Any]] = []
        self.highest_fence = 0
        self.next_port = values["first_port"]
        self.refusal_rate = values["refuse_rate"]
        self.rng = random.Random(values["id"])
        self.start_semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        self.server = servers.make_server(self._make_app(), values["address"])
        self.background_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the HTTP server."""
        await self.server.start_listening()

    async def abort(self) -> None:
        """Aborts all running instances and the HTTP server."""
        for instance in self.instances.values():
            if instance.ended_at is None:
                await instance.upstream.abort()
        await self.server.abort()

    def _make_app(self) -> applications.Starlette:
        post_only = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/instances", self._create_instance, methods=post_only
                ),
                routing.Route(
                    "/v1/instances", self._list_instances, methods=["GET"]
                ),
                routing.Route(
                    "/v1/instances/{id}",
                    self._delete_instance,
                    methods=["DELETE"],
                ),
                routing.Route("/v1/notices", self._list_notices),
                routing.Route("/v1/bill", self._list_bills),
                routing.Route("/v1/prices", self._get_prices),
                routing.Route(
                    "/standin/reclaim",
                    self._reclaim_instances,
                    methods=post_only,
                ),
                routing.Route(
                    "/standin/kill", self._kill_instance, methods=post_only
                ),
                routing.Route(
                    "/standin/refuse", self._set_refusal_rate, methods=post_only
                ),
            ]
        )

    async def _create_instance(
        self, request: http_requests.Request
    ) -> responses.Response:
        spec = await request.json()
        if spec.get("fence", 0) < self.highest_fence:
            return responses.JSONResponse(
                {"error": "old fence"}, status_code=409
            )
        self.highest_fence = spec.get("fence", 0)
        existing = self.instances.get(spec["id"])
        if existing is not None:
            return responses.JSONResponse(
                {"price": existing.price_micro_per_hour}
            )
        if self.rng.random() < self.refusal_rate:
            return responses.JSONResponse(
                {"error": "no capacity"}, status_code=503
            )
        price_micro_per_hour = self._price_micro_per_hour(
            spec["instance_class"], spec["reclaimable"]
        )
        async with self.start_semaphore:
            await asyncio.sleep(self.values["start_s"])
            upstream = self._make_upstream(spec)
            await upstream.start()
        self.instances[spec["id"]] = Instance(
            spec=spec,
            upstream=upstream,
            price_micro_per_hour=price_micro_per_hour,
        )
        return responses.JSONResponse({"price": price_micro_per_hour})

    def _price_micro_per_hour(
        self, instance_class: str, reclaimable: bool
    ) -> int:
        price_micro_per_hour = self.values["prices"].get(
            instance_class, DEFAULT_PRICE_MICRO_PER_HOUR
        )
        return (
            price_micro_per_hour
            if reclaimable
            else price_micro_per_hour * ON_DEMAND_PRICE_FACTOR
        )

    def _make_upstream(self, spec: dict[str, Any]) -> Any:
        address = f"{self.values['host']}:{self.next_port}"
        self.next_port += 1
        upstream_values = {
            "id": f"{spec['upstream']}@{spec['id']}",
            "address": address,
            "entries": self.values["entries"],
            "upstream": spec["upstream"],
            "version": spec["version"],
            "instance": spec["id"],
            "domain": spec["domain"],
            "instance_class": spec["instance_class"],
        }
        if spec.get("kind", "model") == "service":
            upstream_values["run_log"] = self.values["run_log"]
            return services.Service(
                values=settings.check(
                    upstream_values, services.FIELDS, where="order"
                )
            )
        upstream_values["token_s"] = self.values["token_s"]
        upstream_values["slots"] = spec.get("slots", self.values["slots"])
        values = settings.check(upstream_values, runners.FIELDS, where="order")
        return runners.Runner(
            values=values,
            kill=lambda: self._start_background_task(
                self._terminate(spec["id"])
            ),
        )

    async def _delete_instance(
        self, request: http_requests.Request
    ) -> responses.Response:
        fence = int(request.query_params.get("fence", "0"))
        if fence < self.highest_fence:
            return responses.JSONResponse(
                {"error": "old fence"}, status_code=409
            )
        await self._terminate(request.path_params["id"])
        return responses.JSONResponse({})

    async def _terminate(self, instance_id: str) -> None:
        instance = self.instances.get(instance_id)
        if instance is None or instance.ended_at is not None:
            return
        instance.ended_at = time.monotonic()
        await instance.upstream.abort()

    async def _list_instances(
        self, _: http_requests.Request
    ) -> responses.Response:
        now = time.monotonic()
        return responses.JSONResponse(
            {
                instance_id: {
                    **instance.spec,
                    "price": instance.price_micro_per_hour,
                    "running": instance.ended_at is None,
                    "address": instance.upstream.values["address"],
                    "leave_in_s": (
                        None
                        if instance.reclaim_at is None
                        else max(0.0, instance.reclaim_at - now)
                    ),
                }
                for instance_id, instance in self.instances.items()
            }
        )

    async def _list_notices(
        self, request: http_requests.Request
    ) -> responses.Response:
        start_index = int(request.query_params.get("since", "0"))
        return responses.JSONResponse(self.reclaim_notices[start_index:])

    async def _list_bills(self, _: http_requests.Request) -> responses.Response:
        now = time.monotonic()
        return responses.JSONResponse(
            {
                instance_id: instance.bill_micro(now)
                for instance_id, instance in self.instances.items()
            }
        )

    async def _get_prices(self, _: http_requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                "reclaimable": self.values["prices"],
                "default": DEFAULT_PRICE_MICRO_PER_HOUR,
                "on_demand_factor": ON_DEMAND_PRICE_FACTOR,
            }
        )

    async def _reclaim_instances(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Gives notice to one instance or to those of a failure domain."""
        body = await request.json()
        notice_s = body["notice_s"]
        reclaimed = [
            (instance_id, instance)
            for instance_id, instance in self.instances.items()
            if instance.ended_at is None
            and (
                instance_id == body.get("instance")
                or instance.spec["domain"] == body.get("domain")
            )
        ]
        for instance_id, instance in reclaimed:
            instance.reclaim_at = time.monotonic() + notice_s
            self.reclaim_notices.append(
                {"instance": instance_id, "in_s": notice_s}
            )
            if hasattr(instance.upstream, "leave"):
                instance.upstream.leave(notice_s)
            self._start_background_task(
                self._terminate_after(instance_id, notice_s)
            )
        return responses.JSONResponse(
            [instance_id for instance_id, _ in reclaimed]
        )

    async def _terminate_after(self, instance_id: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._terminate(instance_id)

    async def _kill_instance(
        self, request: http_requests.Request
    ) -> responses.Response:
        await self._terminate((await request.json())["instance"])
        return responses.JSONResponse({})

    async def _set_refusal_rate(
        self, request: http_requests.Request
    ) -> responses.Response:
        self.refusal_rate = (await request.json())["rate"]
        return responses.JSONResponse({})

    def _start_background_task(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
