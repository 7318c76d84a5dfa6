"""Rows of a pool's planner in the platform's table."""

import json
from typing import Any, NamedTuple

from skylarkdoor.clients import Row, RowList
from skylarkdoord.planner.exceptions import PlannerRowError


class LeaseRow(NamedTuple):
    """Who plans for a pool.

    Attributes:
        holder: Instance and incarnation of the holder.
        epoch: Number that grows with each new holder.
        renewals: Times that this holder has renewed the lease.
    """

    holder: str
    epoch: int
    renewals: int


class Assignment(NamedTuple):
    """What each engine of a pool is to carry.

    Attributes:
        models: Its models.
        adapters: Its adapters.
        role: Its role in the pool.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str


class PlanRow(NamedTuple):
    """A pool's plan.

    Attributes:
        epoch: Epoch of the planner that wrote it.
        settings_revision: Revision of the fleet's settings that it follows.
        assignment: What each engine is to carry.
    """

    epoch: int
    settings_revision: int
    assignment: Assignment


class PoolRows(NamedTuple):
    """The rows of one pool as read together, each None if it is absent."""

    lease: Row | None
    plan: Row | None


def pool_prefix(pool: str) -> str:
    """Return what the keys of a pool's rows begin with."""
    return f"planner/{pool}/"


def lease_key(pool: str) -> str:
    """Return the key of a pool's lease."""
    return f"{pool_prefix(pool)}lease"


def plan_key(pool: str) -> str:
    """Return the key of a pool's plan."""
    return f"{pool_prefix(pool)}plan"


def pool_rows(listed: RowList, pool: str) -> PoolRows:
    """Return a pool's rows from the list of what lies under its prefix."""
    by_key = {row.key: row for row in listed.rows}
    return PoolRows(by_key.get(lease_key(pool)), by_key.get(plan_key(pool)))


def encode_lease(lease: LeaseRow) -> bytes:
    """Return a lease's value."""
    return json.dumps(lease._asdict()).encode()


def decode_lease(value: bytes) -> LeaseRow:
    """Return the lease that a value holds.

    Raises:
        PlannerRowError: The value is no lease.
    """
    try:
        return LeaseRow(**json.loads(value))
    except (ValueError, TypeError) as error:
        raise PlannerRowError(f"no lease: {error!r}") from None


def encode_plan(plan: PlanRow) -> bytes:
    """Return a plan's value."""
    stored = plan._asdict() | {"assignment": plan.assignment._asdict()}
    return json.dumps(stored).encode()


def decode_plan(value: bytes) -> PlanRow:
    """Return the plan that a value holds.

    Raises:
        PlannerRowError: The value is no plan.
    """
    try:
        stored = json.loads(value)
        return PlanRow(
            epoch=int(stored["epoch"]),
            settings_revision=int(stored["settings_revision"]),
            assignment=_assignment(stored["assignment"]),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlannerRowError(f"no plan: {error!r}") from None


def _assignment(stored: dict[str, Any]) -> Assignment:
    return Assignment(
        models=tuple(stored["models"]),
        adapters=tuple(stored["adapters"]),
        role=str(stored["role"]),
    )
