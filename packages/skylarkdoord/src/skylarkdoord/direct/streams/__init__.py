"""The software version that began each resumable stream.

`StreamVersions` finds it, `StreamBinding` binds one stream to it, and `StreamRecords`
keeps the streams that have begun. `VersionHistory`, in `StreamVersions`, tells which
versions there have been.
"""

from skylarkdoord.direct.streams._binding import StreamBinding
from skylarkdoord.direct.streams._records import StreamRecords, key_of, to_wire
from skylarkdoord.direct.streams._versions import StreamVersions

__all__ = ["StreamBinding", "StreamRecords", "StreamVersions", "key_of", "to_wire"]
