"""Decoding of the platform's messages with missing, mistyped or huge fields."""

import json
import math

import hypothesis
import pytest
from arbutuswalk_platform import announcements
from arbutuswalk_platform import headers
from arbutuswalk_platform import operators
from hypothesis import strategies

from _arbutuswalk.base import events
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig

BEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "khomas-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1769526078061,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Ficu95.example",
            "path_prefix": "/pufi791/",
            "route_kind": "streaming",
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "priority": 0,
            "service": "huvo11a",
            "max_attempts": 1,
            "anonymous": False,
            "session_affinity": True,
            "stream_resumption": False,
            "gap_target_ms": 250,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "path_prefix": "/lohu930/",
            "route_kind": "non_idempotent",
            "timeout_ms": 5000,
            "traffic_split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/health",
            "connection_limit": 370,
            "inference_engine": {"slots": 64, "kv_cache_capacity": 588020},
            "scaling": {
                "minimum": 1,
                "maximum": 6,
                "boot_time_s": 4.0,
                "spot_price": 0.18,
                "zone_prices": {"khomas-a": 0.85, "khomas-b": 1.2},
            },
        },
        {"name": "wuno96b", "connection_limit": 110},
    ],
    "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
    "tenants": [
        {
            "name": "hule930",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "uncached_tokens": 200,
            "rate_per_s": 270667,
            "burst_size": 270667,
        }
    ],
}
ODD = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
    strategies.lists(strategies.integers(), max_size=2),
    strategies.dictionaries(strategies.text(max_size=3), strategies.none()),
    strategies.just("x" * 100_000),
)


UNUSABLE_NUMBERS = (10**400, -(10**400), math.nan, 1e300)
"""Floating-point numbers, or products of them, cannot hold these."""
NUMBERS = [
    ("routes", "timeout_ms"),
    ("routes", "target_latency_ms"),
    ("routes", "priority"),
    ("routes", "max_attempts"),
    ("routes", "gap_target_ms"),
    ("services", "connection_limit"),
    ("services", "inference_engine", "slots"),
    ("services", "inference_engine", "kv_cache_capacity"),
    ("services", "scaling", "minimum"),
    ("services", "scaling", "maximum"),
    ("services", "scaling", "boot_time_s"),
    ("services", "scaling", "spot_price"),
    ("tenants", "priority"),
    ("tenants", "uncached_tokens"),
    ("tenants", "rate_per_s"),
    ("tenants", "burst_size"),
]


def with_number(path, value):
    """Returns the configuration with another number in one field."""
    table, *inner, name = path
    changed = json.loads(json.dumps(CONFIG))
    fields = changed[table][0]
    for key in inner:
        fields = fields[key]
    assert name in fields
    fields[name] = value
    return changed


def encode(message):
    return json.dumps(message).encode()


class TestHeartbeat:
    def test_heartbeat_is_decoded_into_an_endpoint(self):
        assert announcements.decode_heartbeat(
            "i-1", encode(BEAT)
        ) == directory.Endpoint(
            id="i-1",
            born_ms=1769526078061,
            sequence=4,
            upstream="huvo11a",
            address="10.128.0.9:8080",
            domain="khomas-a",
            version="v1",
            slots=64,
            state=directory.READY,
            reclaimable=False,
            cold_s=1.5,
        )

    def test_draining_state_is_decoded_as_leaving(self):
        heartbeat = {**BEAT, "state": "draining", "spot_instances": True}
        decoded = announcements.decode_heartbeat("i-1", encode(heartbeat))
        assert decoded.state == directory.LEAVING
        assert decoded.reclaimable

    @pytest.mark.parametrize(
        "name",
        [name for name in BEAT if name != "cold_remaining_ms"],
    )
    def test_missing_field_is_named(self, name):
        incomplete = {key: value for key, value in BEAT.items() if key != name}
        decoded = announcements.decode_heartbeat("i-1", encode(incomplete))
        assert isinstance(decoded, str)
        assert decoded.startswith(f"{name}:")

    @hypothesis.given(name=strategies.sampled_from(sorted(BEAT)), value=ODD)
    def test_no_value_breaks_the_decoder(self, name, value):
        found = announcements.decode_heartbeat(
            "i-1", encode({**BEAT, name: value})
        )
        assert isinstance(found, str | directory.Endpoint)

    @hypothesis.given(body=strategies.binary(max_size=200))
    def test_no_bytes_break_the_decoder(self, body):
        announcements.decode_heartbeat("i-1", body)
        announcements.decode_deregistration("i", body)

    @pytest.mark.parametrize(
        "address",
        [
            "10.128.0.9:0",
            "10.128.0.9:65536",
            "10.128.0.9:" + "9" * 240,
            "10.128.0.9:²",
            "10.128.0.²:80",
            "10.128.0.256:80",
            "10.128.0:80",
            "runner.example:80",
            "::1:80",
            "10.128.0.9:",
        ],
    )
    def test_an_address_that_cannot_be_connected_to_is_refused(self, address):
        """Guards against an endpoint that ends every request sent to it.

        Opening a connection raised errors that no attempt expects.
        """
        found = announcements.decode_heartbeat(
            "i-1", encode({**BEAT, "address": address})
        )
        assert found == "address: not IP:port"

    def test_deep_nesting_is_rejected(self):
        body = b"[" * 100_000
        assert isinstance(announcements.decode_heartbeat("i", body), str)
        assert isinstance(operators.decode_config(body), str)


class TestConfig:
    def test_configuration_is_decoded_into_route_config(self):
        config = operators.decode_config(encode(CONFIG))
        assert routeconfig.check(config) == []
        first, second = config.routes
        assert first.host == "ficu95.example"
        assert (first.kind, first.timeout_s) == (routeconfig.STREAM, 3.0)
        assert second.kind == routeconfig.ONCE
        assert second.targets == (
            routeconfig.Target("huvo11a", 90),
            routeconfig.Target("wuno96b", 10),
        )
        assert config.upstreams[0].scaling.reclaimable_price == 0.18
        assert config.workspaces[0].keys == ("k1", "k2")
        assert config.limits.idle_timeout_s == 15.0
        assert config.warm_ups == ()

    @pytest.mark.parametrize(
        ("fields", "decoded"),
        [
            ({"cold_start_s": 3.0, "cold_per_s": 8.6}, (3.0, 8.6)),
            ({"cold_per_s": 8}, (0.0, 8.0)),
            ({"cold_start_s": 3.0, "cold_per_s": 0.0}, None),
            ({"cold_start_s": None, "cold_per_s": None}, None),
            ({"cold_start_s": 3.0, "cold_per_s": -1.0}, None),
        ],
    )
    def test_cold_runners_are_decoded_as_warm_ups(self, fields, decoded):
        service = {**CONFIG["services"][0], **fields}
        services = [service, *CONFIG["services"][1:]]
        config = operators.decode_config(
            encode({**CONFIG, "services": services})
        )
        limits = [routeconfig.WarmUp("huvo11a", *decoded)] if decoded else []
        assert list(config.warm_ups) == limits

    @pytest.mark.parametrize(
        ("limits", "decoded"),
        [
            ({}, (0, 0.0)),
            ({"max_header_bytes": 0, "header_timeout_ms": 0}, (0, 0.0)),
            ({"max_header_bytes": 16384}, (16384, 0.0)),
            ({"header_timeout_ms": 3000}, (0, 3.0)),
            ({"header_timeout_ms": 2500.5}, (0, 2.5005)),
        ],
        ids=["absent", "zero", "bytes", "timeout", "fraction"],
    )
    def test_head_limits_are_decoded(self, limits, decoded):
        config = operators.decode_config(encode({**CONFIG, "limits": limits}))
        assert config.head_limits == decoded
        assert routeconfig.check(config) == []

    @pytest.mark.parametrize("name", ["max_header_bytes", "header_timeout_ms"])
    @pytest.mark.parametrize("value", [-1, math.nan, math.inf, -math.inf])
    def test_a_head_limit_that_cannot_be_kept_is_ignored(
        self, name, value, monkeypatch
    ):
        logged = []
        monkeypatch.setattr(events, "record", lambda *each: logged.append(each))
        limits = {"max_header_bytes": 100, "header_timeout_ms": 200}
        body = encode({**CONFIG, "limits": {**limits, name: value}})
        config = operators.decode_config(body)
        expected = routeconfig.HeadLimits(
            0 if name == "max_header_bytes" else 100,
            0 if name == "header_timeout_ms" else 0.2,
        )
        assert config.head_limits == expected
        ((event, logged_name, _),) = logged
        assert (event, logged_name) == (events.Event.LIMIT_IGNORED, name)

    @pytest.mark.parametrize("name", ["max_header_bytes", "header_timeout_ms"])
    @pytest.mark.parametrize("value", ["100", None, [1], True])
    def test_a_head_limit_of_another_type_is_unreadable(self, name, value):
        body = encode({**CONFIG, "limits": {name: value}})
        assert isinstance(operators.decode_config(body), str)

    @pytest.mark.parametrize(
        ("where", "names"),
        [
            ((), ["version", "routes", "services"]),
            (
                ("routes", 0),
                ["name", "host", "path_prefix", "route_kind", "timeout_ms"],
            ),
            (("services", 0), ["name"]),
            (("tenants", 0), ["name"]),
        ],
    )
    def test_missing_field_is_named(self, where, names):
        for name in names:
            incomplete = json.loads(json.dumps(CONFIG))
            table = incomplete
            for key in where:
                table = table[key]
            del table[name]
            decoded = operators.decode_config(encode(incomplete))
            assert isinstance(decoded, str)
            assert decoded.startswith(f"{name}:")

    @hypothesis.given(
        table=strategies.sampled_from(["routes", "services", "tenants"]),
        data=strategies.data(),
        value=ODD,
    )
    def test_no_value_breaks_the_decoder(self, table, data, value):
        said = json.loads(json.dumps(CONFIG))
        name = data.draw(strategies.sampled_from(sorted(said[table][0])))
        said[table][0][name] = value
        found = operators.decode_config(encode(said))
        if isinstance(found, routeconfig.RouteConfig):
            routeconfig.check(found)

    @pytest.mark.parametrize(
        ("tenants", "requires_keys"),
        [
            ({"tenants": [{"name": "w", "api_keys": ["k"]}]}, True),
            ({"tenants": [{"name": "w", "api_keys": []}]}, True),
            ({"tenants": []}, True),
            ({}, False),
        ],
        ids=["key", "no-key", "no-tenant", "absent"],
    )
    def test_keys_are_required_if_tenants_are_configured(
        self, tenants, requires_keys
    ):
        plain = {k: v for k, v in CONFIG.items() if k != "tenants"}
        config = operators.decode_config(encode({**plain, **tenants}))
        assert routeconfig.check(config) == []
        assert config.requires_keys is requires_keys

    @pytest.mark.parametrize("value", UNUSABLE_NUMBERS, ids=str)
    @pytest.mark.parametrize("path", NUMBERS, ids=".".join)
    def test_a_number_that_cannot_be_computed_with_is_refused(
        self, path, value
    ):
        """Guards against a status of 500, and errors once it is in force."""
        decoded = operators.decode_config(encode(with_number(path, value)))
        assert isinstance(decoded, str)
        assert decoded.startswith(f"{path[-1]}: not ")

    @pytest.mark.parametrize(
        "value", [10**20, 2**64], ids=["20-digits", "2**64"]
    )
    @pytest.mark.parametrize("path", NUMBERS, ids=".".join)
    def test_a_number_above_64_bits_is_accepted(self, path, value):
        config = operators.decode_config(encode(with_number(path, value)))
        assert routeconfig.check(config) == []

    def test_truncated_configuration_is_rejected(self):
        body = encode(CONFIG)
        for size in range(0, len(body), 97):
            assert isinstance(operators.decode_config(body[:size]), str)


class TestRollout:
    def test_duration_is_converted_to_milliseconds(self):
        body = {"service": "s", "target": "v2", "duration_s": 12}
        assert operators.decode_rollout(encode(body)) == operators.Rollout(
            "s", "v2", 12000
        )

    @pytest.mark.parametrize(
        "value", [*UNUSABLE_NUMBERS, math.inf, -math.inf], ids=str
    )
    def test_an_unusable_duration_is_refused(self, value):
        body = {"service": "s", "target": "v2", "duration_s": value}
        decoded = operators.decode_rollout(encode(body))
        assert decoded == "duration_s: not within +-1e+100"

    @hypothesis.given(
        name=strategies.sampled_from(["service", "target", "duration_s"]),
        value=ODD,
    )
    def test_no_value_breaks_the_decoder(self, name, value):
        said = {"service": "s", "target": "v2", "duration_s": 12, name: value}
        operators.decode_rollout(encode(said))


class TestHeaders:
    def test_hop_by_hop_and_reserved_headers_are_dropped(self):
        received = [
            (b"host", b"h"),
            (b"x-attempt-id", b"a"),
            (b"x-tenant", b"forged"),
            (b"x-key", b"secret"),
            (b"x-expected-instance", b"forged"),
            (b"x-cache-retention", b"forged"),
            (b"x-pin-duration-ms", b"1"),
            (b"x-kv-replica", b"1"),
            (b"kv-from", b"1"),
            (b"kv-fetch", b"1"),
            (b"x-request-priority", b"0"),
            (b"connection", b"keep-alive, x-odd"),
            (b"x-odd", b"1"),
            (b"transfer-encoding", b"chunked"),
            (b"x-model-name", b"m"),
        ]
        assert headers.forwarded_request_headers(received) == [
            (b"host", b"h"),
            (b"x-attempt-id", b"a"),
            (b"x-model-name", b"m"),
        ]

    @pytest.mark.parametrize(
        ("status", "extra", "ran"),
        [
            (200, [], True),
            (500, [], True),
            (503, [], True),
            (503, [(b"x-not-executed", b"1")], False),
            (429, [(b"x-not-executed", b"1")], False),
            (421, [], False),
        ],
    )
    def test_only_a_marked_response_means_not_executed(
        self, status, extra, ran
    ):
        assert headers.interpret_response(status, extra).ran == ran

    def test_prompt_parts_are_parsed_and_invalid_ones_skipped(self):
        prompt = headers.read_prompt(
            [
                (b"x-model-name", b"m"),
                (b"x-token-count", b"1460,80"),
                (b"x-prefix-hash", b"5c1e:800,91bd:410,bad,e440:250"),
            ]
        )
        assert (prompt.tokens_in, prompt.tokens_out) == (1460, 80)
        assert prompt.parts == (
            requests.Part("5c1e", 800),
            requests.Part("91bd", 410),
            requests.Part("e440", 250),
        )

    @hypothesis.given(
        value=strategies.binary(max_size=60).filter(lambda b: b"\n" not in b)
    )
    def test_no_bytes_break_a_prompt(self, value):
        headers.read_prompt(
            [
                (b"x-model-name", value or b"m"),
                (b"x-token-count", value),
                (b"x-prefix-hash", value),
            ]
        )


class TestEndpointLimit:
    @pytest.mark.parametrize(
        ("value", "limit"),
        [
            (b"1.9", 1.9),
            (b"12", 12.0),
            (b"0", 0.0),
            (b"", None),
            (b"-1", None),
            (b"nan", None),
            (b"1e9", None),
            (b"two", None),
        ],
        ids=str,
    )
    def test_only_decimal_numbers_are_limits(self, value, limit):
        reply = headers.interpret_response(200, [(b"server-limit", value)])
        assert reply.limit_per_s == limit

    def test_an_answer_without_the_header_states_no_limit(self):
        assert headers.interpret_response(200, []).limit_per_s is None
