"""Tests of the client, run as a process, against a real deployment."""

import asyncio
import json
import os
import sys
from typing import NamedTuple

import pytest

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Operator
from skylarkdoor_bench import Cluster, small_demo
from skylarkdoor_client.exceptions import ExitCode

OPERATIONS_TOKEN = "operations-token"
TEAM_TOKEN = "gardens-token"
OPERATORS = {
    "ada": Operator((key_hash(OPERATIONS_TOKEN),), "/"),
    "gardens-lead": Operator((key_hash(TEAM_TOKEN),), "/teams/gardens"),
}
SIDECAR = "sidecar-engine-1"


class CompletedRun(NamedTuple):
    """The exit status and output of one run of the client."""

    status: int
    output: str
    errors: str


class Client:
    """Runs the client against one entry."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.url = cluster.daemons["entry-1"].internal_url

    async def run(self, *arguments: str, token: str = OPERATIONS_TOKEN) -> CompletedRun:
        """Run the client and wait until it ends."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "skylarkdoor_client",
            *arguments,
            env=os.environ
            | {"SKYLARKDOOR_ENTRY": self.url, "SKYLARKDOOR_TOKEN": token},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return CompletedRun(process.returncode, output.decode(), errors.decode())


@pytest.fixture
async def client(start_cluster):
    """Return a client of a small deployment with two operators."""
    deployment = small_demo()
    fleet = deployment.fleet._replace(operators=OPERATORS)
    return Client(await start_cluster(deployment._replace(fleet=fleet)))


class TestSettings:
    """Settings through a real entry."""

    async def test_change_and_conflict(self, client):
        """A change increments the revision; one that expects the old one conflicts."""
        path = "/fleet/tiers/lookup/deadline_s"
        change = ("settings", "set", path, "3", "--expect-revision", "1")
        done = await client.run(*change)
        assert (done.status, done.errors) == (ExitCode.OK, "")
        assert "/fleet is at revision 2" in done.output
        conflict = await client.run(*change)
        assert conflict.status == ExitCode.CONFLICT
        assert "ada made revision 2 first" in conflict.errors
        assert f"changed meanwhile: {path}" in conflict.errors
        read = await client.run("--json", "settings", "get", path)
        assert json.loads(read.output)["document"] == 3
        history = await client.run("settings", "history", path)
        assert history.output.splitlines()[-1].split()[:2] == ["2", "ada"]

    async def test_refused_with_line(self, client, tmp_path):
        """The entry rejects an undefined name; the error has the file's line."""
        team = tmp_path / "gardens.jsonc"
        team.write_text(
            '{"customers": {\n  "a": {\n    "key_hashes": [],\n'
            '    "tier": "gold",\n    "pools": []}}}'
        )
        ended = await client.run("settings", "apply", str(team), "/teams/gardens")
        assert ended.status == ExitCode.INVALID
        assert f"{team}: line 4: /teams/gardens/customers/a/tier" in ended.errors

    async def test_scope(self, client):
        """A team's operator may change only that team's subtree."""
        own = "/teams/gardens/customers/teika-garden/weight"
        done = await client.run("settings", "set", own, "2", token=TEAM_TOKEN)
        assert done.status == ExitCode.OK
        other = "/fleet/tiers/lookup/deadline_s"
        denied = await client.run("settings", "set", other, "2", token=TEAM_TOKEN)
        assert denied.status == ExitCode.DENIED
        unknown = await client.run("settings", "get", own, token="nobody's")
        assert unknown.status == ExitCode.DENIED


class TestFleet:
    """Instances through a real entry."""

    async def test_status(self, client):
        """Every listed instance is shown with its data centre and load."""
        ended = await client.run("status")
        assert ended.status == ExitCode.OK
        (line,) = [line for line in ended.output.splitlines() if SIDECAR in line]
        assert line.split()[:5] == [SIDECAR, "teika", "assistant", "live", "yes"]
        assert "entry-2" in ended.output

    async def test_drain(self, client):
        """A drained sidecar is shown as leaving."""
        before = await client.run("status")
        assert before.status == ExitCode.OK
        assert "leaving" not in before.output
        done = await client.run("drain", SIDECAR)
        assert done.status == ExitCode.OK, done.errors
        after = await client.run("status")
        (line,) = [line for line in after.output.splitlines() if SIDECAR in line]
        assert "leaving" in line

    # Guards against a request that no entry can read.
    async def test_explain(self, client):
        """The sidecars to which a request would be offered are shown, best first."""
        query = ("--team", "gardens", "--customer", "teika-garden")
        model = ("--model", "garden-7b", "--prompt-tokens", "100")
        ended = await client.run("explain", *query, *model)
        assert (ended.status, ended.errors) == (ExitCode.OK, "")
        assert SIDECAR in ended.output
        absent = await client.run("explain", *query, "--model", "none")
        assert absent.status == ExitCode.ABSENT
