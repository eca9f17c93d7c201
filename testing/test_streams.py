"""Model requests over failing runners, event framing and answers."""

import hypothesis
import hypothesis.strategies as st
import pytest
import state_machine_runner
import stream_machine

from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import execution
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import framing


class TestStreamMachine(stream_machine.StreamMachine.TestCase):
    """Runs the state machine with the loaded Hypothesis profile."""


class TestInjectedFaults:
    """Faults that the state machine has to detect."""

    def test_continuation_that_restarts_is_detected(self, monkeypatch):
        original_order = execution._make_order

        def order_without_continuation(state, row):
            order = original_order(state, row)
            order.body.pop("continue_from", None)
            return order

        monkeypatch.setattr(
            execution, "_make_order", order_without_continuation
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(stream_machine.StreamMachine)

    def test_suspects_on_shared_upstreams_are_detected(self, monkeypatch):
        monkeypatch.setattr(
            stream_machine.entry_fixtures.entry_state.Entry,
            "is_suspect",
            lambda self, fingerprint: False,
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(stream_machine.StreamMachine)

    def test_reclaim_reported_as_a_crash_is_detected(self, monkeypatch):
        async def report_all(state, row, result):
            blamed = await crash_quarantine.report_death(state.entry, row)
            return True, blamed

        monkeypatch.setattr(execution, "_report_if_dead", report_all)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(stream_machine.StreamMachine)


class TestFramer:
    @hypothesis.given(st.data())
    def test_any_cuts_give_the_same_events(self, data):
        events = [b"data: %d" % i for i in range(8)]
        stream = b"".join(event + b"\n\n" for event in events)
        framer = framing.Framer()
        found = []
        while stream:
            size = data.draw(st.integers(1, len(stream)))
            found += framer.feed(stream[:size])
            stream = stream[size:]
        assert found == events
        assert framer.rest == b""

    def test_event_id_round_trip(self):
        prefix = framing.id_prefix("entry~abc")
        framed = framing.number_events(prefix, 12, [b"data: x"])
        head = framed.split(b"\n")[0].removeprefix(b"id: ").decode()
        assert framing.parse_event_id(head) == ("entry~abc", 12)

    @pytest.mark.parametrize("text", ["", "x", ":", "x:", ":3", "x:-1"])
    def test_bad_event_ids(self, text):
        assert framing.parse_event_id(text) is None

    @pytest.mark.parametrize(
        "event",
        [b"", b"data: {", b"data: [1]", b'data: {"choices": [3]}', b"x"],
    )
    def test_events_without_text(self, event):
        assert framing.event_text(event) == ""


class TestAnswer:
    def test_failure_after_the_end_is_ignored(self):
        ended_answer = answer.Answer(request_id="r")
        ended_answer.finish()
        ended_answer.fail(answer.Problem(500, "late", "", "yes"))
        assert ended_answer.problem is None

    def test_readers_are_called(self):
        growing_answer = answer.Answer(request_id="r")
        event_counts = []
        growing_answer.readers.add(
            lambda: event_counts.append(len(growing_answer.events))
        )
        growing_answer.add([b"data: a", b"data: b"])
        growing_answer.finish()
        assert event_counts == [2, 2]
