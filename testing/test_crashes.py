"""Detection of requests that crash endpoints, without false positives."""

import relay_fixtures

from _arbutuswalk.relay import admission
from _arbutuswalk.relay import relaying
from _arbutuswalk.relay import request as requests
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

    def test_one_that_another_process_replaced_has_died(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        self.lose_connection(endpoints, tracker, make_endpoint("a"), 10.0)
        successor = make_endpoint("b", born_ms=2, address="10.0.0.1:1097")
        directory.announce(endpoints, successor, 11.0)
        assert endpoints.rows["a"].endpoint.state == directory.GONE
        assert len(crashes.resolve_suspects(tracker, endpoints, 12.0, 1.2)) == 1

    def withdraw_death(self):
        """Returns a death that is withdrawn 0.2 s after it was confirmed."""
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        directory.announce(endpoints, make_endpoint("b"), 9.0)
        endpoint = make_endpoint("a")
        self.lose_connection(endpoints, tracker, endpoint, 10.0)
        start = directory.start_of(endpoint)
        crashes.record_refused_connection(tracker, start, 10.1)
        assert crashes.resolve_suspects(tracker, endpoints, 10.1, 1.2)
        crashes.withdraw_deaths(tracker, 9.3)
        assert tracker.deaths == {}
        return endpoints, tracker

    def test_a_withdrawn_death_is_confirmed_by_silence(self):
        """Guards against deaths forgotten as a lost path (BUDGET)."""
        endpoints, tracker = self.withdraw_death()
        directory.announce(endpoints, make_endpoint("b", sequence=2), 12.0)
        assert not crashes.resolve_suspects(tracker, endpoints, 12.5, 1.2)
        assert crashes.resolve_suspects(tracker, endpoints, 13.1, 1.2)
        assert tracker.deaths == {"f": {"a/1": 10.0}}

    def test_a_withdrawn_death_is_confirmed_by_another_refusal(self):
        endpoints, tracker = self.withdraw_death()
        start = directory.start_of(make_endpoint("a"))
        crashes.record_refused_connection(tracker, start, 10.5)
        assert crashes.resolve_suspects(tracker, endpoints, 10.6, 1.2)

    def test_none_is_confirmed_while_the_path_is_lost(self):
        endpoints, tracker = self.withdraw_death()
        directory.announce(endpoints, make_endpoint("b", sequence=2), 12.0)
        assert not crashes.resolve_suspects(
            tracker, endpoints, 20.0, 1.2, is_cut_off=True
        )
        directory.announce(endpoints, make_endpoint("a", sequence=2), 20.0)
        assert not crashes.resolve_suspects(tracker, endpoints, 20.1, 1.2)
        assert tracker.suspects == []

    def test_none_is_confirmed_if_no_endpoint_is_heard(self):
        endpoints, tracker = self.withdraw_death()
        assert not crashes.resolve_suspects(tracker, endpoints, 20.0, 1.2)
        assert tracker.deaths == {}

    def test_deaths_expire(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        self.lose_connection(endpoints, tracker, make_endpoint("a"), 10.0)
        crashes.resolve_suspects(tracker, endpoints, 12.0, 1.2)
        crashes.resolve_suspects(
            tracker, endpoints, 12.0 + crashes.DEATH_RETENTION_S, 1.2
        )
        assert tracker.deaths == {}


class TestRefusedConnections:
    """A refused connection shows a death before a heartbeat is missed."""

    def lose_connection(self, endpoints, tracker, **changes):
        endpoint = make_endpoint("a", **changes)
        directory.announce(endpoints, endpoint, 9.9)
        crashes.record_lost_connection(tracker, "r", ("f",), endpoint, 10.0)
        return directory.start_of(endpoint)

    def test_an_endpoint_that_refuses_connections_has_died(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        start = self.lose_connection(endpoints, tracker)
        crashes.record_refused_connection(tracker, start, 10.1)
        assert len(crashes.resolve_suspects(tracker, endpoints, 10.1, 1.2)) == 1
        assert tracker.deaths == {"f": {"a/1": 10.0}}

    def test_a_refusal_before_the_connection_was_lost_proves_nothing(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        start = directory.start_of(make_endpoint("a"))
        crashes.record_refused_connection(tracker, start, 9.9)
        self.lose_connection(endpoints, tracker)
        assert crashes.resolve_suspects(tracker, endpoints, 10.1, 1.2) == []

    def test_an_endpoint_that_leaves_may_refuse_connections(self):
        endpoints, tracker = directory.Directory(), crashes.CrashTracker()
        start = self.lose_connection(endpoints, tracker)
        directory.record_leaving(endpoints, start, 9.0)
        crashes.record_refused_connection(tracker, start, 10.1)
        assert crashes.resolve_suspects(tracker, endpoints, 10.1, 1.2) == []


class TestSuccesses:
    def test_fingerprints_without_a_death_are_not_kept(self):
        tracker = crashes.CrashTracker()
        tracker.deaths["g"] = {"a/1": 1.0}
        for key in ("f", "g", "part/p"):
            crashes.record_success(tracker, (key,), 2.0)
        assert list(tracker.successes) == ["g", "part/p"]

    def test_the_oldest_are_forgotten_first(self, monkeypatch):
        monkeypatch.setattr(crashes, "MAX_SUCCESSES", 2)
        tracker = crashes.CrashTracker()
        for now, key in enumerate(("part/a", "part/b", "part/a", "part/c")):
            crashes.record_success(tracker, (key,), now)
        assert list(tracker.successes) == ["part/a", "part/c"]

    def test_ages_are_reported_of_the_keys_asked_for(self):
        tracker = crashes.CrashTracker()
        crashes.record_success(tracker, ("part/a", "part/b"), 2.0)
        keys = frozenset(["part/a", "part/c"])
        reported = crashes.successes_to_json(tracker, keys, 5.0)
        assert reported == {"part/a": 3.0, "part/c": None}


class TestCrashKeys:
    def make_keys(self, *part_ids):
        parts = tuple(requests.Part(part_id, 1) for part_id in part_ids)
        prompt = requests.Prompt("m", 1, 1, parts)
        relay = relay_fixtures.make_relay()
        return relay_fixtures.make_request(relay, prompt=prompt).crash_keys

    def test_a_request_without_a_prompt_has_its_fingerprint(self):
        relay = relay_fixtures.make_relay()
        assert relay_fixtures.make_request(relay).crash_keys == ("f",)

    def test_the_last_part_is_never_blamed(self):
        assert self.make_keys("a", "b", "own") == ("f", "part/a", "part/b")
        assert self.make_keys("own") == ("f",)
        assert self.make_keys() == ("f",)

    def test_each_part_is_blamed_once(self):
        assert self.make_keys("a", "a", "own") == ("f", "part/a")

    def test_number_and_length_are_bounded(self):
        long_ids = [f"{number}" + 5000 * "x" for number in range(500)]
        keys = self.make_keys(*long_ids)
        assert len(set(keys)) == 1 + requests.MAX_BLAMED_PARTS
        assert max(map(len, keys)) < 50


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
        relay.refusals.add(admitted.fingerprint, relay.now())
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
