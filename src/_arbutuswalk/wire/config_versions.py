"""Versions of route configurations in messages.

Operators choose the versions, which may exceed 64 bits. A 64-bit field holds
those that fit; others are limited there, and carried as decimal numbers beside.
"""

MAX_INT64 = 2**63 - 1
MIN_INT64 = -(2**63)


def encode(version: int | None) -> tuple[int, str | None]:
    """Returns the version limited to 64 bits, and as a number if it is not.

    No version is 0 and an empty text.
    """
    if version is None:
        return 0, ""
    limited = max(MIN_INT64, min(version, MAX_INT64))
    return limited, None if limited == version else str(version)


def decode(limited: int, exact: str | None) -> int | None:
    """Returns the version that ``encode`` was given.

    Raises:
        ValueError: ``exact`` is not a number.
    """
    if exact is None:
        return limited
    return int(exact) if exact else None
