"""File operations on the data folder of a member.

The log and its snapshots access files only through this module.
"""

import contextlib
import errno
import fcntl
import os
import pathlib

from _arbutuswalk.storage import errors

LOCK_FILE = "LOCK"
TEMPORARY_SUFFIX = ".aside"


class Folder:
    """A locked data folder.

    Attributes:
        path: Path of the folder.
        lock_fd: File descriptor that holds the lock, or None.
        open_fds: File descriptor of each open file, by file name.
    """

    def __init__(self, *, path: str):
        self.path = pathlib.Path(path)
        self.lock_fd: int | None = None
        self.open_fds: dict[str, int] = {}

    def open(self) -> errors.StorageError | None:
        """Creates and locks the folder and removes its temporary files."""
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            flags = os.O_RDWR | os.O_CREAT
            self.lock_fd = os.open(self.path / LOCK_FILE, flags, 0o644)
        except OSError as error:
            return self._to_storage_error(error, "")
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock_fd)
            self.lock_fd = None
            return errors.Locked(path=str(self.path))
        for name in self.file_names():
            if name.endswith(TEMPORARY_SUFFIX):
                os.unlink(self.path / name)
        return None

    def close(self) -> None:
        """Closes all files and releases the lock."""
        for fd in self.open_fds.values():
            os.close(fd)
        self.open_fds.clear()
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    def file_names(self) -> list[str]:
        """Returns the sorted names of the files in the folder."""
        return sorted(file_path.name for file_path in self.path.iterdir())

    def read(self, name: str) -> bytes:
        """Returns a file's content."""
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> errors.StorageError | None:
        """Appends to a file.

        A failure leaves the file unchanged, or longer by a part of ``data`` if
        the disk also refuses to truncate it.
        """
        try:
            fd = self._open_file(name)
            size = os.fstat(fd).st_size
        except OSError as error:
            return self._to_storage_error(error, name)
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(fd, remaining) :]
        except OSError as error:
            with contextlib.suppress(OSError):
                os.ftruncate(fd, size)
            return self._to_storage_error(error, name)
        return None

    def sync(self, name: str) -> errors.StorageError | None:
        """Makes a file's content durable."""
        try:
            os.fsync(self._open_file(name))
        except OSError as error:
            return self._to_storage_error(error, name)
        return None

    def sync_all(self) -> errors.StorageError | None:
        """Makes all that a process reads in the folder durable.

        A process that was killed leaves its writes, creations and renames in
        the folder though it had not synced them yet.
        """
        for name in self.file_names():
            try:
                fd = os.open(self.path / name, os.O_RDWR)
            except OSError as error:
                return self._to_storage_error(error, name)
            try:
                os.fsync(fd)
            except OSError as error:
                return self._to_storage_error(error, name)
            finally:
                os.close(fd)
        return self.sync_folder()

    def truncate(self, name: str, size: int) -> errors.StorageError | None:
        """Truncates a file and makes its new size durable."""
        try:
            fd = self._open_file(name)
            os.ftruncate(fd, size)
            os.fsync(fd)
        except OSError as error:
            return self._to_storage_error(error, name)
        return None

    def replace(self, name: str, data: bytes) -> errors.StorageError | None:
        """Atomically replaces a file by way of a synced temporary file."""
        temporary_name = name + TEMPORARY_SUFFIX
        failure = self.append(temporary_name, data) or self.sync(temporary_name)
        fd = self.open_fds.pop(temporary_name, None)
        if fd is not None:
            os.close(fd)
        try:
            if failure is not None:
                (self.path / temporary_name).unlink(missing_ok=True)
                return failure
            os.rename(self.path / temporary_name, self.path / name)
        except OSError as error:
            return self._to_storage_error(error, name)
        return self.sync_folder()

    def remove(self, name: str) -> None:
        """Closes a file and removes it if it exists."""
        fd = self.open_fds.pop(name, None)
        if fd is not None:
            os.close(fd)
        (self.path / name).unlink(missing_ok=True)

    def sync_folder(self) -> errors.StorageError | None:
        """Makes creations, renames and removals durable."""
        try:
            fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as error:
            return self._to_storage_error(error, "")
        try:
            os.fsync(fd)
        except OSError as error:
            return self._to_storage_error(error, "")
        finally:
            os.close(fd)
        return None

    def _open_file(self, name: str) -> int:
        fd = self.open_fds.get(name)
        if fd is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            fd = os.open(self.path / name, flags, 0o644)
            self.open_fds[name] = fd
        return fd

    def _to_storage_error(
        self, error: OSError, name: str
    ) -> errors.StorageError:
        path = str(self.path / name)
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            return errors.DiskFull(path=path)
        return errors.Unwritable(path=path, reason=str(error.strerror))
