"""A server leaves while the channels to the store that were open are silent.

Nobody asks for its service until all machines are in touch again, so that no answer
with `Server-Leaving` has told an entry before.
"""

import asyncio

import fleet

ENTRIES = 4
SERVERS = 5
# From the bounds of the settings.
CONTACT_S = 3.0
DRAIN_S = 2.0
# Margin beside these bounds, in favour of the system.
MARGIN_S = 0.5
# Time for which requests are sent, one from each machine in each interval.
ASKING_S = 5.0
INTERVAL_S = 0.1
# Time from the silence until the server leaves.
LEAVES_AFTER_S = 0.5
# Time from one new server to the next, and from the last to the silence.
ARRIVAL_S = 0.2
# Time for the machines to be in touch after their start.
CALM_S = 6.0


async def run(record, folder, is_troubled, *, leave, state, arrivals):
    """Run the case; return the requests that reached the server too late.

    Args:
        record: Receives what happens.
        folder: Folder for settings and logs.
        is_troubled: Whether the channels go silent.
        leave: Coroutine function with which the store acknowledges the leaving.
        state: What the store then states of the server.
        arrivals: New servers that register just before the silence, as in a release.
    """
    net = fleet.network()
    store = fleet.Store(record, f"{net}.1")
    await store.start()
    proxy = fleet.Proxy(record, f"{net}.2", store.address, "to the store")
    await proxy.start()
    servers = [
        fleet.Server(record, store, f"i-{number}", "desk", f"{net}.{50 + number}")
        for number in range(SERVERS + arrivals)
    ]
    for server in servers:
        await server.start()
    for server in servers[:SERVERS]:
        await server.register()
    await store.put("op", "config", fleet.config(7, fleet.route()))
    machines = [
        fleet.Machine(
            record,
            folder,
            "entry",
            f"edge-{number}",
            f"{net}.{10 + number}",
            proxy.address,
        )
        for number in range(1, ENTRIES + 1)
    ]
    requester = fleet.Requester(record)
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            await machine.until_ready()
        await asyncio.sleep(CALM_S)
        for machine in machines:
            await requester.send(machine, "/desk/before")
        for server in servers[SERVERS:]:
            await server.register()
            await asyncio.sleep(ARRIVAL_S)
        if is_troubled:
            proxy.silence()
        silent_at = record.now()
        await asyncio.sleep(LEAVES_AFTER_S)
        leaver = servers[0]
        leaver.is_leaving = True
        await leave(store, leaver)
        left_at = record.now()
        in_touch_at = silent_at + CONTACT_S + MARGIN_S
        await asyncio.sleep(in_touch_at - record.now())
        record.line("all machines are in touch")
        await ask(record, requester, machines)
    finally:
        for machine in machines:
            await machine.end()
    return [
        f"DRAIN: {attempt} reached {leaver.name} from {requester.sent[attempt][1]}"
        f" {at - left_at:.2f} s after the store had acknowledged that it {state};"
        f" sent {requester.sent[attempt][0] - silent_at:.2f} s after the silence began"
        for attempt, at in leaver.runs
        if requester.sent[attempt][0] >= in_touch_at and at > left_at + DRAIN_S
    ]


async def ask(record, requester, machines):
    """Send requests to all machines for a while."""
    ends = record.now() + ASKING_S
    tasks = []
    while record.now() < ends:
        tasks += [
            asyncio.create_task(requester.send(machine, "/desk/after"))
            for machine in machines
        ]
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
