"""Large configurations reach an entry over a narrow link, from one member."""

import pytest

from _arbutuswalk.relay import fetching
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

PART_BYTES = 10
TAKEN = {"version": 7, "routes": [f"r{i}" for i in range(20)]}


class Member:
    """A member of control, and the link to it."""

    def __init__(self, name, version=7, values=None, fails=()):
        self.address = name
        self.link = self
        self.answered = True
        self.routes_version = version
        self.held_version = version
        self.data = compressed_json.encode(values or TAKEN)
        self.fails = set(fails)
        self.asked = []

    async def call(self, message, *, timeout_s):
        self.asked.append(message.offset)
        if len(self.asked) in self.fails:
            return link.TimedOut(after_s=timeout_s)
        end = message.offset + PART_BYTES
        return ttypes.RoutesPart(
            version=self.held_version,
            size=len(self.data),
            data=self.data[message.offset : end],
        )


class Entry:
    """What an entry serves."""

    def __init__(self, version=3):
        self.version = version
        self.taken = []

    def take(self, values, source):
        self.version = values["version"]
        self.taken.append((values, source))


async def fetch(entry, *members):
    await fetching.fetch(lambda: members, lambda: entry.version, entry.take)


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(fetching, "PAUSE_S", 0.0)


class TestFetch:
    async def test_only_one_member_sends_it(self):
        entry, members = Entry(), [Member("a"), Member("b"), Member("c")]
        await fetch(entry, *members)
        assert entry.taken == [(TAKEN, "a")]
        assert [len(each.asked) > 0 for each in members] == [True, False, False]

    async def test_another_goes_on_where_one_fails(self):
        entry = Entry()
        members = [Member("a", fails=range(3, 1000)), Member("b")]
        await fetch(entry, *members)
        assert entry.taken == [(TAKEN, "b")]
        assert members[1].asked[0] == 2 * PART_BYTES

    async def test_a_newer_version_in_between_starts_over(self):
        entry, member = Entry(), Member("a")
        newer = {"version": 9, "routes": ["x" * 50]}
        real = member.call

        async def call(message, *, timeout_s):
            if message.offset == 2 * PART_BYTES:
                member.held_version = 9
                member.data = compressed_json.encode(newer)
            return await real(message, timeout_s=timeout_s)

        member.call = call
        await fetch(entry, member)
        assert entry.taken == [(newer, "a")]

    async def test_a_member_that_lags_behind_is_passed_over(self):
        entry = Entry()
        late = Member("a")
        late.held_version = 3
        await fetch(entry, late, Member("b"))
        assert entry.taken == [(TAKEN, "b")]

    async def test_a_member_that_fails_is_asked_again_if_it_is_alone(self):
        entry, member = Entry(), Member("a", fails=(1, 2, 4))
        await fetch(entry, member)
        assert entry.taken == [(TAKEN, "a")]

    async def test_bytes_that_do_not_unpack_are_not_served(self):
        entry, broken = Entry(), Member("a")
        broken.data = b"\x00" * len(broken.data)
        await fetch(entry, broken, Member("b"))
        assert entry.taken == [(TAKEN, "b")]

    async def test_it_ends_when_nobody_has_a_newer_one(self):
        entry, gone = Entry(), Member("a")
        gone.answered = False
        await fetch(entry, gone, Member("b", version=3))
        assert entry.taken == []


class TestPacked:
    def test_a_value_comes_back(self):
        assert compressed_json.decode(compressed_json.encode(TAKEN)) == TAKEN

    @pytest.mark.parametrize(
        "data",
        [
            pytest.param(b"", id="empty"),
            pytest.param(b"{}", id="not-packed"),
            pytest.param(compressed_json.encode(TAKEN)[:-1], id="cut"),
        ],
    )
    def test_other_bytes_are_refused(self, data):
        with pytest.raises(ValueError, match=r".+"):
            compressed_json.decode(data)

    def test_more_than_memory_allows_is_refused(self, monkeypatch):
        monkeypatch.setattr(compressed_json, "MAX_BYTES", 100)
        with pytest.raises(ValueError, match="over 100 bytes"):
            compressed_json.decode(compressed_json.encode("x" * 1000))
