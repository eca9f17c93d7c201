"""Fair queues and retry budgets."""

import hypothesis
import hypothesis.strategies as st

from _arbutuswalk.limits import budget
from _arbutuswalk.limits import fair


def ticket(workspace, cost=100, weight=1.0, deadline=1.0):
    return fair.Ticket(
        workspace=workspace, weight=weight, cost=cost, deadline=deadline
    )


def serve(queue, count):
    served = []

    def place(item):
        if len(served) >= count:
            return False
        served.append(item)
        return True

    queue.serve(place)
    return served


class TestFairQueue:
    def test_large_workspace_does_not_delay_a_small_one(self):
        queue = fair.FairQueue()
        for _ in range(200):
            queue.push(ticket("large"))
        for _ in range(5):
            queue.push(ticket("small"))
        first = serve(queue, 20)
        assert (
            sum(served_ticket.workspace == "small" for served_ticket in first)
            == 5
        )

    def test_shares_follow_weights(self):
        queue = fair.FairQueue()
        for _ in range(300):
            queue.push(ticket("a", weight=3))
            queue.push(ticket("b", weight=1))
        first = serve(queue, 200)
        a = sum(served_ticket.workspace == "a" for served_ticket in first)
        assert 140 <= a <= 160

    def test_earliest_deadline_first_within_a_workspace(self):
        queue = fair.FairQueue()
        for deadline in (5.0, 1.0, 3.0):
            queue.push(ticket("a", deadline=deadline))
        assert [
            served_ticket.deadline for served_ticket in serve(queue, 3)
        ] == [1.0, 3.0, 5.0]

    def test_cancelled_tickets_are_skipped(self):
        queue = fair.FairQueue()
        cancelled_ticket = ticket("a")
        queue.push(cancelled_ticket)
        queue.push(ticket("a", deadline=2.0))
        cancelled_ticket.cancelled = True
        assert [
            served_ticket.deadline for served_ticket in serve(queue, 2)
        ] == [2.0]
        assert queue.waiting_cost == 0

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from("abcd"),
                st.integers(1, 3000),
                st.floats(0.5, 6),
            ),
            max_size=60,
        )
    )
    def test_everything_is_served_once(self, items):
        queue = fair.FairQueue()
        weights = {}
        tickets = []
        for workspace, cost, drawn in items:
            weight = weights.setdefault(workspace, drawn)
            tickets.append(ticket(workspace, cost, weight))
            queue.push(tickets[-1])
        served = serve(queue, len(tickets))
        assert sorted(map(id, served)) == sorted(map(id, tickets))
        assert queue.waiting_cost == 0
        assert len(queue) == 0

    @hypothesis.given(
        st.integers(1, 8), st.integers(1, 8), st.integers(50, 500)
    )
    def test_backlogged_workspaces_get_their_share(self, wa, wb, cost):
        queue = fair.FairQueue()
        for _ in range(400):
            queue.push(ticket("a", cost, wa))
            queue.push(ticket("b", cost, wb))
        served = serve(queue, 200)
        a = sum(t.workspace == "a" for t in served)
        exact = 200 * wa / (wa + wb)
        round_size = (wa + wb) * fair.QUANTUM / cost + 2
        assert abs(a - exact) <= round_size


class TestBudget:
    @hypothesis.given(st.integers(0, 2000), st.floats(10, 500))
    def test_retries_stay_below_a_tenth_of_a_real_load(self, attempts, rate):
        made = budget.Budget(now=0.0)
        retries = 0
        for i in range(attempts):
            made.deposit()
            retries += made.withdraw(i / rate)
        assert retries <= 0.1 * attempts + budget.CAPACITY + 1

    def test_retries_stop_when_the_budget_is_empty(self):
        retry_budget = budget.Budget(now=0.0)
        taken = sum(retry_budget.withdraw(0.0) for _ in range(100))
        assert taken == budget.CAPACITY

    def test_time_alone_refills_the_budget(self):
        retry_budget = budget.Budget(now=0.0, tokens=0.0)
        assert not retry_budget.withdraw(1.0)
        assert retry_budget.withdraw(2.0)
