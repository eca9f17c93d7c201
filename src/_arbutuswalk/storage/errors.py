"""Errors of local storage."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class DiskFull:
    """The disk is full; no record of the batch was kept."""

    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Corrupt:
    """Synced data can no longer be read back intact.

    The process has to stop, because entries that it acknowledged may be lost.
    The operators' guide describes how to replace the member.
    """

    path: str
    offset: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unwritable:
    """The folder is not writable."""

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Locked:
    """Another process holds the lock of the folder."""

    path: str


StorageError = DiskFull | Corrupt | Unwritable | Locked


def describe(error: StorageError) -> str:
    """Returns one line with the file, the problem and any remedy."""
    if isinstance(error, DiskFull):
        return f"{error.path}: disk full; free space"
    if isinstance(error, Corrupt):
        return (
            f"{error.path}: corrupt at byte {error.offset}: {error.reason};"
            " empty the data folder to rejoin as a new member"
        )
    if isinstance(error, Locked):
        return f"{error.path}: in use by another process"
    return f"{error.path}: not writable: {error.reason}"
