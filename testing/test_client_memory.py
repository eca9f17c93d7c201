"""Decisions on the memory and the connections of clients."""

import pytest
from arbutuswalk_platform import control

from _arbutuswalk.wire import client_memory

CONNECTION = client_memory.CONNECTION_BYTES


class Connection:
    """A connection that records why it gave way."""

    def __init__(self, is_at_work=False, is_idle=None):
        self.held_bytes = 0
        self.is_at_work = is_at_work
        self.is_idle = not is_at_work if is_idle is None else is_idle
        self.reason = ""

    def give_way(self, reason):
        self.reason = reason


def make_account(memory_bytes=100 * CONNECTION, connections=3):
    limits = client_memory.Limits(memory_bytes, connections, 1)
    return client_memory.Account(limits=limits)


class TestLimits:
    def test_they_follow_the_settings(self):
        limits = client_memory.derive_limits(300, 4100)
        assert limits.memory_bytes == 150 * 1024 * 1024
        assert (limits.connections, limits.backlog) == (2050, 1024)
        assert limits.max_body_bytes > 4 * 1024 * 1024

    def test_defaults_hold_where_the_settings_state_nothing(self):
        limits = client_memory.derive_limits()
        assert limits.memory_bytes == 512 * 1024 * 1024
        assert limits.connections > 0

    def test_few_descriptors_leave_room_for_one_connection(self):
        limits = client_memory.derive_limits(300, 1)
        assert (limits.connections, limits.backlog) == (1, 1)

    def test_control_keeps_descriptors_for_its_folder(self):
        """The platform reserves 200 of at least 4,096 for files."""
        clients = control.CONNECTION_SHARE * (1 + client_memory.LINGERING_SHARE)
        assert clients + control.LINK_SHARE <= 1 - 200 / 4096


class TestMemory:
    def test_the_connection_that_holds_most_gives_way(self):
        account = make_account()
        large, small = Connection(), Connection()
        for connection, held in ((large, 90), (small, 1)):
            assert account.open(connection)
            account.charge(connection, held * CONNECTION)
        account.charge(small, 10 * CONNECTION)
        assert large.reason
        assert not small.reason
        assert account.held_bytes == small.held_bytes == 12 * CONNECTION

    def test_one_that_exceeds_the_limit_alone_gives_way(self):
        account = make_account()
        connection = Connection()
        account.open(connection)
        account.charge(connection, 100 * CONNECTION)
        assert connection.reason
        assert account.held_bytes == 0

    def test_one_that_gave_way_is_not_charged_again(self):
        account = make_account()
        connection = Connection()
        account.open(connection)
        account.close(connection)
        account.charge(connection, CONNECTION)
        account.close(connection)
        assert (account.held_bytes, connection.held_bytes) == (0, 0)

    def test_running_requests_are_broken_off_last(self):
        account = make_account()
        running, newcomer = Connection(True), Connection()
        for connection, held in ((running, 80), (newcomer, 30)):
            account.open(connection)
            account.charge(connection, held * CONNECTION)
        assert newcomer.reason
        assert not running.reason

    def test_many_small_ones_do_not_keep_out_ordinary_ones(self):
        account = make_account(connections=100)
        crowd = [Connection() for _ in range(50)]
        for connection in crowd:
            account.open(connection)
            account.charge(connection, CONNECTION - 1000)
        ordinary = Connection()
        account.open(ordinary)
        account.charge(ordinary, 2 * CONNECTION)
        assert not ordinary.reason
        assert crowd[0].reason


class TestConnections:
    def test_one_whose_answer_is_unread_gives_way_after_idle_ones(self):
        account = make_account()
        unread, idle = Connection(is_idle=False), Connection()
        busy = Connection(True)
        for connection in (unread, idle, busy):
            account.open(connection)
        assert account.open(Connection(True))
        assert idle.reason
        assert not unread.reason
        assert account.open(Connection(True))
        assert unread.reason
        assert not account.open(Connection(True))

    def test_the_one_that_was_idle_longest_gives_way(self):
        account = make_account()
        first, busy, last = Connection(), Connection(True), Connection()
        for connection in (busy, first, last):
            account.open(connection)
        account.mark_used(first)
        new = Connection()
        assert account.open(new)
        assert last.reason
        assert not (first.reason or busy.reason or new.reason)

    def test_a_new_one_is_refused_beside_busy_ones(self):
        account = make_account()
        for _ in range(3):
            account.open(Connection(is_at_work=True))
        assert not account.open(Connection())
        assert len(account.holders) == 3

    @pytest.mark.parametrize("connections", [4, 40])
    def test_a_share_of_refused_ones_may_linger(self, connections):
        account = make_account(connections=connections)
        lingering = [account.start_lingering() for _ in range(connections)]
        assert sum(lingering) == connections // 4
        account.end_lingering()
        assert account.start_lingering()
