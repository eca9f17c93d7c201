"""An event loop on virtual time: sleeping costs nothing."""

import asyncio
import selectors


class VirtualSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        assert timeout is not None, "everything waits for nothing"
        self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time is its selector's."""

    def __init__(self):
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self):
        return self.virtual.now


def close(loop):
    """Cancels what still runs on a loop, lets it end, and closes it."""
    for _ in range(5):
        tasks = asyncio.all_tasks(loop)
        if not tasks:
            break
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()


def run(coroutine):
    """Runs a coroutine to its end on virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
