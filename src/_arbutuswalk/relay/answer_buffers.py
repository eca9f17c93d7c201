"""Limits the memory of all answers that are buffered at the same time."""

from collections.abc import Callable
from typing import Protocol

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer that is buffered completely: a tenth of the memory that a
process may use on the smallest instances in addition to its own 30 MB."""
MAX_TOTAL_BYTES = 4 * MAX_ANSWER_BYTES
"""Size of all answers that are buffered: most of that memory, together with the
copies that joining and sending an answer take."""
BLOCK_BYTES = 64 * 1024
"""Size of the blocks that a body is collected in. Many bodies that grow side by
side, each in one piece, would leave most of the heap in unusable gaps."""


class Buffered(Protocol):
    """What is given up if the buffers are full."""

    def fail(self, reason: str) -> None:
        """Gives the answer up."""


class UnreadAnswer:
    """A complete answer that its caller has not read.

    Attributes:
        give_up: Called once if the answer is given up.
    """

    def __init__(self, *, give_up: Callable[[], None]):
        self.give_up = give_up

    def fail(self, reason: str) -> None:
        """Gives the answer up, as it takes too much memory."""
        self.give_up()


class Body:
    """The part of an answer's body that has been received.

    Attributes:
        blocks: Its bytes in order; only the last block grows.
    """

    def __init__(self):
        self.blocks: list[bytearray] = []

    def add(self, data: bytes) -> None:
        """Appends data."""
        if not self.blocks or len(self.blocks[-1]) >= BLOCK_BYTES:
            self.blocks.append(bytearray())
        self.blocks[-1] += data

    def join(self) -> bytes:
        """Returns the whole body."""
        return b"".join(self.blocks)


class AnswerBuffers:
    """Sizes of the answers that are being buffered.

    Attributes:
        sizes: Bytes buffered of each answer, by the exchange that receives it
            or the answer that its caller has not read.
        total: Sum of these.
    """

    def __init__(self):
        self.sizes: dict[Buffered, int] = {}
        self.total = 0

    def add(self, answer: Buffered, size: int) -> str:
        """Counts a part of an answer; fails answers that are too large.

        If all answers together are, the largest one fails, so that an answer
        without end does not cost others theirs.

        Returns:
            Why this answer has failed, empty if it has not.
        """
        self.sizes[answer] = self.sizes.get(answer, 0) + size
        self.total += size
        if self.sizes[answer] > MAX_ANSWER_BYTES:
            reason = f"answer over {MAX_ANSWER_BYTES} bytes"
            self._fail(answer, reason)
            return reason
        reason = f"largest of answers over {MAX_TOTAL_BYTES} bytes in all"
        while self.total > MAX_TOTAL_BYTES:
            self._fail(max(self.sizes, key=self.sizes.get), reason)
        return "" if answer in self.sizes else reason

    def remove(self, answer: Buffered) -> None:
        """Ends the buffering of an answer."""
        self.total -= self.sizes.pop(answer, 0)

    def _fail(self, answer: Buffered, reason: str) -> None:
        self.remove(answer)
        answer.fail(reason)
