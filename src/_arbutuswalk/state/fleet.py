"""Instances and platform orders in the replicated tables."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

STARTING = "starting"
RUNNING = "running"
LEAVING = "leaving"
GONE = "gone"
PENDING = "pending"
ENDED_RETENTION_MS = 600_000


def record_order(
    tables: rows.Tables, command: commands.OrderInstance
) -> outcomes.Outcome:
    """Records an order; a fence below the highest one is stale."""
    if command.fence < tables.highest_fence:
        return outcomes.Stale(what=f"fence {command.fence}")
    tables.highest_fence = command.fence
    if command.order in tables.orders:
        return outcomes.Accepted()
    tables.orders[command.order] = rows.OrderRow(
        kind=command.kind,
        instance=command.instance,
        outcome=PENDING,
        fence=command.fence,
        at_ms=tables.time_ms,
    )
    if command.kind == "start":
        tables.instances[command.instance] = rows.InstanceRow(
            upstream=command.upstream,
            version=command.version,
            domain=command.domain,
            instance_class=command.instance_class,
            reclaimable=command.reclaimable,
            state=STARTING,
            price_micro_per_hour=0,
            fence=command.fence,
            at_ms=tables.time_ms,
        )
    return outcomes.Accepted()


def settle_order(
    tables: rows.Tables, command: commands.SettleOrder
) -> outcomes.Outcome:
    """Records the outcome of an order."""
    row = tables.orders.get(command.order)
    if row is None or row.outcome != PENDING:
        return outcomes.Absent()
    tables.orders[command.order] = row._replace(outcome=command.outcome)
    instance = tables.instances.get(row.instance)
    if instance is None:
        return outcomes.Accepted()
    succeeded = command.outcome == "done"
    if row.kind == "start":
        state = RUNNING if succeeded else GONE
        price = command.price_micro_per_hour
        updated = instance._replace(state=state, price_micro_per_hour=price)
    elif succeeded:
        updated = instance._replace(state=GONE)
    else:
        updated = instance
    tables.instances[row.instance] = updated._replace(at_ms=tables.time_ms)
    return outcomes.Accepted()


def record_reclaim_notice(
    tables: rows.Tables, command: commands.MarkInstance
) -> outcomes.Outcome:
    """Records a reclaim notice, also for an instance not ordered here."""
    tables.leaving[command.instance] = [tables.time_ms, command.leave_in_s]
    row = tables.instances.get(command.instance)
    if row is not None and row.state != GONE:
        tables.instances[command.instance] = row._replace(
            state=LEAVING, at_ms=tables.time_ms
        )
    return outcomes.Accepted()


def expire(tables: rows.Tables) -> None:
    """Removes ended instances, settled orders and notices past retention."""
    cutoff_ms = tables.time_ms - ENDED_RETENTION_MS
    for name, (at_ms, _) in list(tables.leaving.items()):
        if at_ms < cutoff_ms:
            del tables.leaving[name]
    for name, row in list(tables.instances.items()):
        if row.state == GONE and row.at_ms < cutoff_ms:
            del tables.instances[name]
    for name, row in list(tables.orders.items()):
        if row.outcome != PENDING and row.at_ms < cutoff_ms:
            del tables.orders[name]
