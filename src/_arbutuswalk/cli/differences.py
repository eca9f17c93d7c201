"""A readable difference between two inventories."""

from typing import Any


def describe(old: dict[str, Any] | None, new: dict[str, Any]) -> list[str]:
    """Returns one line for each changed value, by its path."""
    before = _flatten("", old or {})
    after = _flatten("", new)
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path not in before:
            lines.append(f"+ {path} = {after[path]!r}")
        elif path not in after:
            lines.append(f"- {path} = {before[path]!r}")
        elif before[path] != after[path]:
            lines.append(f"~ {path}: {before[path]!r} -> {after[path]!r}")
    return lines


def _flatten(path: str, value: Any) -> dict[str, Any]:
    if isinstance(value, dict):
        items = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list) and all(
        isinstance(item, dict) and "name" in item for item in value
    ):
        items = [(item["name"], item) for item in value]
    else:
        return {path: value}
    flat: dict[str, Any] = {}
    for key, item in items:
        flat.update(_flatten(f"{path}.{key}" if path else key, item))
    return flat
