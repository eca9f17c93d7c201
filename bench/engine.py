"""A fake engine that streams timestamped tokens at low processor cost.

The streams are spread over the ticks of each token gap, so that their tokens
are not sent in one burst.
"""

import asyncio
import re
import sys
import time

CONTENT_LENGTH_PATTERN = re.compile(rb"content-length: (\d+)", re.I)
ATTEMPT_ID_PATTERN = re.compile(rb"x-attempt-id: ([0-9a-f]+)", re.I)
MAX_TOKENS_PATTERN = re.compile(rb'"max_tokens": (\d+)')
TOKEN_GAP_S = 1 / 16
TICKS_PER_TOKEN_GAP = 25


class StreamConnection(asyncio.Protocol):
    """A connection that streams the tokens of its current request."""

    streams_by_tick = [[] for _ in range(TICKS_PER_TOKEN_GAP)]
    next_tick = 0

    def connection_made(self, transport):
        self.transport = transport
        self.buffer = b""
        self.tokens_left = 0

    def connection_lost(self, _error):
        self.tokens_left = 0

    def data_received(self, data):
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        content_length = CONTENT_LENGTH_PATTERN.search(head)
        if content_length and len(body) < int(content_length.group(1)):
            return
        self.buffer = b""
        self.start_stream(head, body)

    def start_stream(self, head, body):
        attempt_match = ATTEMPT_ID_PATTERN.search(head)
        self.tokens_left = int(MAX_TOKENS_PATTERN.search(body).group(1))
        attempt_id = attempt_match.group(1) if attempt_match else b""
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Attempt-Id: " + attempt_id + b"\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        tick = StreamConnection.next_tick % TICKS_PER_TOKEN_GAP
        StreamConnection.next_tick += 1
        StreamConnection.streams_by_tick[tick].append(self)

    def send_token(self):
        timestamp_ns = b"%d" % time.monotonic_ns()
        event = (
            b'data: {"choices":[{"index":0,"text":" word"}],"t":"@'
            + timestamp_ns
            + b'@"}\n\n'
        )
        self.tokens_left -= 1
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        if self.tokens_left <= 0:
            done = b"data: [DONE]\n\n"
            chunk += b"%x\r\n%b\r\n0\r\n\r\n" % (len(done), done)
        self.transport.write(chunk)


async def main(address):
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(StreamConnection, host, int(port), backlog=4096)
    next_tick_at, tick = loop.time(), 0
    while True:
        next_tick_at += TOKEN_GAP_S / TICKS_PER_TOKEN_GAP
        await asyncio.sleep(max(0, next_tick_at - loop.time()))
        active_streams = StreamConnection.streams_by_tick[tick]
        for stream in active_streams:
            stream.send_token()
        StreamConnection.streams_by_tick[tick] = [
            unfinished
            for unfinished in active_streams
            if unfinished.tokens_left > 0
        ]
        tick = (tick + 1) % TICKS_PER_TOKEN_GAP


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
