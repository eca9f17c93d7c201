"""Small specifications of the core protocols, for explicit-state checking.

``docs/design/agreement.md`` and ``docs/design/ledger.md`` map each action to
the function that carries it.
"""

from typing import NamedTuple

import minicheck

FOLLOWER, CANDIDATE, LEADER = "F", "C", "L"


class Log(NamedTuple):
    """State of the election and commit specification.

    Attributes:
        term: Highest term of each node.
        voted: Vote of each node in its term, -1 for none.
        role: Role of each node.
        votes: Votes each candidate has, as a frozen set.
        log: Entries of each node: terms, or (term, voters) with membership.
        known: Size of the prefix each leader itself has committed.
        committed: Longest prefix ever committed, by whichever leader.
        split: Whether two committed prefixes contradicted each other.
    """

    term: tuple
    voted: tuple
    role: tuple
    votes: tuple
    log: tuple
    known: tuple
    committed: tuple
    split: bool


class Bounds(NamedTuple):
    """Sizes of a specification."""

    nodes: int = 3
    terms: int = 3
    entries: int = 2
    members: bool = False
    crashes: bool = True


class Faults(NamedTuple):
    """Faults that a broken twin has."""

    commits_old_terms: bool = False
    forgets_votes: bool = False
    ignores_log_on_votes: bool = False
    changes_before_own_commit: bool = False
    changes_two_at_once: bool = False


BOUNDS = Bounds()
SOUND = Faults()


def put(values, i, value):
    return (*values[:i], value, *values[i + 1 :])


def voters_of(log, bounds):
    """Returns the voters by the newest entry that sets them."""
    if not bounds.members:
        return frozenset(range(bounds.nodes))
    for entry in reversed(log):
        if entry[1]:
            return entry[1]
    return frozenset(range(3))


def is_majority(some, voters):
    return 2 * len(some & voters) > len(voters)


def entry_term(entry, bounds):
    return entry[0] if bounds.members else entry


def last_of(log, bounds):
    return (entry_term(log[-1], bounds) if log else 0, len(log))


def blank(n):
    """Returns the state in which nothing has happened."""
    return Log(
        term=(0,) * n,
        voted=(-1,) * n,
        role=(FOLLOWER,) * n,
        votes=(frozenset(),) * n,
        log=((),) * n,
        known=(0,) * n,
        committed=(),
        split=False,
    )


def agreement(bounds=BOUNDS, faults=SOUND, start=None):  # noqa: PLR0915
    """Returns the specification of election, commit and membership."""
    n = bounds.nodes
    start = start or blank(n)

    def transitions(raw):
        state = Log(*raw)
        for i in range(n):
            yield from stand(state, i)
            yield from win(state, i)
            yield from append(state, i)
            yield from commit(state, i)
            if bounds.crashes:
                yield from restart(state, i)
            for j in range(n):
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
                term=put(state.term, i, state.term[i] + 1),
                voted=put(state.voted, i, i),
                role=put(state.role, i, CANDIDATE),
                votes=put(state.votes, i, frozenset([i])),
            ),
        )

    def vote(state, i, j):
        if state.role[i] != CANDIDATE or j in state.votes[i]:
            return
        term = state.term[i]
        if state.term[j] > term:
            return
        free = state.term[j] < term or state.voted[j] in (-1, i)
        current = last_of(state.log[i], bounds) >= last_of(state.log[j], bounds)
        if not free or not (current or faults.ignores_log_on_votes):
            return
        yield (
            f"vote {j} for {i}",
            state._replace(
                term=put(state.term, j, term),
                voted=put(state.voted, j, i),
                role=put(state.role, j, FOLLOWER),
                known=put(state.known, j, 0),
                votes=put(
                    put(state.votes, j, frozenset()), i, state.votes[i] | {j}
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
                role=put(state.role, i, LEADER),
                votes=put(state.votes, i, frozenset()),
                known=put(state.known, i, 0),
            ),
        )

    def append(state, i):
        log, term = state.log[i], state.term[i]
        if state.role[i] != LEADER or len(log) >= bounds.entries:
            return
        if not bounds.members:
            yield (
                f"append {i}",
                state._replace(log=put(state.log, i, (*log, term))),
            )
            return
        yield (
            f"append {i}",
            state._replace(log=put(state.log, i, (*log, (term, None)))),
        )
        if not may_change(state, i):
            return
        for voters in next_voters(voters_of(log, bounds)):
            entry = (term, voters)
            yield (
                f"change {i} to {sorted(voters)}",
                state._replace(log=put(state.log, i, (*log, entry))),
            )

    def may_change(state, i):
        log = state.log[i]
        known = state.known[i]
        pending = any(entry[1] for entry in log[known:])
        own = known > 0  # a leader commits nothing before its own entry
        if pending and not faults.changes_two_at_once:
            return False
        return own or faults.changes_before_own_commit

    def next_voters(voters):
        for i in range(n):
            changed = voters ^ {i}
            if len(changed) >= 2:
                yield frozenset(changed)

    def replicate(state, i, j):
        if state.role[i] != LEADER or state.term[j] > state.term[i]:
            return
        mine, theirs = state.log[i], state.log[j]
        same = 0
        for a, b in zip(mine, theirs, strict=False):
            if a != b:
                break
            same += 1
        new = theirs if len(mine) <= same else mine[: same + 1]
        changed = state.term[j] < state.term[i]
        after = state._replace(
            term=put(state.term, j, state.term[i]),
            voted=put(state.voted, j, -1) if changed else state.voted,
            role=put(state.role, j, FOLLOWER),
            votes=put(state.votes, j, frozenset()),
            known=put(state.known, j, 0),
            log=put(state.log, j, new),
        )
        if after != state:
            yield f"replicate {i} to {j}", after

    def commit(state, i):
        log = state.log[i]
        if state.role[i] != LEADER:
            return
        for size in range(len(log), 0, -1):
            own = entry_term(log[size - 1], bounds) == state.term[i]
            if not own and not faults.commits_old_terms:
                continue
            holding = frozenset(
                j
                for j in range(n)
                if state.term[j] == state.term[i]
                and state.log[j][:size] == log[:size]
            )
            if not is_majority(holding, voters_of(log, bounds)):
                continue
            prefix, known = log[:size], state.committed
            short = min(len(prefix), len(known))
            split = prefix[:short] != known[:short]
            longest = prefix if len(prefix) > len(known) else known
            after = state._replace(
                known=put(state.known, i, size),
                committed=longest,
                split=state.split or split,
            )
            if after != state:
                yield f"commit {size} by {i}", after
            return

    def restart(state, i):
        if state.role[i] == FOLLOWER and not faults.forgets_votes:
            return
        after = state._replace(
            role=put(state.role, i, FOLLOWER),
            votes=put(state.votes, i, frozenset()),
            known=put(state.known, i, 0),
        )
        if faults.forgets_votes:
            after = after._replace(voted=put(after.voted, i, -1))
        if after != state:
            yield f"restart {i}", after

    def one_leader(values):
        leaders = [
            term
            for term, role in zip(values["term"], values["role"], strict=True)
            if role == LEADER
        ]
        return len(leaders) == len(set(leaders))

    return minicheck.Protocol(
        name="agreement",
        candidate=False,
        fields=Log._fields,
        initial=tuple(start),
        transitions=lambda state: [
            (action, tuple(after)) for action, after in transitions(state)
        ],
        invariants={
            "one_leader_a_term": one_leader,
            "commits_agree": lambda values: not values["split"],
        },
    )


class Ledger(NamedTuple):
    """State of the ledger specification: one key, two entries.

    Attributes:
        record: ``none``, or (state, attempt).
        entry: Step of each entry's attempt: ``idle``, ``asked``,
            ``granted``, ``sent``, ``told no``, ``told unknown``, ``told done``
            or ``dead``.
        wire: Commands that may still commit, or never.
        flying: Attempts whose bytes may still reach the upstream.
        runs: Attempts that ran, in order.
    """

    record: object
    entry: tuple
    wire: frozenset
    flying: frozenset
    runs: tuple


class LedgerFaults(NamedTuple):
    """Faults that a broken ledger has."""

    retries_after_bytes: bool = False
    withdraws_lost: bool = False
    regrants_unknown: bool = False
    sends_ungranted: bool = False


SOUND_LEDGER = LedgerFaults()


def ledger_model(faults=SOUND_LEDGER):  # noqa: PLR0915
    """Returns the specification of calls, resends and entry death."""
    attempts = (0, 1)

    def transitions(raw):
        state = Ledger(*raw)
        for i in attempts:
            yield from ask(state, i)
            yield from begin(state, i)
            yield from grant_lost(state, i)
            yield from send(state, i)
            yield from refuse(state, i)
            yield from arrive(state, i)
            yield from answer(state, i)
            yield from die(state, i)
        for command in state.wire:
            yield from late(state, command)

    def ask(state, i):
        if state.entry[i] == "idle":
            yield (
                f"ask {i}",
                state._replace(
                    entry=put(state.entry, i, "asked"),
                    wire=state.wire | {("begin", i)},
                ),
            )

    def committed_begin(state, i):
        if state.record == "none":
            return ("running", i), True
        kind, owner = state.record
        if kind == "running" and owner == i:
            return state.record, True
        if kind == "unknown" and faults.regrants_unknown:
            return ("running", i), True
        return state.record, False

    def begin(state, i):
        """The intent commits and its answer comes back."""
        if state.entry[i] != "asked" or ("begin", i) not in state.wire:
            return
        record, granted = committed_begin(state, i)
        step = "granted" if granted else "told done"
        yield (
            f"begin {i}",
            state._replace(
                record=record,
                entry=put(state.entry, i, step),
                wire=state.wire - {("begin", i)},
            ),
        )

    def grant_lost(state, i):
        """The entry hears nothing: it refuses and withdraws."""
        if state.entry[i] != "asked":
            return
        step = "granted" if faults.sends_ungranted else "told no"
        yield (
            f"give up {i}",
            state._replace(
                entry=put(state.entry, i, step),
                wire=state.wire | {("withdraw", i)},
            ),
        )

    def late(state, command):
        """A command commits after its sender stopped to wait."""
        kind, i = command
        record = state.record
        if kind == "begin":
            record, _ = committed_begin(state, i)
        elif record != "none" and record[1] == i:
            if kind == "withdraw" and record[0] != "done":
                record = "none"
            elif kind == "lose" and record[0] == "running":
                record = ("unknown", i)
            elif kind == "finish":
                record = ("done", i)
        yield (
            f"commit {kind} {i}",
            state._replace(record=record, wire=state.wire - {command}),
        )

    def send(state, i):
        if state.entry[i] == "granted":
            yield (
                f"send {i}",
                state._replace(
                    entry=put(state.entry, i, "sent"),
                    flying=state.flying | {i},
                ),
            )

    def refuse(state, i):
        """The connection never opens."""
        if state.entry[i] == "granted":
            yield (
                f"never opened {i}",
                state._replace(
                    entry=put(state.entry, i, "told no"),
                    wire=state.wire | {("withdraw", i)},
                ),
            )

    def arrive(state, i):
        if i in state.flying:
            yield (
                f"run {i}",
                state._replace(
                    flying=state.flying - {i}, runs=(*state.runs, i)
                ),
            )

    def answer(state, i):
        if state.entry[i] != "sent":
            return
        if i in state.runs:
            yield (
                f"answer {i}",
                state._replace(
                    entry=put(state.entry, i, "told done"),
                    wire=state.wire | {("finish", i)},
                ),
            )
        lost = "withdraw" if faults.withdraws_lost else "lose"
        step = "granted" if faults.retries_after_bytes else "told unknown"
        yield (
            f"answer lost {i}",
            state._replace(
                entry=put(state.entry, i, step),
                wire=state.wire | {(lost, i)},
            ),
        )

    def die(state, i):
        """The entry dies; control marks its running call unknown."""
        if state.entry[i] in ("idle", "dead"):
            return
        record = state.record
        if record != "none" and record == ("running", i):
            record = ("unknown", i)
        yield (
            f"die {i}",
            state._replace(record=record, entry=put(state.entry, i, "dead")),
        )

    def refusals_are_true(values):
        return not any(
            step == "told no" and (i in values["runs"])
            for i, step in enumerate(values["entry"])
        )

    return minicheck.Protocol(
        name="ledger",
        candidate=False,
        fields=Ledger._fields,
        initial=tuple(
            Ledger("none", ("idle", "idle"), frozenset(), frozenset(), ())
        ),
        transitions=lambda state: [
            (action, tuple(after)) for action, after in transitions(state)
        ],
        invariants={
            "at_most_once": lambda values: len(values["runs"]) <= 1,
            "not_run_is_true": refusals_are_true,
        },
    )


def holds(protocol, max_states):
    """Checks a protocol; returns (all hold, states, shortest trace)."""
    report = minicheck.check_safety(protocol, max_states=max_states)
    traces = [
        found["counterexample"]
        for found in report["properties"].values()
        if found["holds"] is False
    ]
    return not traces, report, min(traces, key=len, default=None)


__all__ = ["agreement", "blank", "holds", "ledger_model"]
