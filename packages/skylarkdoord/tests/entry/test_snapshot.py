"""Tests of the updates of the settings snapshot."""

import json

from skylarkdoor.clients import ObjectAbsent, ObjectChanged, StoredObject
from skylarkdoord.common import SettingsService
from skylarkdoord.common import _rows as rows
from skylarkdoord.common import _snapshot as snapshot
from skylarkdoord.entry._snapshot import SnapshotWriter


class FakeObjects:
    """A store of one object that another writer can change between read and write."""

    def __init__(self):
        self.data: bytes | None = None
        self.version = 0
        self.next_data: bytes | None = None

    async def read(self, key: str) -> StoredObject:
        """Return the object, then replace it by the other writer's data, if any."""
        if self.data is None:
            raise ObjectAbsent(key)
        stored = StoredObject(self.data, str(self.version))
        if self.next_data is not None:
            self.data, self.next_data = self.next_data, None
            self.version += 1
        return stored

    async def replace(self, key: str, data: bytes, *, etag: str | None) -> None:
        """Write the object if its version is that of the ETag."""
        current = None if self.data is None else str(self.version)
        if etag != current:
            raise ObjectChanged(key)
        self.data = data
        self.version += 1


def row(revision: int) -> rows.SettingsRow:
    """Return a team's settings row with a revision."""
    return rows.SettingsRow(revision, str(revision), "o", "", {"customers": {}})


def writer(objects: FakeObjects, **revisions_by_team: int) -> SnapshotWriter:
    """Return a writer whose process has teams' settings at these revisions."""
    snapshot_writer = SnapshotWriter()
    snapshot_writer.objects = objects
    snapshot_writer.settings = SettingsService()
    for team, revision in revisions_by_team.items():
        snapshot_writer.settings.apply_row(f"/teams/{team}", row(revision))
    return snapshot_writer


def revisions(objects: FakeObjects) -> dict[str, int]:
    """Return the revision of each subtree in the snapshot."""
    stored = snapshot.decode(objects.data).rows
    return {path: row.revision for path, row in stored.items()}


class TestDecode:
    """Tests of `snapshot.decode`."""

    # Guards against one malformed row that hides all settings from a starting process.
    def test_malformed_row(self):
        """A malformed row is left out and named; the others are read."""
        document = json.loads(snapshot.encode({"/teams/a": row(1), "/teams/b": row(2)}))
        for malformed in ({}, {"revision": "2"}, "row", None):
            document["rows"]["/teams/b"] = malformed
            read = snapshot.decode(json.dumps(document).encode())
            assert read.rows == {"/teams/a": row(1)}
            assert list(read.rejected) == ["/teams/b"]

    def test_malformed(self):
        """A snapshot that is malformed as a whole has no rows."""
        for data in (b"", b"{}", b"[]", b'{"rows": 1}'):
            read = snapshot.decode(data)
            assert (read.rows, list(read.rejected)) == ({}, [""])


class TestUpdate:
    """Tests of `SnapshotWriter.update`."""

    # Guards against an update that removes all settings of others.
    async def test_malformed_row(self):
        """An update keeps the valid rows of a snapshot with a malformed one."""
        objects = FakeObjects()
        document = json.loads(snapshot.encode({"/teams/a": row(5), "/teams/b": row(2)}))
        document["rows"]["/teams/b"]["revision"] = "x"
        objects.data = json.dumps(document).encode()
        assert await writer(objects, b=3).update()
        assert revisions(objects) == {"/teams/a": 5, "/teams/b": 3}

    async def test_first_snapshot(self):
        """The first snapshot contains all settings of the process."""
        objects = FakeObjects()
        assert await writer(objects, a=2).update()
        assert revisions(objects) == {"/teams/a": 2}

    async def test_merges(self):
        """The snapshot keeps the highest revision of each subtree."""
        objects = FakeObjects()
        await writer(objects, a=2, b=5).update()
        await writer(objects, a=3, b=4, c=1).update()
        assert revisions(objects) == {"/teams/a": 3, "/teams/b": 5, "/teams/c": 1}

    async def test_race(self):
        """If the snapshot changes after the read, only the next update is written."""
        objects = FakeObjects()
        await writer(objects, a=1).update()
        objects.next_data = snapshot.encode({"/teams/a": row(9)})
        late = writer(objects, a=2, b=1)
        assert not await late.update()
        assert revisions(objects) == {"/teams/a": 9}
        assert await late.update()
        assert revisions(objects) == {"/teams/a": 9, "/teams/b": 1}
