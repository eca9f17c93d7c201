"""Checks the reports of entries before they are stored.

A stored report is read for every other entry's update, so one that cannot be
read would stop the updates of all.
"""

from collections.abc import Callable
from typing import Any

from _arbutuswalk.base import settings
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import demand_fields

Check = Callable[[Any], bool]

MAX_LOG_STEPS = 10_000
"""Largest logarithm of a time that is stored, in steps."""


def _is_number_or_none(value: Any) -> bool:
    return value is None or settings.is_number(value)


def _is_log_steps_or_none(value: Any) -> bool:
    return value is None or (
        settings.is_number(value) and abs(value) <= MAX_LOG_STEPS
    )


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _is_list_of(check: Check) -> Check:
    return lambda value: isinstance(value, list) and all(map(check, value))


def _is_table_of(check: Check) -> Check:
    return lambda value: (
        isinstance(value, dict) and all(map(check, value.values()))
    )


def _is_row(*checks: Check) -> Check:
    """Returns a check for lists whose items satisfy ``checks`` in order.

    Further items are of a later version.
    """
    return lambda value: (
        isinstance(value, list)
        and len(value) >= len(checks)
        and all(check(item) for check, item in zip(checks, value, strict=False))
    )


def _is_any_of(*checks: Check) -> Check:
    return lambda value: any(check(value) for check in checks)


_is_demand = _is_table_of(
    _is_row(
        demand_fields.is_rate,
        _is_list_of(_is_text),
        _is_list_of(
            _is_row(
                settings.is_non_negative_int,
                _is_list_of(demand_fields.is_rate),
            )
        ),
    )
)


def _is_outcome(value: Any) -> bool:
    return (
        isinstance(value, list)
        and all(map(_is_text, value[:3]))
        and len(value) > 3
        and all(map(settings.is_number, value[3:]))
    )


_is_row_of_counts = _is_row(
    settings.is_non_negative_int, settings.is_non_negative_int
)
_is_row_of_numbers = _is_row(settings.is_number, settings.is_number)
_CHECKS: dict[str, Check] = {
    "entry": _is_text,
    "address": _is_text,
    "domain": _is_text,
    "ready": settings.is_bool,
    "left": settings.is_bool,
    "routes_version": settings.is_number,
    "loads": _is_table_of(_is_row_of_numbers),
    "limits": _is_table_of(
        _is_row(settings.is_number, _is_number_or_none, settings.is_number)
    ),
    "brittle": _is_table_of(
        _is_row(settings.is_number, _is_number_or_none, settings.is_number)
    ),
    "leaving": _is_list_of(
        _is_row(_is_text, settings.is_number, settings.is_number)
    ),
    "wall": settings.is_number,
    "uptime_s": settings.is_number,
    # An entry of a former version reports lists of deaths and of refusals.
    "deaths": _is_table_of(
        _is_any_of(_is_table_of(settings.is_number), _is_list_of(_is_text))
    ),
    "refused": _is_any_of(
        _is_table_of(_is_row_of_numbers), _is_list_of(_is_text)
    ),
    "successes": _is_table_of(_is_number_or_none),
    "speeds": _is_row(
        settings.is_non_negative_int,
        settings.is_non_negative_int,
        _is_list_of(
            _is_row(
                _is_text,
                settings.is_number,
                _is_log_steps_or_none,
                _is_log_steps_or_none,
            )
        ),
    ),
    "demand": _is_any_of(
        _is_row(
            settings.is_non_negative_int,
            settings.is_non_negative_int,
            _is_demand,
        ),
        lambda value: _is_row_of_counts(value) and len(value) == 2,
    ),
    "usage": _is_table_of(_is_table_of(settings.is_number)),
    "taken": _is_table_of(settings.is_number),
    "returned": _is_table_of(settings.is_number),
    "levels": _is_list_of(_is_number_or_none),
    "pool_age_s": settings.is_number,
    "has_share": settings.is_bool,
    "rollout_outcomes": _is_list_of(_is_outcome),
    "status_since": _is_number_or_none,
    "unknown": _is_list_of(_is_text),
    "tunnel_address": _is_text,
    "cut_off": settings.is_bool,
    "serves": settings.is_bool,
    "wants_peers": settings.is_bool,
}


def find_problem(report: Any) -> str:
    """Returns what is wrong with a report, empty if it can be stored.

    Values under other keys, as those of a later version, are not checked.
    """
    if not isinstance(report, dict):
        return "not a table"
    wrong = [
        key
        for key, check in _CHECKS.items()
        if key in report and not check(report[key])
    ]
    return f"wrong type: {', '.join(wrong)}" if wrong else ""


def decode(data: bytes) -> dict[str, Any]:
    """Returns a report that can be stored.

    Raises:
        ValueError: The bytes are no report, or values have a wrong type.
    """
    report = compressed_json.decode(data)
    problem = find_problem(report)
    if problem:
        raise ValueError(f"report of an entry: {problem}")
    return report
