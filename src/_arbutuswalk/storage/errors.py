"""What can go wrong with local storage."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class DiskFull:
    """No room for the records; nothing of the batch was kept."""

    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Corrupt:
    """Bytes that were once synced no longer read back.

    The process has to stop: what it acknowledged may be gone. Replace the
    member, as the operators' guide says.
    """

    path: str
    offset: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unwritable:
    """The folder cannot be used for writing."""

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Locked:
    """Another process uses the folder."""

    path: str


StorageError = DiskFull | Corrupt | Unwritable | Locked


def describe(error: StorageError) -> str:
    """Returns one line that names the file and the fix."""
    if isinstance(error, DiskFull):
        return f"{error.path}: disk full; free space and start again"
    if isinstance(error, Corrupt):
        return (
            f"{error.path}: corrupt at byte {error.offset}: {error.reason};"
            " empty the data folder to rejoin as a new member"
        )
    if isinstance(error, Locked):
        return f"{error.path}: in use by another process"
    return f"{error.path}: not writable: {error.reason}"
