"""Opens streams to an address; reports token counts and delays as JSON."""

import asyncio
import json
import os
import sys
import time

CHUNKS_PER_SAMPLE = 8


class StreamClient(asyncio.Protocol):
    """One stream; the class attributes sum over all streams.

    The delay of one token is sampled in every ``CHUNKS_PER_SAMPLE``-th chunk.
    """

    token_count = 0
    ended_count = 0
    delays_ms = []
    chunk_count = 0

    def __init__(self, request):
        self.request = request
        self.done = False

    def connection_made(self, transport):
        self.transport = transport
        transport.write(self.request)

    def data_received(self, data):
        event_count = data.count(b"data: {")
        StreamClient.token_count += event_count
        StreamClient.chunk_count += 1
        if event_count and StreamClient.chunk_count % CHUNKS_PER_SAMPLE == 0:
            stamp_parts = data.split(b"@", 2)
            if len(stamp_parts) == 3:
                delay_ns = time.monotonic_ns() - int(stamp_parts[1])
                StreamClient.delays_ms.append(delay_ns / 1e6)
        if b"[DONE]" in data:
            self.done = True
            StreamClient.ended_count += 1
            self.transport.close()

    def connection_lost(self, _error):
        pass


def make_request(number, max_tokens):
    body = json.dumps(
        {
            "model": "model",
            "prompt": f"ref:{number}",
            "max_tokens": max_tokens,
            "stream": True,
        }
    ).encode()
    return (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer bench\r\nContent-Type: application/json\r\n"
        b"X-Deadline-Ms: 600000\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    ) + body


async def main(address, stream_count, tokens_per_stream, report_path):
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    for number in range(stream_count):
        request = make_request(number, tokens_per_stream)
        await loop.create_connection(
            lambda request=request: StreamClient(request), host, int(port)
        )
        if number % 20 == 19:
            await asyncio.sleep(0.02)
    while StreamClient.ended_count < stream_count:
        await asyncio.sleep(0.1)
        recent_delays_ms = sorted(StreamClient.delays_ms[-50_000:])
        counts = {
            "tokens": StreamClient.token_count,
            "ended": StreamClient.ended_count,
            "p50_ms": recent_delays_ms[len(recent_delays_ms) // 2]
            if recent_delays_ms
            else 0,
            "p99_ms": recent_delays_ms[int(len(recent_delays_ms) * 0.99)]
            if recent_delays_ms
            else 0,
        }
        with open(f"{report_path}.new", "w", encoding="utf-8") as file:
            json.dump(counts, file)
        os.replace(f"{report_path}.new", report_path)


if __name__ == "__main__":
    asyncio.run(
        main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4])
    )
