"""Tests of the configuration of an entry that callers crowd."""

import asyncio
import time

from ._control import Caller, TwoServices, chunk_senders, open_silent

# The rule: a request that is sent later than this after the acknowledgement of a
# configuration runs by it.
APPLY_S = 3.0
# One that is sent then has to be answered within the timeout of its route.
ROUTE_TIMEOUT_S = 4.0
CROWD = 200
KEPT = 12
WARM_UP_S = 2.0
# The kept connections send their first requests one after another, some of them late.
BETWEEN_FIRST_S = 0.5
PAUSE_S = 0.2
DESCRIPTORS = 400
SILENT = 500
STORE_AWAY_S = 1.0


class TestChunksOfOneByte:
    """Bodies in chunks of one byte."""

    # Guards against callers' bytes that keep the event loop from the configuration.
    async def test_route_moved(self, tmp_path):
        """The moved route is in force in time, and the entry goes on serving."""
        async with TwoServices(tmp_path) as services:
            callers = [
                Caller(*await asyncio.open_connection(*services.address))
                for _ in range(KEPT)
            ]
            async with chunk_senders(services.address, CROWD):
                await asyncio.sleep(WARM_UP_S)
                asking = [
                    asyncio.create_task(
                        caller.ask(f"kept{number}", number * BETWEEN_FIRST_S, PAUSE_S)
                    )
                    for number, caller in enumerate(callers)
                ]
                await services.route_to("new")
                acknowledged = time.monotonic()
                await asyncio.sleep(APPLY_S + ROUTE_TIMEOUT_S)
                in_time = len(services.new.requests)
            is_served = await services.has_answered(within_s=10.0)
            for task in asking:
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)
            sent = {name: at for caller in callers for name, at in caller.sent.items()}
            late = [
                sent[name] - acknowledged
                for request in services.old.requests
                if (name := request.header("Attempt-Id")[0].partition(":")[0]) in sent
                and sent[name] > acknowledged + APPLY_S
            ]
            assert services.entry.process.returncode is None
        assert not late
        assert in_time
        assert is_served


class TestSilentConnections:
    """More connections that send nothing than the entry has descriptors."""

    # Guards against callers that leave no descriptor for the store and upstreams.
    async def test_store_lost(self, tmp_path):
        """The entry serves and hears of a moved route after a loss of the store."""
        async with TwoServices(tmp_path, descriptors=DESCRIPTORS) as services:
            kept = Caller(*await asyncio.open_connection(*services.address))
            assert await kept.get("before") == 200
            silent = await open_silent(services.address, SILENT)
            await services.lose_store(STORE_AWAY_S)
            is_served = await services.has_answered(within_s=ROUTE_TIMEOUT_S)
            await services.route_to("new")
            await asyncio.sleep(APPLY_S)
            is_moved = await services.has_answered(within_s=ROUTE_TIMEOUT_S)
            at_new = len(services.new.requests)
            async with asyncio.timeout(ROUTE_TIMEOUT_S):
                assert await kept.get("after") == 200
            assert services.entry.process.returncode is None
            for connection in silent:
                connection.close()
        assert is_served
        assert is_moved
        assert at_new == 1
