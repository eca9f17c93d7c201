"""The parts of the state that every entry follows.

Each part has a version, the log index of its last change, so that an entry is
sent only the parts that changed since the version it has.
"""

from typing import Any

from _arbutuswalk.state import commands
from _arbutuswalk.state import moves
from _arbutuswalk.state import tables as rows

CONFIGURATION = "configuration"
MOVES = "moves"
ENTRIES = "entries"
QUARANTINE = "quarantine"
LEAVING = "leaving"

PARTS_CHANGED_BY = {
    commands.Apply: (CONFIGURATION, MOVES),
    commands.StepMove: (MOVES,),
    commands.RegisterEntry: (ENTRIES,),
    commands.SetEntryState: (ENTRIES,),
    commands.ReportDeath: (QUARANTINE,),
    commands.Isolate: (QUARANTINE,),
    commands.Release: (QUARANTINE,),
    commands.MarkInstance: (LEAVING,),
}


def version(tables: rows.Tables) -> int:
    """Returns the version of the newest part."""
    return max(tables.changed.values(), default=0)


def parts_since(tables: rows.Tables, known: int) -> dict[str, Any]:
    """Returns the parts that changed after version ``known``."""
    return {
        part: _MAKERS[part](tables)
        for part, changed in tables.changed.items()
        if changed > known
    }


def _configuration(tables: rows.Tables) -> dict[str, Any]:
    return {"revision": tables.revision, "inventory": tables.inventory}


def _moves(tables: rows.Tables) -> dict[str, Any]:
    live = {
        move: row._asdict()
        for move, row in tables.moves.items()
        if row.state in moves.LIVE
    }
    taken_back = [
        [row.upstream, row.new]
        for row in tables.moves.values()
        if row.state == "taken_back"
    ]
    return {
        "versions": dict(tables.versions),
        "live": live,
        "taken_back": taken_back,
    }


def _entries(tables: rows.Tables) -> dict[str, Any]:
    return {
        entry: row._asdict()
        for entry, row in tables.entries.items()
        if row.state != "gone"
    }


def _quarantine(tables: rows.Tables) -> dict[str, Any]:
    return {
        "suspects": list(tables.suspects),
        "convicted": dict(tables.convicted),
        "isolations": {
            upstream: row.fingerprint
            for upstream, row in tables.isolations.items()
        },
    }


def _leaving(tables: rows.Tables) -> dict[str, float]:
    return {name: in_s for name, (_, in_s) in tables.leaving.items()}


_MAKERS = {
    CONFIGURATION: _configuration,
    MOVES: _moves,
    ENTRIES: _entries,
    QUARANTINE: _quarantine,
    LEAVING: _leaving,
}
