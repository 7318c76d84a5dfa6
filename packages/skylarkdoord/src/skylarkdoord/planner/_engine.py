"""HTTP client for the state and the orders of the engine beside this sidecar."""

from typing import NamedTuple

import aiohttp
import msgspec

from skylarkdoor import bounded_http, untrusted_json
from skylarkdoor.failures import reason
from skylarkdoord.planner.exceptions import EngineUnavailableError, FencedError

READ_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 4.0
# Part of an engine's answer that an error repeats.
MAX_REASON_BYTES = 200


class EngineState(NamedTuple):
    """The models and adapters that an engine has loaded, and its role."""

    models: frozenset[str]
    adapters: frozenset[str]
    role: str


class Order(NamedTuple):
    """An instruction to an engine to load or unload something or change its role."""

    action: str
    name: str


class _StateResponse(msgspec.Struct):
    models: list[str]
    adapters: list[str]
    role: str


class EngineClient:
    """Reads an engine's state and sends it orders.

    Args:
        url: The engine's base URL.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.session = bounded_http.open_session()

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def state(self) -> EngineState:
        """Return the engine's current state.

        Raises:
            EngineUnavailableError: The engine did not return a valid state within
                `READ_TIMEOUT_S`.
        """
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self.session.get(f"{self.url}/state", timeout=timeout) as answer:
                answer.raise_for_status()
                body = await bounded_http.read_body(answer)
                read = untrusted_json.decode(body, type_=_StateResponse)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
            raise EngineUnavailableError(reason(error)) from None
        return EngineState(frozenset(read.models), frozenset(read.adapters), read.role)

    async def send(self, order: Order, *, fence: int) -> None:
        """Send an order to the engine.

        Args:
            order: The order.
            fence: The order's fencing number.

        Raises:
            FencedError: The engine has seen a higher fencing number.
            EngineUnavailableError: The engine did not confirm the order within
                `ORDER_TIMEOUT_S`; it may still carry the order out.
        """
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        body = {"fence": fence, **order._asdict()}
        try:
            async with self.session.post(
                f"{self.url}/orders", json=body, timeout=timeout
            ) as answer:
                if answer.status == 409:
                    text = await bounded_http.read_body(answer)
                    raise FencedError(text[:MAX_REASON_BYTES].decode(errors="replace"))
                answer.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise EngineUnavailableError(reason(error)) from None


def missing_orders(state: EngineState, desired: EngineState) -> list[Order]:
    """Return the orders that load what is missing and set the desired role."""
    orders = [Order("load_model", name) for name in sorted(desired.models)]
    orders += [Order("load_adapter", name) for name in sorted(desired.adapters)]
    loaded = {*_orders_for("load_model", state.models)}
    loaded |= {*_orders_for("load_adapter", state.adapters)}
    missing = [order for order in orders if order not in loaded]
    if state.role != desired.role:
        missing.append(Order("set_role", desired.role))
    return missing


def surplus_orders(state: EngineState, desired: EngineState) -> list[Order]:
    """Return the orders that unload what is not in the desired state."""
    adapters = sorted(state.adapters - desired.adapters)
    models = sorted(state.models - desired.models)
    return [
        *(Order("unload_adapter", name) for name in adapters),
        *(Order("unload_model", name) for name in models),
    ]


def _orders_for(action: str, names: frozenset[str]) -> list[Order]:
    return [Order(action, name) for name in names]
