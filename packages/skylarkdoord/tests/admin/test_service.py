"""Tests of the operators' API: changes, conflicts, scopes and outages."""

import asyncio

import pytest

from skylarkdoor.hashing import key_hash

CUSTOMER = {"key_hashes": ["b" * 64], "tier": "batch", "pools": ["registry"]}


class TestChange:
    """Changes that are accepted."""

    async def test_sub_path(self, admin):
        """Setting one value in a subtree increases the subtree's revision by one."""
        answer = await admin.put("/teams/seed/customers/desk/weight", 2.5)
        assert answer.body == {
            "subtree": "/teams/seed",
            "revision": 2,
            "changed": ["/teams/seed/customers/desk/weight"],
        }
        read = await admin.get("/teams/seed/customers/desk/weight")
        assert (read.body["document"], read.body["revision"]) == (2.5, 2)

    async def test_applied_immediately(self, admin):
        """The process that accepts a change applies it before it responds."""
        await admin.put("/teams/seed/customers/other", CUSTOMER)
        assert admin.settings.view.resolve("b" * 64).customer_name == "other"

    async def test_delete(self, admin):
        """A deleted team is not found; if it is recreated, its revisions continue."""
        answer = await admin.call("DELETE", "/settings/teams/seed")
        assert answer.body["revision"] == 2
        assert (await admin.get("/teams/seed")).status == 404
        assert admin.settings.view.resolve("a" * 64) is None
        again = await admin.put("/teams/seed", {"customers": {}})
        assert again.body["revision"] == 3

    async def test_history(self, admin):
        """Each change is listed with its author and the changed paths."""
        await admin.put("/teams/seed/customers/other", CUSTOMER)
        changes = (await admin.call("GET", "/history/teams/seed")).body
        assert [change["revision"] for change in changes] == [1, 2]
        assert changes[1]["changed"] == ["/teams/seed/customers/other"]
        assert changes[1]["author"] == "deployment"

    async def test_history_is_bounded(self, admin):
        """Only the last fifty changes are retained."""
        for number in range(60):
            await admin.put("/teams/seed/customers/desk/weight", 1.5 + number)
        changes = (await admin.call("GET", "/history/teams/seed")).body
        assert [change["revision"] for change in changes] == list(range(12, 62))


class TestConflict:
    """Concurrent changes by several operators."""

    async def test_expected_revision(self, admin):
        """A change that expects an old revision gets the later changes and author."""
        await admin.put("/teams/seed/customers/desk/weight", 2.0, token="seed-token")
        answer = await admin.put("/teams/seed/customers/other", CUSTOMER, expect=1)
        assert answer.status == 409
        error = answer.body["error"]
        assert (error["code"], error["revision"]) == ("conflict", 2)
        assert error["author"] == "seed-team"
        assert error["changed"] == ["/teams/seed/customers/desk/weight"]

    async def test_one_accepted(self, admin):
        """Of concurrent changes that expect one revision, exactly one is accepted."""
        answers = await asyncio.gather(
            *(
                admin.put("/teams/seed/customers/desk/weight", 2.0 + n, expect=1)
                for n in range(8)
            )
        )
        assert sorted(answer.status for answer in answers) == [200] + [409] * 7

    async def test_different_sub_paths(self, admin):
        """Concurrent changes to different sub-paths are all accepted and kept."""
        names = ["one", "two", "three"]
        answers = await asyncio.gather(
            *(
                admin.put(
                    f"/teams/seed/customers/{name}",
                    CUSTOMER | {"key_hashes": [key_hash(name)]},
                )
                for name in names
            )
        )
        assert {answer.status for answer in answers} == {200}
        stored = (await admin.get("/teams/seed/customers")).body["document"]
        assert set(stored) == {"desk", *names}

    async def test_teams_never_conflict(self, admin):
        """Concurrent changes to different teams are all accepted."""
        answers = await asyncio.gather(
            *(
                admin.put(f"/teams/team-{n}", {"customers": {}}, expect=0)
                for n in range(8)
            )
        )
        assert {answer.status for answer in answers} == {200}

    async def test_fleet_against_team(self, admin):
        """If a pool is removed and used concurrently, only one change is accepted."""
        for number in range(10):
            pool = f"pool-{number}"
            await admin.put(f"/fleet/pools/{pool}", {"kind": "service"})
            customer = {**CUSTOMER, "pools": [pool]}
            used, removed = await asyncio.gather(
                admin.put(f"/teams/seed/customers/c-{number}", customer),
                admin.call("DELETE", f"/settings/fleet/pools/{pool}"),
            )
            assert sorted((used.status, removed.status)) == [200, 400]


class TestRefusal:
    """Changes that are invalid or not allowed."""

    async def test_pool_in_use(self, admin):
        """A pool that a team uses cannot be removed; the error names the use."""
        answer = await admin.call("DELETE", "/settings/fleet/pools/assistant")
        assert answer.status == 400
        (problem,) = answer.body["error"]["problems"]
        assert problem["path"] == "/teams/seed/customers/desk/pools"

    async def test_unknown_field(self, admin):
        """An unknown field is rejected, and the error names it."""
        answer = await admin.put("/teams/seed/customers/desk/colour", 1)
        assert answer.status == 400
        assert "colour" in answer.body["error"]["message"]

    async def test_scope(self, admin):
        """A team's operator may change only that team."""
        other = await admin.put("/teams/other", {"customers": {}}, token="seed-token")
        prefix = await admin.put("/teams/seed-2", {"customers": {}}, token="seed-token")
        own = await admin.put("/teams/seed/customers/c", CUSTOMER, token="seed-token")
        assert (other.status, prefix.status, own.status) == (403, 403, 200)
        assert other.body["error"]["code"] == "scope"

    async def test_token(self, admin):
        """A request without a valid operator token is refused."""
        assert (await admin.get("/fleet", token="nobody")).status == 401

    @pytest.mark.parametrize("path", ["/team/seed", "/teams", "/teams/a%20b"])
    async def test_path(self, admin, path: str):
        """A path outside every subtree is refused."""
        assert (await admin.put(path, {})).status == 400


class TestOutage:
    """Changes while the table fails."""

    async def test_down(self, admin):
        """The error response states that the change was not applied."""
        await admin.fault("table", "down")
        answer = await admin.put("/teams/seed/customers/other", CUSTOMER)
        assert answer.status == 503
        assert answer.body["error"]["not_applied"] is True
        assert int(answer.headers["Retry-After"]) > 0

    async def test_lost_acknowledgement(self, admin):
        """After one lost acknowledgement, the change is confirmed and applied once."""
        await admin.fault("table", "lost_ack", count=1)
        answer = await admin.put("/teams/seed/customers/other", CUSTOMER)
        assert (answer.status, answer.body["revision"]) == (200, 2)
        history = await admin.call("GET", "/history/teams/seed")
        assert [change["revision"] for change in history.body] == [1, 2]

    async def test_all_acknowledgements_lost(self, admin):
        """If the outcome is unknown, the change is not reported as not applied."""
        await admin.fault("table", "lost_ack")
        answer = await admin.put("/teams/seed/customers/other", CUSTOMER)
        assert answer.status == 503
        assert answer.body["error"]["not_applied"] is False

    async def test_retry(self, admin):
        """A retry with the same idempotency key gets the first result."""
        headers = {"Idempotency-Key": "one"}
        path = "/teams/seed/customers/other"
        await admin.fault("table", "lost_ack")
        await admin.put(path, CUSTOMER, headers=headers)
        await admin.fault("table", "ok")
        answer = await admin.put(path, CUSTOMER, expect=1, headers=headers)
        assert (answer.status, answer.body["revision"]) == (200, 2)

    async def test_late_retry(self, admin):
        """A retry that arrives after a later change does not undo that change."""
        headers = {"Idempotency-Key": "one"}
        path = "/teams/seed/customers/desk/weight"
        first = await admin.put(path, 2.0, headers=headers)
        await admin.put(path, 3.0)
        again = await admin.put(path, 2.0, headers=headers)
        assert again.body == first.body
        assert (await admin.get(path)).body["document"] == 3.0

    async def test_stale_data(self, admin):
        """A change based on stale data from the table cannot revert another change."""
        await admin.fault("table", "stale")
        assert (await admin.put("/teams/seed/customers/a", CUSTOMER)).status == 200
        answer = await admin.put("/teams/seed/customers/b", CUSTOMER)
        assert answer.status == 503
        await admin.fault("table", "ok")
        stored = (await admin.get("/teams/seed/customers")).body["document"]
        assert set(stored) == {"desk", "a"}
