"""Format of the planner's rows in the platform's table."""

import json
from typing import Any, NamedTuple

from skylarkdoor import untrusted_json
from skylarkdoor.clients import Row, RowList
from skylarkdoord.planner.exceptions import PlannerRowError


class LeaseRow(NamedTuple):
    """The lease of a pool's planner.

    Attributes:
        holder: Instance and incarnation of the holder.
        epoch: Number that increases with each claim.
        renewals: Number of times that the holder has renewed this claim.
    """

    holder: str
    epoch: int
    renewals: int


class Assignment(NamedTuple):
    """The desired state of each engine of a pool.

    Attributes:
        models: Models to load.
        adapters: Adapters to load.
        role: Role of the engine in the pool.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str


class PlanRow(NamedTuple):
    """A pool's plan.

    Attributes:
        epoch: Epoch of the planner that wrote it.
        settings_revision: Revision of the fleet's settings that the plan is based on.
        assignment: The desired state of each engine.
    """

    epoch: int
    settings_revision: int
    assignment: Assignment


class PoolRows(NamedTuple):
    """The rows of one pool from a single read; a row is None if it is absent."""

    lease: Row | None
    plan: Row | None


def pool_prefix(pool: str) -> str:
    """Return the key prefix of a pool's rows."""
    return f"planner/{pool}/"


def lease_key(pool: str) -> str:
    """Return the key of a pool's lease."""
    return f"{pool_prefix(pool)}lease"


def plan_key(pool: str) -> str:
    """Return the key of a pool's plan."""
    return f"{pool_prefix(pool)}plan"


def pool_rows(listed: RowList, pool: str) -> PoolRows:
    """Return a pool's rows from the list of rows under its prefix."""
    by_key = {row.key: row for row in listed.rows}
    return PoolRows(by_key.get(lease_key(pool)), by_key.get(plan_key(pool)))


def encode_lease(lease: LeaseRow) -> bytes:
    """Return the stored form of a lease."""
    return json.dumps(lease._asdict()).encode()


def decode_lease(value: bytes) -> LeaseRow:
    """Return the lease decoded from a row's value.

    Raises:
        PlannerRowError: The value is not a lease.
    """
    try:
        return LeaseRow(**untrusted_json.loads(value))
    except (ValueError, TypeError) as error:
        raise PlannerRowError(f"not a lease row: {error!r}") from None


def encode_plan(plan: PlanRow) -> bytes:
    """Return the stored form of a plan."""
    stored = plan._asdict() | {"assignment": plan.assignment._asdict()}
    return json.dumps(stored).encode()


def decode_plan(value: bytes) -> PlanRow:
    """Return the plan decoded from a row's value.

    Raises:
        PlannerRowError: The value is not a plan.
    """
    try:
        stored = untrusted_json.loads(value)
        return PlanRow(
            epoch=int(stored["epoch"]),
            settings_revision=int(stored["settings_revision"]),
            assignment=_assignment(stored["assignment"]),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlannerRowError(f"not a plan row: {error!r}") from None


def _assignment(stored: dict[str, Any]) -> Assignment:
    return Assignment(
        models=tuple(stored["models"]),
        adapters=tuple(stored["adapters"]),
        role=str(stored["role"]),
    )
