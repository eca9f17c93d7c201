"""A fast fake engine: streams stamped tokens, spends little on each."""

import asyncio
import re
import sys
import time

LENGTH = re.compile(rb"content-length: (\d+)", re.I)
ATTEMPT = re.compile(rb"x-attempt-id: ([0-9a-f]+)", re.I)
MOST = re.compile(rb'"max_tokens": (\d+)')
GAP_S = 1 / 16
TICKS = 25


class Server(asyncio.Protocol):
    """One connection."""

    streams = [[] for _ in range(TICKS)]
    next_slot = 0

    def connection_made(self, transport):
        self.transport = transport
        self.data = b""
        self.left = 0

    def connection_lost(self, _error):
        self.left = 0

    def data_received(self, data):
        self.data += data
        head, separator, body = self.data.partition(b"\r\n\r\n")
        if not separator:
            return
        length = LENGTH.search(head)
        if length and len(body) < int(length.group(1)):
            return
        self.data = b""
        self.begin(head, body)

    def begin(self, head, body):
        attempt = ATTEMPT.search(head)
        self.left = int(MOST.search(body).group(1))
        echo = attempt.group(1) if attempt else b""
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Attempt-Id: " + echo + b"\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        slot = Server.next_slot % TICKS
        Server.next_slot += 1
        Server.streams[slot].append(self)

    def emit(self):
        stamp = b"%d" % time.monotonic_ns()
        event = (
            b'data: {"choices":[{"index":0,"text":" word"}],"t":"@'
            + stamp
            + b'@"}\n\n'
        )
        self.left -= 1
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        if self.left <= 0:
            done = b"data: [DONE]\n\n"
            chunk += b"%x\r\n%b\r\n0\r\n\r\n" % (len(done), done)
        self.transport.write(chunk)


async def main(address):
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(Server, host, int(port), backlog=4096)
    due, slot = loop.time(), 0
    while True:
        due += GAP_S / TICKS
        await asyncio.sleep(max(0, due - loop.time()))
        streams = Server.streams[slot]
        for stream in streams:
            stream.emit()
        Server.streams[slot] = [s for s in streams if s.left > 0]
        slot = (slot + 1) % TICKS


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
