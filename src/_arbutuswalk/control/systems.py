"""Systems that the leader runs over the tables each tick."""

import asyncio
from typing import Any

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.control import metering
from _arbutuswalk.control import platform
from _arbutuswalk.control import service as services
from _arbutuswalk.state import commands
from _arbutuswalk.state import entries
from _arbutuswalk.state import move_policy
from _arbutuswalk.state import outcomes

TICK_S = 0.25
COMMAND_TIMEOUT_S = 2.0


class Systems:
    """Runs the leader's systems while this member may decide alone.

    Attributes:
        service: The process's service, with its member and leases.
        values: Settings.
        platform: Client of the platform, or None.
        term: Term in which the volatile state below was gathered.
        trials: Evidence on moves.
        meter: Usage and bills since the last interval.
        notices: Number of the next reclaim notice to ask for.
    """

    def __init__(self, *, service: services.Service, values: dict[str, Any]):
        self.service = service
        self.values = values
        self.platform = None
        if values["platform"]:
            self.platform = platform.Platform(address=values["platform"])
        self.term = -1
        self.trials = move_policy.MoveTrials()
        self.meter = metering.Meter()
        self.notices = 0
        self.charge_at = 0.0

    async def run(self) -> None:
        """Runs every tick until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self.service.member.is_current:
                continue
            self._follow_term()
            try:
                await self._tick()
            except Exception as error:  # noqa: BLE001
                # One faulty system must not end the others for good.
                events.warn(events.Event.TASK_FAILED, "systems", repr(error))

    def _follow_term(self) -> None:
        """Drops what was gathered under another term."""
        term = self.service.member.replica.term
        if term != self.term:
            self.term = term
            self.trials = move_policy.MoveTrials()
            self.meter = metering.Meter()
            self.notices = 0

    async def _tick(self) -> None:
        for command in self._lost_entries():
            await self.submit(command)
        for command in self._due_moves():
            await self._step_move(command)
        if self.platform is not None:
            await self._take_notices()
            await self._charge()
        await self._pass_time()

    def _lost_entries(self) -> list[commands.Command]:
        member = self.service.member
        lost = self.service.leases.lost(member.tables, member.now())
        for entry, incarnation in lost:
            events.log(events.Event.ENTRY_LOST, entry, incarnation)
        return [
            commands.SetEntryState(entry, incarnation, entries.GONE)
            for entry, incarnation in lost
        ]

    def _due_moves(self) -> list[commands.StepMove]:
        tables = self.service.member.tables
        reports = self.service.leases.reports(tables)
        return move_policy.decide(tables, reports, self.trials, self._now_ms())

    async def _step_move(self, command: commands.StepMove) -> None:
        outcome = await self.submit(command)
        if isinstance(outcome, outcomes.Accepted):
            events.log(
                events.Event.MOVE_CHANGED,
                command.move,
                command.state,
                command.reason,
            )

    async def _take_notices(self) -> None:
        """Marks instances whose reclaim the platform announced."""
        notices = await self.platform.notices(self.notices)
        if not isinstance(notices, list):
            return
        for notice in notices:
            self.notices += 1
            instance = notice["instance"]
            if instance in self.service.member.tables.leaving:
                continue
            await self.submit(commands.MarkInstance(instance, notice["in_s"]))

    async def _charge(self) -> None:
        """Settles an interval from the platform's bill."""
        now = self.service.member.now()
        if now < self.charge_at:
            return
        self.charge_at = now + self.values["interval_s"]
        bill = await self.platform.bill()
        if not isinstance(bill, dict):
            return
        tables = self.service.member.tables
        reports = self.service.leases.reports(tables)
        command = metering.settle(
            self.meter, tables, reports, bill, self.values["interval_s"]
        )
        if command is not None:
            await self.submit(command)

    async def _pass_time(self) -> None:
        """Lets log time pass when nothing else does."""
        behind_ms = self._now_ms() - self.service.member.tables.time_ms
        if behind_ms > metering.IDLE_TICK_MS:
            await self.submit(commands.Tick())

    def _now_ms(self) -> int:
        return int(self.service.member.wall() * clock.MS_PER_S)

    async def submit(self, command: commands.Command) -> object:
        """Commits one decision."""
        return await self.service.member.submit(
            commands.encode(command), timeout_s=COMMAND_TIMEOUT_S
        )

    def dump(self) -> dict[str, Any]:
        """Returns the systems' own state for the dump."""
        return {
            "trials": {
                f"{move}|{route}": {
                    "errors": trial.evidence.errors.log_evidence,
                    "slow": trial.evidence.slowness.log_evidence,
                    "new_ran": trial.evidence.errors.new_ran,
                    "new_failed": trial.evidence.errors.new_failed,
                    "old_ran": trial.evidence.errors.old_ran,
                    "old_failed": trial.evidence.errors.old_failed,
                }
                for (move, route), trial in self.trials.routes.items()
            }
        }

    async def close(self) -> None:
        """Closes connections."""
        if self.platform is not None:
            await self.platform.close()
