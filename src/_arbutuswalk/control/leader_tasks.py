"""Periodic tasks of the leader: lost entries, moves, reclaims and charges."""

from typing import Any

from _arbutuswalk.base import background
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.control import metering
from _arbutuswalk.control import platform_client
from _arbutuswalk.control import service as services
from _arbutuswalk.state import commands
from _arbutuswalk.state import entries
from _arbutuswalk.state import move_policy
from _arbutuswalk.state import outcomes

TICK_INTERVAL_S = 0.25
COMMAND_TIMEOUT_S = 2.0


class LeaderTasks:
    """Runs the leader's periodic tasks while this member holds the lease.

    Attributes:
        service: The process's service, with its member and leases.
        values: Settings.
        platform: Client of the platform, or None.
        term: Term in which the volatile state below was gathered.
        trials: Evidence on version moves.
        meter: Totals of usage and bills at the end of the last interval.
        next_notice: Number of the next reclaim notice to request.
        next_charge_at: When the next charge is due, in seconds.
    """

    def __init__(self, *, service: services.Service, values: dict[str, Any]):
        self.service = service
        self.values = values
        self.platform = None
        if values["platform"]:
            self.platform = platform_client.PlatformClient(
                address=values["platform"]
            )
        self.term = -1
        self.trials = move_policy.MoveTrials()
        self.meter = metering.Meter()
        self.next_notice = 0
        self.next_charge_at = 0.0

    async def run(self) -> None:
        """Runs the tasks at a fixed interval until cancelled."""
        await background.repeat("systems", TICK_INTERVAL_S, self._tick)

    def _reset_on_new_term(self) -> None:
        """Drops the state that was gathered in another term."""
        term = self.service.member.replica.term
        if term != self.term:
            self.term = term
            self.trials = move_policy.MoveTrials()
            self.meter = metering.Meter()
            self.next_notice = 0

    async def _tick(self) -> None:
        if not self.service.member.is_current:
            return
        self._reset_on_new_term()
        for command in self._lost_entries():
            await self.submit(command)
        for command in self._due_moves():
            await self._step_move(command)
        if self.platform is not None:
            tables = self.service.member.tables
            reports = self.service.leases.reports(tables)
            metering.record_usage(self.meter, tables, reports)
            await self._mark_reclaimed()
            await self._charge()
        await self._advance_log_time()

    def _lost_entries(self) -> list[commands.Command]:
        member = self.service.member
        lost = self.service.leases.lost_entries(member.tables, member.now())
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

    async def _mark_reclaimed(self) -> None:
        """Marks instances that the platform has announced to reclaim."""
        notices = await self.platform.notices(self.next_notice)
        if not isinstance(notices, list):
            return
        for notice in notices:
            self.next_notice += 1
            instance = notice["instance"]
            if instance in self.service.member.tables.leaving:
                continue
            await self.submit(commands.MarkInstance(instance, notice["in_s"]))

    async def _charge(self) -> None:
        """Commits the charge of an interval from the platform's bill."""
        now = self.service.member.now()
        if now < self.next_charge_at:
            return
        self.next_charge_at = now + self.values["interval_s"]
        bill = await self.platform.bill()
        if not isinstance(bill, dict):
            return
        tables = self.service.member.tables
        reports = self.service.leases.reports(tables)
        command = metering.compute_charge(
            self.meter, tables, reports, bill, self.values["interval_s"]
        )
        if command is not None:
            await self.submit(command)

    async def _advance_log_time(self) -> None:
        """Commits a tick if no other command has advanced the log time."""
        lag_ms = self._now_ms() - self.service.member.tables.time_ms
        if lag_ms > metering.MAX_LOG_TIME_LAG_MS:
            await self.submit(commands.Tick())

    def _now_ms(self) -> int:
        return int(self.service.member.wall() * clock.MS_PER_S)

    async def submit(self, command: commands.Command) -> object:
        """Commits one command in the term in which it was decided."""
        return await self.service.member.submit(
            commands.encode(command),
            timeout_s=COMMAND_TIMEOUT_S,
            term=self.term,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state of these tasks for the dump."""
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
        """Closes the connection to the platform."""
        if self.platform is not None:
            await self.platform.close()
