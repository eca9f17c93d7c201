"""``arbutuswalk apply``: applies an inventory as the configuration."""

import os
import time
import uuid
from typing import Any

from cleo import helpers

from _arbutuswalk.base import settings
from _arbutuswalk.cli import common
from _arbutuswalk.cli import inventory_diff
from _arbutuswalk.cli import remote
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import moves
from _arbutuswalk.state import outcomes

POLL_INTERVAL_S = 0.25


class Apply(common.Command):
    """Applies an inventory."""

    name = "apply"
    description = "Apply an inventory as the new configuration"
    arguments = [helpers.argument("inventory", "TOML inventory file")]
    options = [
        common.CONTROL_OPTION,
        common.JSON_OPTION,
        helpers.option(
            "expected",
            "e",
            "revision that you edited; default: the current revision",
            flag=False,
        ),
        helpers.option(
            "operation",
            "o",
            "operation id; give the same id when retrying",
            flag=False,
        ),
        helpers.option(
            "operator", None, "name recorded with the revision", flag=False
        ),
        helpers.option(
            "wait", "w", "wait until it is in force and its moves have ended"
        ),
        helpers.option(
            "timeout", "t", "seconds to wait", flag=False, default="3600"
        ),
        helpers.option("dry-run", None, "show the changes without applying"),
    ]

    def handle(self) -> int:
        """Runs the command."""
        control = self.control_addresses()
        inventory = self._load_inventory()
        status = self.result_or_exit(remote.read(control, "status"))
        expected_revision = self._integer_option("expected", status["revision"])
        if self.option("dry-run"):
            return self._dry_run(control, inventory, status["revision"])
        operation_id = self.option("operation") or uuid.uuid4().hex
        outcome = self.result_or_exit(
            remote.submit(
                control,
                commands.Apply(
                    operation_id,
                    self.option("operator") or os.environ.get("USER", ""),
                    expected_revision,
                    inventory,
                ),
            )
        )
        if isinstance(outcome, outcomes.Accepted):
            return self._report_accepted(control, outcome, operation_id)
        if isinstance(outcome, outcomes.Conflict):
            self.exit_with_error(
                f"conflict: revision {outcome.revision} by"
                f" {outcome.operator or 'unknown'}"
                f" ({outcome.operation}) is newer than {expected_revision};"
                " compare with --dry-run and apply again",
                common.EXIT_CONFLICT,
            )
        self.exit_with_error(f"refused: {outcome}", common.EXIT_REFUSED)
        return common.EXIT_REFUSED

    def _load_inventory(self) -> inventories.Inventory:
        path = self.argument("inventory")
        parsed = settings.read_toml(path)
        checked = parsed
        if not isinstance(parsed, settings.BadSettings):
            checked = inventories.check(parsed, where=path)
        if isinstance(checked, settings.BadSettings):
            self.exit_with_error(
                "\n".join(checked.problems), common.EXIT_BAD_INPUT
            )
        return checked

    def _integer_option(self, name: str, default: int) -> int:
        text = self.option(name)
        if text is None:
            return default
        if not text.isdigit():
            self.exit_with_error(
                f"--{name}: {text!r}: expected a number", common.EXIT_BAD_INPUT
            )
        return int(text)

    def _dry_run(
        self,
        control: list[str],
        inventory: inventories.Inventory,
        revision: int,
    ) -> int:
        current = self.result_or_exit(remote.read(control, "inventory"))
        changes = inventory_diff.diff_inventories(current, inventory)
        self.print_result(
            {"revision": revision, "changes": changes},
            [f"against revision {revision}:", *(changes or ["no change"])],
        )
        return common.EXIT_OK

    def _report_accepted(
        self, control: list[str], outcome: outcomes.Accepted, operation_id: str
    ) -> int:
        result = {
            "revision": outcome.revision,
            "operation": operation_id,
            "state": "accepted",
        }
        exit_code = common.EXIT_OK
        if self.option("wait"):
            exit_code = self._wait_until_applied(
                control, outcome.revision, result
            )
        lines = [f"revision {outcome.revision}: {result['state']}"]
        lines += result.get("moves", [])
        self.print_result(result, lines)
        return exit_code

    def _wait_until_applied(
        self, control: list[str], revision: int, result: dict[str, Any]
    ) -> int:
        """Waits until the revision is in force and its moves have ended."""
        deadline = time.monotonic() + self._integer_option("timeout", 3600)
        while time.monotonic() < deadline:
            reply = remote.read(control, "in_force", str(revision))
            if isinstance(reply, dict) and reply["in_force"]:
                result["state"] = "in force everywhere"
                break
            time.sleep(POLL_INTERVAL_S)
        else:
            result["state"] = "accepted, not yet in force everywhere"
            return common.EXIT_TIMED_OUT
        while time.monotonic() < deadline:
            ended = self._ended_moves(control, revision)
            if ended is not None:
                result["moves"] = [
                    common.move_line(move, row) for move, row in ended
                ]
                not_completed = [
                    row for _, row in ended if row["state"] != "done"
                ]
                return (
                    common.EXIT_MOVE_NOT_COMPLETED
                    if not_completed
                    else common.EXIT_OK
                )
            time.sleep(POLL_INTERVAL_S)
        result["state"] += "; a move has not ended"
        return common.EXIT_TIMED_OUT

    def _ended_moves(
        self, control: list[str], revision: int
    ) -> list[tuple[str, dict[str, Any]]] | None:
        reply = remote.read(control, "moves")
        if not isinstance(reply, dict):
            return None
        revision_moves = [
            (move, row)
            for move, row in reply.items()
            if row["revision"] == revision
        ]
        unfinished = [
            row
            for _, row in revision_moves
            if row["state"] in moves.ACTIVE_STATES
        ]
        return None if unfinished else revision_moves
