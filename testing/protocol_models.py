"""Small specifications of the core protocols, for explicit-state checking.

``docs/design/agreement.md`` and ``docs/design/ledger.md`` map each action to
the function that implements it.
"""

from typing import NamedTuple

import minicheck

FOLLOWER, CANDIDATE, LEADER = "F", "C", "L"


class AgreementState(NamedTuple):
    """State of the election and commit specification.

    Attributes:
        term: Highest term of each node.
        voted: Vote of each node in its term, -1 for none.
        role: Role of each node.
        votes: Voters for each candidate, as a frozen set.
        log: Entries of each node: terms, or (term, voters) with membership.
        commit_length: Length of the prefix that each leader has committed
            itself.
        committed: Longest prefix that any leader has committed.
        split: Whether two committed prefixes ever conflicted.
    """

    term: tuple
    voted: tuple
    role: tuple
    votes: tuple
    log: tuple
    commit_length: tuple
    committed: tuple
    split: bool


class Bounds(NamedTuple):
    """Bounds of the explored state space."""

    nodes: int = 3
    terms: int = 3
    entries: int = 2
    members: bool = False
    crashes: bool = True


class Faults(NamedTuple):
    """Faults of a faulty variant of the agreement specification."""

    commits_old_terms: bool = False
    forgets_votes: bool = False
    ignores_log_on_votes: bool = False
    changes_before_own_commit: bool = False
    changes_two_at_once: bool = False


DEFAULT_BOUNDS = Bounds()
NO_FAULTS = Faults()


def replace_at(values, i, value):
    return (*values[:i], value, *values[i + 1 :])


def voters_of(log, bounds):
    """Returns the voters set by the newest membership entry."""
    if not bounds.members:
        return frozenset(range(bounds.nodes))
    for entry in reversed(log):
        if entry[1]:
            return entry[1]
    return frozenset(range(3))


def is_majority(nodes, voters):
    return 2 * len(nodes & voters) > len(voters)


def entry_term(entry, bounds):
    return entry[0] if bounds.members else entry


def last_position(log, bounds):
    return (entry_term(log[-1], bounds) if log else 0, len(log))


def initial_state(node_count):
    """Returns the initial state."""
    return AgreementState(
        term=(0,) * node_count,
        voted=(-1,) * node_count,
        role=(FOLLOWER,) * node_count,
        votes=(frozenset(),) * node_count,
        log=((),) * node_count,
        commit_length=(0,) * node_count,
        committed=(),
        split=False,
    )


def agreement_model(bounds=DEFAULT_BOUNDS, faults=NO_FAULTS, start=None):  # noqa: PLR0915
    """Returns the specification of election, commit and membership."""
    node_count = bounds.nodes
    start = start or initial_state(node_count)

    def transitions(state_values):
        state = AgreementState(*state_values)
        for i in range(node_count):
            yield from stand(state, i)
            yield from win(state, i)
            yield from append(state, i)
            yield from commit(state, i)
            if bounds.crashes:
                yield from restart(state, i)
            for j in range(node_count):
                if i != j:
                    yield from vote(state, i, j)
                    yield from replicate(state, i, j)

    def stand(state, i):
        if state.role[i] == LEADER or state.term[i] >= bounds.terms:
            return
        if i not in voters_of(state.log[i], bounds):
            return
        yield (
            f"stand {i}",
            state._replace(
                term=replace_at(state.term, i, state.term[i] + 1),
                voted=replace_at(state.voted, i, i),
                role=replace_at(state.role, i, CANDIDATE),
                votes=replace_at(state.votes, i, frozenset([i])),
            ),
        )

    def vote(state, i, j):
        if state.role[i] != CANDIDATE or j in state.votes[i]:
            return
        term = state.term[i]
        if state.term[j] > term:
            return
        vote_available = state.term[j] < term or state.voted[j] in (-1, i)
        is_up_to_date = last_position(state.log[i], bounds) >= last_position(
            state.log[j], bounds
        )
        if not vote_available or not (
            is_up_to_date or faults.ignores_log_on_votes
        ):
            return
        yield (
            f"vote {j} for {i}",
            state._replace(
                term=replace_at(state.term, j, term),
                voted=replace_at(state.voted, j, i),
                role=replace_at(state.role, j, FOLLOWER),
                commit_length=replace_at(state.commit_length, j, 0),
                votes=replace_at(
                    replace_at(state.votes, j, frozenset()),
                    i,
                    state.votes[i] | {j},
                ),
            ),
        )

    def win(state, i):
        voters = voters_of(state.log[i], bounds)
        if state.role[i] != CANDIDATE or not is_majority(
            state.votes[i], voters
        ):
            return
        yield (
            f"win {i}",
            state._replace(
                role=replace_at(state.role, i, LEADER),
                votes=replace_at(state.votes, i, frozenset()),
                commit_length=replace_at(state.commit_length, i, 0),
            ),
        )

    def append(state, i):
        log, term = state.log[i], state.term[i]
        if state.role[i] != LEADER or len(log) >= bounds.entries:
            return
        if not bounds.members:
            yield (
                f"append {i}",
                state._replace(log=replace_at(state.log, i, (*log, term))),
            )
            return
        yield (
            f"append {i}",
            state._replace(log=replace_at(state.log, i, (*log, (term, None)))),
        )
        if not may_change(state, i):
            return
        for voters in next_voters(voters_of(log, bounds)):
            entry = (term, voters)
            yield (
                f"change {i} to {sorted(voters)}",
                state._replace(log=replace_at(state.log, i, (*log, entry))),
            )

    def may_change(state, i):
        log = state.log[i]
        commit_length = state.commit_length[i]
        pending = any(entry[1] for entry in log[commit_length:])
        # A leader first commits an entry of its own term.
        has_own_commit = commit_length > 0
        if pending and not faults.changes_two_at_once:
            return False
        return has_own_commit or faults.changes_before_own_commit

    def next_voters(voters):
        for i in range(node_count):
            changed = voters ^ {i}
            if len(changed) >= 2:
                yield frozenset(changed)

    def replicate(state, i, j):
        if state.role[i] != LEADER or state.term[j] > state.term[i]:
            return
        leader_log, follower_log = state.log[i], state.log[j]
        common_length = 0
        for a, b in zip(leader_log, follower_log, strict=False):
            if a != b:
                break
            common_length += 1
        new_log = (
            follower_log
            if len(leader_log) <= common_length
            else leader_log[: common_length + 1]
        )
        term_changed = state.term[j] < state.term[i]
        after = state._replace(
            term=replace_at(state.term, j, state.term[i]),
            voted=replace_at(state.voted, j, -1)
            if term_changed
            else state.voted,
            role=replace_at(state.role, j, FOLLOWER),
            votes=replace_at(state.votes, j, frozenset()),
            commit_length=replace_at(state.commit_length, j, 0),
            log=replace_at(state.log, j, new_log),
        )
        if after != state:
            yield f"replicate {i} to {j}", after

    def commit(state, i):
        log = state.log[i]
        if state.role[i] != LEADER:
            return
        for size in range(len(log), 0, -1):
            is_current_term = entry_term(log[size - 1], bounds) == state.term[i]
            if not is_current_term and not faults.commits_old_terms:
                continue
            matching_nodes = frozenset(
                j
                for j in range(node_count)
                if state.term[j] == state.term[i]
                and state.log[j][:size] == log[:size]
            )
            if not is_majority(matching_nodes, voters_of(log, bounds)):
                continue
            prefix, committed = log[:size], state.committed
            common_length = min(len(prefix), len(committed))
            conflict = prefix[:common_length] != committed[:common_length]
            longest = prefix if len(prefix) > len(committed) else committed
            after = state._replace(
                commit_length=replace_at(state.commit_length, i, size),
                committed=longest,
                split=state.split or conflict,
            )
            if after != state:
                yield f"commit {size} by {i}", after
            return

    def restart(state, i):
        if state.role[i] == FOLLOWER and not faults.forgets_votes:
            return
        after = state._replace(
            role=replace_at(state.role, i, FOLLOWER),
            votes=replace_at(state.votes, i, frozenset()),
            commit_length=replace_at(state.commit_length, i, 0),
        )
        if faults.forgets_votes:
            after = after._replace(voted=replace_at(after.voted, i, -1))
        if after != state:
            yield f"restart {i}", after

    def one_leader_per_term(values):
        leaders = [
            term
            for term, role in zip(values["term"], values["role"], strict=True)
            if role == LEADER
        ]
        return len(leaders) == len(set(leaders))

    return minicheck.Protocol(
        name="agreement",
        candidate=False,
        fields=AgreementState._fields,
        initial=tuple(start),
        transitions=lambda state: [
            (action, tuple(after)) for action, after in transitions(state)
        ],
        invariants={
            "one_leader_a_term": one_leader_per_term,
            "commits_agree": lambda values: not values["split"],
        },
    )


class LedgerState(NamedTuple):
    """State of the ledger specification: one key, two entries.

    Attributes:
        record: ``none``, or (state, attempt).
        entry: State of each entry's attempt: ``idle``, ``asked``,
            ``granted``, ``sent``, ``told no``, ``told unknown``, ``told done``
            or ``dead``.
        submitted: Submitted commands, which may commit later or never.
        in_transit: Sent attempts that may still reach the upstream.
        runs: Attempts that the upstream ran, in order.
    """

    record: object
    entry: tuple
    submitted: frozenset
    in_transit: frozenset
    runs: tuple


class LedgerFaults(NamedTuple):
    """Faults of a faulty variant of the ledger specification."""

    retries_after_bytes: bool = False
    withdraws_lost: bool = False
    regrants_unknown: bool = False
    sends_ungranted: bool = False


NO_LEDGER_FAULTS = LedgerFaults()


def ledger_model(faults=NO_LEDGER_FAULTS):  # noqa: PLR0915
    """Returns the specification of calls, resends and entry death."""
    attempts = (0, 1)

    def transitions(state_values):
        state = LedgerState(*state_values)
        for i in attempts:
            yield from ask(state, i)
            yield from begin(state, i)
            yield from grant_lost(state, i)
            yield from send(state, i)
            yield from refuse(state, i)
            yield from arrive(state, i)
            yield from answer(state, i)
            yield from die(state, i)
        for command in state.submitted:
            yield from late(state, command)

    def ask(state, i):
        if state.entry[i] == "idle":
            yield (
                f"ask {i}",
                state._replace(
                    entry=replace_at(state.entry, i, "asked"),
                    submitted=state.submitted | {("begin", i)},
                ),
            )

    def apply_begin(state, i):
        if state.record == "none":
            return ("running", i), True
        kind, owner = state.record
        if kind == "running" and owner == i:
            return state.record, True
        if kind == "unknown" and faults.regrants_unknown:
            return ("running", i), True
        return state.record, False

    def begin(state, i):
        """The begin command commits and the entry receives the outcome."""
        if state.entry[i] != "asked" or ("begin", i) not in state.submitted:
            return
        record, granted = apply_begin(state, i)
        step = "granted" if granted else "told done"
        yield (
            f"begin {i}",
            state._replace(
                record=record,
                entry=replace_at(state.entry, i, step),
                submitted=state.submitted - {("begin", i)},
            ),
        )

    def grant_lost(state, i):
        """The entry gets no reply: it refuses the request and withdraws."""
        if state.entry[i] != "asked":
            return
        step = "granted" if faults.sends_ungranted else "told no"
        yield (
            f"give up {i}",
            state._replace(
                entry=replace_at(state.entry, i, step),
                submitted=state.submitted | {("withdraw", i)},
            ),
        )

    def late(state, command):
        """A command commits after its sender has stopped waiting."""
        kind, i = command
        record = state.record
        if kind == "begin":
            record, _ = apply_begin(state, i)
        elif record != "none" and record[1] == i:
            if kind == "withdraw" and record[0] != "done":
                record = "none"
            elif kind == "lose" and record[0] == "running":
                record = ("unknown", i)
            elif kind == "finish":
                record = ("done", i)
        yield (
            f"commit {kind} {i}",
            state._replace(
                record=record, submitted=state.submitted - {command}
            ),
        )

    def send(state, i):
        if state.entry[i] == "granted":
            yield (
                f"send {i}",
                state._replace(
                    entry=replace_at(state.entry, i, "sent"),
                    in_transit=state.in_transit | {i},
                ),
            )

    def refuse(state, i):
        """The connection to the upstream cannot be opened."""
        if state.entry[i] == "granted":
            yield (
                f"never opened {i}",
                state._replace(
                    entry=replace_at(state.entry, i, "told no"),
                    submitted=state.submitted | {("withdraw", i)},
                ),
            )

    def arrive(state, i):
        if i in state.in_transit:
            yield (
                f"run {i}",
                state._replace(
                    in_transit=state.in_transit - {i}, runs=(*state.runs, i)
                ),
            )

    def answer(state, i):
        if state.entry[i] != "sent":
            return
        if i in state.runs:
            yield (
                f"answer {i}",
                state._replace(
                    entry=replace_at(state.entry, i, "told done"),
                    submitted=state.submitted | {("finish", i)},
                ),
            )
        loss_command = "withdraw" if faults.withdraws_lost else "lose"
        step = "granted" if faults.retries_after_bytes else "told unknown"
        yield (
            f"answer lost {i}",
            state._replace(
                entry=replace_at(state.entry, i, step),
                submitted=state.submitted | {(loss_command, i)},
            ),
        )

    def die(state, i):
        """The entry crashes; control marks its running call as unknown."""
        if state.entry[i] in ("idle", "dead"):
            return
        record = state.record
        if record != "none" and record == ("running", i):
            record = ("unknown", i)
        yield (
            f"die {i}",
            state._replace(
                record=record, entry=replace_at(state.entry, i, "dead")
            ),
        )

    def refused_attempts_did_not_run(values):
        return not any(
            step == "told no" and (i in values["runs"])
            for i, step in enumerate(values["entry"])
        )

    return minicheck.Protocol(
        name="ledger",
        candidate=False,
        fields=LedgerState._fields,
        initial=tuple(
            LedgerState("none", ("idle", "idle"), frozenset(), frozenset(), ())
        ),
        transitions=lambda state: [
            (action, tuple(after)) for action, after in transitions(state)
        ],
        invariants={
            "at_most_once": lambda values: len(values["runs"]) <= 1,
            "not_run_is_true": refused_attempts_did_not_run,
        },
    )


def check_invariants(protocol, max_states):
    """Checks a protocol; returns (all hold, report, shortest trace)."""
    report = minicheck.check_safety(protocol, max_states=max_states)
    traces = [
        result["counterexample"]
        for result in report["properties"].values()
        if result["holds"] is False
    ]
    return not traces, report, min(traces, key=len, default=None)


__all__ = [
    "agreement_model",
    "initial_state",
    "check_invariants",
    "ledger_model",
]
