"""Tests of the adapter's rows of roll-outs and of the settings' template."""

import json
import re

import pytest

from skylarkdoor_platform import adapter
from skylarkdoor_platform._store import PlatformStore
from skylarkdoord.direct import OrderedVersion, RolloutStatus, load_direct
from skylarkdoord.direct.exceptions import ConflictError, RowError, StoreError
from tests.docs._pages import DOCS

KEY = "rollout/desk"
ORDER = {"service": "desk", "to": "v2", "durationS": 12}
TABLE = "skylarkdoor-rollouts"
VALUES = {
    "nodeName|json": '"edge-1"',
    "zone|json": '"north"',
    "platform.address|json": '"127.0.0.1:1"',
    "listen.frontend|json": '"127.0.0.1:2"',
    "listen.ready|json": '"127.0.0.1:3"',
    "ip": "127.0.0.1",
    "internalPortRange.0": "7700",
    "bootstrap": "true",
}
BOUNDS = {
    "bounds.exposureFraction": "0.1",
    "bounds.exposureTolerance": "50",
    "bounds.rollbackMs": "5000",
}


def render(template, values):
    """Return a template with its sections and placeholders filled in."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    text = section.sub(lambda m: m[2] if m[1] in values else "", template)
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: values.get(m[1], "1"), text)


@pytest.fixture
async def client(store):
    """Return a client of the store."""
    client = PlatformStore(store.address)
    yield client
    await client.close()


class TestOrder:
    """The operator's orders."""

    def test_order(self):
        """An order is decoded."""
        decoded = adapter.decode_rollout(KEY, json.dumps(ORDER).encode())
        assert decoded == OrderedVersion("desk", "v2", 12)

    def test_other_row(self):
        """Other rows of the table are no orders."""
        assert adapter.decode_rollout("config", b"x") is None

    @pytest.mark.parametrize(
        ("changes", "field"),
        [
            ({"service": None}, "service"),
            ({"service": "other"}, "service"),
            ({"to": 2}, "to"),
            ({"to": ""}, "to"),
            ({"durationS": "12"}, "durationS"),
            ({"durationS": 0}, "durationS"),
            ({"durationS": -1}, "durationS"),
            ({"durationS": True}, "durationS"),
            ({"durationS": 1e12}, "durationS"),
        ],
    )
    def test_malformed(self, changes, field):
        """The error names the field."""
        with pytest.raises(RowError, match=field):
            adapter.decode_rollout(KEY, json.dumps(ORDER | changes).encode())

    @pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"NaN"])
    def test_no_object(self, data):
        """What is no JSON object is refused."""
        with pytest.raises(RowError):
            adapter.decode_rollout(KEY, data)


class TestStatus:
    """The status for the operator."""

    def test_fields(self):
        """A status has exactly two fields, under the order's key."""
        data = adapter.encode_rollout_status(RolloutStatus("completed", "v2"))
        assert json.loads(data) == {"state": "completed", "to": "v2"}
        assert adapter.decode_rollout_status(data) == RolloutStatus("completed", "v2")
        assert adapter.rollout_key("desk") == KEY

    @pytest.mark.parametrize("state", ["done", None, 1])
    def test_malformed(self, state):
        """An unknown state is refused."""
        with pytest.raises(RowError, match="state"):
            adapter.decode_rollout_status(json.dumps({"state": state}).encode())


class TestPutIf:
    """`PlatformStore.put_if`."""

    async def test_new_row(self, store, client):
        """A row that must not exist is written once."""
        written = await client.put_if("rollouts", "desk", b"one", 0)
        assert written.version == store.tables[TABLE]["desk"][1]
        with pytest.raises(ConflictError) as caught:
            await client.put_if("rollouts", "desk", b"two", 0)
        assert caught.value.row.data == b"one"
        assert caught.value.row.version == written.version
        assert store.tables[TABLE]["desk"][0] == b"one"

    async def test_expected(self, store, client):
        """A row is replaced only at its version."""
        first = await client.put_if("statuses", "a", b"one", 0)
        await client.put_if("statuses", "a", b"two", first.version)
        with pytest.raises(ConflictError) as caught:
            await client.put_if("statuses", "a", b"three", first.version)
        assert caught.value.row.data == b"two"
        assert store.tables["status"]["a"][0] == b"two"

    async def test_removed(self, store, client):
        """A conflict over a row that was removed has no row."""
        first = await client.put_if("rollouts", "a", b"one", 0)
        await client.remove("rollouts", "a")
        with pytest.raises(ConflictError) as caught:
            await client.put_if("rollouts", "a", b"two", first.version)
        assert caught.value.row is None

    async def test_lost_answer(self, store, client):
        """A lost answer is an error, not a conflict, although the row was written."""
        store.lost_answers.add(TABLE)
        with pytest.raises(StoreError) as caught:
            await client.put_if("rollouts", "a", b"one", 0)
        assert not isinstance(caught.value, ConflictError)
        assert store.tables[TABLE]["a"][0] == b"one"


class TestTemplate:
    """The template of an entry's settings."""

    @pytest.mark.parametrize("bounds", [{}, BOUNDS])
    def test_rollouts(self, tmp_path, bounds):
        """The section is there only where the deployment states the bounds."""
        template = (DOCS.parent / "deploy" / "entry.json").read_text()
        path = tmp_path / "boot.conf"
        path.write_text(render(template, VALUES | bounds))
        rollouts = load_direct(path).rollouts
        assert rollouts == ((0.1, 50.0, 5.0) if bounds else None)
