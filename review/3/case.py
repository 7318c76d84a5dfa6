"""One entry from another writer, whose bytes can't be read, appears in the store."""

import asyncio

from requesters import call
from scene import HOST, NotRunError, config, main, route
from servers import Server

# JSON that nests deeper than it ends; an entry may have 65,536 bytes (`rowBytes`).
FOREIGN_ENTRY = b"[" * 2000
WATCHED_S = 30
# Processes that end by themselves three times, on two machines, break the rule.
MOST_ENDS = 2
REQUEST_INTERVAL_S = 0.2


async def case(scene):
    """Put an entry that can't be read into the store."""
    await scene.start_store()
    for number in (1, 2):
        server = Server(
            scene.store, f"i-{number}", "desk", scene.side(number), scene.record
        )
        await scene.add(server)
    services = [{"name": "desk", "healthPath": "/healthz", "maxConnections": 96}]
    await scene.store.put("op", "config", config([route("look", "desk")], services))
    entries = [scene.program("entry", f"edge-{n}", scene.edge(n)) for n in (1, 2)]
    for entry in entries:
        await entry.start()
    await scene.until_ready(entries)
    for entry in entries:
        entry.keep_running()
        answer = await call(entry.frontend, "GET", "/look/first", HOST, scene.record)
        if answer.status != 200:
            raise NotRunError(f"the first request got {answer}")
    if scene.trouble:
        scene.record(
            f"another writer's entry appears: {FOREIGN_ENTRY[:20]!r}..., "
            f"{len(FOREIGN_ENTRY)} bytes"
        )
        await scene.store.put("servers", "foreign-1", FOREIGN_ENTRY)
    since = scene.now()
    served = asked = 0
    while scene.now() - since < WATCHED_S:
        await asyncio.sleep(REQUEST_INTERVAL_S)
        for entry in entries:
            asked += 1
            answer = await call(
                entry.frontend, "GET", "/look/later", HOST, scene.record
            )
            served += answer.status == 200
        if all(len(entry.ends) > MOST_ENDS for entry in entries):
            break
    scene.record(f"served since: {served} of {asked} requests")
    ended = [entry for entry in entries if len(entry.ends) > MOST_ENDS]
    if len(ended) >= 2:
        times = ", ".join(f"{entry.name} {len(entry.ends)} times" for entry in ended)
        scene.fail(
            f"processes ended by themselves with no impairment: {times}; "
            f"{served} of {asked} requests were served meanwhile"
        )
    elif asked and not served:
        scene.fail("no request was served")


main(case, __file__)
