"""`skylarkdoor settings` against a small API."""

import json

import pytest

from skylarkdoor_client.exceptions import ExitCode

FLEET = {"tiers": {"lookup": {"rank": 0}}, "pools": {}}
CONFLICT = {
    "error": {
        "code": "conflict",
        "message": "ada made revision 7 first",
        "revision": 7,
        "author": "ada",
        "changed": ["/fleet/tiers/lookup/rank"],
    }
}
ACCEPTED = {"subtree": "/fleet", "revision": 5, "changed": ["/fleet/tiers/swap"]}


@pytest.fixture
def fleet_file(tmp_path):
    """Return a file with the fleet's settings and one tier more."""
    path = tmp_path / "fleet.jsonc"
    path.write_text(
        '{\n  // tiers\n  "tiers": {\n    "lookup": {"rank": 0},\n'
        '    "swap": {"rank": 1}\n  },\n  "pools": {}\n}\n'
    )
    return path


class TestGet:
    """`settings get`."""

    async def test_text(self, admin):
        """People see the revision above the document."""
        admin.answers["GET", "/admin/settings/fleet/tiers"] = (
            200,
            {"revision": 4, "document": FLEET["tiers"]},
        )
        result = await admin.run("settings", "get", "/fleet/tiers")
        assert result.exit_code == ExitCode.OK
        assert result.output.startswith("// /fleet/tiers at revision 4\n{")

    async def test_json(self, admin):
        """Programs get one JSON document."""
        admin.answers["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": FLEET},
        )
        result = await admin.run("--json", "settings", "get", "fleet")
        expected = {"path": "/fleet", "revision": 4, "document": FLEET}
        assert json.loads(result.output) == expected

    async def test_token(self, admin, tmp_path):
        """The token comes from the environment or from a file."""
        admin.answers["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 1, "document": {}},
        )
        path = tmp_path / "token"
        path.write_text("from-file\n")
        await admin.run("settings", "get", "/fleet", SKYLARKDOOR_TOKEN="from-env")
        await admin.run("--token-file", str(path), "settings", "get", "/fleet")
        sent = [request.headers["Authorization"] for request in admin.received]
        assert sent == ["Bearer from-env", "Bearer from-file"]

    async def test_path_refused(self, admin):
        """A path outside every subtree is wrong usage."""
        result = await admin.run("settings", "get", "/teams")
        assert result.exit_code == ExitCode.USAGE
        assert "expected a path below /fleet or /teams/NAME" in result.output

    @pytest.mark.parametrize(
        ("status", "code"),
        [
            (401, ExitCode.DENIED),
            (403, ExitCode.DENIED),
            (404, ExitCode.ABSENT),
            (500, ExitCode.UNEXPECTED),
            (502, ExitCode.UNAVAILABLE),
            (503, ExitCode.UNAVAILABLE),
        ],
    )
    async def test_exit_status(self, admin, status, code):
        """Each kind of error has its own exit status and message."""
        said = {"error": {"code": "x", "message": "said so"}}
        admin.answers["GET", "/admin/settings/fleet"] = (status, said)
        result = await admin.run("settings", "get", "/fleet")
        assert result.exit_code == code
        assert "said so" in result.output

    async def test_unreachable(self, admin):
        """An entry that does not listen is unavailable."""
        url = str(admin.server.make_url(""))
        await admin.server.close()
        result = await admin.run("settings", "get", "/fleet", entry=url)
        assert result.exit_code == ExitCode.UNAVAILABLE


class TestSet:
    """`settings set` and `settings delete`."""

    @pytest.mark.parametrize(
        ("given", "sent"),
        [("3", 3), ("lookup", "lookup"), ('"3"', "3"), ('{"rank": 1}', {"rank": 1})],
    )
    async def test_value(self, admin, given, sent):
        """A value is JSON, or a bare word."""
        admin.answers["PUT", "/admin/settings/fleet/tiers/swap"] = (200, ACCEPTED)
        result = await admin.run(
            "settings", "set", "/fleet/tiers/swap", given, "--expect-revision", "4"
        )
        assert admin.received[0].body == {"document": sent, "expect_revision": 4}
        assert "/fleet is at revision 5" in result.output

    async def test_malformed_value(self, admin):
        """A value that begins like JSON and is none is refused."""
        result = await admin.run("settings", "set", "/fleet/tiers", "{rank")
        assert result.exit_code == ExitCode.USAGE
        assert admin.received == []

    async def test_conflict(self, admin):
        """A conflict says who came first, what changed and how to go on."""
        admin.answers["PUT", "/admin/settings/fleet/tiers"] = (409, CONFLICT)
        result = await admin.run(
            "settings", "set", "/fleet/tiers", "{}", "--expect-revision", "4"
        )
        assert result.exit_code == ExitCode.CONFLICT
        assert "ada made revision 7 first" in result.output
        assert "changed meanwhile: /fleet/tiers/lookup/rank" in result.output
        assert "--expect-revision 7" in result.output

    async def test_conflict_json(self, admin):
        """Programs get the conflict as JSON."""
        admin.answers["DELETE", "/admin/settings/fleet/tiers/x"] = (409, CONFLICT)
        result = await admin.run(
            "--json",
            "settings",
            "delete",
            "/fleet/tiers/x",
            "--expect-revision",
            "4",
        )
        error = json.loads(result.stderr)["error"]
        assert (error["code"], error["revision"]) == ("conflict", 7)
        assert admin.received[0].path.endswith("?expect_revision=4")

    async def test_lost_answer(self, admin):
        """A change whose answer is lost is sent again under the same key."""
        admin.answers["PUT", "/admin/settings/fleet/tiers"] = (200, ACCEPTED)
        admin.cut = 1
        result = await admin.run("settings", "set", "/fleet/tiers", "{}")
        assert result.exit_code == ExitCode.OK
        first, second = (request.headers for request in admin.received)
        assert first["Idempotency-Key"] == second["Idempotency-Key"]

    async def test_outcome_unknown(self, admin):
        """A change that is never answered has an exit status of its own."""
        admin.cut = 10
        result = await admin.run("settings", "set", "/fleet/tiers", "{}")
        assert result.exit_code == ExitCode.OUTCOME_UNKNOWN

    async def test_store_outcome_unknown(self, admin):
        """So has one of which the entry itself cannot tell."""
        said = {"error": {"message": "timeout", "not_applied": False}}
        admin.answers["PUT", "/admin/settings/fleet/tiers"] = (503, said)
        result = await admin.run("settings", "set", "/fleet/tiers", "{}")
        assert result.exit_code == ExitCode.OUTCOME_UNKNOWN


class TestApply:
    """`settings apply`."""

    async def test_revision_read_first(self, admin, fleet_file):
        """Without --expect-revision the one just read is expected."""
        admin.answers["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": FLEET},
        )
        admin.answers["PUT", "/admin/settings/fleet"] = (200, ACCEPTED)
        result = await admin.run("settings", "apply", str(fleet_file), "/fleet")
        assert result.exit_code == ExitCode.OK
        assert admin.received[-1].body["expect_revision"] == 4

    async def test_new_subtree(self, admin, fleet_file):
        """A subtree that does not exist yet is expected at revision 0."""
        absent = {"error": {"code": "absent", "message": "nothing there"}}
        admin.answers["GET", "/admin/settings/fleet"] = (404, absent)
        admin.answers["PUT", "/admin/settings/fleet"] = (200, ACCEPTED)
        await admin.run("settings", "apply", str(fleet_file), "/fleet")
        assert admin.received[-1].body["expect_revision"] == 0

    async def test_checked_first(self, admin, tmp_path):
        """A file that is wrong by itself is refused with its line, unsent."""
        path = tmp_path / "seed.jsonc"
        path.write_text('{\n"customers": {\n"a": {"tier": 3}}}')
        result = await admin.run("settings", "apply", str(path), "/teams/seed")
        assert result.exit_code == ExitCode.INVALID
        assert f"{path}: line 3: customers.a.tier: expected a string" in result.output
        assert admin.received == []

    async def test_refused_by_entry(self, admin, fleet_file):
        """A problem that only the entry sees is shown with the file's line."""
        problem = {"path": "/fleet/tiers/swap", "message": "is in use"}
        said = {"error": {"message": "invalid", "problems": [problem]}}
        admin.answers["PUT", "/admin/settings/fleet"] = (400, said)
        result = await admin.run(
            "settings", "apply", str(fleet_file), "/fleet", "--expect-revision", "4"
        )
        assert result.exit_code == ExitCode.INVALID
        assert f"{fleet_file}: line 5: /fleet/tiers/swap: is in use" in result.output


class TestDiff:
    """`settings diff`."""

    async def test_differences(self, admin, fleet_file):
        """What differs is shown and told by the exit status."""
        admin.answers["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": FLEET},
        )
        result = await admin.run("settings", "diff", str(fleet_file), "/fleet")
        assert result.exit_code == ExitCode.DIFFERENT
        assert "+ /fleet/tiers/swap: " in result.output
        assert "lookup" not in result.output

    async def test_same(self, admin, fleet_file):
        """Defaults written out in one of them are no difference."""
        held = {
            "tiers": {"lookup": {"rank": 0, "deadline_s": 30.0}, "swap": {"rank": 1}},
            "pools": {},
        }
        admin.answers["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": held},
        )
        result = await admin.run("settings", "diff", str(fleet_file), "/fleet")
        assert result.exit_code == ExitCode.OK


class TestHistory:
    """`settings history` and `settings list`."""

    async def test_history(self, admin):
        """Each change is a line."""
        change = {"revision": 2, "author": "ada", "changed_at": "t", "changed": ["/f"]}
        admin.answers["GET", "/admin/history/fleet"] = (200, [change])
        result = await admin.run("settings", "history", "/fleet")
        assert result.output.splitlines()[1].split() == ["2", "ada", "t", "/f"]

    async def test_list(self, admin):
        """Each subtree is a line with its revision."""
        subtree = {"path": "/fleet", "revision": 2, "author": "ada"}
        admin.answers["GET", "/admin/settings"] = (200, {"subtrees": [subtree]})
        result = await admin.run("settings", "list")
        assert result.output.splitlines()[1].split() == ["/fleet", "2", "ada", "-"]
