"""Tests of `skylarkdoor settings` against a fake administration API."""

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
    """Return a file with the settings in `FLEET` and one more tier."""
    path = tmp_path / "fleet.jsonc"
    path.write_text(
        '{\n  // tiers\n  "tiers": {\n    "lookup": {"rank": 0},\n'
        '    "swap": {"rank": 1}\n  },\n  "pools": {}\n}\n'
    )
    return path


class TestGet:
    """`settings get`."""

    async def test_text(self, admin):
        """The text output has the revision above the document."""
        admin.responses["GET", "/admin/settings/fleet/tiers"] = (
            200,
            {"revision": 4, "document": FLEET["tiers"]},
        )
        result = await admin.run("settings", "get", "/fleet/tiers")
        assert result.exit_code == ExitCode.OK
        assert result.output.startswith("// /fleet/tiers at revision 4\n{")

    async def test_json(self, admin):
        """The JSON output is one document."""
        admin.responses["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": FLEET},
        )
        result = await admin.run("--json", "settings", "get", "fleet")
        expected = {"path": "/fleet", "revision": 4, "document": FLEET}
        assert json.loads(result.output) == expected

    async def test_token(self, admin, tmp_path):
        """The token is read from the environment or from a file."""
        admin.responses["GET", "/admin/settings/fleet"] = (
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
        """A path outside all subtrees is a usage error."""
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
        body = {"error": {"code": "x", "message": "said so"}}
        admin.responses["GET", "/admin/settings/fleet"] = (status, body)
        result = await admin.run("settings", "get", "/fleet")
        assert result.exit_code == code
        assert "said so" in result.output

    @pytest.mark.parametrize("answer", [[], {"document": {}}, "text"])
    async def test_unexpected_response(self, admin, answer):
        """A response in another format gives an exit status and no traceback."""
        admin.responses["GET", "/admin/settings/fleet"] = (200, answer)
        result = await admin.run("settings", "get", "/fleet")
        assert result.exit_code == ExitCode.UNEXPECTED
        assert "expected" in result.output

    async def test_unreachable(self, admin):
        """An entry that refuses the connection is reported as unavailable."""
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
        """A value is parsed as JSON, or taken as a bare word."""
        admin.responses["PUT", "/admin/settings/fleet/tiers/swap"] = (200, ACCEPTED)
        result = await admin.run(
            "settings", "set", "/fleet/tiers/swap", given, "--expect-revision", "4"
        )
        assert admin.received[0].body == {"document": sent, "expect_revision": 4}
        assert "/fleet is at revision 5" in result.output

    async def test_malformed_value(self, admin):
        """A value that starts like JSON but is malformed is a usage error."""
        result = await admin.run("settings", "set", "/fleet/tiers", "{rank")
        assert result.exit_code == ExitCode.USAGE
        assert admin.received == []

    async def test_conflict(self, admin):
        """A conflict names the other author, the changes and how to retry."""
        admin.responses["PUT", "/admin/settings/fleet/tiers"] = (409, CONFLICT)
        result = await admin.run(
            "settings", "set", "/fleet/tiers", "{}", "--expect-revision", "4"
        )
        assert result.exit_code == ExitCode.CONFLICT
        assert "ada made revision 7 first" in result.output
        assert "changed meanwhile: /fleet/tiers/lookup/rank" in result.output
        assert "--expect-revision 7" in result.output

    async def test_conflict_json(self, admin):
        """The JSON output has the fields of the conflict."""
        admin.responses["DELETE", "/admin/settings/fleet/tiers/x"] = (409, CONFLICT)
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

    async def test_lost_response(self, admin):
        """A change whose response is lost is retried with the same idempotency key."""
        admin.responses["PUT", "/admin/settings/fleet/tiers"] = (200, ACCEPTED)
        admin.connections_to_abort = 1
        result = await admin.run("settings", "set", "/fleet/tiers", "{}")
        assert result.exit_code == ExitCode.OK
        first, second = (request.headers for request in admin.received)
        assert first["Idempotency-Key"] == second["Idempotency-Key"]

    async def test_outcome_unknown(self, admin):
        """A change without any response gives the exit status for unknown outcome."""
        admin.connections_to_abort = 10
        result = await admin.run("settings", "set", "/fleet/tiers", "{}")
        assert result.exit_code == ExitCode.OUTCOME_UNKNOWN

    # Guards against "cannot be reached" for a change that the entry has received.
    async def test_entry_lost(self, admin):
        """A change that the entry received before it ended has an unknown outcome."""
        admin.connections_to_abort = 1
        admin.stops_listening = True
        result = await admin.run("settings", "set", "/fleet/tiers", "{}")
        assert len(admin.received) == 1
        assert result.exit_code == ExitCode.OUTCOME_UNKNOWN

    async def test_store_outcome_unknown(self, admin):
        """A change of which the entry does not know the outcome gives it too."""
        body = {"error": {"message": "timeout", "not_applied": False}}
        admin.responses["PUT", "/admin/settings/fleet/tiers"] = (503, body)
        result = await admin.run("settings", "set", "/fleet/tiers", "{}")
        assert result.exit_code == ExitCode.OUTCOME_UNKNOWN


class TestApply:
    """`settings apply`."""

    async def test_revision_read_first(self, admin, fleet_file):
        """Without --expect-revision, the change expects the revision read before."""
        admin.responses["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": FLEET},
        )
        admin.responses["PUT", "/admin/settings/fleet"] = (200, ACCEPTED)
        result = await admin.run("settings", "apply", str(fleet_file), "/fleet")
        assert result.exit_code == ExitCode.OK
        assert admin.received[-1].body["expect_revision"] == 4

    async def test_new_subtree(self, admin, fleet_file):
        """For a subtree that does not exist, the change expects revision 0."""
        absent = {"error": {"code": "absent", "message": "nothing there"}}
        admin.responses["GET", "/admin/settings/fleet"] = (404, absent)
        admin.responses["PUT", "/admin/settings/fleet"] = (200, ACCEPTED)
        await admin.run("settings", "apply", str(fleet_file), "/fleet")
        assert admin.received[-1].body["expect_revision"] == 0

    async def test_checked_first(self, admin, tmp_path):
        """An invalid file is rejected with its line and is not sent."""
        path = tmp_path / "seed.jsonc"
        path.write_text('{\n"customers": {\n"a": {"tier": 3}}}')
        result = await admin.run("settings", "apply", str(path), "/teams/seed")
        assert result.exit_code == ExitCode.INVALID
        assert f"{path}: line 3: customers.a.tier: expected a string" in result.output
        assert admin.received == []

    async def test_refused_by_entry(self, admin, fleet_file):
        """A problem that only the entry detects is shown with the file's line."""
        problem = {"path": "/fleet/tiers/swap", "message": "is in use"}
        body = {"error": {"message": "invalid", "problems": [problem]}}
        admin.responses["PUT", "/admin/settings/fleet"] = (400, body)
        result = await admin.run(
            "settings", "apply", str(fleet_file), "/fleet", "--expect-revision", "4"
        )
        assert result.exit_code == ExitCode.INVALID
        assert f"{fleet_file}: line 5: /fleet/tiers/swap: is in use" in result.output


class TestDiff:
    """`settings diff`."""

    async def test_differences(self, admin, fleet_file):
        """The output and the exit status report a difference."""
        admin.responses["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": FLEET},
        )
        result = await admin.run("settings", "diff", str(fleet_file), "/fleet")
        assert result.exit_code == ExitCode.DIFFERENT
        assert "+ /fleet/tiers/swap: " in result.output
        assert "lookup" not in result.output

    async def test_same(self, admin, fleet_file):
        """A default value that only one document states is no difference."""
        current = {
            "tiers": {"lookup": {"rank": 0, "deadline_s": 30.0}, "swap": {"rank": 1}},
            "pools": {},
        }
        admin.responses["GET", "/admin/settings/fleet"] = (
            200,
            {"revision": 4, "document": current},
        )
        result = await admin.run("settings", "diff", str(fleet_file), "/fleet")
        assert result.exit_code == ExitCode.OK


class TestHistory:
    """`settings history` and `settings list`."""

    async def test_history(self, admin):
        """Each change is printed as one line."""
        change = {"revision": 2, "author": "ada", "changed_at": "t", "changed": ["/f"]}
        admin.responses["GET", "/admin/history/fleet"] = (200, [change])
        result = await admin.run("settings", "history", "/fleet")
        assert result.output.splitlines()[1].split() == ["2", "ada", "t", "/f"]

    async def test_list(self, admin):
        """Each subtree is printed as one line with its revision."""
        subtree = {"path": "/fleet", "revision": 2, "author": "ada"}
        admin.responses["GET", "/admin/settings"] = (200, {"subtrees": [subtree]})
        result = await admin.run("settings", "list")
        assert result.output.splitlines()[1].split() == ["/fleet", "2", "ada", "-"]
