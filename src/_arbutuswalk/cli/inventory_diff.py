"""Line-by-line difference between two inventories."""

from typing import Any


def diff_inventories(
    old: dict[str, Any] | None, new: dict[str, Any]
) -> list[str]:
    """Returns one line for each added, removed or changed value, by path."""
    old_values = _flatten("", old or {})
    new_values = _flatten("", new)
    changes = []
    for path in sorted(old_values.keys() | new_values.keys()):
        if path not in old_values:
            changes.append(f"+ {path} = {new_values[path]!r}")
        elif path not in new_values:
            changes.append(f"- {path} = {old_values[path]!r}")
        elif old_values[path] != new_values[path]:
            changes.append(
                f"~ {path}: {old_values[path]!r} -> {new_values[path]!r}"
            )
    return changes


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
