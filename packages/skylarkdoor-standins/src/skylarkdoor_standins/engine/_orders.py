"""Orders to load and unload models and adapters and to change role."""

import asyncio
from typing import Any, NamedTuple

from skylarkdoor_standins.engine._settings import EngineSettings, Fencing

LOAD_MODEL_S = 2.0
LOAD_ADAPTER_S = 0.2


class StaleFenceError(Exception):
    """An order bears an older fencing number than one before it."""


class UnknownActionError(Exception):
    """An order asks for something that the engine cannot do."""


class Order(NamedTuple):
    """What the engine is told to do, and the fencing number of who tells it."""

    fence: int
    action: str
    name: str


class EngineState:
    """What the engine carries, as changed by orders."""

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.models = {settings.model}
        self.adapters: set[str] = set()
        self.role = "both"
        self.fence = 0
        self.orders: list[Order] = []

    def carries(self, name: str) -> bool:
        """Return whether requests for a model or adapter can be run."""
        return name in self.models or name in self.adapters

    async def apply(self, order: Order) -> None:
        """Carry out an order.

        Raises:
            StaleFenceError: The order's fencing number is older than one seen.
            UnknownActionError: There is no such action.
        """
        if self.settings.fencing is Fencing.CHECK and order.fence < self.fence:
            raise StaleFenceError(f"fence {order.fence} is older than {self.fence}")
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        match order.action:
            case "load_model":
                await asyncio.sleep(LOAD_MODEL_S / self.settings.time_scale)
                self.models.add(order.name)
            case "unload_model":
                self.models.discard(order.name)
            case "load_adapter":
                await asyncio.sleep(LOAD_ADAPTER_S / self.settings.time_scale)
                self.adapters.add(order.name)
            case "unload_adapter":
                self.adapters.discard(order.name)
            case "set_role":
                self.role = order.name
            case _:
                raise UnknownActionError(order.action)

    def as_dict(self) -> dict[str, Any]:
        """Return what the engine carries, for reading back."""
        return {
            "models": sorted(self.models),
            "adapters": sorted(self.adapters),
            "role": self.role,
            "fence": self.fence,
            "orders": [order._asdict() for order in self.orders],
        }
