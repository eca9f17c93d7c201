"""The body of a request that offers another protocol is lost or run.

Consumers send claims with a body over HTTP/1.1, and offer HTTP/2 in the head.
"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "common-3"))

import fleet as fleets  # noqa: E402

RUNNERS = 2
CALM_S = 3.5
"""Time without a disruption before the first claim."""
CLAIMS = 10
"""Claims of each way of sending and of each entry."""
INTERVAL_S = 0.1
PAUSE_S = 0.02
"""Time between a head and its body, where they are sent apart."""
ANSWER_S = 2.0
OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n"
)
TOGETHER = "together"
APART = "apart"
MESSAGE = "message"
"""Ways of sending: the head and the body at once or one after the other, and
the same with a body that holds the text of a request."""


class BodyRunner(fleets.Runner):
    """A runner that keeps the bodies that it runs.

    Attributes:
        runs: (attempt id, path, body) of each request, shared.
    """

    def __init__(self, *, runs, **options):
        super().__init__(**options)
        self.runs = runs

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await read_body(reader, headers)
                path = head.split()[1]
                attempt_id = headers.get("x-attempt-id", "")
                expected = headers.get("x-expected-instance", self.name)
                if expected == self.name:
                    self.runs.append((attempt_id, path, body))
                    self.fleet.record.add("body", attempt_id, body)
                await self.answer(path, headers, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def read_body(reader, headers):
    """Reads the body of a request, with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def make_body(way, attempt_id):
    """Returns the body of a claim."""
    if way != MESSAGE:
        return json.dumps({"lot": attempt_id, "buyer": "b-1"}).encode()
    return (
        "GET /lookup/quoted HTTP/1.1\r\n"
        f"Host: {fleets.HOST}\r\n"
        f"X-Attempt-Id: quoted-{attempt_id}\r\n"
        "X-Deadline-Ms: 3000\r\n"
        f"X-Key: {fleets.KEY}\r\n\r\n"
    ).encode()


async def claim(fleet, ip, way, attempt_id, body):
    """Sends one claim on a channel of its own and records the answer."""
    head = (
        "POST /claim/x HTTP/1.1\r\n"
        f"Host: {fleets.HOST}\r\n"
        f"X-Attempt-Id: {attempt_id}\r\n"
        "X-Deadline-Ms: 3000\r\n"
        f"X-Key: {fleets.KEY}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{OFFER if fleets.has_trouble() else ''}\r\n"
    ).encode()
    fleet.record.add("send", attempt_id, "to", ip, body)
    writer = None
    status = 0
    try:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await asyncio.open_connection(
                ip, fleet.callers_port
            )
            if way == TOGETHER:
                writer.write(head + body)
            else:
                writer.write(head)
                await asyncio.sleep(PAUSE_S)
                writer.write(body)
            status, _, _ = await fleets.read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    fleet.record.add("answer", attempt_id, status)


async def play(record, fleet):
    """Plays the case; returns what broke the rule."""
    await fleet.start_all()
    runs = []
    runners = [
        BodyRunner(fleet=fleet, name=f"runner-{i}", runs=runs)
        for i in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    await fleet.wait_until_serving()
    await asyncio.sleep(CALM_S)
    runs.clear()
    sent = {}
    tasks = []
    for number in range(CLAIMS):
        for way in (TOGETHER, APART, MESSAGE):
            for entry, ip in enumerate(fleet.entry_ips):
                attempt_id = f"{way}-{entry}-{number}"
                sent[attempt_id] = make_body(way, attempt_id)
                tasks.append(
                    asyncio.ensure_future(
                        claim(fleet, ip, way, attempt_id, sent[attempt_id])
                    )
                )
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    for runner in runners:
        runner.stop()
    if not runs:
        raise fleets.CannotRunError("no claim has run")
    return find_breaks(runs, sent)


def find_breaks(runs, sent):
    """Returns the runs that nobody asked for."""
    changed = [a for a, _, body in runs if a in sent and body != sent[a]]
    unsent = [a for a, _, _ in runs if a not in sent]
    breaks = []
    if changed:
        breaks.append(
            f"UNASKED: {len(changed)} of {len(sent)} requests ran with another"
            " body than was sent"
        )
    if unsent:
        breaks.append(
            f"UNASKED: {len(unsent)} requests ran that were the body of"
            " another request"
        )
    return breaks


async def main(record):
    """Runs the case on a fleet of its own."""
    fleet = fleets.Fleet(record=record)
    try:
        return await play(record, fleet)
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(fleets.run_case(__file__, main))
