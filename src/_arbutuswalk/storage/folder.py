"""The one data folder: the only place where files are touched."""

import errno
import fcntl
import os
import pathlib

from _arbutuswalk.storage import errors

LOCK_NAME = "LOCK"
ASIDE_SUFFIX = ".aside"


class Folder:
    """A locked data folder.

    Attributes:
        path: Where it is.
        lock: Open file that holds the lock.
        handles: Open file descriptor of each file being appended to.
    """

    def __init__(self, *, path: str):
        self.path = pathlib.Path(path)
        self.lock: int | None = None
        self.handles: dict[str, int] = {}

    def open(self) -> errors.StorageError | None:
        """Creates the folder if needed and locks it."""
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            flags = os.O_RDWR | os.O_CREAT
            self.lock = os.open(self.path / LOCK_NAME, flags, 0o644)
        except OSError as error:
            return self._turn(error, "")
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            self.lock = None
            return errors.Locked(path=str(self.path))
        for name in self.names():
            if name.endswith(ASIDE_SUFFIX):
                os.unlink(self.path / name)
        return None

    def close(self) -> None:
        """Closes all files and gives up the lock."""
        for handle in self.handles.values():
            os.close(handle)
        self.handles.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def names(self) -> list[str]:
        """Returns the sorted names of the files in the folder."""
        return sorted(item.name for item in self.path.iterdir())

    def read(self, name: str) -> bytes:
        """Returns a file's content."""
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> errors.StorageError | None:
        """Appends to a file; on failure the file is as before."""
        try:
            handle = self._handle(name)
            size = os.fstat(handle).st_size
        except OSError as error:
            return self._turn(error, name)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
        except OSError as error:
            os.ftruncate(handle, size)
            return self._turn(error, name)
        return None

    def sync(self, name: str) -> errors.StorageError | None:
        """Makes a file's content durable."""
        try:
            os.fsync(self._handle(name))
        except OSError as error:
            return self._turn(error, name)
        return None

    def truncate(self, name: str, size: int) -> errors.StorageError | None:
        """Cuts a file and makes the cut durable."""
        try:
            handle = self._handle(name)
            os.ftruncate(handle, size)
            os.fsync(handle)
        except OSError as error:
            return self._turn(error, name)
        return None

    def replace(self, name: str, data: bytes) -> errors.StorageError | None:
        """Writes a whole file aside, syncs it and renames it into place."""
        aside = name + ASIDE_SUFFIX
        failure = self.append(aside, data) or self.sync(aside)
        handle = self.handles.pop(aside, None)
        if handle is not None:
            os.close(handle)
        try:
            if failure is not None:
                (self.path / aside).unlink(missing_ok=True)
                return failure
            os.rename(self.path / aside, self.path / name)
        except OSError as error:
            return self._turn(error, name)
        return self.sync_folder()

    def remove(self, name: str) -> None:
        """Removes a file."""
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)
        (self.path / name).unlink(missing_ok=True)

    def sync_folder(self) -> errors.StorageError | None:
        """Makes creations, renames and removals durable."""
        try:
            handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as error:
            return self._turn(error, "")
        try:
            os.fsync(handle)
        except OSError as error:
            return self._turn(error, "")
        finally:
            os.close(handle)
        return None

    def _handle(self, name: str) -> int:
        handle = self.handles.get(name)
        if handle is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            handle = os.open(self.path / name, flags, 0o644)
            self.handles[name] = handle
        return handle

    def _turn(self, error: OSError, name: str) -> errors.StorageError:
        path = str(self.path / name)
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            return errors.DiskFull(path=path)
        return errors.Unwritable(path=path, reason=str(error.strerror))
