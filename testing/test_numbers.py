"""Numbers in headers and events that are too large, or only look like some."""

import pytest
import relay_fixtures
import test_answer_ends
import test_platform_front
from arbutuswalk_platform import headers

from _arbutuswalk.base import digits
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import sse
from _arbutuswalk.streams import framing

NUMBERS = {
    "400 digits": b"9" * 400,
    "5000 digits": b"9" * 5000,
    "other digits": "٣".encode(),
    "zeros": b"0" * 5000,
}
SUPERSCRIPT = "²".encode("latin-1")
ALL_NUMBERS = pytest.mark.parametrize(
    "number", list(NUMBERS.values()), ids=list(NUMBERS)
)


def request_with(header):
    return test_platform_front.VALID_REQUEST.replace(
        b"X-Key: key", b"X-Key: key\r\n" + header
    )


class TestRequests:
    @ALL_NUMBERS
    @pytest.mark.parametrize(
        "header",
        [
            b"X-Model-Name: m\r\nX-Token-Count: %b,80",
            b"X-Model-Name: m\r\nX-Token-Count: 80,%b",
            b"X-Model-Name: m\r\nX-Prefix-Hash: 5c:%b,91:410",
        ],
        ids=["tokens in", "tokens out", "part"],
    )
    async def test_no_number_of_a_prompt_breaks_one(self, header, number):
        """Guards against 500 for requests that an endpoint could serve."""
        async with test_platform_front.RunningEntry() as running_entry:
            data = request_with(header.replace(b"%b", number))
            status, _ = await running_entry.send_request(data)
            assert status == 200

    @ALL_NUMBERS
    async def test_no_deadline_breaks_one(self, number):
        async with test_platform_front.RunningEntry() as running_entry:
            data = test_platform_front.VALID_REQUEST.replace(
                b"X-Deadline-Ms: 1000", b"X-Deadline-Ms: " + number
            )
            status, _ = await running_entry.send_request(data)
            assert status == (503 if set(number) == {ord("0")} else 200)

    def test_counts_and_parts_that_only_look_like_numbers_are_skipped(self):
        prompt = headers.read_prompt(
            [
                (b"x-model-name", b"m"),
                (b"x-token-count", SUPERSCRIPT + b",80"),
                (b"x-prefix-hash", b"5c:%b,91:410" % SUPERSCRIPT),
            ]
        )
        assert (prompt.tokens_in, prompt.tokens_out) == (0, 80)
        assert prompt.parts == (requests.Part("91", 410),)


class TestStreams:
    @pytest.mark.parametrize(
        "number",
        [*NUMBERS.values(), SUPERSCRIPT],
        ids=[*NUMBERS, "superscript"],
    )
    async def test_no_event_id_breaks_one(self, number):
        body = b"id: 1\ndata: 1\n\nid: %b\ndata: 2\n\n" % number
        step = relay_fixtures.send_bytes(test_answer_ends.frame_by_length(body))
        received, _ = await test_answer_ends.play(
            test_answer_ends.RESUMABLE_ROUTE, step
        )
        assert received.status == 200
        assert received.complete
        assert (b"data: 2" in received.body) == (set(number) != {ord("0")})

    @pytest.mark.parametrize(
        ("event_id", "last_id", "is_newer"),
        [
            ("10", "9", True),
            ("9", "10", False),
            ("010", "9", True),
            ("9" * 5000, "9" * 4999, True),
            ("9" * 4999, "9" * 5000, False),
            ("7", "7", False),
            ("²", "7", True),
        ],
    )
    def test_ids_of_any_size_are_ordered(self, event_id, last_id, is_newer):
        assert sse.is_newer(event_id, last_id) is is_newer

    @pytest.mark.parametrize(
        ("text", "parsed"),
        [
            ("r:7", ("r", 7)),
            ("r:²", None),
            ("r:" + "9" * 5000, ("r", digits.MAX_NUMBER)),
            ("r:", None),
            ("7", None),
        ],
    )
    def test_no_last_event_id_breaks_a_resumption(self, text, parsed):
        assert framing.parse_event_id(text) == parsed


class TestParse:
    @pytest.mark.parametrize(
        ("text", "number"),
        [
            ("", None),
            ("-1", None),
            ("1.5", None),
            ("0", 0),
            ("00080", 80),
            ("9" * digits.MAX_DIGITS, digits.MAX_NUMBER - 1),
            ("1" + "0" * digits.MAX_DIGITS, digits.MAX_NUMBER),
            ("9" * 5000, digits.MAX_NUMBER),
        ],
    )
    def test_texts_and_bytes_are_parsed_alike(self, text, number):
        assert digits.parse(text) == number
        assert digits.parse(text.encode()) == number
