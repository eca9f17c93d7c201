"""Limits on what an upstream may send beside the body of an answer."""

MAX_FRAMING_BYTES = 64 * 1024
"""Bytes of an answer beside its body: head, interim responses, chunk sizes and
extensions, trailers."""
FRAMING_BYTES_PER_BODY_BYTE = 16
"""Further bytes beside the body that each byte of the body permits: a chunk of
one byte takes six in all."""
HEADER_SEPARATOR_BYTES = 4
"""Bytes of a header line beside name and value."""
STATUSES = range(100, 600)
"""Statuses of HTTP. The parser accepts any three digits."""
MAX_SKIPPED_RESPONSES = 100
"""Interim responses and responses to other requests that precede an answer."""
MAX_SKIPPED_BODY_BYTES = 1024 * 1024
"""Total size of the bodies of these responses."""


class LimitExceededError(Exception):
    """An upstream sends more than any answer may contain, or no answer."""


class ResponseLimits:
    """What was received of an answer beside its body.

    Attributes:
        framing_bytes: Bytes received beside the body, less what the body
            permits.
        header_bytes: Size of the current response's headers and trailers.
        skipped_responses: Responses that preceded the answer.
        skipped_body_bytes: Total size of their bodies.
        exceeded: Why the response is rejected, or empty.
    """

    def __init__(self):
        self.framing_bytes = 0
        self.header_bytes = 0
        self.skipped_responses = 0
        self.skipped_body_bytes = 0
        self.exceeded = ""

    def add_received(self, size: int) -> None:
        """Counts received bytes, all as framing until they are parsed."""
        self.framing_bytes += size

    def check_framing(self) -> None:
        """Checks the framing once all received bytes were parsed."""
        self._check(
            self.framing_bytes, MAX_FRAMING_BYTES, "bytes beside the body"
        )

    def add_body(self, size: int) -> None:
        """Counts a part of a body, which permits more framing."""
        permitted = FRAMING_BYTES_PER_BODY_BYTE * size
        self.framing_bytes = max(0, self.framing_bytes - permitted)

    def add_skipped_body(self, size: int) -> None:
        """Counts a part of the body of a response to another request."""
        self.add_body(size)
        self.skipped_body_bytes += size
        self._check(
            self.skipped_body_bytes,
            MAX_SKIPPED_BODY_BYTES,
            "bytes of answers to other requests",
        )

    def add_skipped_response(self) -> None:
        """Counts a response that is not the answer."""
        self.header_bytes = 0
        self.skipped_responses += 1
        self._check(
            self.skipped_responses,
            MAX_SKIPPED_RESPONSES,
            "responses before the answer",
        )

    def reject_response(self) -> None:
        """Rejects a response after the answer."""
        self.exceeded = "a response after the answer"
        raise LimitExceededError(self.exceeded)

    def check_status(self, status: int) -> None:
        """Rejects a response whose status is none of HTTP's."""
        if status not in STATUSES:
            self.exceeded = f"not HTTP: status {status:03}"
            raise LimitExceededError(self.exceeded)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Counts a header or trailer."""
        self.header_bytes += len(name) + len(value) + HEADER_SEPARATOR_BYTES
        self._check(self.header_bytes, MAX_FRAMING_BYTES, "bytes of headers")

    def _check(self, value: int, limit: int, unit: str) -> None:
        if value > limit:
            self.exceeded = f"over {limit} {unit}"
            raise LimitExceededError(self.exceeded)
