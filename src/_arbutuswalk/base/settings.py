"""Validation of TOML settings.

Each problem names the file, the key, the value and what is accepted.
"""

import dataclasses
import pathlib
import tomllib
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

EXIT_BAD_SETTINGS = 2
MAX_PORT_DIGITS = 5

REQUIRED = object()
"""Default of a field that has no default value."""


class Field(NamedTuple):
    """One settings key.

    Attributes:
        key: Name in the file.
        accepts: Description of the accepted values, for error messages.
        check: Returns true for an accepted value.
        default: Value if the key is absent, or ``REQUIRED``.
    """

    key: str
    accepts: str
    check: Callable[[Any], bool]
    default: Any = REQUIRED


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadSettings:
    """Invalid settings, with one line for each problem."""

    problems: tuple[str, ...]


def is_non_empty_string(value: object) -> bool:
    """Returns whether ``value`` is a non-empty string."""
    return isinstance(value, str) and bool(value)


def is_bool(value: object) -> bool:
    """Returns whether ``value`` is a boolean."""
    return isinstance(value, bool)


def is_number(value: object) -> bool:
    """Returns whether ``value`` is a number and no boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def is_positive(value: object) -> bool:
    """Returns whether ``value`` is a positive number."""
    return is_number(value) and value > 0


def is_non_negative_int(value: object) -> bool:
    """Returns whether ``value`` is an integer of at least zero."""
    return is_number(value) and isinstance(value, int) and value >= 0


def is_fraction(value: object) -> bool:
    """Returns whether ``value`` is a number from 0 to 1."""
    return is_number(value) and 0 <= value <= 1


def is_non_negative(value: object) -> bool:
    """Returns whether ``value`` is a number of at least 0."""
    return is_number(value) and value >= 0


def is_address(value: object) -> bool:
    """Returns whether ``value`` is an IPv4 address and port, ``IP:port``."""
    if not isinstance(value, str) or not value.isascii():
        return False
    host, _, port = value.rpartition(":")
    octets = host.split(".")
    if len(octets) != 4 or not all(map(str.isdigit, (*octets, port))):
        return False
    if any(len(number) > MAX_PORT_DIGITS for number in (*octets, port)):
        return False
    # Resolvers read octets with leading zeros as octal numbers or as names.
    if any(str(int(number)) != number for number in (*octets, port)):
        return False
    return all(int(octet) < 256 for octet in octets) and 0 < int(port) < 65536


def is_address_list(value: object) -> bool:
    """Returns whether ``value`` is a list of ``IP:port``."""
    return isinstance(value, list) and all(is_address(v) for v in value)


def check(
    values: dict[str, Any], fields: Sequence[Field], *, where: str
) -> dict[str, Any] | BadSettings:
    """Validates ``values`` against ``fields`` and fills in defaults.

    Args:
        values: Parsed table.
        fields: All keys that the table may have.
        where: File, and table if any, as messages name them.

    Returns:
        The values with defaults filled in, or all problems found.
    """
    problems = _unknown_keys(values, fields, where)
    complete = {}
    for field in fields:
        value = values.get(field.key, field.default)
        if value is REQUIRED:
            problems.append(
                f"{where}: {field.key}: missing; give {field.accepts}"
            )
        elif field.key in values and not field.check(value):
            problems.append(
                f"{where}: {field.key}: {value!r} is not accepted;"
                f" give {field.accepts}"
            )
        complete[field.key] = value
    if problems:
        return BadSettings(problems=tuple(problems))
    return complete


def load(path: str, fields: Sequence[Field]) -> dict[str, Any] | BadSettings:
    """Reads and validates one settings file."""
    parsed = read_toml(path)
    if isinstance(parsed, BadSettings):
        return parsed
    return check(parsed, fields, where=path)


def read_toml(path: str) -> dict[str, Any] | BadSettings:
    """Parses a TOML file without validating its keys."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return tomllib.loads(text)
    except OSError as error:
        return BadSettings(problems=(f"{path}: {error.strerror}",))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return BadSettings(problems=(f"{path}: not TOML: {error}",))


def _unknown_keys(
    values: dict[str, Any], fields: Sequence[Field], where: str
) -> list[str]:
    known = {field.key for field in fields}
    accepted = ", ".join(sorted(known))
    return [
        f"{where}: {key}: unknown key with value {values[key]!r};"
        f" accepted: {accepted}"
        for key in values
        if key not in known
    ]
