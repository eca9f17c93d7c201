"""Background tasks of a process; their errors are logged when they occur."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine

from _arbutuswalk.base import events

_running: set[asyncio.Task] = set()
"""References to the tasks, as the event loop keeps weak ones only."""


def start(name: str, coroutine: Coroutine) -> asyncio.Task:
    """Starts a task that is not expected to end with an error."""
    task = asyncio.ensure_future(coroutine)
    _running.add(task)
    task.add_done_callback(_running.discard)
    task.add_done_callback(lambda ended: _log_end(name, ended))
    return task


async def repeat(
    name: str, interval_s: float, step: Callable[[], Awaitable[None]]
) -> None:
    """Runs ``step`` at an interval until cancelled, also after errors."""
    while True:
        try:
            await step()
        except Exception as error:  # noqa: BLE001
            log_error(name, error)
        await asyncio.sleep(interval_s)


def log_error(name: str, error: BaseException) -> None:
    """Logs an error in a background task."""
    events.warn(events.Event.TASK_FAILED, name, repr(error))


def _log_end(name: str, task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        log_error(name, task.exception())
