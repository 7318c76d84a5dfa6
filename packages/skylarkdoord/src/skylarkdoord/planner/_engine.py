"""The engine beside this sidecar, as orders see it."""

from typing import NamedTuple

import aiohttp
import msgspec

from skylarkdoord.planner.exceptions import EngineSilentError, FencedError

READ_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 4.0


class EngineState(NamedTuple):
    """What an engine carries."""

    models: frozenset[str]
    adapters: frozenset[str]
    role: str


class Order(NamedTuple):
    """One thing that an engine is told to do."""

    action: str
    name: str


class _State(msgspec.Struct):
    models: list[str]
    adapters: list[str]
    role: str


class Engine:
    """Reads an engine's state and sends it orders.

    Args:
        url: The engine's base URL.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def state(self) -> EngineState:
        """Return what the engine carries.

        Raises:
            EngineSilentError: It does not answer.
        """
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self.session.get(f"{self.url}/state", timeout=timeout) as answer:
                answer.raise_for_status()
                read = msgspec.json.decode(await answer.read(), type=_State)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
            raise EngineSilentError(repr(error)) from None
        return EngineState(frozenset(read.models), frozenset(read.adapters), read.role)

    async def send(self, order: Order, *, fence: int) -> None:
        """Have an order carried out.

        Args:
            order: The order.
            fence: Its fencing number.

        Raises:
            FencedError: The engine has seen a newer number.
            EngineSilentError: There was no answer in time.
        """
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        body = {"fence": fence, **order._asdict()}
        try:
            async with self.session.post(
                f"{self.url}/orders", json=body, timeout=timeout
            ) as answer:
                if answer.status == 409:
                    raise FencedError(await answer.text())
                answer.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise EngineSilentError(repr(error)) from None


def missing_orders(state: EngineState, wanted: EngineState) -> list[Order]:
    """Return the orders that give an engine what it lacks."""
    orders = [Order("load_model", name) for name in sorted(wanted.models)]
    orders += [Order("load_adapter", name) for name in sorted(wanted.adapters)]
    held = {*_named("load_model", state.models)}
    held |= {*_named("load_adapter", state.adapters)}
    lacking = [order for order in orders if order not in held]
    if state.role != wanted.role:
        lacking.append(Order("set_role", wanted.role))
    return lacking


def surplus_orders(state: EngineState, wanted: EngineState) -> list[Order]:
    """Return the orders that rid an engine of what it need not carry."""
    adapters = sorted(state.adapters - wanted.adapters)
    models = sorted(state.models - wanted.models)
    return [
        *(Order("unload_adapter", name) for name in adapters),
        *(Order("unload_model", name) for name in models),
    ]


def _named(action: str, names: frozenset[str]) -> list[Order]:
    return [Order(action, name) for name in names]
