"""Addresses that cannot be connected to."""

import pytest
import test_odd_entries
from arbutuswalk_platform import headers

from _arbutuswalk.streams import pool
from _arbutuswalk.wire import link


class TestConnections:
    @pytest.mark.parametrize(
        "address",
        [
            *(
                value
                for value in test_odd_entries.NO_TEXTS
                if isinstance(value, str)
            ),
            *(f"127.0.0.1:{port}" for port in test_odd_entries.ODD_PORTS),
            "127.0.0.1",
            "127.0.0.01:1",
            "::1:1",
            "[::1]:1",
            "runner.example:1",
        ],
        ids=test_odd_entries.name_case,
    )
    async def test_no_address_raises_an_error(self, address):
        opened = await pool.connect(
            address, read_reply=headers.interpret_response, timeout_s=0.5
        )
        assert opened == pool.NotOpened(reason="not IP:port", refused=False)

    @pytest.mark.parametrize("port", test_odd_entries.ODD_PORTS)
    async def test_no_port_of_a_process_raises_an_error(self, port):
        failed = await link.Link(address=f"127.0.0.1:{port}").open()
        assert isinstance(failed, link.LinkDown)
