"""Table of the limits that endpoints state in their answers.

An endpoint that needs relief states how many requests per second it accepts
from all entries together. The limit holds until a later answer states another
one or none, or until the endpoint starts again.
"""

from collections.abc import Container
from typing import Any
from typing import NamedTuple


class Statement(NamedTuple):
    """Last statement of one start of an endpoint about its limit.

    Attributes:
        born_ms: Start of the endpoint, in Unix milliseconds.
        rate_per_s: Requests per second, None for no limit.
        stated_at: When the answer with it was received, in seconds of this
            process's clock.
    """

    born_ms: int
    rate_per_s: float | None
    stated_at: float


class StatedLimits:
    """Newest statement of each endpoint that has ever stated a limit.

    Attributes:
        statements: Statement by endpoint id.
    """

    def __init__(self):
        self.statements: dict[str, Statement] = {}

    def rate(self, endpoint_id: str, born_ms: int) -> float | None:
        """Returns the limit of a start of an endpoint, None for no limit."""
        statement = self.statements.get(endpoint_id)
        if statement is None or statement.born_ms != born_ms:
            return None
        return statement.rate_per_s

    def record(
        self,
        endpoint_id: str,
        statement: Statement,
        *,
        keeps_none: bool = False,
    ) -> bool:
        """Records a statement unless a newer one is known.

        Args:
            endpoint_id: Id of the endpoint.
            statement: The statement.
            keeps_none: Whether to record that an endpoint which never stated a
                limit has none.

        Returns:
            Whether it changed the limit of the endpoint.
        """
        known = self.statements.get(endpoint_id)
        if known is None and statement.rate_per_s is None and not keeps_none:
            return False
        if known is not None and _order(known) >= _order(statement):
            return False
        before = self.rate(endpoint_id, statement.born_ms)
        self.statements[endpoint_id] = statement
        return before != statement.rate_per_s

    def remove_unknown(self, endpoint_ids: Container[str]) -> None:
        """Removes the endpoints that are not in ``endpoint_ids``."""
        self.statements = {
            endpoint_id: statement
            for endpoint_id, statement in self.statements.items()
            if endpoint_id in endpoint_ids
        }

    def to_json(self, now: float) -> dict[str, list]:
        """Returns all statements with their ages instead of times."""
        return {
            endpoint_id: [
                statement.born_ms,
                statement.rate_per_s,
                now - statement.stated_at,
            ]
            for endpoint_id, statement in self.statements.items()
        }


def from_json(values: dict[str, Any], now: float) -> dict[str, Statement]:
    """Returns the statements that another process sent just now."""
    return {
        endpoint_id: Statement(born_ms, rate_per_s, now - age_s)
        for endpoint_id, (born_ms, rate_per_s, age_s, *_) in values.items()
    }


def _order(statement: Statement) -> tuple[int, float]:
    return statement.born_ms, statement.stated_at
