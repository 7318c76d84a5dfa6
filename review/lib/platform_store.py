"""The platform's store, as PROTOCOL.md describes it: tables with a change feed."""

import asyncio
import base64
import copy
import json
import time

from aiohttp import web


class Store:
    """Tables in memory, with linearizable answers.

    Attributes:
        delay_s: Time of an answer, in seconds.
        gate: Called with each request before it is handled; may answer or wait.
        era: Number of times that it came back from an older copy, plus 1.
        is_away: Whether it answers 503.
    """

    def __init__(self, host="127.0.0.1", record=lambda line: None):
        self.host = host
        self.tables = {}
        self.version = 1
        self.changed = asyncio.Condition()
        self.delay_s = 0.004
        self.record = record
        self.started = time.monotonic()
        self.gate = None
        self.history_from = 0
        self.era = 1
        self.is_away = False

    async def start(self):
        """Listen on a free port."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_get("/rows-get", self.get)
        app.router.add_get("/rows-feed", self.feed)
        app.router.add_post("/rows-tx", self.commit)
        app.on_response_prepare.append(self.add_era)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.host, 0)
        await site.start()
        self.port = self.runner.addresses[0][1]
        self.address = f"{self.host}:{self.port}"

    async def stop(self):
        """Close the listener."""
        await self.runner.cleanup()

    async def add_era(self, request, response):
        """Add the era to an answer."""
        response.headers["Store-Era"] = str(self.era)

    def copy(self):
        """Return a copy, from which the store may come back later."""
        return copy.deepcopy(self.tables), self.version

    async def drill(self, older, away_s):
        """Be away for a moment, and come back from an older copy."""
        self.is_away = True
        async with self.changed:
            self.changed.notify_all()
        await asyncio.sleep(away_s)
        self.tables, self.version = copy.deepcopy(older[0]), older[1]
        self.era += 1
        self.is_away = False

    async def put(self, table, key, value):
        """Write a row as the operator or a server; None removes it."""
        data = (
            value
            if value is None or isinstance(value, bytes)
            else json.dumps(value).encode()
        )
        async with self.changed:
            self.version += 1
            self.tables.setdefault(table, {})[key] = (data, self.version)
            self.changed.notify_all()
        return self.version

    def rows(self, table, since=-1):
        """Return the rows of a table, or those changed since a version."""
        rows = []
        items = sorted(self.tables.get(table, {}).items())
        if since >= 0:
            items.sort(key=lambda item: item[1][1])
        for key, (data, version) in items:
            if version <= since or (data is None and since < 0):
                continue
            row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
            if data is None:
                row["deleted"] = True
            else:
                row["data"] = base64.b64encode(data).decode()
            rows.append(row)
        return rows

    def answer(self, rows, status=200):
        """Return an answer with rows."""
        now_ms = int((time.monotonic() - self.started) * 1000)
        body = {
            "rows": rows,
            "hasMore": False,
            "rowVersion": self.version,
            "nowMs": now_ms,
        }
        return web.json_response(body, status=status)

    async def enter(self, request):
        """Return a refusal, or None once the call may be handled."""
        if self.is_away:
            return web.Response(status=503)
        if self.gate is not None:
            answer = await self.gate(request)
            if answer is not None:
                return answer
        await asyncio.sleep(self.delay_s)
        return None

    async def get(self, request):
        """Serve a read."""
        refused = await self.enter(request)
        if refused is not None:
            return refused
        rows = self.rows(request.query["tableName"])
        source, to = request.query.get("source"), request.query.get("to")
        rows = [
            r
            for r in rows
            if (not source or r["key"] >= source) and (not to or r["key"] < to)
        ]
        return self.answer(rows)

    async def feed(self, request):
        """Serve a call that waits for changes."""
        refused = await self.enter(request)
        if refused is not None:
            return refused
        table, since = request.query["tableName"], int(request.query["sinceRevision"])
        era = self.era
        if since < self.history_from or since > self.version:
            return web.json_response({}, status=410)
        try:
            async with asyncio.timeout(int(request.query.get("waitMs", "0")) / 1000):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: self.is_away or self.rows(table, since)
                    )
        except TimeoutError:
            pass
        if self.is_away or self.era != era:
            # A call that was waiting does not outlive the drill.
            return web.Response(status=503)
        return self.answer(self.rows(table, since))

    async def commit(self, request):
        """Write rows if all expected versions hold."""
        refused = await self.enter(request)
        if refused is not None:
            return refused
        body = await request.json()
        for row in [*body.get("write", []), *body.get("remove", [])]:
            if row["tableName"] in ("op", "servers"):
                return web.json_response({}, status=403)
        current, conflict = [], False
        for expected in body.get("expect", []):
            data, version = self.tables.get(expected["tableName"], {}).get(
                expected["key"], (None, 0)
            )
            if data is None:
                version = 0
            else:
                current.append(
                    {
                        "tableName": expected["tableName"],
                        "part": "",
                        "key": expected["key"],
                        "rowVersion": version,
                        "data": base64.b64encode(data).decode(),
                    }
                )
            conflict = conflict or version != expected["rowVersion"]
        if conflict:
            return self.answer(current, status=412)
        async with self.changed:
            self.version += 1
            for row in body.get("write", []):
                data = base64.b64decode(row["data"])
                self.tables.setdefault(row["tableName"], {})[row["key"]] = (
                    data,
                    self.version,
                )
            for row in body.get("remove", []):
                self.tables.setdefault(row["tableName"], {})[row["key"]] = (
                    None,
                    self.version,
                )
            self.changed.notify_all()
        return self.answer([])
