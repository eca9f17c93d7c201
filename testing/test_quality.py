"""Tests of the source: layers, event catalogue, file length, imports."""

import ast
import gc
import pathlib
import re

import pytest

from _arbutuswalk.base import events

ROOT = pathlib.Path(__file__).parent.parent
SOURCE_FOLDER = ROOT / "src" / "_arbutuswalk"
LAYERS = [
    {"base"},
    {"wire"},
    {"storage"},
    {"agreement"},
    {"state"},
    {"routing", "limits", "streams"},
    {"control", "entry", "relay"},
    {"cli", "load", "standin"},
]
MAX_FILE_LINES = 400


def source_modules():
    return sorted(
        path
        for path in SOURCE_FOLDER.rglob("*.py")
        if "gen" not in path.parts and path.name != "__init__.py"
    )


def parse(path):
    """Returns the syntax tree of a source file.

    Python 3.11 raises SystemError if a finalizer that garbage collection runs
    meanwhile fails, such as that of a connection left by another test.
    """
    text = path.read_text()
    gc.disable()
    try:
        return ast.parse(text)
    finally:
        gc.enable()


def layer_index(package):
    for index, packages in enumerate(LAYERS):
        if package in packages:
            return index
    raise AssertionError(f"{package} is in no layer")


def imported_packages(path):
    for node in ast.walk(parse(path)):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "_arbutuswalk" and len(parts) > 1:
                yield parts[1]


class TestLayers:
    @pytest.mark.parametrize(
        "path", source_modules(), ids=lambda p: f"{p.parent.name}.{p.stem}"
    )
    def test_imports_go_to_lower_layers(self, path):
        package = path.relative_to(SOURCE_FOLDER).parts[0]
        package_layer = layer_index(package)
        for imported in imported_packages(path):
            if imported != package:
                assert layer_index(imported) <= package_layer, imported

    @pytest.mark.parametrize(
        "package", ["agreement", "state", "routing", "limits"]
    )
    def test_decisions_read_no_clock_and_do_no_io(self, package):
        for path in (SOURCE_FOLDER / package).glob("*.py"):
            imported_names = {
                alias.name.split(".")[0]
                for node in ast.walk(parse(path))
                if isinstance(node, ast.Import)
                for alias in node.names
            }
            assert not imported_names & {
                "time",
                "asyncio",
                "aiohttp",
                "os",
                "socket",
            }


class TestCatalogue:
    def test_events_match_their_documentation(self):
        catalogue = (ROOT / "docs" / "events.md").read_text()
        documented_messages = dict(
            re.findall(r"^\| E(\d+) \| `([^`]+)` \|", catalogue, re.M)
        )
        messages = {str(event.number): event.message for event in events.Event}
        assert documented_messages == messages

    def test_numbers_are_unique(self):
        numbers = [event.number for event in events.Event]
        assert len(numbers) == len(set(numbers))


class TestSource:
    @pytest.mark.parametrize(
        "path", source_modules(), ids=lambda p: f"{p.parent.name}.{p.stem}"
    )
    def test_files_have_limited_length(self, path):
        assert len(path.read_text().splitlines()) <= MAX_FILE_LINES

    def test_modules_are_imported_not_names(self):
        allowed_modules = {"typing", "collections.abc"}
        for path in source_modules():
            for node in ast.walk(parse(path)):
                if not isinstance(node, ast.ImportFrom):
                    continue
                for alias in node.names:
                    is_class = alias.name[0].isupper()
                    # modules of the thrift package have capitalized names
                    class_import_allowed = node.module.split(".")[0] == "thrift"
                    class_import_allowed |= node.module in allowed_modules
                    assert not is_class or class_import_allowed, path
