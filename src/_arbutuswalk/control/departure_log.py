"""Commits the departures of endpoints before they are acknowledged.

A departure that only processes' memories hold is lost when they are killed at
once, and an endpoint that serves on would be used again.
"""

import asyncio
import itertools
import json
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from _arbutuswalk.base import background
from _arbutuswalk.control import member as members
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoint_fields
from _arbutuswalk.routing import leaving
from _arbutuswalk.state import commands
from _arbutuswalk.state import departures

COMMIT_TIMEOUT_S = 0.8
"""Longest time until a departure is committed: endpoints allow one second for
the response."""
MAX_BATCH = 256
"""Departures in one command."""

_ENCODED_NAME = json.dumps(commands.RecordDepartures.__name__).encode()
Commit = Callable[[commands.RecordDepartures, float], Awaitable[bool]]
"""Commits a command within a time in seconds; returns whether it has."""


async def refuse(
    _command: commands.RecordDepartures, _timeout_s: float
) -> bool:
    """Commits nothing: the process has no way to its group yet."""
    return False


class DepartureLog:
    """Departures that wait for their commit.

    All that arrive while a command is under way are committed with the next.

    Attributes:
        member: The member of the group in this process.
        commit: Commits a command.
        waiting: Departures that no command has taken yet, with the future that
            receives whether they were committed.
        task: Commits them, None while there is none.
        seen_index: Log index of the last departure that was returned as new.
    """

    def __init__(self, *, member: members.Member, commit: Commit = refuse):
        self.member = member
        self.commit = commit
        self.waiting: dict[leaving.Start, asyncio.Future[bool]] = {}
        self.task: asyncio.Task | None = None
        self.seen_index = 0

    def take_new(self, now: float) -> dict[leaving.Start, float]:
        """Returns the committed departures if there are others than before.

        Args:
            now: Present time in seconds, which each of them gets.
        """
        tables = self.member.tables
        if tables.departures_changed == self.seen_index:
            return {}
        self.seen_index = tables.departures_changed
        return {
            leaving.Start(row.endpoint_id, row.born_ms): now
            for row in tables.departures.values()
        }

    def mark(self, endpoint: directory.Endpoint) -> directory.Endpoint:
        """Returns an announcement, of a start that has departed as leaving."""
        start = directory.start_of(endpoint)
        if endpoint.state != directory.READY or not departures.is_recorded(
            self.member.tables, *start
        ):
            return endpoint
        return endpoint._replace(state=directory.LEAVING)

    async def record(self, start: leaving.Start) -> bool:
        """Returns whether a departure is committed, within a limited time."""
        if departures.is_recorded(self.member.tables, *start):
            return True
        committed = self.waiting.get(start)
        if committed is None:
            committed = asyncio.get_running_loop().create_future()
            self.waiting[start] = committed
        if self.task is None or self.task.done():
            self.task = background.start("departures", self._commit_waiting())
        done, _ = await asyncio.wait({committed}, timeout=COMMIT_TIMEOUT_S)
        return bool(done) and committed.result()

    async def _commit_waiting(self) -> None:
        while self.waiting:
            batch = dict(itertools.islice(self.waiting.items(), MAX_BATCH))
            for start in batch:
                del self.waiting[start]
            is_committed = False
            try:
                is_committed = await self.commit(
                    commands.RecordDepartures([list(start) for start in batch]),
                    COMMIT_TIMEOUT_S,
                )
            finally:
                for committed in batch.values():
                    committed.set_result(is_committed)


def find_recovered(encoded_commands: Iterable[bytes]) -> list[leaving.Start]:
    """Returns the departures among the commands of a log.

    They need not be committed: an endpoint that says that it leaves does.
    """
    candidates = [
        commands.decode(encoded)
        for encoded in encoded_commands
        # Decoding all commands would delay the start.
        if encoded.startswith(b"[" + _ENCODED_NAME)
    ]
    return [
        leaving.Start(*start)
        for command in candidates
        if command is not None
        for start in command.starts
    ]


def find_problem(command: Any) -> str:
    """Returns why a command must not be proposed, or an empty text."""
    if not isinstance(command, commands.RecordDepartures):
        return ""
    starts = command.starts
    if isinstance(starts, list) and all(map(_is_start, starts)):
        return ""
    return "starts: not a list of endpoint ids and times"


def _is_start(value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == len(leaving.Start._fields)
        and endpoint_fields.is_name(value[0])
        and endpoint_fields.is_born(value[1])
    )
