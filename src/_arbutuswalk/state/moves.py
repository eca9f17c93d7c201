"""Version moves in the replicated tables."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

ACTIVE_STATES = ("waiting", "growing", "baking")
TAKEN_BACK = "taken_back"
SETTLED = "settled"
"""State of a taken back move whose target the operator has since undone."""
MAX_ENDED_MOVES = 200
FULL_SHARE_PER_MILLE = 1000
"""Share at which all traffic goes to the new version."""


def reconcile(tables: rows.Tables) -> None:
    """Starts, keeps or supersedes moves to match a new configuration."""
    names = set()
    for upstream in tables.inventory["upstreams"]:
        names.add(upstream["name"])
        _reconcile_upstream(tables, upstream)
    for name in set(tables.versions) - names:
        del tables.versions[name]
    for move, row in list(tables.moves.items()):
        if row.upstream not in names:
            _end_move(tables, move, "superseded", "upstream left the inventory")


def active_move(tables: rows.Tables, upstream: str) -> str:
    """Returns the id of the upstream's active move, or empty."""
    for move, row in tables.moves.items():
        if row.upstream == upstream and row.state in ACTIVE_STATES:
            return move
    return ""


def step(tables: rows.Tables, command: commands.StepMove) -> outcomes.Outcome:
    """Applies one step of a move, unless the decision is stale."""
    row = tables.moves.get(command.move)
    if row is None:
        return outcomes.Absent()
    if row.step != command.seen_step or row.state not in ACTIVE_STATES:
        return outcomes.Stale(what=f"move {command.move} step {row.step}")
    tables.moves[command.move] = row._replace(
        state=command.state,
        shares=command.shares,
        step=row.step + 1,
        changed_ms=tables.time_ms,
        reason=command.reason,
    )
    if command.state == "done":
        tables.versions[row.upstream] = row.new
    return outcomes.Accepted(revision=row.step + 1)


def expire(tables: rows.Tables) -> None:
    """Removes the oldest ended moves beyond ``MAX_ENDED_MOVES``."""
    ended = [
        move_id
        for move_id, row in tables.moves.items()
        if row.state not in ACTIVE_STATES
    ]
    for move in ended[:-MAX_ENDED_MOVES]:
        del tables.moves[move]


def _reconcile_upstream(
    tables: rows.Tables, upstream: inventories.Upstream
) -> None:
    name, target = upstream["name"], upstream["version"]
    current = tables.versions.setdefault(name, target)
    move = active_move(tables, name)
    if move and tables.moves[move].new == target:
        return
    if move:
        _end_move(tables, move, "superseded", f"revision {tables.revision}")
    if target == current:
        _settle_taken_back(tables, name)
        return
    if _was_taken_back(tables, name, target):
        return
    deadline_ms = upstream["rollout_deadline_s"] * 1000
    shares = {route: 0 for route, _ in inventories.list_routes(upstream)}
    tables.moves[f"{name}-{tables.revision}"] = rows.MoveRow(
        upstream=name,
        old=current,
        new=target,
        revision=tables.revision,
        started_ms=tables.time_ms,
        deadline_ms=tables.time_ms + deadline_ms,
        state="waiting",
        shares=shares,
        step=0,
        changed_ms=tables.time_ms,
        reason="waiting for instances of the new version",
    )


def _was_taken_back(tables: rows.Tables, upstream: str, version: str) -> bool:
    """Returns whether this version was taken back and is still the target.

    An unrelated change of the inventory must not start a bad version again.
    To retry it, an operator first sets the old version.
    """
    return any(
        row.upstream == upstream
        and row.new == version
        and row.state == TAKEN_BACK
        for row in tables.moves.values()
    )


def _settle_taken_back(tables: rows.Tables, upstream: str) -> None:
    for move, row in tables.moves.items():
        if row.upstream == upstream and row.state == TAKEN_BACK:
            tables.moves[move] = row._replace(state=SETTLED)


def _end_move(tables: rows.Tables, move: str, state: str, reason: str) -> None:
    row = tables.moves[move]
    if row.state not in ACTIVE_STATES:
        return
    tables.moves[move] = row._replace(
        state=state,
        shares=dict.fromkeys(row.shares, 0),
        step=row.step + 1,
        changed_ms=tables.time_ms,
        reason=reason,
    )
