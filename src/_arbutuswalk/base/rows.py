"""Rows that another process has encoded as lists of their fields."""

from collections.abc import Sequence
from typing import Any


def known_fields(row_type: Any, fields: Sequence[Any]) -> Sequence[Any]:
    """Returns the fields without those that only a later build knows.

    A later build adds fields at the end.
    """
    return fields[: len(row_type._fields)]


def parse(row_type: Any, fields: Sequence[Any]) -> Any:
    """Returns a row of a named tuple's type from its fields.

    Those that only a later build knows are ignored.

    Raises:
        TypeError: Required fields are missing.
    """
    return row_type(*known_fields(row_type, fields))
