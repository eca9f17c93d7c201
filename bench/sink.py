"""Opens streams at one address, counts tokens, and reports delays as JSON."""

import asyncio
import json
import os
import sys
import time

SAMPLE_EVERY = 8


class Client(asyncio.Protocol):
    """One stream."""

    tokens = 0
    ended = 0
    delays = []
    seen = 0

    def __init__(self, request):
        self.request = request
        self.done = False

    def connection_made(self, transport):
        self.transport = transport
        transport.write(self.request)

    def data_received(self, data):
        count = data.count(b"data: {")
        Client.tokens += count
        Client.seen += 1
        if count and Client.seen % SAMPLE_EVERY == 0:
            stamp = data.split(b"@", 2)
            if len(stamp) == 3:
                delay = time.monotonic_ns() - int(stamp[1])
                Client.delays.append(delay / 1e6)
        if b"[DONE]" in data:
            self.done = True
            Client.ended += 1
            self.transport.close()

    def connection_lost(self, _error):
        pass


def request_for(number, tokens):
    body = json.dumps(
        {
            "model": "model",
            "prompt": f"ref:{number}",
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    return (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer bench\r\nContent-Type: application/json\r\n"
        b"X-Deadline-Ms: 600000\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    ) + body


async def main(address, streams, tokens, report):
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    for number in range(streams):
        request = request_for(number, tokens)
        await loop.create_connection(
            lambda request=request: Client(request), host, int(port)
        )
        if number % 20 == 19:
            await asyncio.sleep(0.02)
    while Client.ended < streams:
        await asyncio.sleep(0.1)
        delays = sorted(Client.delays[-50_000:])
        state = {
            "tokens": Client.tokens,
            "ended": Client.ended,
            "p50_ms": delays[len(delays) // 2] if delays else 0,
            "p99_ms": delays[int(len(delays) * 0.99)] if delays else 0,
        }
        with open(f"{report}.new", "w", encoding="utf-8") as file:
            json.dump(state, file)
        os.replace(f"{report}.new", report)


if __name__ == "__main__":
    asyncio.run(
        main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4])
    )
