"""Slots of brittle endpoints that the leader gives out."""

import asyncio

import pytest
import test_duties

from _arbutuswalk.control import slot_issuer
from _arbutuswalk.limits import slots
from _arbutuswalk.routing import leaving
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import slot_messages
from _arbutuswalk.wire.gen.arbutus import ttypes

START = leaving.Start("i", 1)


def make_book(**options):
    return slots.SlotBook(
        **{"slots": 3, "rejections_per_s": 5.0, "now": 0.0, **options}
    )


def grant(book, count, now=0.0, reported=None):
    """Gives out up to ``count`` slots; returns how many."""
    granted = 0
    while granted < count and book.has_room(reported or {}, now):
        book.grant(f"l{now}-{granted}", "e", 10.0, reported or {}, now)
        granted += 1
    return granted


class TestSlotBook:
    def test_it_gives_out_no_more_than_the_slots(self):
        assert grant(make_book(), 9) == 3

    def test_requests_without_a_lease_occupy_slots(self):
        book = make_book()
        book.record_unleased("e1", 1)
        assert grant(book, 9, reported={"e2": 1}) == 1

    def test_what_an_entry_says_itself_counts_instead_of_its_report(self):
        book = make_book()
        book.record_unleased("e1", 0)
        assert grant(book, 9, reported={"e1": 3}) == 3

    def test_a_lease_ends_when_it_expires(self):
        book = make_book()
        grant(book, 3)
        assert not book.has_room({}, 9.9)
        assert book.has_room({}, 10.0)

    def test_a_request_that_was_given_up_lingers(self):
        book = make_book(slots=1)
        grant(book, 1)
        book.end("l0.0-0", 1.0, 5.0)
        assert not book.has_room({}, 5.9)
        assert book.has_room({}, 6.0)

    def test_a_rejection_lowers_the_bound_to_what_was_accepted(self):
        book = make_book()
        grant(book, 2)
        grant(book, 1, now=1.0)
        book.end("l1.0-0", 0.0, 1.01)
        book.record_rejection({}, 1.01)
        assert not book.has_room({}, 1.1)

    def test_the_bound_is_raised_after_a_time(self):
        book = make_book()
        grant(book, 2)
        book.record_rejection({}, 1.0)
        assert not book.has_room({}, 2.4)
        assert book.has_room({}, 2.5)

    @pytest.mark.parametrize("rejections_per_s", [0, 1, 2])
    def test_one_request_is_risked_at_a_time(self, rejections_per_s):
        book = make_book(slots=9, rejections_per_s=rejections_per_s)
        book.record_rejection({}, 0.0)
        assert grant(book, 9, now=13.0) == 1 + 1
        assert grant(book, 9, now=13.01) == 0
        assert grant(book, 9, now=13.1) == 1

    def test_rejections_and_risks_of_a_second_stay_below_the_limit(self):
        book = make_book(slots=9, rejections_per_s=5.0)
        book.record_rejection({}, 0.0)
        assert grant(book, 9, now=30.0) == 1 + 4

    def test_a_new_process_of_an_entry_begins_with_nothing(self):
        book = make_book()
        grant(book, 2)
        book.record_unleased("e", 1)
        book.remove_entry("e")
        assert grant(book, 9) == 3


def make_issuer():
    components = test_duties.make_components()
    issuer = slot_issuer.SlotIssuer(discovery=components.discovery)
    return issuer, components.member


def make_ask(lease_id, *, slot_count=1, max_wait_s=0.0, endpoints=("i",)):
    return slot_messages.Ask(
        lease_id,
        10.0,
        max_wait_s,
        tuple(
            slot_messages.Candidate(name, 1, slot_count, 5.0)
            for name in endpoints
        ),
    )


async def send(issuer, entry="e1", incarnation=1, **content):
    reply = await issuer.handle(
        ttypes.SlotRequest(
            entry=entry,
            incarnation=incarnation,
            content=slot_messages.encode(slot_messages.Content(**content)),
        )
    )
    return reply.status, reply.endpoint


OK, NOT_LEADER = ttypes.Status.OK, ttypes.Status.NOT_LEADER


class TestSlotIssuer:
    async def test_only_the_holder_of_the_leader_lease_gives_out_slots(self):
        issuer, member = make_issuer()
        member.holds_lease = False
        assert await send(issuer, ask=make_ask("a")) == (NOT_LEADER, "")

    async def test_one_slot_is_given_to_one_entry(self):
        issuer, _ = make_issuer()
        assert await send(issuer, ask=make_ask("a")) == (OK, "i")
        assert await send(issuer, "e2", ask=make_ask("b")) == (OK, "")

    async def test_another_endpoint_is_given_if_the_preferred_is_full(self):
        issuer, _ = make_issuer()
        ask = make_ask("a", endpoints=("i", "j"))
        assert await send(issuer, ask=ask) == (OK, "i")
        ask = make_ask("b", endpoints=("i", "j"))
        assert await send(issuer, ask=ask) == (OK, "j")

    async def test_a_slot_that_ends_goes_to_the_first_that_waits(self):
        issuer, _ = make_issuer()
        await send(issuer, ask=make_ask("a"))
        waiting = [
            asyncio.ensure_future(
                send(issuer, entry, ask=make_ask(entry, max_wait_s=5.0))
            )
            for entry in ("e2", "e3")
        ]
        await asyncio.sleep(0.01)
        await send(issuer, ended=(slot_messages.Ended("a"),))
        assert await waiting[0] == (OK, "i")
        assert not waiting[1].done()
        waiting[1].cancel()
        await asyncio.wait(waiting)
        assert issuer.waiters == {}

    async def test_an_entry_that_gives_up_does_not_wait_any_more(self):
        issuer, _ = make_issuer()
        await send(issuer, ask=make_ask("a"))
        ask = make_ask("b", max_wait_s=5.0)
        waiting = asyncio.ensure_future(send(issuer, "e2", ask=ask))
        await asyncio.sleep(0.01)
        await send(issuer, "e2", ended=(slot_messages.Ended("b"),))
        assert await waiting == (OK, "")

    async def test_a_new_term_counts_what_entries_sent_before(self):
        issuer, member = make_issuer()
        await send(issuer, ask=make_ask("a"))
        member.replica.term += 1
        unleased = (slot_messages.Unleased(*START, 1),)
        ask = make_ask("b")
        assert await send(issuer, ask=ask, unleased=unleased) == (OK, "")

    async def test_a_new_term_awaits_the_reports_of_all_entries(self):
        issuer, member = make_issuer()
        discovery = issuer.discovery
        discovery._record_watch(test_duties.watch(discovery, entry="e2"), 0)
        assert await send(issuer, ask=make_ask("a")) == (OK, "")
        member.time += 0.1
        report = test_duties.watch(discovery, entry="e2", loads={"i": [1, 0]})
        discovery._record_watch(report, 0)
        assert await send(issuer, ask=make_ask("b")) == (OK, "")

    async def test_a_restarted_entry_holds_no_slots(self):
        issuer, _ = make_issuer()
        await send(issuer, ask=make_ask("a"))
        assert await send(issuer, incarnation=2, ask=make_ask("b")) == (OK, "i")

    async def test_endpoints_that_nobody_uses_are_forgotten(self):
        issuer, member = make_issuer()
        await send(issuer, ask=make_ask("a"))
        await send(issuer, ended=(slot_messages.Ended("a"),))
        member.time += 30.0
        issuer.remove_unused()
        assert (issuer.books, issuer.starts) == ({}, {})


class TestMessages:
    def test_content_round_trip(self):
        content = slot_messages.Content(
            (slot_messages.Ended("a", "i", 1, rejected=True, linger_s=1.0),),
            (slot_messages.Unleased("i", 1, 2),),
            make_ask("b"),
        )
        assert slot_messages.decode(slot_messages.encode(content)) == content

    @pytest.mark.parametrize(
        "data", [b"", b"{", b"1", b"[]", b"[1,2,3]", b'[[],[],["a"]]'], ids=str
    )
    def test_other_bytes_are_refused(self, data):
        with pytest.raises(ValueError):
            slot_messages.decode(data)

    @pytest.mark.parametrize(
        "message",
        [
            ttypes.SlotRequest(entry="e", incarnation=2**40, content=b"\xff"),
            ttypes.SlotReply(status=OK, endpoint="i"),
        ],
        ids=lambda message: type(message).__name__,
    )
    def test_frame_round_trip(self, message):
        data = codec.encode(7, message, reply=False)
        assert codec.decode(data[4:]) == (7, False, message)
