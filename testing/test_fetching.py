"""Fetching large route configurations in parts from one control member."""

import pytest

from _arbutuswalk.relay import config_fetch
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

PART_BYTES = 10
CONFIG = {"version": 7, "routes": [f"r{i}" for i in range(20)]}


class FakeMember:
    """A fake control member that is also the link to it."""

    def __init__(self, name, version=7, values=None, failing_calls=()):
        self.address = name
        self.link = self
        self.connected = True
        self.routes_version = version
        self.held_version = version
        self.data = compressed_json.encode(values or CONFIG)
        self.failing_calls = set(failing_calls)
        self.requested_offsets = []

    async def call(self, message, *, timeout_s):
        self.requested_offsets.append(message.offset)
        if len(self.requested_offsets) in self.failing_calls:
            return link.TimedOut(after_s=timeout_s)
        end = message.offset + PART_BYTES
        return ttypes.RoutesPart(
            version=self.held_version,
            size=len(self.data),
            data=self.data[message.offset : end],
        )


class FakeEntry:
    """Records the configurations that an entry puts into use."""

    def __init__(self, version=3):
        self.version = version
        self.applied = []

    def apply_config(self, values, source):
        self.version = values["version"]
        self.applied.append((values, source))


async def fetch(entry, *members):
    await config_fetch.fetch(
        lambda: members, lambda: entry.version, entry.apply_config
    )


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(config_fetch, "RETRY_INTERVAL_S", 0.0)


class TestFetch:
    async def test_only_one_member_is_asked(self):
        entry, members = (
            FakeEntry(),
            [FakeMember("a"), FakeMember("b"), FakeMember("c")],
        )
        await fetch(entry, *members)
        assert entry.applied == [(CONFIG, "a")]
        assert [len(member.requested_offsets) > 0 for member in members] == [
            True,
            False,
            False,
        ]

    async def test_another_member_continues_where_one_fails(self):
        entry = FakeEntry()
        members = [
            FakeMember("a", failing_calls=range(3, 1000)),
            FakeMember("b"),
        ]
        await fetch(entry, *members)
        assert entry.applied == [(CONFIG, "b")]
        assert members[1].requested_offsets[0] == 2 * PART_BYTES

    async def test_a_newer_version_restarts_the_fetch(self):
        entry, member = FakeEntry(), FakeMember("a")
        newer = {"version": 9, "routes": ["x" * 50]}
        original_call = member.call

        async def call(message, *, timeout_s):
            if message.offset == 2 * PART_BYTES:
                member.held_version = 9
                member.data = compressed_json.encode(newer)
            return await original_call(message, timeout_s=timeout_s)

        member.call = call
        await fetch(entry, member)
        assert entry.applied == [(newer, "a")]

    async def test_a_lagging_member_is_skipped(self):
        entry = FakeEntry()
        lagging = FakeMember("a")
        lagging.held_version = 3
        await fetch(entry, lagging, FakeMember("b"))
        assert entry.applied == [(CONFIG, "b")]

    async def test_a_member_that_fails_is_asked_again_if_it_is_alone(self):
        entry, member = FakeEntry(), FakeMember("a", failing_calls=(1, 2, 4))
        await fetch(entry, member)
        assert entry.applied == [(CONFIG, "a")]

    async def test_undecodable_bytes_are_not_applied(self):
        entry, broken = FakeEntry(), FakeMember("a")
        broken.data = b"\x00" * len(broken.data)
        await fetch(entry, broken, FakeMember("b"))
        assert entry.applied == [(CONFIG, "b")]

    async def test_it_ends_when_no_member_has_a_newer_version(self):
        entry, disconnected = FakeEntry(), FakeMember("a")
        disconnected.connected = False
        await fetch(entry, disconnected, FakeMember("b", version=3))
        assert entry.applied == []


class TestEncoding:
    def test_a_value_round_trips(self):
        assert compressed_json.decode(compressed_json.encode(CONFIG)) == CONFIG

    @pytest.mark.parametrize(
        "data",
        [
            pytest.param(b"", id="empty"),
            pytest.param(b"{}", id="not-packed"),
            pytest.param(compressed_json.encode(CONFIG)[:-1], id="cut"),
        ],
    )
    def test_invalid_bytes_are_rejected(self, data):
        with pytest.raises(ValueError, match=r".+"):
            compressed_json.decode(data)

    def test_data_over_the_size_limit_is_rejected(self, monkeypatch):
        monkeypatch.setattr(compressed_json, "MAX_DECOMPRESSED_BYTES", 100)
        with pytest.raises(ValueError, match="over 100 bytes"):
            compressed_json.decode(compressed_json.encode("x" * 1000))
