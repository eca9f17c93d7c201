"""``arbutuswalk apply``: makes an inventory the configuration."""

import os
import time
import uuid
from typing import Any

from cleo import helpers

from _arbutuswalk.base import settings
from _arbutuswalk.cli import common
from _arbutuswalk.cli import differences
from _arbutuswalk.cli import remote
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import moves
from _arbutuswalk.state import outcomes

POLL_S = 0.25


class Apply(common.Command):
    """Applies an inventory."""

    name = "apply"
    description = "Make an inventory the configuration"
    arguments = [helpers.argument("inventory", "TOML inventory file")]
    options = [
        common.CONTROL_OPTION,
        common.JSON_OPTION,
        helpers.option(
            "expected",
            "e",
            "revision you edited; default: the current one",
            flag=False,
        ),
        helpers.option(
            "operation",
            "o",
            "id of this operation, the same when you send it again",
            flag=False,
        ),
        helpers.option("operator", None, "who you are", flag=False),
        helpers.option("wait", "w", "wait until it is in force and moved"),
        helpers.option(
            "timeout", "t", "seconds to wait", flag=False, default="3600"
        ),
        helpers.option("dry-run", None, "show the difference, change nothing"),
    ]

    def handle(self) -> int:
        """Runs the command."""
        control = self.addresses()
        inventory = self._load()
        status = self.checked(remote.read(control, "status"))
        expected = self._number("expected", status["revision"])
        if self.option("dry-run"):
            return self._dry_run(control, inventory, status["revision"])
        operation = self.option("operation") or uuid.uuid4().hex
        outcome = self.checked(
            remote.submit(
                control,
                commands.Apply(
                    operation,
                    self.option("operator") or os.environ.get("USER", ""),
                    expected,
                    inventory,
                ),
            )
        )
        if isinstance(outcome, outcomes.Accepted):
            return self._accepted(control, outcome, operation)
        if isinstance(outcome, outcomes.Conflict):
            self.fail(
                f"conflict: revision {outcome.revision} by"
                f" {outcome.operator or 'unknown'}"
                f" ({outcome.operation}) is newer than {expected}; look at"
                " it with --dry-run and apply again",
                common.EXIT_CONFLICT,
            )
        self.fail(f"refused: {outcome}", common.EXIT_REFUSED)
        return common.EXIT_REFUSED

    def _load(self) -> inventories.Inventory:
        path = self.argument("inventory")
        raw = settings.read_toml(path)
        checked = raw
        if not isinstance(raw, settings.BadSettings):
            checked = inventories.check(raw, where=path)
        if isinstance(checked, settings.BadSettings):
            self.fail("\n".join(checked.problems), common.EXIT_BAD_INPUT)
        return checked

    def _number(self, name: str, default: int) -> int:
        text = self.option(name)
        if text is None:
            return default
        if not text.isdigit():
            self.fail(
                f"--{name}: {text!r}: give a number", common.EXIT_BAD_INPUT
            )
        return int(text)

    def _dry_run(
        self,
        control: list[str],
        inventory: inventories.Inventory,
        revision: int,
    ) -> int:
        current = self.checked(remote.read(control, "inventory"))
        lines = differences.describe(current, inventory)
        self.show(
            {"revision": revision, "changes": lines},
            [f"against revision {revision}:", *(lines or ["no change"])],
        )
        return common.EXIT_OK

    def _accepted(
        self, control: list[str], outcome: outcomes.Accepted, operation: str
    ) -> int:
        result = {
            "revision": outcome.revision,
            "operation": operation,
            "state": "accepted",
        }
        code = common.EXIT_OK
        if self.option("wait"):
            code = self._wait(control, outcome.revision, result)
        lines = [f"revision {outcome.revision}: {result['state']}"]
        lines += result.get("moves", [])
        self.show(result, lines)
        return code

    def _wait(
        self, control: list[str], revision: int, result: dict[str, Any]
    ) -> int:
        """Waits for the revision to be in force and its moves to end."""
        deadline = time.monotonic() + self._number("timeout", 3600)
        while time.monotonic() < deadline:
            found = remote.read(control, "in_force", str(revision))
            if isinstance(found, dict) and found["in_force"]:
                result["state"] = "in force everywhere"
                break
            time.sleep(POLL_S)
        else:
            result["state"] = "accepted, not yet in force everywhere"
            return common.EXIT_TIMED_OUT
        while time.monotonic() < deadline:
            ended = self._ended_moves(control, revision)
            if ended is not None:
                result["moves"] = [common.move_line(m, row) for m, row in ended]
                bad = [row for _, row in ended if row["state"] != "done"]
                return common.EXIT_TAKEN_BACK if bad else common.EXIT_OK
            time.sleep(POLL_S)
        result["state"] += "; a move has not ended"
        return common.EXIT_TIMED_OUT

    def _ended_moves(
        self, control: list[str], revision: int
    ) -> list[tuple[str, dict[str, Any]]] | None:
        found = remote.read(control, "moves")
        if not isinstance(found, dict):
            return None
        own = [
            (move, row)
            for move, row in found.items()
            if row["revision"] == revision
        ]
        live = [row for _, row in own if row["state"] in moves.ACTIVE_STATES]
        return None if live else own
