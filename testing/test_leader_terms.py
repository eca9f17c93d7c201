"""What a leader decides in one term and does in several steps.

Between two steps another member may have led, and this one again.
"""

import asyncio
import types

import pytest
import test_duties

from _arbutuswalk.control import duties
from _arbutuswalk.control import leader_tasks
from _arbutuswalk.control import member as members
from _arbutuswalk.control import rollouts as control_rollouts
from _arbutuswalk.control import scaling
from _arbutuswalk.control import service
from _arbutuswalk.control import usage_reports
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import rollout_policy
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import scaling_policy
from _arbutuswalk.state import tables as rows

EXPOSURE = rollout_policy.Exposure(share=0.1, extra=50)
OVERDUE_MS = 15_000


class InterruptedLeader(test_duties.FakeMember):
    """A leader that is replaced and elected again at its first command.

    Attributes:
        committed: Commands that were committed, decoded.
        interrupt: Called before the first command is committed.
    """

    def __init__(self):
        super().__init__()
        self.committed = []
        self.interrupt = self.lead_again

    def lead_again(self):
        self.replica.term += 2
        self.time += 10.0

    async def submit(self, command, *, timeout_s, term=None):
        self.interrupt()
        self.interrupt = lambda: None
        if term not in (None, self.replica.term):
            return members.NotLeader(leader="")
        self.committed.append(commands.decode(command))
        return outcomes.Accepted()


@pytest.fixture
def components():
    made = test_duties.make_components()
    member = InterruptedLeader()
    made.discovery.member = member
    request_service = service.Service(
        member=member, name="c", discovery=made.discovery
    )
    return made._replace(member=member, service=request_service)


def report_usage(components, windows):
    usage = {str(window): {"a": 1} for window in windows}
    message = test_duties.watch(components.discovery, usage=usage)
    components.discovery._record_watch(message, 0)


class TestUsage:
    async def test_windows_are_not_settled_for_a_later_leader(self, components):
        """Guards against counts that only a former leader summed up."""
        member = components.member
        due = int(member.wall() // test_duties.OPTIONS.window_s) - 2
        report_usage(components, [due - 1, due])
        await usage_reports.settle_due_windows(
            components,
            usage_reports.SentReports(window_s=test_duties.OPTIONS.window_s),
            test_duties.OPTIONS.delay_s,
            member.replica.term,
        )
        assert member.committed == []


class TestOrders:
    async def test_one_decided_in_a_former_term_is_not_sent(
        self, components, monkeypatch
    ):
        orders = [
            ("u", scaling_policy.Order(domain, False, 3))
            for domain in ("d1", "d2")
        ]
        monkeypatch.setattr(scaling, "decide_orders", lambda *_: orders)
        sent = []

        async def order_endpoints(order, may_send):
            if may_send():
                sent.append((order.domain, order.fence))
            components.member.lead_again()
            return duties.ACCEPTED

        holder = duties.DutyHolder(
            components=components, options=test_duties.OPTIONS
        )
        holder.update_term()
        components.member.time += 10.0
        fleets = scaling.Fleets(heartbeat_s=1.2)
        calls = duties.PlatformCalls(None, order_endpoints)
        await duties._order_endpoints(holder, calls, fleets)
        assert sent == [("d1", 1)]

    async def test_those_of_a_former_term_do_not_count(
        self, components, monkeypatch
    ):
        """Guards against orders that another leader has replaced since."""
        seen = []

        def decide_orders(_, fleets):
            seen.append(dict(fleets.by_upstream))
            fleets.fleet("u")
            return []

        monkeypatch.setattr(scaling, "decide_orders", decide_orders)
        options = test_duties.OPTIONS._replace(usage=False)
        member = components.member
        clock = iter([0.0, 10.0, 20.0, 21.0, 40.0])

        async def repeat(_, __, tick):
            for tick_at in clock:
                member.time = 100.0 + tick_at
                if tick_at == 20.0:
                    member.replica.term += 2
                await tick()

        monkeypatch.setattr(duties.background, "repeat", repeat)
        await duties.run(components, duties.PlatformCalls(None, None), options)
        assert seen == [{}, {}]


class TestRollouts:
    def begin(self, components, upstream):
        member = components.member
        started_ms = int(member.wall() * 1000) - 2 * OVERDUE_MS
        member.tables.rollouts[upstream] = rows.RolloutRow(
            "v2", rollouts.GROWING, 60, 1, started_ms, OVERDUE_MS, 0, ""
        )

    async def test_a_step_of_a_former_term_is_not_committed(self, components):
        for upstream in ("u1", "u2"):
            self.begin(components, upstream)
        await control_rollouts.tick(components, EXPOSURE, {})
        assert components.member.committed == []

    async def test_a_rollout_that_was_replaced_meanwhile_is_not_stepped(
        self, components
    ):
        """Guards against the end of one that was begun again."""
        for upstream in ("u1", "u2"):
            self.begin(components, upstream)

        def begin_again():
            tables = components.member.tables
            tables.rollouts["u2"] = tables.rollouts["u2"]._replace(
                started_ms=int(components.member.wall() * 1000)
            )

        components.member.interrupt = begin_again
        await control_rollouts.tick(components, EXPOSURE, {})
        stepped = [step.upstream for step in components.member.committed]
        assert stepped == ["u1"]


class TestLeaderTasks:
    async def test_entries_lost_in_a_former_term_are_not_marked(
        self, components, monkeypatch
    ):
        """Guards against marking entries that serve again as gone."""
        tasks = leader_tasks.LeaderTasks(
            service=components.service, values={"platform": ""}
        )
        lost = [("e1", 1), ("e2", 1)]
        monkeypatch.setattr(
            type(components.service.leases),
            "lost_entries",
            lambda *_: lost,
        )
        await tasks._tick()
        assert components.member.committed == []


class TestMember:
    def make_member(self):
        proposed = []

        def propose(command, *_):
            proposed.append(command)
            return len(proposed)

        replica = types.SimpleNamespace(
            term=4,
            leader="",
            seen_members={},
            log=types.SimpleNamespace(
                members=types.SimpleNamespace(addresses={})
            ),
        )
        durable_replica = types.SimpleNamespace(
            replica=replica,
            is_leader=True,
            propose=propose,
            identity=types.SimpleNamespace(peers=(), address=""),
        )
        return members.Member(durable_replica=durable_replica), proposed

    async def test_a_command_of_a_former_term_is_refused(self):
        member, _ = self.make_member()
        outcome = await member.submit(b"c", timeout_s=1.0, term=3)
        assert isinstance(outcome, members.NotLeader)

    async def test_a_command_is_not_proposed_once_its_term_has_ended(self):
        member, proposed = self.make_member()
        submitted = [
            asyncio.ensure_future(
                member.submit(command, timeout_s=1.0, term=term)
            )
            for command, term in ((b"bound", 4), (b"free", None))
        ]
        await asyncio.sleep(0)
        member.replica.term = 6
        for proposal in member.proposals:
            member._propose(proposal, 0.0)
        assert proposed == [b"free"]
        assert isinstance(await submitted[0], members.NotLeader)
        submitted[1].cancel()
