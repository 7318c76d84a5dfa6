"""Writes the status of roll-outs for the operator."""

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, RolloutStatus, Row, Store
from skylarkdoord.direct.exceptions import ConflictError, RowError
from skylarkdoord.direct.rollouts import Decision, Phase, RolloutOrder

STATUSES = "statuses"
IN_PROGRESS = "in_progress"
STATES = {
    Phase.TRIAL: IN_PROGRESS,
    Phase.HANDOVER: IN_PROGRESS,
    Phase.COMPLETED: "completed",
    Phase.REVERTED: "reverted",
}
PHASES = {"completed": Phase.COMPLETED, "reverted": Phase.REVERTED}


class StatusWriter:
    """Writes the statuses that decisions state.

    Args:
        adapter: Encodes statuses.
        store: The platform's store.

    Attributes:
        written: The order and the state that the store has, by service.
    """

    def __init__(self, adapter: Adapter, store: Store) -> None:
        self.adapter = adapter
        self.store = store
        self.written: dict[str, tuple[RolloutOrder, str]] = {}
        self.rows: dict[str, Row] = {}
        self.log = events.get_logger("direct.rollouts")

    def is_written(self, decision: Decision) -> bool:
        """Return whether the store has the status that a decision states."""
        state = STATES[decision.phase]
        return self.written.get(decision.order.service) == (decision.order, state)

    def forget(self) -> None:
        """Take nothing for written, as the store may have lost it."""
        self.written.clear()
        self.rows.clear()

    async def read(self, service: str) -> None:
        """Read the status of a service.

        Raises:
            StoreError: The store did not answer.
        """
        rows = await self.store.read(STATUSES)
        key = self.adapter.rollout_key(service)
        row = next((row for row in rows.rows if row.key == key), None)
        self.take(service, row)

    def take(self, service: str, row: Row | None) -> None:
        """Take over the row that the store has."""
        self.rows.pop(service, None)
        if row is not None and row.data is not None:
            self.rows[service] = row

    def stated(self, order: RolloutOrder) -> RolloutStatus | None:
        """Return the status of an order that was read; None if there is none.

        A status counts only if it is newer than the order's row. Only numbers are
        compared, as a row that an older copy of the store contains gets the latest era.
        """
        row = self.rows.get(order.service)
        if row is None or row.data is None or row.version <= order.ordered_at.number:
            return None
        try:
            status = self.adapter.decode_rollout_status(row.data)
        except RowError:
            # Another writer's row; it is replaced.
            return None
        return status if status.version == order.version else None

    def final_phase(self, order: RolloutOrder) -> Phase | None:
        """Return the final phase that the status of an order states; None if none."""
        status = self.stated(order)
        return PHASES.get(status.state) if status else None

    async def write(self, decision: Decision) -> bool:
        """Write the status that a decision states; return whether the store has it.

        A final status of the same order is never replaced by another one.

        Raises:
            StoreError: The store did not acknowledge the write.
        """
        order = decision.order
        status = RolloutStatus(STATES[decision.phase], order.version)
        if not self.needs_write(decision, status):
            self.written[order.service] = (order, status.state)
            return True
        row = self.rows.get(order.service)
        key = self.adapter.rollout_key(order.service)
        data = self.adapter.encode_rollout_status(status)
        try:
            written = await self.store.put_if(
                STATUSES, key, data, row.version if row else 0
            )
        except ConflictError as error:
            self.take(order.service, error.row)
            return False
        self.rows[order.service] = Row(key, written.version, data)
        self.written[order.service] = (order, status.state)
        self.log.event(
            _events.ROLLOUT_STATUS_WRITTEN,
            service=order.service,
            version=order.version,
            state=status.state,
        )
        return True

    def needs_write(self, decision: Decision, status: RolloutStatus) -> bool:
        """Return whether a status has to be written over the row that was read."""
        stated = self.stated(decision.order)
        if stated == status:
            return False
        if stated is None or stated.state == IN_PROGRESS:
            return True
        if status.state != IN_PROGRESS:
            self.log.event(
                _events.ROLLOUT_CONFLICT,
                service=decision.order.service,
                version=decision.order.version,
                stated=stated.state,
                decided=status.state,
            )
        return False
