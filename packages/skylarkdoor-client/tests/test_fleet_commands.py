"""Tests of `skylarkdoor status`, `drain` and `explain`."""

import json

from skylarkdoor_client.exceptions import ExitCode

INSTANCES = [
    {
        "instance": "entry-1",
        "role": "entry",
        "data_centre": "teika",
        "state": "live",
        "status": {"ready": True, "callers": {"active": 3}},
        "error": None,
    },
    {
        "instance": "sidecar-1",
        "role": "sidecar",
        "data_centre": "teika",
        "pool": "assistant",
        "state": "live",
        "status": {
            "ready": True,
            "scheduler": {
                "running": 4,
                "limit": 8,
                "waiting_by_tier": [0, 2],
                "leaving": True,
                "slowdown": 1.5,
                "straggler": True,
                "upstream_up": True,
            },
        },
        "error": None,
    },
    {
        "instance": "sidecar-2",
        "role": "sidecar",
        "data_centre": "teika",
        "pool": "assistant",
        "state": "leaving",
        "status": None,
        "error": "refused",
    },
]


class TestStatus:
    """`status`."""

    async def test_tables(self, admin):
        """Entries and sidecars are shown with their load and problems."""
        admin.responses["GET", "/admin/instances"] = (200, {"instances": INSTANCES})
        lines = (await admin.run("status")).output.splitlines()
        assert lines[1].split() == ["entry-1", "teika", "live", "yes", "3"]
        assert "4/8" in lines[4]
        assert lines[4].split()[-4:] == ["2", "1.5", "leaving,", "straggler"]
        assert lines[5].endswith("does not answer")

    async def test_json(self, admin):
        """The JSON output is the entry's response."""
        admin.responses["GET", "/admin/instances"] = (200, {"instances": INSTANCES})
        result = await admin.run("--json", "status")
        assert json.loads(result.output) == INSTANCES


class TestDrain:
    """`drain`."""

    async def test_drain(self, admin):
        """The drain order is sent for the named instance."""
        admin.responses["POST", "/admin/drain/sidecar-1"] = (200, {"leaving": True})
        result = await admin.run("drain", "sidecar-1")
        assert result.output == "sidecar-1 takes no new work\n"

    async def test_absent(self, admin):
        """An instance that is not listed gives the exit status for absent."""
        body = {"error": {"message": "no instance 'x' on the list"}}
        admin.responses["POST", "/admin/drain/x"] = (404, body)
        result = await admin.run("drain", "x")
        assert result.exit_code == ExitCode.ABSENT


class TestExplain:
    """`explain`."""

    async def test_text(self, admin):
        """The text has the pool's policy and the reason for each sidecar's rank."""
        first = {"instance": "sidecar-1", "usable": True, "reason": "has_room"}
        second = {"instance": "sidecar-2", "usable": False, "reason": "leaving"}
        body = {
            "pool": "assistant",
            "policy": "late-binding",
            "offers": 3,
            "tier": 1,
            "ranking": [first, second],
        }
        admin.responses["POST", "/admin/explain"] = (200, body)
        arguments = ["--team", "seed", "--customer", "a", "--model", "garden-7b"]
        result = await admin.run("explain", *arguments, "--prompt-tokens", "90")
        assert admin.received[0].body == {
            "team": "seed",
            "customer": "a",
            "model": "garden-7b",
            "prompt_tokens": 90,
            "max_tokens": 0,
        }
        lines = result.output.splitlines()
        assert "policy late-binding: offered to 3 at once" in lines[0]
        assert "has room" in lines[3]
        assert "leaving" in lines[4]

    async def test_absent(self, admin):
        """A customer that does not exist gives the exit status for absent."""
        admin.responses["POST", "/admin/explain"] = (404, {"error": "no such customer"})
        arguments = ["--team", "seed", "--customer", "a", "--pool", "registry"]
        result = await admin.run("explain", *arguments)
        assert result.exit_code == ExitCode.ABSENT
        assert "no such customer" in result.output

    async def test_no_target(self, admin):
        """A call without model and pool is a usage error."""
        result = await admin.run("explain", "--team", "seed", "--customer", "a")
        assert result.exit_code == ExitCode.USAGE
