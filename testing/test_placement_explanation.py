"""Explanations of where a request would go, and their command."""

import asyncio
import json

import platform_fixtures
import pytest
import relay_fixtures
import test_cli
from arbutuswalk_platform import probes
from arbutuswalk_platform import settings as platform_settings

from _arbutuswalk.cli import placement_commands
from _arbutuswalk.relay import placement_explanation
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory

QUERY = placement_explanation.Query("h.example", "/a/x", "w")


def make_relay(*names, config=None, **changes):
    """Returns an entry that knows ready endpoints of these names."""
    relay = relay_fixtures.make_relay(config)
    for name in names:
        values = {
            "id": name,
            "born_ms": 1,
            "sequence": 1,
            "upstream": "ops",
            "address": f"127.0.0.1:{len(relay.directory.rows) + 1}",
            "domain": "d1",
            "version": "v1",
            "slots": 4,
            "state": directory.READY,
        }
        endpoint = directory.Endpoint(**{**values, **changes})
        directory.announce(relay.directory, endpoint, relay.now())
    return relay


def explain_ops(relay, query=QUERY):
    result = placement_explanation.explain(relay, query)
    return result["upstreams"]["ops"]


class TestPlacement:
    def test_the_idle_endpoint_gets_it(self):
        relay = make_relay("e1", "e2")
        relay.add_load("e1", 3, 700)
        endpoints = explain_ops(relay)["endpoints"]
        assert endpoints["e2"]["share"] == 1.0
        assert endpoints["e1"]["running"] == 3
        assert endpoints["e1"]["waiting_tokens"] == 700

    def test_what_speaks_against_an_endpoint_is_told(self):
        relay = make_relay("e1", "e2")
        relay.suspect_until["e1"] = relay.now() + 5
        row = explain_ops(relay)["endpoints"]["e1"]
        assert row["objections"] == ["failed recently"]
        assert row["share"] == 0.0

    def test_the_cached_part_counts(self):
        relay = make_relay("e1", "e2")
        parts = (requests.Part("shared", 900), requests.Part("own", 100))
        query = QUERY._replace(tokens_in=1000, parts=parts)
        endpoints = explain_ops(relay, query)["endpoints"]
        chosen = max(endpoints.values(), key=lambda row: row["share"])
        assert chosen["uncached_tokens"] == 100

    def test_without_an_endpoint_the_refusal_is_told(self):
        relay = make_relay("e1", state="draining")
        outcome = explain_ops(relay)
        assert outcome["outcome"] == "refused"
        assert outcome["reason"] == "no endpoint is ready"
        assert outcome["endpoints"]["e1"]["objections"] == ["state draining"]


class TestRefusals:
    @pytest.mark.parametrize(
        ("query", "status"),
        [
            (QUERY._replace(host="other.example"), 404),
            (QUERY._replace(workspace="none"), 401),
        ],
    )
    def test_the_status_is_that_of_the_entry(self, query, status):
        result = placement_explanation.explain(make_relay("e1"), query)
        assert result["refusal"]["status"] == status

    def test_an_entry_without_a_configuration_says_so(self):
        relay = make_relay("e1")
        relay.route_table = None
        result = placement_explanation.explain(relay, QUERY)
        assert result["refusal"]["status"] == 503

    def test_a_used_quota_is_told_and_not_charged(self):
        config = relay_fixtures.make_config(rate_per_s=1.0, burst=100.0)
        relay = make_relay("e1", config=config)
        bucket = relay.quota_buckets["w"]
        bucket.level = -1000.0
        taken = bucket.taken
        refusal = placement_explanation.explain(relay, QUERY)["refusal"]
        assert refusal["status"] == 429
        assert refusal["retry_after_s"] > 0
        assert bucket.taken == taken


class TestState:
    def test_nothing_that_decides_changes(self):
        relay = make_relay("e1", "e2")
        random_state = relay.rng.getstate()
        explain_ops(relay, QUERY._replace(tokens_in=10))
        assert relay.rng.getstate() == random_state
        assert relay.own_loads == {}
        assert not relay.recent_parts.sent_at


class TestQuery:
    @pytest.mark.parametrize(
        "text",
        ["host=h", "host=h&path=/a&tokens=x", "host=h&path=/a&part=p"],
    )
    def test_a_bad_one_is_explained(self, text):
        assert isinstance(probes.read_placement_query(text), str)

    def test_all_fields_are_read(self):
        text = "host=H.example&path=%2Fa%2Fx&workspace=w&tokens=9&part=a:b:4"
        assert probes.read_placement_query(text) == QUERY._replace(
            tokens_in=9, parts=(requests.Part("a:b", 4),)
        )


class TestRate:
    async def test_explanations_leave_time_for_requests(self):
        relay = make_relay("e1")
        relay.now = lambda: 100.0
        app = probes.make_entry_app(relay)
        statuses = []

        async def send(message):
            statuses.append(message.get("status"))

        scope = {"path": "/placement", "query_string": b"host=h&path=/"}
        for _ in range(2):
            await app(scope, None, send)
        assert statuses[::2] == [200, 429]


class TestDescription:
    def test_a_line_for_each_endpoint_the_likely_one_first(self):
        relay = make_relay("e1", "e2")
        relay.add_load("e1", 3, 0)
        result = placement_explanation.explain(relay, QUERY)
        lines = list(placement_commands.describe(result))
        assert lines[0] == "route r, priority 2"
        assert lines[1] == "ops (weight 1): sent"
        assert lines[2].startswith("  e2 in d1: 100%, 0 of 4 running")

    def test_a_refusal_comes_first(self):
        result = placement_explanation.explain(
            make_relay("e1"), QUERY._replace(workspace="none")
        )
        (line,) = placement_commands.describe(result)
        assert line.startswith("entry-1: refused with 401")


class TestCommand:
    @pytest.fixture
    async def cluster(self, tmp_path):
        new_cluster = platform_fixtures.PlatformCluster(tmp_path)
        new_cluster.entry_ips = new_cluster.entry_ips[:1]
        async with platform_fixtures.running(new_cluster):
            yield new_cluster

    async def run_command(self, *arguments):
        return await asyncio.to_thread(
            test_cli.run_command, "explain-placement", *arguments
        )

    async def test_it_asks_a_running_entry_and_sends_nothing(self, cluster):
        (ip,) = cluster.entry_ips
        for control_ip in cluster.control_ips:
            cluster.start_control(control_ip)
        cluster.start_entry(ip)
        endpoint = relay_fixtures.ScriptedEndpoint(name="i-1")
        await cluster.start_heartbeats(endpoint)
        config = platform_fixtures.make_config(2, "/a/")
        status, _ = await cluster.call_control(
            "POST", "/v1/Configuration.Replace", config
        )
        assert status == 200
        await cluster.wait_for_status(ip, 200, "/a/x")
        sent = len(endpoint.request_heads)
        address = f"{ip}:{platform_settings.METRICS_PORT}"
        target = address, "h.example", "/a/x"
        found = await self.run_command(*target, "-w", "w", "--json")
        assert found.returncode == 0, found.stderr
        (upstream,) = json.loads(found.stdout)["upstreams"].values()
        assert upstream["endpoints"]["i-1"]["share"] == 1.0
        # An entry explains at most once in this time.
        await asyncio.sleep(probes.MIN_EXPLANATION_INTERVAL_S)
        bad = await self.run_command(*target, "--tokens", "many")
        assert bad.returncode == 1
        assert "tokens: expected a whole number" in bad.stderr
        nowhere = await self.run_command(f"{ip}:1", *target[1:])
        assert nowhere.returncode == 3
        assert len(endpoint.request_heads) == sent
