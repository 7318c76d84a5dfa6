"""Orders to the engine: load or unload a model or an adapter, or set the role."""

import asyncio
from typing import Any, NamedTuple

from skylarkdoor_standins.engine._settings import EngineSettings, Fencing

LOAD_MODEL_DURATION_S = 2.0
LOAD_ADAPTER_DURATION_S = 0.2


class StaleFenceError(Exception):
    """The order's fencing number is lower than that of an earlier order."""


class UnknownActionError(Exception):
    """The order's action is not one that the engine supports."""


class Order(NamedTuple):
    """An instruction to the engine.

    Attributes:
        fence: The sender's fencing number. A newly elected sender uses a higher one,
            so that the engine can refuse the orders of its predecessors.
        action: What to do; see `EngineState.apply`.
        name: The model, adapter or role that the action refers to.
    """

    fence: int
    action: str
    name: str


class EngineState:
    """The engine's loaded models and adapters and its role, as set by orders."""

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.models = {settings.model}
        self.adapters: set[str] = set()
        self.role = "both"
        self.fence = 0
        self.orders: list[Order] = []

    def is_loaded(self, name: str) -> bool:
        """Return whether the model or adapter of this name is loaded."""
        return name in self.models or name in self.adapters

    async def apply(self, order: Order) -> None:
        """Apply an order, after the simulated time that it takes.

        Raises:
            StaleFenceError: The engine checks fencing numbers, and the order's is
                lower than that of an earlier order.
            UnknownActionError: The order's action is unknown.
        """
        if self.settings.fencing is Fencing.CHECK and order.fence < self.fence:
            raise StaleFenceError(f"fence {order.fence} is lower than {self.fence}")
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        match order.action:
            case "load_model":
                await asyncio.sleep(LOAD_MODEL_DURATION_S / self.settings.time_scale)
                self.models.add(order.name)
            case "unload_model":
                self.models.discard(order.name)
            case "load_adapter":
                await asyncio.sleep(LOAD_ADAPTER_DURATION_S / self.settings.time_scale)
                self.adapters.add(order.name)
            case "unload_adapter":
                self.adapters.discard(order.name)
            case "set_role":
                self.role = order.name
            case _:
                raise UnknownActionError(order.action)

    def as_dict(self) -> dict[str, Any]:
        """Return the state and the orders received, as the HTTP API reports them."""
        return {
            "models": sorted(self.models),
            "adapters": sorted(self.adapters),
            "role": self.role,
            "fence": self.fence,
            "orders": [order._asdict() for order in self.orders],
        }
