"""Plans for the pool when this sidecar holds its lease, and follows the plan."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from skylarkdoor import events, invariants
from skylarkdoor.clients import PlatformError, Put
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import FLEET_PATH, Pool, ProcessSettings
from skylarkdoord import _events
from skylarkdoord.common import InternalServer, Platform, SettingsService
from skylarkdoord.planner._engine import Engine
from skylarkdoord.planner._lease import LEASE_S, Lease
from skylarkdoord.planner._orders import Orders, ReadPlan
from skylarkdoord.planner._ownership import Ownership, owner_key
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
from skylarkdoord.planner.exceptions import DeposedError, PlannerRowError

RENEW_INTERVAL_S = LEASE_S / 3
FOLLOW_INTERVAL_S = 6.0
DEFAULT_ROLE = "both"

PLAN_OF_HOLDER = invariants.define(
    "plan_of_holder", "No plan is of a later epoch than the lease."
)


class Planner:
    """One task: reads the pool's rows, plans if it holds the lease, and orders.

    Args:
        settings: Settings of this process.
        incarnation: Number of this life of the process.
        is_idle: Returns whether nothing runs in the engine.
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
        """Begin to follow the pool's rows."""
        self.shared = kernel.find("settings", SettingsService)
        self.table = kernel.find("platform", Platform).table
        self.lease = Lease(self.table, self.pool_name, self.holder, time.monotonic)
        self.engine = Engine(self.url)
        key = owner_key(self.pool_name, self.instance)
        ownership = Ownership(self.table, key, self.holder, time.monotonic)
        self.orders = Orders(self.engine, ownership, time.monotonic)
        kernel.find("internal", InternalServer).add_status("planner", self.status)
        self.task = kernel.spawn(self.run(), name="planner")

    async def stop(self) -> None:
        """End; the lease lapses by itself."""
        self.task.cancel()
        await self.engine.close()

    @property
    def pool(self) -> Pool | None:
        """The settings of the pool, if it is one of engines."""
        pool = self.shared.view.fleet.pools.get(self.pool_name)
        return pool if pool is not None and pool.kind == "model" else None

    def status(self) -> dict[str, Any]:
        """Return what `/status` shows."""
        return {
            "is_holder": self.lease.is_held,
            "epoch": self.lease.epoch,
            "plan_epoch": self.plan.epoch if self.plan else 0,
            "fence": self.orders.fence,
        }

    async def run(self) -> None:
        """Step again and again."""
        while True:
            if self.pool is not None:
                await self.try_step(self.pool)
            pause = RENEW_INTERVAL_S if self.lease.held else FOLLOW_INTERVAL_S
            await asyncio.sleep(random.uniform(0.5, 1.0) * pause)

    async def try_step(self, pool: Pool) -> None:
        """Take one step and log what stands in its way."""
        try:
            await self.step(pool)
        except PlatformError as error:
            self.log.event(_events.PLANNER_STORE_FAILED, error=str(error))
        except DeposedError as error:
            self.log.event(_events.PLANNER_DEPOSED, error=str(error))
        except PlannerRowError as error:
            self.log.event(_events.PLANNER_ROW_REJECTED, error=str(error))

    async def step(self, pool: Pool) -> None:
        """Read the rows, plan if this process may, and follow the plan.

        Raises:
            PlatformError: The table gave no answer.
            DeposedError: Another process has become the planner.
            PlannerRowError: A row can't be read.
        """
        read_at = time.monotonic()
        listed = await self.table.list(pool_prefix(self.pool_name))
        rows = pool_rows(listed, self.pool_name)
        self.lease.observe(rows.lease, read_at)
        self._take_plan(rows)
        await self._lead(pool)
        is_latest = rows.plan is not None and rows.plan.revision == self.plan_revision
        if self.plan is not None and is_latest:
            await self._follow(pool, self.plan, read_at)

    async def _lead(self, pool: Pool) -> None:
        if self.lease.held is not None:
            await self.lease.renew()
        elif self.lease.may_claim() and await self.lease.claim():
            assert self.lease.held is not None
            self.log.event(_events.PLANNER_ELECTED, epoch=self.lease.held.row.epoch)
        if self.lease.is_held:
            await self._write_plan(pool)

    async def _write_plan(self, pool: Pool) -> None:
        plan = self._make_plan(pool)
        if self.plan is not None and not _is_news(plan, self.plan):
            return
        await self.lease.write(Put(plan_key(self.pool_name), encode_plan(plan)))
        self.log.event(_events.PLAN_WRITTEN, epoch=plan.epoch)

    def _make_plan(self, pool: Pool) -> PlanRow:
        assert self.lease.held is not None
        return PlanRow(
            epoch=self.lease.held.row.epoch,
            settings_revision=self.shared.view.revision(FLEET_PATH),
            assignment=Assignment(pool.models, pool.adapters, DEFAULT_ROLE),
        )

    def _take_plan(self, rows: PoolRows) -> None:
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

    async def _follow(self, pool: Pool, plan: PlanRow, read_at: float) -> None:
        await self.orders.follow(
            ReadPlan(plan.assignment, self.plan_revision, read_at),
            fencing=pool.fencing,
            is_idle=self.is_idle,
        )


def _is_news(plan: PlanRow, held: PlanRow) -> bool:
    """Return whether a plan follows no older settings and asks for something else."""
    if plan.settings_revision < held.settings_revision:
        return False
    return plan.assignment != held.assignment
