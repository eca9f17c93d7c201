"""Model requests over failing runners, and framing."""

import hypothesis
import hypothesis.strategies as st
import pytest
import state_machine_runner
import stream_machine

from _arbutuswalk.entry import running
from _arbutuswalk.entry import suspicion
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import framing


class TestStreamMachine(stream_machine.StreamMachine.TestCase):
    """Runs the machine with the profile in force."""


class TestPlantedFaults:
    """Each fault below is one the oracle has to see."""

    def test_continuation_that_starts_over(self, monkeypatch):
        real = running._order

        def forgetful(state, row):
            order = real(state, row)
            order.body.pop("continue_from", None)
            return order

        monkeypatch.setattr(running, "_order", forgetful)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(stream_machine.StreamMachine)

    def test_suspects_that_run_beside_each_other(self, monkeypatch):
        monkeypatch.setattr(
            stream_machine.worlds.core.Entry,
            "is_suspect",
            lambda self, fingerprint: False,
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(stream_machine.StreamMachine)

    def test_reclaim_taken_for_a_crash(self, monkeypatch):
        async def report_all(state, row, result):
            blamed = await suspicion.report_death(state.entry, row)
            return True, blamed

        monkeypatch.setattr(running, "_look_for_death", report_all)
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
    def test_a_failure_after_the_end_changes_nothing(self):
        made = answer.Answer(request_id="r")
        made.finish()
        made.fail(answer.Problem(500, "late", "", "yes"))
        assert made.problem is None

    def test_readers_are_woken(self):
        made = answer.Answer(request_id="r")
        woken = []
        made.readers.add(lambda: woken.append(len(made.events)))
        made.add([b"data: a", b"data: b"])
        made.finish()
        assert woken == [2, 2]
