"""Tests of the updates of the settings snapshot."""

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
    return {path: row.revision for path, row in snapshot.decode(objects.data).items()}


class TestUpdate:
    """Tests of `SnapshotWriter.update`."""

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
