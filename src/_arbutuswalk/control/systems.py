"""Systems that the leader runs over the tables each tick."""

import asyncio
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.control import service as services
from _arbutuswalk.state import commands
from _arbutuswalk.state import entries

TICK_S = 0.25
COMMAND_TIMEOUT_S = 2.0


class Systems:
    """Runs the leader's systems while this member may decide alone."""

    def __init__(self, *, service: services.Service, values: dict[str, Any]):
        self.service = service
        self.values = values

    async def run(self) -> None:
        """Runs every tick until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self.service.member.is_current:
                continue
            for command in self._decide():
                await self.submit(command)

    def _decide(self) -> list[commands.Command]:
        return self._lost_entries()

    def _lost_entries(self) -> list[commands.Command]:
        member = self.service.member
        lost = self.service.leases.lost(member.tables, member.now())
        for entry, incarnation in lost:
            events.log(events.Event.ENTRY_LOST, entry, incarnation)
        return [
            commands.SetEntryState(entry, incarnation, entries.GONE)
            for entry, incarnation in lost
        ]

    async def submit(self, command: commands.Command) -> object:
        """Commits one decision."""
        return await self.service.member.submit(
            commands.encode(command), timeout_s=COMMAND_TIMEOUT_S
        )

    def dump(self) -> dict[str, Any]:
        """Returns the systems' own state for the dump."""
        return {}

    async def close(self) -> None:
        """Closes connections."""
