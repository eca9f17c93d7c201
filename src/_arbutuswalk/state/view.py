"""View: the parts of the replicated state that are sent to every entry.

The version of a part is the log index of its last change; an entry is sent
only the parts that changed after the version it has.
"""

from typing import Any

from _arbutuswalk.state import commands
from _arbutuswalk.state import evacuations
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
    # Former builds fail at the name of a part that they do not know.
    commands.BeginEvacuation: (CONFIGURATION,),
    commands.FinishEvacuation: (CONFIGURATION,),
}


def version(tables: rows.Tables) -> int:
    """Returns the highest version of all parts."""
    return max(tables.changed.values(), default=0)


def parts_since(tables: rows.Tables, known_version: int) -> dict[str, Any]:
    """Returns the parts that changed after ``known_version``."""
    return {
        part: _PART_BUILDERS[part](tables)
        for part, part_version in tables.changed.items()
        if part_version > known_version and part in _PART_BUILDERS
    }


def _build_configuration(tables: rows.Tables) -> dict[str, Any]:
    return {
        "revision": tables.revision,
        "inventory": tables.inventory,
        "evacuated": sorted(evacuations.evacuated_domains(tables)),
    }


def _build_moves(tables: rows.Tables) -> dict[str, Any]:
    active_moves = {
        move: row._asdict()
        for move, row in tables.moves.items()
        if row.state in moves.ACTIVE_STATES
    }
    taken_back = [
        [row.upstream, row.new]
        for row in tables.moves.values()
        if row.state == "taken_back"
    ]
    return {
        "versions": dict(tables.versions),
        "live": active_moves,
        "taken_back": taken_back,
    }


def _build_entries(tables: rows.Tables) -> dict[str, Any]:
    return {
        entry: row._asdict()
        for entry, row in tables.entries.items()
        if row.state != "gone"
    }


def _build_quarantine(tables: rows.Tables) -> dict[str, Any]:
    return {
        "suspects": list(tables.suspects),
        "convicted": dict(tables.convicted),
        "isolations": {
            upstream: row.fingerprint
            for upstream, row in tables.isolations.items()
        },
    }


def _build_leaving(tables: rows.Tables) -> dict[str, float]:
    return {
        instance: leave_in_s
        for instance, (_, leave_in_s) in tables.leaving.items()
    }


_PART_BUILDERS = {
    CONFIGURATION: _build_configuration,
    MOVES: _build_moves,
    ENTRIES: _build_entries,
    QUARANTINE: _build_quarantine,
    LEAVING: _build_leaving,
}
