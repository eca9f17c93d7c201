"""HTTP routes of an entry: bad input, refusals, streams and resumption."""

import asyncio
import json
import random

import asgi
import entry_fixtures
import hypothesis
import hypothesis.strategies as st
import pytest
import stream_machine
import virtual

from _arbutuswalk.entry import app
from _arbutuswalk.entry import control_sync
from _arbutuswalk.entry import http
from _arbutuswalk.entry import link_handler
from _arbutuswalk.entry import maintenance
from _arbutuswalk.load import checks
from _arbutuswalk.load import workload
from _arbutuswalk.state import commands
from _arbutuswalk.streams import attempts
from _arbutuswalk.wire.gen.arbutus import ttypes

AUTH = {"Authorization": "Bearer t"}
CHAT = "/v1/chat/completions"
PLAIN = "/v1/completions"


class Edge:
    """One entry with fake runners, on virtual time."""

    def __init__(self):
        self.loop = virtual.VirtualLoop()
        self.rng = random.Random(5)
        self.control = entry_fixtures.Control(self.loop, self.rng)
        self.fleet = stream_machine.Fleet(self.loop, self.rng)
        self.entry = entry_fixtures.make_entry(self.loop, self.control, "a")
        self.app = app.make_app(self.entry)
        for runner in self.fleet.runners.values():
            announcement = runner.next_announcement()
            self.announce(announcement)

    def announce(self, announcement):
        return self.post("/v1/upstreams/announce", announcement, headers={})

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def post(self, path, body, headers=AUTH, **options):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.run(
            asgi.call(
                self.app, "POST", path, headers=headers, body=data, **options
            )
        )

    def get(self, path, headers=AUTH):
        return self.run(asgi.call(self.app, "GET", path, headers=headers))

    def close(self):
        virtual.close(self.loop)


@pytest.fixture
def edge(monkeypatch):
    harness = Edge()
    monkeypatch.setattr(attempts, "run", harness.fleet.run)
    yield harness
    harness.close()


def ask(reference="r1", **extra):
    return {
        "model": "model",
        "prompt": f"ref:{reference}",
        "max_tokens": 6,
        "stream": True,
        **extra,
    }


def events_in(response):
    parts = response.body.split(b"\n\n")
    assert parts.pop() == b""
    return [part for part in parts if not part.startswith(b":")]


def text_of(events):
    return checks.text_of_events([e.split(b"\n", 1)[1] for e in events])


def check_generated_text(reference, text, tokens=6):
    request_item = workload.Item(**dict.fromkeys(workload.Item._fields, ""))
    request_item = request_item._replace(ref=reference, max_tokens=tokens)
    assert checks.check_text(request_item, text) == ""


class TestBadInput:
    @pytest.mark.parametrize(
        ("body", "status", "title"),
        [
            pytest.param(b"{", 400, "malformed JSON", id="not-json"),
            pytest.param(b"[]", 400, "malformed JSON", id="not-an-object"),
            pytest.param(b"{}", 400, "missing model", id="no-model"),
            pytest.param(
                {"model": "model"}, 400, "missing prompt", id="no-prompt"
            ),
            pytest.param(
                ask(model="moon"), 404, "unknown model", id="unknown-model"
            ),
            pytest.param(
                ask(model="claims"), 404, "unknown model", id="a-service"
            ),
            pytest.param(
                ask(max_tokens=0), 400, "bad max_tokens", id="no-tokens"
            ),
            pytest.param(
                ask(max_tokens="6"), 400, "bad max_tokens", id="text-tokens"
            ),
            pytest.param(ask(stream=1), 400, "bad stream", id="stream"),
            pytest.param(
                ask(continue_from={}), 400, "unknown key", id="continue"
            ),
            pytest.param(b"[" * 100_000, 400, "malformed JSON", id="deep"),
        ],
    )
    def test_body(self, edge, body, status, title):
        response = edge.post(PLAIN, body)
        assert response.status == status
        assert response.headers["content-type"] == http.PROBLEM_CONTENT_TYPE
        assert response.json["title"] == title
        assert response.json["ran"] == "no"

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("X-Deadline-Ms", "soon"),
            ("X-Deadline-Ms", "-5"),
            ("X-Deadline-Ms", "0"),
            ("X-Deadline-Ms", "\u00b2"),
            ("X-Priority", "12"),
            ("X-Priority", ""),
            ("Idempotency-Key", "k" * 200),
            ("Idempotency-Key", "a\x07b"),
            ("Last-Event-ID", "nonsense"),
        ],
    )
    def test_header(self, edge, name, value):
        response = edge.post(PLAIN, ask(), headers={**AUTH, name: value})
        assert response.status == 400
        assert name in response.json["detail"]
        assert response.json["ran"] == "no"

    @pytest.mark.parametrize(
        "headers", [{}, {"Authorization": "Bearer x"}, {"Authorization": "t"}]
    )
    def test_token(self, edge, headers):
        assert edge.post(PLAIN, ask(), headers=headers).status == 401

    def test_message_without_content(self, edge):
        body = {"model": "model", "messages": [{"role": "user"}]}
        response = edge.post(CHAT, body)
        assert "messages[0]" in response.json["detail"]

    def test_oversized_body(self, edge):
        response = edge.post(PLAIN, b"x" * (http.MAX_BODY_BYTES + 1))
        assert response.status == 413

    def test_unknown_path_and_method(self, edge):
        assert edge.get("/v2/nothing").status == 404
        assert edge.get(PLAIN).json["ran"] == "no"

    @pytest.mark.parametrize(
        "said",
        [
            {},
            [],
            {"id": "u0"},
            entry_fixtures.make_announcement("", "model"),
            entry_fixtures.make_announcement("x", "model", address="nowhere"),
        ],
    )
    def test_announcement(self, edge, said):
        assert edge.announce(said).status == 400

    def test_announcement_of_a_known_id_from_another_address(self, edge):
        address_before = edge.entry.upstreams.rows["u0"].announcement["address"]
        announcement = entry_fixtures.make_announcement(
            "u0", "model", address="127.0.0.1:77", incarnation=1, sequence=50
        )
        assert edge.announce(announcement).status == 409
        assert (
            edge.entry.upstreams.rows["u0"].announcement["address"]
            == address_before
        )

    @hypothesis.given(
        method=st.sampled_from(["GET", "POST", "PUT", "DELETE", "X"]),
        path=st.sampled_from(
            [
                PLAIN,
                CHAT,
                "/v1/services/claims/claims",
                "/v1/services/claims/lots/1",
                "/v1/services//",
                "/v1/entries",
                "/v1/requests/x",
                "/v1/upstreams/announce",
                "/v1/upstreams/events",
                "/metrics",
                "/",
            ]
        ),
        headers=st.dictionaries(
            st.sampled_from(
                [
                    "Authorization",
                    "X-Deadline-Ms",
                    "X-Priority",
                    "Idempotency-Key",
                    "Last-Event-ID",
                    "Content-Type",
                ]
            ),
            st.text(st.characters(max_codepoint=255), max_size=12)
            | st.sampled_from(["Bearer t", "50", "a~1:3"]),
        ),
        body=st.binary(max_size=40)
        | st.sampled_from(
            [json.dumps(ask()).encode(), b'{"id": 1}', b"null", b'"x"']
        ),
    )
    @hypothesis.settings(max_examples=150)
    def test_anything_gets_a_clear_answer(self, method, path, headers, body):
        made = Edge()
        original = attempts.run
        attempts.run = made.fleet.run
        try:
            response = made.run(
                asgi.call(made.app, method, path, headers=headers, body=body)
            )
            assert 200 <= response.status < 600
            if response.status >= 400:
                assert response.json["ran"] in ("no", "unknown", "yes")
            assert made.get("/v1/entries").status == 200
        finally:
            attempts.run = original
            made.close()


class TestStreams:
    def test_events_are_numbered_and_complete(self, edge):
        response = edge.post(PLAIN, ask())
        events = events_in(response)
        ids = [e.split(b"\n")[0].decode() for e in events]
        request_id = response.headers["x-request-id"]
        assert ids == [f"id: {request_id}:{i}" for i in range(7)]
        assert events[-1].endswith(b"data: [DONE]")
        check_generated_text("r1", text_of(events))

    def test_answer_without_streaming(self, edge):
        response = edge.post(PLAIN, ask(stream=False))
        check_generated_text("r1", response.json["choices"][0]["text"])

    def test_chat(self, edge):
        body = ask(stream=False)
        prompt = body.pop("prompt")
        body["messages"] = [{"role": "user", "content": prompt}]
        response = edge.post(CHAT, body)
        assert response.json["object"] == "chat.completion"

    def test_resend_with_the_key_gets_the_same_answer(self, edge):
        headers = {**AUTH, "Idempotency-Key": "k"}
        first = edge.post(PLAIN, ask(), headers=headers)
        second = edge.post(PLAIN, ask(), headers=headers)
        assert second.body == first.body
        assert len(edge.entry.requests) == 1

    def test_key_with_another_body_is_refused(self, edge):
        headers = {**AUTH, "Idempotency-Key": "k"}
        edge.post(PLAIN, ask(), headers=headers)
        response = edge.post(PLAIN, ask("r2"), headers=headers)
        assert (response.status, response.json["ran"]) == (409, "no")

    def test_keys_are_separate_by_workspace(self, edge):
        headers = {**AUTH, "Idempotency-Key": "k"}
        edge.post(PLAIN, ask(), headers=headers)
        other = {"Authorization": "Bearer b", "Idempotency-Key": "k"}
        response = edge.post(PLAIN, ask("r2"), headers=other)
        check_generated_text("r2", text_of(events_in(response)))

    def test_resumption_continues_after_the_last_event(self, edge):
        first = edge.post(PLAIN, ask(), disconnect_after=3)
        seen = events_in(first)
        assert 0 < len(seen) < 7
        last = seen[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
        headers = {**AUTH, "Last-Event-ID": last}
        rest = events_in(edge.post(PLAIN, ask(), headers=headers))
        check_generated_text("r1", text_of(seen + rest))

    def test_lost_generation_restarts_after_a_reset_event(self, edge):
        headers = {**AUTH, "Last-Event-ID": "b~gone:4"}
        response = edge.post(PLAIN, ask(), headers=headers)
        events = events_in(response)
        assert events[0].startswith(b"event: reset")
        check_generated_text("r1", text_of(events[1:]))

    def test_disconnected_caller_cancels_the_request(self, edge):
        edge.post(PLAIN, ask(max_tokens=2000), disconnect_after=2)
        (request,) = edge.entry.requests.values()
        task = asyncio.ensure_future(
            maintenance.run(edge.entry), loop=edge.loop
        )
        edge.run(asyncio.sleep(8))
        assert request.answer.ended
        assert request.task.done()
        task.cancel()

    def test_no_upstream_is_refused_with_retry_after(self, edge):
        for upstream_id in list(edge.entry.upstreams.rows):
            edge.entry.upstreams.remove(upstream_id)
        response = edge.post(PLAIN, ask())
        assert response.status == 503
        assert response.json["ran"] == "no"
        assert "retry-after" in response.headers

    def test_unreachable_deadline_is_refused_immediately(self, edge):
        async def flood():
            calls = [
                asgi.call(
                    edge.app,
                    "POST",
                    PLAIN,
                    headers={**AUTH, "X-Deadline-Ms": "4000"},
                    body=json.dumps(ask(f"x{i}", max_tokens=400)).encode(),
                )
                for i in range(60)
            ]
            started = edge.loop.time()
            tasks = [asyncio.ensure_future(call) for call in calls]
            await asyncio.sleep(0.5)
            refused = [t.result() for t in tasks if t.done()]
            for task in tasks:
                task.cancel()
            assert edge.loop.time() - started < 1
            return refused

        refused = edge.run(flood())
        assert refused
        assert {r.status for r in refused} == {429}
        assert {r.json["ran"] for r in refused} == {"no"}


class TestLease:
    def test_without_a_lease_new_requests_are_refused_naming_other_entries(
        self, edge
    ):
        edge.entry.lease_expires_at = edge.loop.time() - 1
        edge.entry.view["entries"]["b"] = {"address": "127.0.0.1:55"}
        response = edge.post(PLAIN, ask())
        assert (response.status, response.json["ran"]) == (503, "no")
        assert "127.0.0.1:55" in response.json["detail"]

    def test_running_request_continues_without_a_lease(self, edge):
        async def lose_lease():
            call = asyncio.ensure_future(
                asgi.call(
                    edge.app,
                    "POST",
                    PLAIN,
                    headers=AUTH,
                    body=json.dumps(ask()).encode(),
                )
            )
            await asyncio.sleep(0.1)
            edge.entry.lease_expires_at = float("-inf")
            return await call

        response = edge.run(lose_lease())
        check_generated_text("r1", text_of(events_in(response)))

    def test_lease_starts_when_the_sync_is_sent(self, edge):
        async def slow(message, *, timeout_s, before_attempt):
            await asyncio.sleep(2.0)
            return ttypes.SyncReply(
                status=ttypes.Status.OK,
                lease_ms=3000,
                view_version=99,
                view=b"{}",
            )

        edge.entry.control.call = slow
        asked_at = edge.loop.time()
        edge.run(control_sync._sync(edge.entry))
        assert edge.entry.lease_expires_at == asked_at + 3.0

    def test_older_view_is_ignored(self, edge):
        async def stale(message, *, timeout_s, before_attempt):
            old = {"configuration": {"revision": 0, "inventory": None}}
            return ttypes.SyncReply(
                status=ttypes.Status.OK,
                lease_ms=3000,
                view_version=1,
                view=json.dumps(old).encode(),
            )

        edge.entry.view_version = 50
        edge.entry.lease_expires_at = -1.0
        edge.entry.control.call = stale
        edge.run(control_sync._sync(edge.entry))
        assert edge.entry.revision == 1
        assert not edge.entry.accepts_work


class TestEntries:
    def test_draining_entry_is_not_listed(self, edge):
        assert len(edge.get("/v1/entries").json["entries"]) == 1
        edge.control.commit(
            commands.SetEntryState("a", edge.entry.incarnation, "draining")
        )
        entry_fixtures.refresh(edge.entry, edge.control)
        listed = edge.get("/v1/entries").json
        assert listed["entries"] == []
        assert listed["ttl_s"] == app.ENTRY_LIST_TTL_S


class TestServices:
    def test_non_idempotent_route_requires_a_key(self, edge):
        response = edge.post("/v1/services/claims/claims", {})
        assert (response.status, response.json["title"]) == (
            400,
            "missing key",
        )

    def test_unknown_route_lists_the_known_routes(self, edge):
        response = edge.post("/v1/services/claims/other", {})
        assert response.status == 404
        assert "POST /claims" in response.json["detail"]

    def test_call_without_an_upstream_is_not_run(self, edge):
        headers = {**AUTH, "Idempotency-Key": "k"}
        response = edge.post("/v1/services/claims/claims", {}, headers)
        assert (response.status, response.json["ran"]) == (503, "no")


class TestStatusAndDump:
    def test_status_of_a_request(self, edge):
        headers = {**AUTH, "Idempotency-Key": "k"}
        edge.post(PLAIN, ask(), headers=headers)
        status = edge.get("/v1/requests/k").json
        assert (status["state"], status["attempts"]) == ("done", 1)

    def test_unknown_key(self, edge):
        assert edge.get("/v1/requests/none").status == 404

    def test_metrics_are_text(self, edge):
        edge.post(PLAIN, ask())
        text = edge.get("/metrics").body.decode()
        assert 'arbutuswalk_answers{outcome="whole"} 1' in text
        assert "arbutuswalk_first_token_seconds" in text

    def test_dump_is_json(self, edge):
        edge.post(PLAIN, ask())
        dumped = json.loads(json.dumps(link_handler.dump_state(edge.entry)))
        assert dumped["role"] == "entry"
        assert len(dumped["upstreams"]) == stream_machine.RUNNER_COUNT

    def test_explain_lists_each_attempt(self, edge):
        edge.post(PLAIN, ask())
        (request_id,) = edge.entry.requests
        handle = link_handler.make_handler(edge.entry)
        message = ttypes.Read(query="explain", argument=request_id)
        reply = edge.run(handle(message))
        assert "attempt 1" in json.loads(reply.result)["history"][0]
