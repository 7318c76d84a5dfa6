"""Writes the pool's plan while this sidecar holds the lease, and applies the plan."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from skylarkdoor import events, invariants
from skylarkdoor.clients import PlatformError, Put
from skylarkdoor.clock import boot_time_s
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import FLEET_PATH, Pool, ProcessSettings
from skylarkdoord import _events
from skylarkdoord.common import InternalServer, Platform, SettingsService
from skylarkdoord.planner._engine import EngineClient
from skylarkdoord.planner._lease import LEASE_S, Lease
from skylarkdoord.planner._ownership import Ownership, owner_key
from skylarkdoord.planner._reconciler import ReadPlan, Reconciler
from skylarkdoord.planner._rows import (
    Assignment,
    PlanRow,
    PoolRows,
    decode_lease,
    decode_plan,
    encode_plan,
    plan_key,
    pool_prefix,
    pool_rows,
)
from skylarkdoord.planner.exceptions import PlannerRowError, SupersededError

RENEW_INTERVAL_S = LEASE_S / 3
STANDBY_INTERVAL_S = 6.0
DEFAULT_ROLE = "both"

PLAN_OF_HOLDER = invariants.define(
    "plan_of_holder", "A plan's epoch is never later than the lease's epoch."
)


class Planner:
    """Service that plans for a pool and applies the pool's plan to its engine.

    One task reads the pool's rows, writes a plan if this process holds the lease,
    and sends the engine the orders that the plan requires.

    Args:
        settings: Settings of this process.
        incarnation: Number that identifies this run of the process.
        is_idle: Returns whether the engine runs no requests.
    """

    name = "planner"
    requires: tuple[str, ...] = ("platform", "settings", "scheduler", "internal")

    def __init__(
        self,
        settings: ProcessSettings,
        *,
        incarnation: int,
        is_idle: Callable[[], bool],
    ) -> None:
        assert settings.upstream is not None
        self.instance = settings.instance
        self.holder = f"{settings.instance}#{incarnation}"
        self.is_idle = is_idle
        self.pool_name = settings.upstream.pool
        self.url = settings.upstream.url
        self.plan: PlanRow | None = None
        self.plan_revision = 0
        self.log = events.get_logger("planner")

    async def start(self, kernel: Kernel) -> None:
        """Start the planner's task."""
        self.settings_service = kernel.find("settings", SettingsService)
        self.table = kernel.find("platform", Platform).table
        self.lease = Lease(self.table, self.pool_name, self.holder)
        self.engine = EngineClient(self.url)
        key = owner_key(self.pool_name, self.instance)
        ownership = Ownership(self.table, key, self.holder, boot_time_s)
        self.reconciler = Reconciler(self.engine, ownership, boot_time_s)
        kernel.find("internal", InternalServer).add_status("planner", self.status)
        self.task = kernel.supervise(self.run, name="planner")

    async def stop(self) -> None:
        """Stop the task; the lease is not released but expires."""
        self.task.cancel()
        await self.engine.close()

    @property
    def pool(self) -> Pool | None:
        """The pool's settings, or None if the pool is not one of engines."""
        pool = self.settings_service.view.fleet.pools.get(self.pool_name)
        return pool if pool is not None and pool.kind == "model" else None

    def status(self) -> dict[str, Any]:
        """Return the planner's part of `/status`."""
        return {
            "is_holder": self.lease.is_held,
            "epoch": self.lease.epoch,
            "plan_epoch": self.plan.epoch if self.plan else 0,
            "fence": self.reconciler.fence,
        }

    async def run(self) -> None:
        """Run planning cycles until cancelled."""
        while True:
            if self.pool is not None:
                await self.try_cycle(self.pool)
            pause = RENEW_INTERVAL_S if self.lease.held else STANDBY_INTERVAL_S
            await asyncio.sleep(random.uniform(0.5, 1.0) * pause)

    async def try_cycle(self, pool: Pool) -> None:
        """Run one planning cycle and log its errors."""
        try:
            await self.run_cycle(pool)
        except PlatformError as error:
            self.log.event(_events.PLANNER_STORE_FAILED, error=str(error))
        except SupersededError as error:
            self.log.event(_events.PLANNER_DEPOSED, error=str(error))
        except PlannerRowError as error:
            self.log.event(_events.PLANNER_ROW_REJECTED, error=str(error))

    async def run_cycle(self, pool: Pool) -> None:
        """Read the rows, write a plan if this process may, and apply the plan.

        Raises:
            PlatformError: The table did not answer.
            SupersededError: Another process has become the planner, or a later
                incarnation of this sidecar owns the engine.
            PlannerRowError: A row cannot be decoded.
        """
        read_at = boot_time_s()
        listed = await self.table.list(pool_prefix(self.pool_name))
        rows = pool_rows(listed, self.pool_name)
        self.lease.observe(rows.lease, read_at)
        self._adopt_plan(rows)
        await self._update_lease_and_plan(pool)
        is_latest = rows.plan is not None and rows.plan.revision == self.plan_revision
        if self.plan is not None and is_latest:
            await self._reconcile(pool, self.plan, read_at)

    async def _update_lease_and_plan(self, pool: Pool) -> None:
        if self.lease.held is not None:
            await self.lease.renew()
        elif self.lease.may_claim() and await self.lease.claim():
            assert self.lease.held is not None
            self.log.event(_events.PLANNER_ELECTED, epoch=self.lease.held.row.epoch)
        if self.lease.is_held:
            await self._write_plan(pool)

    async def _write_plan(self, pool: Pool) -> None:
        plan = self._make_plan(pool)
        if self.plan is not None and not _supersedes(plan, self.plan):
            return
        await self.lease.write(Put(plan_key(self.pool_name), encode_plan(plan)))
        self.log.event(_events.PLAN_WRITTEN, epoch=plan.epoch)

    def _make_plan(self, pool: Pool) -> PlanRow:
        assert self.lease.held is not None
        return PlanRow(
            epoch=self.lease.held.row.epoch,
            settings_revision=self.settings_service.view.revision(FLEET_PATH),
            assignment=Assignment(pool.models, pool.adapters, DEFAULT_ROLE),
        )

    def _adopt_plan(self, rows: PoolRows) -> None:
        if rows.plan is None or rows.plan.revision <= self.plan_revision:
            return
        plan = decode_plan(rows.plan.value)
        if rows.lease is not None:
            epoch = decode_lease(rows.lease.value).epoch
            invariants.check(
                PLAN_OF_HOLDER, plan.epoch <= epoch, plan=plan.epoch, lease=epoch
            )
        self.plan = plan
        self.plan_revision = rows.plan.revision

    async def _reconcile(self, pool: Pool, plan: PlanRow, read_at: float) -> None:
        await self.reconciler.reconcile(
            ReadPlan(plan.assignment, self.plan_revision, read_at),
            fencing=pool.fencing,
            is_idle=self.is_idle,
        )


def _supersedes(plan: PlanRow, current: PlanRow) -> bool:
    """Return whether a plan differs and is not based on older settings."""
    if plan.settings_revision < current.settings_revision:
        return False
    return plan.assignment != current.assignment
