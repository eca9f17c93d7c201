"""Log events and the structured lines that they are written as."""

import pytest

from _arbutuswalk.base import events
from _arbutuswalk.base import structured_log


class RecordingWriter:
    """Collects the fields of lines instead of writing them."""

    def __init__(self):
        self.lines = []

    def write(self, number, fields):
        self.lines.append((number, fields))


@pytest.fixture
def recording_writer(monkeypatch):
    writer = RecordingWriter()
    monkeypatch.setattr(structured_log, "_writers", [writer])
    return writer


class TestStructuredEvents:
    def test_every_event_can_be_recorded(self, recording_writer):
        """A field without a name in the message makes ``record`` raise.

        A control process whose disk fails then ends its main loop with that
        error, before it fails the pending commands.
        """
        failed = []
        for event in events.Event:
            fields = ["value"] * event.message.count("%s")
            try:
                events.record(event, *fields)
            except ValueError as error:
                failed.append((event.name, str(error)))
        assert failed == []
        assert len(recording_writer.lines) == len(events.Event)
