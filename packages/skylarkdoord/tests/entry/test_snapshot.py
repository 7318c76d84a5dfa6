"""The snapshot of the settings."""

from skylarkdoor.clients import ObjectAbsent, ObjectChanged, StoredObject
from skylarkdoord.common import SettingsService
from skylarkdoord.common import _rows as rows
from skylarkdoord.common import _snapshot as snapshot
from skylarkdoord.entry._snapshot import SnapshotWriter


class FakeObjects:
    """One object, which another writer may change between read and write."""

    def __init__(self):
        self.data: bytes | None = None
        self.version = 0
        self.other: bytes | None = None

    async def read(self, key: str) -> StoredObject:
        """Return the object, then have the other writer write."""
        if self.data is None:
            raise ObjectAbsent(key)
        stored = StoredObject(self.data, str(self.version))
        if self.other is not None:
            self.data, self.other = self.other, None
            self.version += 1
        return stored

    async def replace(self, key: str, data: bytes, *, etag: str | None) -> None:
        """Write the object if it is as it was read."""
        held = None if self.data is None else str(self.version)
        if etag != held:
            raise ObjectChanged(key)
        self.data = data
        self.version += 1


def row(revision: int) -> rows.SettingsRow:
    """Return a team's row."""
    return rows.SettingsRow(revision, str(revision), "o", "", {"customers": {}})


def writer(objects: FakeObjects, **held: int) -> SnapshotWriter:
    """Return a writer whose process holds teams at these revisions."""
    made = SnapshotWriter()
    made.objects = objects
    made.settings = SettingsService()
    for team, revision in held.items():
        made.settings.offer(f"/teams/{team}", row(revision))
    return made


def revisions(objects: FakeObjects) -> dict[str, int]:
    """Return the revisions in the snapshot."""
    return {path: row.revision for path, row in snapshot.decode(objects.data).items()}


class TestUpdate:
    """`SnapshotWriter.update`."""

    async def test_first(self):
        """The first snapshot holds what the process holds."""
        objects = FakeObjects()
        assert await writer(objects, a=2).update()
        assert revisions(objects) == {"/teams/a": 2}

    async def test_merges(self):
        """Each subtree keeps its higher revision, whoever wrote it."""
        objects = FakeObjects()
        await writer(objects, a=2, b=5).update()
        await writer(objects, a=3, b=4, c=1).update()
        assert revisions(objects) == {"/teams/a": 3, "/teams/b": 5, "/teams/c": 1}

    async def test_race(self):
        """A writer that lost the race writes nothing and has to try again."""
        objects = FakeObjects()
        await writer(objects, a=1).update()
        objects.other = snapshot.encode({"/teams/a": row(9)})
        late = writer(objects, a=2, b=1)
        assert not await late.update()
        assert revisions(objects) == {"/teams/a": 9}
        assert await late.update()
        assert revisions(objects) == {"/teams/a": 9, "/teams/b": 1}
