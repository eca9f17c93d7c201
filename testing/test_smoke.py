"""The public package can be imported and defines its exported names."""

import arbutuswalk


class TestPublicPackage:
    def test_exported_names_exist(self):
        missing_names = [
            name
            for name in arbutuswalk.__all__
            if not hasattr(arbutuswalk, name)
        ]
        assert missing_names == []
