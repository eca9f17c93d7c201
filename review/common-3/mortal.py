"""Runners that a request crashes, and consumers that send it again."""

import asyncio
import time

import fleet as fleets

BACK_S = 2.0
"""Time after which a crashed runner is back."""
INTERVAL_S = 0.4
"""Time between two retries, where they aren't sent at once."""
MAX_RETRIES = 3
POISON = "/lookup/poison"
CLAIM = "/claim/x"
CLAIM_INTERVAL_S = 0.05
CLAIM_WORK_S = 0.2
STATUS_FAILED = 502


class MortalRunner(fleets.Runner):
    """A runner that the request crashes, and that is back some time later.

    Attributes:
        crashes: Times of the crashes of all runners, shared.
        is_mortal: Whether the request crashes it.
        lifetime: Number of its lifetime.
        writers: Its open channels.
    """

    def __init__(self, *, crashes, is_mortal=True, **options):
        super().__init__(**options)
        self.crashes = crashes
        self.is_mortal = is_mortal
        self.base_name = self.name
        self.lifetime = 1
        self.writers = set()

    async def answer(self, path, headers, writer):
        """Runs a request; the one that crashes runners ends the lifetime."""
        self.writers.add(writer)
        if not (self.is_mortal and path.startswith(POISON)):
            await super().answer(path, headers, writer)
            return
        attempt_id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.name) != self.name:
            fleets.write_answer(writer, "421 Misdirected", attempt_id, b"")
            return
        at = self.fleet.record.add("crash", self.name, "by", attempt_id)
        self.arrivals.append((attempt_id, at))
        self.crashes.append(at)
        self.stop()
        for each in self.writers:
            each.transport.abort()
        self.writers.clear()
        asyncio.ensure_future(self._come_back())

    async def _come_back(self):
        await asyncio.sleep(BACK_S)
        self.lifetime += 1
        self.name = f"{self.base_name}-{self.lifetime}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.tasks.clear()
        await self.start()


def make_runners(fleet, count, *, is_mortal=True):
    """Returns runners that share the times of their crashes, and these."""
    crashes = []
    runners = [
        MortalRunner(
            fleet=fleet,
            name=f"runner-{i}",
            crashes=crashes,
            is_mortal=is_mortal,
            work_s=CLAIM_WORK_S,
        )
        for i in range(count)
    ]
    return runners, crashes


def make_consumers(fleet):
    """Returns a consumer of the crashing request for each entry."""
    return [
        fleets.Consumer(
            fleet=fleet, entry_ip=ip, name=f"poison{i}", path=POISON
        )
        for i, ip in enumerate(fleet.entry_ips)
    ]


async def send_for(fleet, consumers, seconds):
    """Sends the request to one entry after another for some seconds."""
    ends_at = fleet.record.now() + seconds
    tasks = []
    number = 0
    while fleet.record.now() < ends_at:
        number += 1
        consumer = consumers[number % len(consumers)]
        tasks.append(asyncio.ensure_future(consumer.send(len(consumer.sent))))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def send_at_once(consumers, count):
    """Sends the request several times at one moment, to entries in turn."""
    sends = []
    for number in range(count):
        consumer = consumers[number % len(consumers)]
        sends.append(consumer.send(len(consumer.sent)))
        consumer.sent[f"{consumer.name}-{len(consumer.sent)}"] = "", 0.0
    await asyncio.gather(*sends)


def record_lost_claims(record, runners, claims):
    """Records how many claims began to run and were answered as failed."""
    ran = {a for runner in runners for a, _ in runner.arrivals}
    failed = {a for a, s in claims.answers.items() if s == STATUS_FAILED}
    record.add("claims that ran and were lost:", len(ran & failed))


def late_retries(runners, consumers, crashes, restarted_at=None):
    """Returns the retries that were sent late and reached runners.

    Args:
        runners: All runners.
        consumers: All consumers of the crashing request.
        crashes: Times at which runners crashed.
        restarted_at: When all processes were started again, None if never.
    """
    sent = {}
    for consumer in consumers:
        sent.update(consumer.sent)
    late_from = sorted(crashes)[MAX_RETRIES - 1] + fleets.CONTACT_S
    retries = set()
    for runner in runners:
        for attempt_id, _ in runner.arrivals:
            entry_ip, sent_at = sent.get(attempt_id, ("", 0.0))
            is_calm = (
                restarted_at is None
                or sent_at < restarted_at
                or sent_at > restarted_at + 2 * fleets.CONTACT_S
            )
            if entry_ip and sent_at > late_from and is_calm:
                retries.add(attempt_id)
    return sorted(retries)


def find_breaks(record, retries):
    """Records the late retries; returns what broke the rule."""
    record.add("late retries that reached runners:", *retries)
    if len(retries) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: {len(retries)} retries reached runners over 3 s after the"
        " request had crashed the third"
    ]
