"""Tests of settings that change while a process runs."""

import asyncio
import json
import os

import pytest

from skylarkdoor.kernel import Kernel
from skylarkdoord.direct import _callers, entry, load_direct, process
from skylarkdoord.direct.process import SettingsFile

SETTINGS = {
    "instance": "edge-1",
    "data_centre": "north",
    "adapter": "skylarkdoor_platform",
    "store": "127.0.0.1:1",
    "listen": {
        "peers": "127.0.0.1:2",
        "metrics": "127.0.0.1:3",
        "callers": "127.0.0.1:4",
        "ready": "127.0.0.1:5",
    },
    "guard_port": 6,
}


@pytest.fixture
def path(tmp_path):
    """Return a settings file."""
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(SETTINGS))
    return path


@pytest.fixture
def file(path):
    """Return the reloader of a process that has just started."""
    return SettingsFile(path, load_direct(path))


@pytest.fixture(autouse=True)
def keep_log(monkeypatch):
    """Keep the log configuration of the tests."""
    monkeypatch.setattr(process.events, "configure", lambda **_: None)


def replace(path, **changes):
    """Replace the settings file atomically, as operators do."""
    new = path.with_suffix(".new")
    new.write_text(json.dumps(SETTINGS | changes))
    os.replace(new, path)


class TestSettingsFile:
    """`SettingsFile`."""

    async def test_changed_without_a_signal(self, file, path, monkeypatch):
        """A changed file is applied without a signal."""
        monkeypatch.setattr(process, "POLL_INTERVAL_S", 0.01)
        applied = asyncio.get_running_loop().create_future()
        file.apply = applied.set_result
        kernel = Kernel()
        await file.start(kernel)
        replace(path, shutdown_timeout_s=3.0)
        async with asyncio.timeout(5):
            assert (await applied).shutdown_timeout_s == 3.0
        kernel.request_stop()

    def test_unchanged(self, file, path):
        """Reading the file does not change its status."""
        path.read_text()
        assert file.file_status() == file.last_status

    def test_temporarily_absent(self, file, path):
        """The process keeps its settings while the file is absent."""
        path.unlink()
        file.apply = lambda _: pytest.fail("nothing may change")
        file.reload()
        assert file.settings.instance == "edge-1"

    def test_invalid(self, file, path, caplog):
        """Invalid settings are logged and not applied."""
        file.apply = lambda _: pytest.fail("nothing may change")
        replace(path, shutdown_timeout_s="soon")
        file.reload()
        (record,) = caplog.records
        assert record.event_name == "reload_failed"
        assert "shutdown_timeout_s" in record.problems[0]

    # Guards against a settings file whose fault is a traceback, and no clear error.
    @pytest.mark.parametrize("text", ["[" * 5000, '{"instance":' * 5000], ids=len)
    def test_nested(self, file, path, caplog, text):
        """The settings stay in force if the file nests too deeply."""
        former = file.settings
        path.write_text(text)
        file.reload()
        assert file.settings == former
        assert caplog.records[-1].event_name == "reload_failed"

    def test_logged(self, file, path, caplog):
        """The log lists the changed settings and those that need a restart."""
        caplog.set_level("INFO", "skylarkdoor")
        replace(path, guard_port=7, return_after_s=1.5)
        file.reload()
        (record,) = caplog.records
        assert sorted(record.changed) == ["guard_port", "return_after_s"]
        assert record.needs_restart == ["guard_port"]


class TestEntry:
    """`entry.build`."""

    async def test_apply(self, path, monkeypatch):
        """Changed settings reach the services that use them."""
        built = []
        original_init = _callers.CallerServer.__init__

        def record_instance(self, *args):
            original_init(self, *args)
            built.append(self)

        monkeypatch.setattr(_callers.CallerServer, "__init__", record_instance)
        apply = entry.build(Kernel(), load_direct(path))
        replace(
            path,
            quota={"window_s": 4.0},
            retry_budget={"ratio": 0.5},
            shutdown_timeout_s=3.0,
        )
        apply(load_direct(path))
        (callers,) = built
        assert callers.shutdown_timeout_s == 3.0
        assert callers.dependencies.quota.bounds.window_s == 4.0
        assert callers.dependencies.retry_limiter.budget.ratio == 0.5
        await callers.dependencies.client.close()
