"""Version moves as replicated rows; ``moveplan`` decides their steps."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

LIVE = ("waiting", "growing", "baking")
TAKEN_BACK = "taken_back"
SETTLED = "settled"
"""A taken back move whose revision the operator has since undone."""
MAX_ENDED = 200
FULL = 1000
"""Share in per mille at which all traffic goes to the new version."""


def on_configuration(tables: rows.Tables) -> None:
    """Starts, keeps or supersedes moves after a new configuration."""
    names = set()
    for upstream in tables.inventory["upstreams"]:
        names.add(upstream["name"])
        _follow_target(tables, upstream)
    for name in set(tables.versions) - names:
        del tables.versions[name]
    for move, row in list(tables.moves.items()):
        if row.upstream not in names:
            _end(tables, move, "superseded", "upstream left the inventory")


def live_move(tables: rows.Tables, upstream: str) -> str:
    """Returns the id of the upstream's move under way, or empty."""
    for move, row in tables.moves.items():
        if row.upstream == upstream and row.state in LIVE:
            return move
    return ""


def step(tables: rows.Tables, command: commands.StepMove) -> outcomes.Outcome:
    """Takes one step of a move, unless it was decided on old state."""
    row = tables.moves.get(command.move)
    if row is None:
        return outcomes.Absent()
    if row.step != command.seen_step or row.state not in LIVE:
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
    """Keeps a bounded number of ended moves."""
    ended = [m for m, row in tables.moves.items() if row.state not in LIVE]
    for move in ended[:-MAX_ENDED]:
        del tables.moves[move]


def _follow_target(tables: rows.Tables, upstream: inventories.Upstream) -> None:
    name, target = upstream["name"], upstream["version"]
    current = tables.versions.setdefault(name, target)
    move = live_move(tables, name)
    if move and tables.moves[move].new == target:
        return
    if move:
        _end(tables, move, "superseded", f"revision {tables.revision}")
    if target == current:
        _forget_taken_back(tables, name)
        return
    if _was_taken_back(tables, name, target):
        return
    deadline_ms = upstream["rollout_deadline_s"] * 1000
    shares = {route: 0 for route, _ in inventories.route_names(upstream)}
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
    """Tells whether this version was taken back and is still asked for.

    An edit elsewhere in the inventory must not start a bad version again. An
    operator who wants another try sets the old version first.
    """
    return any(
        row.upstream == upstream
        and row.new == version
        and row.state == TAKEN_BACK
        for row in tables.moves.values()
    )


def _forget_taken_back(tables: rows.Tables, upstream: str) -> None:
    for move, row in tables.moves.items():
        if row.upstream == upstream and row.state == TAKEN_BACK:
            tables.moves[move] = row._replace(state=SETTLED)


def _end(tables: rows.Tables, move: str, state: str, reason: str) -> None:
    row = tables.moves[move]
    if row.state not in LIVE:
        return
    tables.moves[move] = row._replace(
        state=state,
        shares=dict.fromkeys(row.shares, 0),
        step=row.step + 1,
        changed_ms=tables.time_ms,
        reason=reason,
    )
