"""Flow control of HTTP connections that can withhold reading."""

from uvicorn.protocols.http import flow_control


class ReadFlow(flow_control.FlowControl):
    """Flow control that can keep a connection from being read.

    Attributes:
        holds_reading: Whether the connection must not be read.
    """

    holds_reading = False

    def resume_reading(self) -> None:
        """Resumes reading, unless the connection must not be read."""
        if self.read_paused and not self.holds_reading:
            super().resume_reading()
