"""Frames and links: fuzzed bytes, silent peers, replaced connections."""

import asyncio
import socket

import hypothesis
import hypothesis.strategies as st
import pytest
import virtual

from _arbutuswalk.wire import codec
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class TestCodec:
    def test_round_trip(self):
        message = ttypes.Submit(command=b"\x00\xff")
        data = codec.encode(7, message, reply=False)
        assert codec.decode(data[4:]) == (7, False, message)

    @hypothesis.given(st.binary(max_size=300))
    def test_any_bytes_give_an_outcome(self, data):
        decoded = codec.decode(data)
        assert isinstance(decoded, tuple | codec.BadFrame)

    @hypothesis.given(st.data())
    def test_any_damage_gives_an_outcome(self, data):
        message = ttypes.VoteRequest(
            term=1, candidate="c", last_index=2, last_term=3, trial=True
        )
        frame = bytearray(codec.encode(9, message, reply=False)[4:])
        for _ in range(data.draw(st.integers(1, 4))):
            at = data.draw(st.integers(0, len(frame) - 1))
            frame[at] = data.draw(st.integers(0, 255))
        cut = data.draw(st.integers(0, len(frame)))
        decoded = codec.decode(bytes(frame[:cut]))
        assert isinstance(decoded, tuple | codec.BadFrame)

    def test_missing_required_field_is_refused(self):
        frame = ttypes.Frame(
            call=1, reply=False, body=ttypes.Body(submit=ttypes.Submit())
        )
        decoded = codec.decode(codec.encode_struct(frame))
        assert isinstance(decoded, codec.BadFrame)

    def test_two_messages_in_a_frame_are_refused(self):
        body = ttypes.Body(ping=ttypes.Ping(), dump=ttypes.Dump())
        frame = ttypes.Frame(call=1, reply=False, body=body)
        decoded = codec.decode(codec.encode_struct(frame))
        assert isinstance(decoded, codec.BadFrame)


async def echo(message):
    if message.command == b"slow":
        await asyncio.sleep(30)
    return ttypes.SubmitReply(status=ttypes.Status.OK, result=message.command)


@pytest.fixture
async def server():
    made = link.LinkServer(address=free_address(), handler=echo)
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def client(server):
    made = link.Link(address=server.address)
    yield made
    await made.stop()


def submit(text):
    return ttypes.Submit(command=text)


class TestLink:
    async def test_answers_come_to_their_callers(self, client):
        calls = [client.call(submit(b"%d" % i), timeout_s=5) for i in range(50)]
        replies = await asyncio.gather(*calls)
        assert [r.result for r in replies] == [b"%d" % i for i in range(50)]

    async def test_slow_answer_times_out_and_others_pass(self, client):
        slow = asyncio.ensure_future(
            client.call(submit(b"slow"), timeout_s=0.2)
        )
        quick = await client.call(submit(b"quick"), timeout_s=5)
        assert quick.result == b"quick"
        assert isinstance(await slow, link.TimedOut)

    async def test_nobody_there(self):
        client = link.Link(address=free_address())
        reply = await client.call(submit(b"x"), timeout_s=1)
        assert isinstance(reply, link.LinkDown)
        assert not reply.sent
        await client.stop()

    def test_a_lost_first_packet_costs_a_quarter_of_a_second(self, monkeypatch):
        """The kernel's own next try comes after one second."""
        loop = virtual.VirtualLoop()

        async def hang(host, port):
            await asyncio.sleep(3600)

        async def measure():
            asked = link.Link(address="127.0.0.1:1", now=loop.time)
            times = []
            for _ in range(4):
                began = loop.time()
                assert isinstance(await asked.open(), link.LinkDown)
                times.append(round(loop.time() - began, 3))
            return times

        monkeypatch.setattr(asyncio, "open_connection", hang)
        assert loop.run_until_complete(measure()) == [0.25, 0.5, 1.0, 1.0]
        virtual.close(loop)

    @pytest.mark.parametrize("address", ["l", "", "127.0.0.1", "127.0.0.1:x"])
    async def test_an_address_that_is_none_is_a_link_that_is_down(
        self, address
    ):
        """Another entry's registration named one; syncing ended over it."""
        asked = link.Link(address=address)
        reply = await asked.call(ttypes.Dump(), timeout_s=1)
        assert isinstance(reply, link.LinkDown)

    async def test_connection_lost_before_its_socket_is_set_up(
        self, client, monkeypatch
    ):
        """Found by the soak, seed 1036: the error ended a watch for good."""

        def fail(_):
            raise OSError(9, "Bad file descriptor")

        monkeypatch.setattr(link.sockets, "detect_silence", fail)
        reply = await client.call(ttypes.Dump(), timeout_s=1)
        assert isinstance(reply, link.LinkDown)

    async def test_lost_connection_fails_calls_at_once(self, client, server):
        waiting = asyncio.ensure_future(
            client.call(submit(b"slow"), timeout_s=30)
        )
        await asyncio.sleep(0.05)
        await server.stop()
        reply = await asyncio.wait_for(waiting, 5)
        assert isinstance(reply, link.LinkDown)
        assert reply.sent

    async def test_garbage_closes_the_connection_alone(self, client, server):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(codec.LENGTH.pack(5) + b"trash")
        assert await reader.read() == b""
        writer.close()
        reply = await client.call(submit(b"still here"), timeout_s=5)
        assert reply.result == b"still here"

    async def test_oversized_frame_is_refused(self, server):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(codec.LENGTH.pack(codec.MAX_FRAME_BYTES + 1))
        assert await reader.read() == b""
        writer.close()

    async def test_silent_connection_is_replaced(self, monkeypatch):
        monkeypatch.setattr(link, "HEARTBEAT_S", 0.02)
        monkeypatch.setattr(link, "SILENCE_LIMIT_S", 0.1)
        address = free_address()
        host, _, port = address.rpartition(":")

        async def say_nothing(reader, writer):
            await reader.read()
            writer.close()

        silent = await asyncio.start_server(say_nothing, host, int(port))
        client = link.Link(address=address)
        reply = await client.call(submit(b"x"), timeout_s=20)
        assert isinstance(reply, link.LinkDown)
        assert reply.reason == "silent"
        assert client.writer is None
        await client.stop()
        silent.close()
