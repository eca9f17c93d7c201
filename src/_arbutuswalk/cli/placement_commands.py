"""Command that explains where a request would go."""

from collections.abc import Iterator
from typing import Any

from cleo import helpers

from _arbutuswalk.base import settings
from _arbutuswalk.cli import common
from _arbutuswalk.cli import remote

MAX_LISTED_ENDPOINTS = 10


class ExplainPlacement(common.Command):
    """Shows where an entry would send a request now, without sending it."""

    name = "explain-placement"
    description = "Show where an entry would send a request now, and why"
    arguments = [
        helpers.argument("address", "IP:port of the entry's metrics"),
        helpers.argument("host", "host of the route"),
        helpers.argument("path", "path of the request"),
    ]
    options = [
        helpers.option(
            "workspace", "w", "name of the caller's workspace", flag=False
        ),
        helpers.option("tokens", "t", "prompt tokens", flag=False),
        helpers.option(
            "part",
            "p",
            "ID:TOKENS of a part of the prompt, shared ones first",
            flag=False,
            multiple=True,
        ),
        common.JSON_OPTION,
    ]

    def handle(self) -> int:
        """Runs the command."""
        address = self.argument("address")
        if not settings.is_address(address):
            self.exit_with_error(
                f"{address!r}: expected IP:port", common.EXIT_BAD_INPUT
            )
        query = [(name, self.argument(name)) for name in ("host", "path")]
        for name in ("workspace", "tokens"):
            if self.option(name):
                query.append((name, self.option(name)))
        query += [("part", part) for part in self.option("part")]
        result = self.result_or_exit(remote.explain_placement(address, query))
        self.print_result(result, list(describe(result)))
        return common.EXIT_OK


def describe(result: dict[str, Any]) -> Iterator[str]:
    """Yields the lines that explain a placement to an operator."""
    refusal = result["refusal"]
    if refusal is not None:
        yield (
            f"{result['entry']}: refused with {refusal['status']}:"
            f" {refusal['reason']}, retry after {refusal['retry_after_s']:g} s"
        )
    if "route" not in result:
        return
    yield f"route {result['route']}, priority {result['priority']}"
    for upstream, row in result["upstreams"].items():
        yield f"{upstream} (weight {row['weight']}): {row['outcome']}"
        if row["outcome"] == "refused":
            yield f"  {row['reason']}"
        ranked = sorted(
            row["endpoints"].items(),
            key=lambda item: (-item[1]["share"], item[0]),
        )
        for endpoint_id, endpoint in ranked[:MAX_LISTED_ENDPOINTS]:
            yield "  " + _describe_endpoint(endpoint_id, endpoint)
        if len(ranked) > MAX_LISTED_ENDPOINTS:
            yield f"  and {len(ranked) - MAX_LISTED_ENDPOINTS} others"


def _describe_endpoint(endpoint_id: str, row: dict[str, Any]) -> str:
    uncached = row["uncached_tokens"]
    details = [
        f"{row['share']:.0%}",
        f"{row['running']} of {row['slots']} running",
        f"{row['waiting_tokens']} tokens waiting",
    ]
    if uncached is not None:
        details.append(f"{uncached} tokens not cached")
    if row["slowness"] != 1:
        details.append(f"takes {row['slowness']:.2f} times as long")
    details += row["objections"]
    return f"{endpoint_id} in {row['domain']}: {', '.join(details)}"


COMMANDS = (ExplainPlacement,)
