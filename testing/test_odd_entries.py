"""Odd entries about endpoints, from another writer, beside sound ones."""

import json
import math

import asgi
import pytest
import test_crashes
import test_duties
from arbutuswalk_platform import announcements
from arbutuswalk_platform import control_api
from arbutuswalk_platform import headers

from _arbutuswalk.control import discovery
from _arbutuswalk.control import scaling
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig

BEAT = {
    "service": "ops",
    "address": "10.128.0.9:8080",
    "zone": "d1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_769_526_078_061,
}
DEEP = b"[" * 100_000 + b"]" * 100_000
UNREADABLE = {
    "deep lists": DEEP,
    "deep objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "deep field": json.dumps(BEAT).encode()[:-1]
    + b',"model_list":'
    + DEEP
    + b"}",
    "5000 digits": json.dumps(BEAT)
    .replace('"slots": 4', '"slots": ' + "9" * 5000)
    .encode(),
    "invalid UTF-8": json.dumps(BEAT).encode().replace(b"d1", b"d\xff"),
    "UTF-16 half": b"\xff\xfe\x00",
    "empty": b"",
    "cut off": json.dumps(BEAT).encode()[:-9],
    "list": b"[1]",
    "text": b'"x"',
    "null": b"null",
}
NO_TEXTS = [
    "",
    "x" * 300,
    "x" * 1_000_000,
    "a\ud800",
    "a\r\nX-Tenant: b",
    "a\x00",
    None,
    7,
    True,
    [],
    ["v1"],
    {"a": "v1"},
    [[[["v1"]]]],
    math.nan,
]
ODD_PORTS = (0, 65536, 70000, -1, 99999999999, "", "²", "8e1", "01", "1" * 5000)
NO_ADDRESSES = [
    *NO_TEXTS,
    *(f"10.128.0.9:{port}" for port in ODD_PORTS),
    "10.128.0.9",
    ":8080",
    "::1:8080",
    "[::1]:8080",
    "10.128.0.256:8080",
    "10.128.0.09:8080",
    "010.128.0.9:8080",
    "runner.example:8080",
    " 10.128.0.9:8080",
    "10.128.0.9:8080\n",
]
NO_NUMBERS = [
    -1,
    1.5,
    1e400,
    -1e400,
    math.nan,
    2**62,
    2**64,
    10**400,
    "4",
    "",
    None,
    True,
    [],
    [4],
    {"a": 4},
]
NO_WARM_UPS = [1e400, math.nan, 2**62, 10**400, "4", None, [], [4], {}, True]
ODD_FIELDS = [
    (name, value)
    for names, values in (
        (("service", "zone", "version", "state"), NO_TEXTS),
        (("address",), NO_ADDRESSES),
        (("slots", "sequence", "born"), NO_NUMBERS),
        (("cold_remaining_ms",), NO_WARM_UPS),
        (("state",), ["READY", "gone", "leaving"]),
        (("spot_instances",), ["true", 1, None, [], {}]),
    )
    for name in names
    for value in values
]
ODD_IDS = ["", "i" * 300, "i\r\nX-Tenant: b", "i\x00", "i\ud800", "i\x85"]


def name_case(value):
    return f"{value!r:.40}"


ODD_BEATS = pytest.mark.parametrize(
    ("name", "value"), ODD_FIELDS, ids=name_case
)


class TestHeartbeats:
    @ODD_BEATS
    def test_one_with_an_odd_field_names_no_endpoint(self, name, value):
        body = json.dumps({**BEAT, name: value}).encode()
        found = announcements.decode_heartbeat("i-1", body)
        assert isinstance(found, str)
        assert found.startswith(f"{name}:")

    @pytest.mark.parametrize("body", UNREADABLE.values(), ids=UNREADABLE)
    def test_an_unreadable_one_names_no_endpoint(self, body):
        assert isinstance(announcements.decode_heartbeat("i-1", body), str)

    @pytest.mark.parametrize("endpoint_id", ODD_IDS, ids=name_case)
    def test_one_of_an_odd_id_names_no_endpoint(self, endpoint_id):
        """Guards against an id that adds headers to the requests sent."""
        body = json.dumps(BEAT).encode()
        found = announcements.decode_heartbeat(endpoint_id, body)
        assert isinstance(found, str)

    def test_the_last_of_duplicate_keys_counts(self):
        text = json.dumps(BEAT)[:-1]
        odd = f'{text}, "address": "10.128.0.9:70000"}}'.encode()
        assert isinstance(announcements.decode_heartbeat("i-1", odd), str)

    @pytest.mark.parametrize("value", [0, 0.0, 1500, 1500.5, -3, None])
    def test_a_sound_warm_up_time_is_accepted(self, value):
        beat = {**BEAT, "cold_remaining_ms": value}
        if value is None:
            del beat["cold_remaining_ms"]
        found = announcements.decode_heartbeat("i-1", json.dumps(beat).encode())
        assert found.cold_s == max(0, value or 0) / 1000


class TestControl:
    async def post(self, components, path, body):
        app = control_api.make_operators_app(components)
        return (await asgi.call(app, "POST", path, body=body)).status

    async def announce_sound(self, components):
        path = "/v1/Instances.Heartbeat/i-1"
        body = json.dumps(BEAT).encode()
        assert await self.post(components, path, body) == 200
        return components.discovery.directory.rows["i-1"].endpoint

    @ODD_BEATS
    async def test_an_odd_heartbeat_is_refused_and_changes_nothing(
        self, name, value
    ):
        components = test_duties.make_components()
        sound = await self.announce_sound(components)
        body = json.dumps({**BEAT, "sequence": 5, name: value}).encode()
        for endpoint_id in ("i-1", "odd"):
            path = f"/v1/Instances.Heartbeat/{endpoint_id}"
            assert await self.post(components, path, body) == 400
        (row,) = components.discovery.directory.rows.values()
        assert row.endpoint == sound

    @pytest.mark.parametrize(
        "body",
        [body for body in UNREADABLE.values() if body]
        + [json.dumps({"born": value}).encode() for value in NO_NUMBERS],
        ids=name_case,
    )
    async def test_an_odd_deregistration_ends_no_endpoint(self, body):
        """Guards against an unreadable body that counts as an absent start."""
        components = test_duties.make_components()
        sound = await self.announce_sound(components)
        path = "/v1/Instances.Deregister/i-1"
        assert await self.post(components, path, body) == 400
        assert components.discovery.directory.rows["i-1"].endpoint == sound

    @pytest.mark.parametrize("call", ["Heartbeat", "Deregister"])
    async def test_one_of_megabytes_is_refused(self, call):
        components = test_duties.make_components()
        sound = await self.announce_sound(components)
        odd = {**BEAT, "sequence": 5, "phase": "x" * 2_000_000}
        path, body = f"/v1/Instances.{call}/i-1", json.dumps(odd).encode()
        assert await self.post(components, path, body) == 413
        assert components.discovery.directory.rows["i-1"].endpoint == sound

    @pytest.mark.parametrize("body", [b"", b"{}", b'{"born":1769526078061}'])
    async def test_a_sound_deregistration_ends_the_endpoint(self, body):
        components = test_duties.make_components()
        await self.announce_sound(components)
        path = "/v1/Instances.Deregister/i-1"
        assert await self.post(components, path, body) == 200
        row = components.discovery.directory.rows["i-1"]
        assert row.endpoint.state == directory.GONE


class TestRestarts:
    """Usable values that name a sound endpoint's id or address."""

    INTERVAL_S = 1.2

    @pytest.mark.parametrize("odd_id", ["a", "odd"])
    def test_the_sound_endpoint_is_back_when_the_odd_one_expires(self, odd_id):
        sound = test_crashes.make_endpoint("a")
        odd = sound._replace(id=odd_id, born_ms=sound.born_ms + 1)
        known = directory.Directory()
        directory.announce(known, sound, 0.0)
        directory.announce(known, odd, 0.1)
        now, sequence = 0.1, 1
        while now <= discovery.ENDPOINT_RETENTION_S + 2 * self.INTERVAL_S:
            now, sequence = now + self.INTERVAL_S, sequence + 1
            heartbeat = sound._replace(sequence=sequence)
            directory.announce(known, heartbeat, now)
            directory.expire(known, now, discovery.ENDPOINT_RETENTION_S)
        (row,) = known.rows.values()
        assert row.endpoint == heartbeat


class TestAnswers:
    VALUES = (
        b"",
        b"9" * 5000,
        b"1." + b"9" * 5000,
        b"-1",
        b"1e400",
        b"nan",
        b"inf",
        "²".encode(),
        "٣".encode(),
        b"\xff\xfe",
        b"[" * 5000,
        b"0",
        b"timeout=" + b"9" * 5000,
        b"timeout=\xb2",
    )

    @pytest.mark.parametrize("value", VALUES, ids=name_case)
    @pytest.mark.parametrize("status", [200, 503])
    def test_no_header_of_an_answer_raises_an_error(self, status, value):
        names = (
            headers.ENDPOINT_LIMIT,
            headers.ENDPOINT_LEAVING,
            headers.ENDPOINT_PAUSE,
            headers.REQUEST_ID,
            b"keep-alive",
            b"connection",
        )
        reply = headers.interpret_response(
            status, [(name, value) for name in names]
        )
        assert not reply.states_leaving
        assert reply.pause_s is None or 0 <= reply.pause_s < 3601
        assert reply.limit_per_s is None or reply.limit_per_s < 10**9


class TestDuties:
    CONFIG = routeconfig.RouteConfig(
        version=1,
        routes=(),
        upstreams=(
            routeconfig.Upstream(
                "ops",
                100,
                None,
                routeconfig.Scaling(1, 4, 4.0, 0.0, {"d1": 1.0, "d2": 2.0}),
            ),
        ),
        workspaces=(),
        limits=routeconfig.Limits(0, 0.0),
    )

    @ODD_BEATS
    def test_an_odd_heartbeat_changes_no_order(self, name, value):
        orders = []
        for body in (None, {**BEAT, "sequence": 5, name: value}):
            components = test_duties.make_components()
            tables = components.member.tables
            tables.routes = routeconfig.to_json(self.CONFIG)
            tables.routes_version = 1
            for endpoint_id in ("a", "b"):
                components.discovery.announce(
                    test_crashes.make_endpoint(endpoint_id)
                )
            found = body and announcements.decode_heartbeat(
                "odd", json.dumps(body).encode()
            )
            if isinstance(found, directory.Endpoint):
                components.discovery.announce(found)
            fleets = scaling.Fleets(heartbeat_s=1.2)
            orders.append(scaling.decide_orders(components, fleets))
        assert orders[0] == orders[1]
