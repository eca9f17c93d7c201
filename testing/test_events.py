"""Log events and the structured lines that they are written as."""

import logging

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


class TestLibraryMessages:
    @pytest.fixture(autouse=True)
    def library_handler(self, recording_writer):
        handler = events.LibraryLogHandler()
        logger = logging.getLogger("library")
        logger.propagate = False
        logger.addHandler(handler)
        yield logger
        logger.removeHandler(handler)

    def test_each_becomes_one_line(self, library_handler, recording_writer):
        library_handler.error("first %s\nsecond", "line")
        ((number, fields),) = recording_writer.lines
        assert number == events.Event.LIBRARY_MESSAGE.number
        assert fields["logger"] == "library"
        assert fields["message"] == "first line\nsecond"

    def test_errors_and_long_messages_are_bounded(
        self, library_handler, recording_writer
    ):
        try:
            raise ValueError("x" * 10_000)
        except ValueError:
            library_handler.exception("y" * 10_000)
        ((_, fields),) = recording_writer.lines
        most = events.MAX_LIBRARY_MESSAGE_CHARACTERS
        assert len(fields["message"]) == len(fields["error"]) == most
        assert fields["error"].startswith("ValueError")

    def test_warnings_of_the_program_are_not_logged_twice(
        self, recording_writer, caplog
    ):
        events.warn(events.Event.TASK_FAILED, "name", "error")
        assert len(recording_writer.lines) == 1
        assert not caplog.records
