"""The public package imports and names what it says."""

import arbutuswalk


class TestPublicPackage:
    def test_names_exist(self):
        missing = [
            n for n in arbutuswalk.__all__ if not hasattr(arbutuswalk, n)
        ]
        assert missing == []
