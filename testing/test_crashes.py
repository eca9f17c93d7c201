"""Detection of requests that crash endpoints, without false positives."""

import relay_fixtures

from _arbutuswalk.relay import admission
from _arbutuswalk.relay import relaying
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory


def make_endpoint(name, **changes):
    values = {
        "id": name,
        "born_ms": 1,
        "sequence": 1,
        "upstream": "ops",
        "address": f"10.0.0.1:{1000 + ord(name)}",
        "domain": "d1",
        "version": "v1",
        "slots": 4,
        "state": directory.READY,
    }
    return directory.Endpoint(**{**values, **changes})


class TestResolveSuspects:
    def lose_connection(self, endpoints, tracker, endpoint, at):
        directory.announce(endpoints, endpoint, at - 0.5)
        crashes.record_lost_connection(tracker, "r", ("f",), endpoint, at)

    def test_an_endpoint_without_further_heartbeats_has_died(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        self.lose_connection(endpoints, tracker, make_endpoint("a"), 10.0)
        assert crashes.resolve_suspects(tracker, endpoints, 11.0, 1.2) == []
        assert len(crashes.resolve_suspects(tracker, endpoints, 12.0, 1.2)) == 1
        assert tracker.deaths == {"f": {"a/1": 10.0}}

    def test_an_endpoint_that_only_resets_connections_has_not_died(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        self.lose_connection(endpoints, tracker, make_endpoint("a"), 10.0)
        directory.announce(endpoints, make_endpoint("a", sequence=2), 11.0)
        assert crashes.resolve_suspects(tracker, endpoints, 12.0, 1.2) == []
        assert tracker.deaths == {}

    def test_an_endpoint_that_restarted_has_died(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        self.lose_connection(endpoints, tracker, make_endpoint("a"), 10.0)
        directory.announce(endpoints, make_endpoint("a", born_ms=2), 11.0)
        assert len(crashes.resolve_suspects(tracker, endpoints, 12.0, 1.2)) == 1

    def test_an_endpoint_that_leaves_has_not_died(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        self.lose_connection(endpoints, tracker, make_endpoint("a"), 10.0)
        directory.deregister(endpoints, "a", None, 11.0)
        assert crashes.resolve_suspects(tracker, endpoints, 12.0, 1.2) == []

    def test_deaths_expire(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        self.lose_connection(endpoints, tracker, make_endpoint("a"), 10.0)
        crashes.resolve_suspects(tracker, endpoints, 12.0, 1.2)
        crashes.resolve_suspects(
            tracker, endpoints, 12.0 + crashes.DEATH_RETENTION_S, 1.2
        )
        assert tracker.deaths == {}


class TestFingerprintsToRefuse:
    def test_one_death_seen_by_many_entries_counts_once(self):
        reports = [{"f": ["a/1"]}] * 5
        assert crashes.fingerprints_to_refuse(reports) == []

    def test_deaths_at_several_entries_are_summed(self):
        reports = [{"f": ["a/1"], "g": ["a/1"]}, {"f": ["b/1"]}]
        reports.append({"f": ["c/1"], "g": ["c/1"]})
        assert crashes.fingerprints_to_refuse(reports) == ["f"]


class TestRelay:
    async def test_a_refused_request_reaches_no_endpoint(self):
        relay = relay_fixtures.make_relay()
        incoming = admission.IncomingRequest(
            id="attempt-1",
            method="POST",
            host="h.example",
            path="/a/x",
            target="/a/x",
            key="key",
            deadline_s=1.0,
            headers=[],
            body=b"poison",
            prompt=None,
            last_event="",
            received_at=relay.now(),
        )
        admitted = admission.admit(relay, incoming)
        relay.refused_fingerprints = frozenset([admitted.fingerprint])
        refusal = admission.admit(relay, incoming)
        assert refusal.status == 503
        assert refusal.retry_after_s > 0
        other = admission.admit(relay, incoming._replace(body=b"innocent"))
        assert not isinstance(other, admission.Refusal)

    async def test_a_lost_connection_makes_a_suspect(self):
        relay = relay_fixtures.make_relay()
        broken = relay_fixtures.send_bytes(b"", reset=True)
        endpoint = await relay_fixtures.ScriptedEndpoint(broken, broken).start(
            relay
        )
        request = relay_fixtures.make_request(relay)
        caller = relay_fixtures.RecordingCaller()
        await relaying.relay_request(
            relay, request, caller.make_delivery(relay, request)
        )
        endpoint.stop()
        assert [each.endpoint_id for each in relay.crashes.suspects] == ["e1"]
