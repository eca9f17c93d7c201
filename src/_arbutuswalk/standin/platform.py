"""A stand-in for the cloud platform: instances, prices, notices, bills.

Instances are runners or services inside this process; a real platform would
start machines. Its weight store lets a limited number start at a time.
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
DEFAULT_PRICE_MICRO = 1_000_000
ON_DEMAND_FACTOR = 3
HOUR_S = 3600
STARTS_AT_ONCE = 4


class Instance:
    """One instance of the platform.

    Attributes:
        spec: What was ordered.
        unit: The runner or service on it.
        price: Micro-units an hour.
        started_at: When it began to cost, in seconds.
        ended_at: When it ceased to, or None.
        leaves_at: When it will be reclaimed, or None.
    """

    def __init__(self, *, spec: dict[str, Any], unit: Any, price: int):
        self.spec = spec
        self.unit = unit
        self.price = price
        self.started_at = time.monotonic()
        self.ended_at: float | None = None
        self.leaves_at: float | None = None

    def bill_micro(self, now: float) -> int:
        """Returns what it has cost so far."""
        until = self.ended_at if self.ended_at is not None else now
        return int((until - self.started_at) * self.price / HOUR_S)


class Platform:
    """The stand-in platform.

    Attributes:
        values: Settings.
        instances: Instances by id, ended ones included.
        notices: Reclaim notices, in order.
        highest_fence: Highest fence seen in an order.
    """

    def __init__(self, *, values: dict[str, Any]):
        self.values = values
        self.instances: dict[str, Instance] = {}
        self.notices: list[dict[str, Any]] = []
        self.highest_fence = 0
        self.next_port = values["first_port"]
        self.refuse_rate = values["refuse_rate"]
        self.rng = random.Random(values["id"])
        self.store = asyncio.Semaphore(STARTS_AT_ONCE)
        self.server = servers.make(self._app(), values["address"])
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listens."""
        await self.server.begin()

    async def cut(self) -> None:
        """Stops everything."""
        for instance in self.instances.values():
            if instance.ended_at is None:
                await instance.unit.cut()
        await self.server.cut()

    def _app(self) -> applications.Starlette:
        post = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route("/v1/instances", self._order, methods=post),
                routing.Route("/v1/instances", self._list, methods=["GET"]),
                routing.Route(
                    "/v1/instances/{id}", self._stop, methods=["DELETE"]
                ),
                routing.Route("/v1/notices", self._notices),
                routing.Route("/v1/bill", self._bill),
                routing.Route("/v1/prices", self._prices),
                routing.Route("/standin/reclaim", self._reclaim, methods=post),
                routing.Route("/standin/kill", self._kill, methods=post),
                routing.Route("/standin/refuse", self._refuse, methods=post),
            ]
        )

    async def _order(
        self, request: http_requests.Request
    ) -> responses.Response:
        spec = await request.json()
        if spec.get("fence", 0) < self.highest_fence:
            return responses.JSONResponse(
                {"error": "old fence"}, status_code=409
            )
        self.highest_fence = spec.get("fence", 0)
        known = self.instances.get(spec["id"])
        if known is not None:
            return responses.JSONResponse({"price": known.price})
        if self.rng.random() < self.refuse_rate:
            return responses.JSONResponse(
                {"error": "no capacity"}, status_code=503
            )
        price = self._price(spec["instance_class"], spec["reclaimable"])
        async with self.store:
            await asyncio.sleep(self.values["start_s"])
            unit = self._make_unit(spec)
            await unit.start()
        self.instances[spec["id"]] = Instance(spec=spec, unit=unit, price=price)
        return responses.JSONResponse({"price": price})

    def _price(self, instance_class: str, reclaimable: bool) -> int:
        price = self.values["prices"].get(instance_class, DEFAULT_PRICE_MICRO)
        return price if reclaimable else price * ON_DEMAND_FACTOR

    def _make_unit(self, spec: dict[str, Any]) -> Any:
        address = f"{self.values['host']}:{self.next_port}"
        self.next_port += 1
        common = {
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
            common["run_log"] = self.values["run_log"]
            return services.Service(
                values=settings.check(common, services.FIELDS, where="order")
            )
        common["token_s"] = self.values["token_s"]
        common["slots"] = spec.get("slots", self.values["slots"])
        values = settings.check(common, runners.FIELDS, where="order")
        return runners.Runner(
            values=values, kill=lambda: self._spawn(self._end(spec["id"]))
        )

    async def _stop(self, request: http_requests.Request) -> responses.Response:
        fence = int(request.query_params.get("fence", "0"))
        if fence < self.highest_fence:
            return responses.JSONResponse(
                {"error": "old fence"}, status_code=409
            )
        await self._end(request.path_params["id"])
        return responses.JSONResponse({})

    async def _end(self, identity: str) -> None:
        instance = self.instances.get(identity)
        if instance is None or instance.ended_at is not None:
            return
        instance.ended_at = time.monotonic()
        await instance.unit.cut()

    async def _list(self, _: http_requests.Request) -> responses.Response:
        now = time.monotonic()
        return responses.JSONResponse(
            {
                identity: {
                    **instance.spec,
                    "price": instance.price,
                    "running": instance.ended_at is None,
                    "address": instance.unit.values["address"],
                    "leave_in_s": (
                        None
                        if instance.leaves_at is None
                        else max(0.0, instance.leaves_at - now)
                    ),
                }
                for identity, instance in self.instances.items()
            }
        )

    async def _notices(
        self, request: http_requests.Request
    ) -> responses.Response:
        since = int(request.query_params.get("since", "0"))
        return responses.JSONResponse(self.notices[since:])

    async def _bill(self, _: http_requests.Request) -> responses.Response:
        now = time.monotonic()
        return responses.JSONResponse(
            {
                identity: instance.bill_micro(now)
                for identity, instance in self.instances.items()
            }
        )

    async def _prices(self, _: http_requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                "reclaimable": self.values["prices"],
                "default": DEFAULT_PRICE_MICRO,
                "on_demand_factor": ON_DEMAND_FACTOR,
            }
        )

    async def _reclaim(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Gives notice to one instance, or to all of a failure domain."""
        body = await request.json()
        notice_s = body["notice_s"]
        chosen = [
            (identity, instance)
            for identity, instance in self.instances.items()
            if instance.ended_at is None
            and (
                identity == body.get("instance")
                or instance.spec["domain"] == body.get("domain")
            )
        ]
        for identity, instance in chosen:
            instance.leaves_at = time.monotonic() + notice_s
            self.notices.append({"instance": identity, "in_s": notice_s})
            if hasattr(instance.unit, "leave"):
                instance.unit.leave(notice_s)
            self._spawn(self._end_after(identity, notice_s))
        return responses.JSONResponse([identity for identity, _ in chosen])

    async def _end_after(self, identity: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._end(identity)

    async def _kill(self, request: http_requests.Request) -> responses.Response:
        await self._end((await request.json())["instance"])
        return responses.JSONResponse({})

    async def _refuse(
        self, request: http_requests.Request
    ) -> responses.Response:
        self.refuse_rate = (await request.json())["rate"]
        return responses.JSONResponse({})

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
