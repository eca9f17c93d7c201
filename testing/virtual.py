"""An event loop on virtual time, on which sleeping takes no real time."""

import asyncio
import selectors


class VirtualSelector(selectors.DefaultSelector):
    """Advances its clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        assert timeout is not None, (
            "no timer is set and no file is ready: the loop would block forever"
        )
        self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the clock of its selector."""

    def __init__(self):
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self):
        return self.virtual_selector.now


def close(loop):
    """Cancels the tasks of a loop, waits for their end and closes the loop."""
    for _ in range(5):
        tasks = asyncio.all_tasks(loop)
        if not tasks:
            break
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()


def run(coroutine):
    """Runs a coroutine to completion on virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
