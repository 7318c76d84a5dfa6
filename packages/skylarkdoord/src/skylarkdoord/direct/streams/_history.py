"""The versions that each service has had since the deployment's first start.

Load that it answers: all entries restart while a service changes its version, or just
after. What the registry lists then tells nothing about the streams that began before.
"""

from collections.abc import Callable, Iterable

from skylarkdoor import events
from skylarkdoor.clock import boot_time_s
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._metrics import HISTORY_COMPLETE


class VersionHistory:
    """Which versions of each service the registry has listed, at any entry.

    The history is complete if this is the first start of the deployment, or if it was
    taken over from an entry whose history is complete, and if this entry has read the
    whole registry since its start. It ends once all entries have stopped.

    Args:
        fleet: Lists the upstreams.
        is_first_start: Whether the whole deployment starts for the first time.

    Attributes:
        covers_past: Whether what happened before this entry's start is known.
        versions: The only version of each service; None for a service with several.
        change: Number of changes of the history.
        changed_at: Number of the latest change of each service.
        is_current: Returns whether this entry learns of new versions at present.
        on_change: Called after a change.
        pending: Monotonic time at which this entry learned of a further version of a
            service that others may not know yet, in seconds.
        all_know: Returns whether all entries know a version of a service.
        timeout_s: Returns the time after which an entry that does not know a version
            tells no versions from its history any more, in seconds.
        on_announced: Called with a service whose further version may be used.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        is_first_start: bool = False,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.seen: set[tuple[str, str]] = set()
        self.pending: dict[tuple[str, str], float] = {}
        self.all_know: Callable[[str, str], bool] = lambda service, version: True
        self.timeout_s: Callable[[], float] = lambda: 0.0
        self.on_announced: Callable[[str], None] = lambda service: None
        self.covers_past = is_first_start
        self.versions: dict[str, str | None] = {}
        self.change = 0
        self.changed_at: dict[str, int] = {}
        self.was_complete = False
        self.is_current: Callable[[], bool] = lambda: True
        self.on_change: Callable[[], None] = lambda: None
        self.log = events.get_logger("direct.version_history")
        fleet.on_upstreams.append(self.update)

    @property
    def is_complete(self) -> bool:
        """Whether no version since the deployment's first start is missing."""
        return self.covers_past and self.fleet.is_read

    def update(self) -> None:
        """Add the versions that are listed now."""
        before = dict(self.versions)
        for cached in self.fleet.cached_rows.values():
            if cached.record is not None:
                self.add(cached.record.service, cached.record.version)
        self.notify(before)

    def add(self, service: str, version: str | None) -> None:
        """Add a version of a service; None if it had several."""
        if version is not None and (service, version) not in self.seen:
            self.seen.add((service, version))
            if service in self.versions:
                self.pending[service, version] = self.clock()
        if self.versions.setdefault(service, version) != version:
            self.versions[service] = None

    def may_begin(self, service: str, version: str) -> bool:
        """Return whether streams may begin at a version of a service.

        They may once all entries know that the service has this version besides
        others, or have lost the right to tell the only version from their history.
        """
        learned_at = self.pending.get((service, version))
        if learned_at is None:
            return True
        waited_s = self.clock() - learned_at
        return self.all_know(service, version) or waited_s >= self.timeout_s()

    def check_pending(self) -> None:
        """Let the versions be used that all others know by now."""
        for service, version in list(self.pending):
            if self.may_begin(service, version):
                del self.pending[service, version]
                self.on_announced(service)

    def notify(self, before: dict[str, str | None]) -> None:
        """Count a change of the versions, or that the history has become complete."""
        if self.versions == before and self.is_complete == self.was_complete:
            return
        self.was_complete = self.is_complete
        HISTORY_COMPLETE.set(self.is_complete)
        self.change += 1
        for service, version in self.versions.items():
            if service not in before or before[service] != version:
                self.changed_at[service] = self.change
        self.on_change()

    def only_version(self, service: str) -> str | None:
        """Return the only version that a service has had since the first start.

        Returns None if there were several, or if it can't be told.
        """
        if not self.is_complete or not self.is_current():
            return None
        return self.versions.get(service)

    def report(self, since: int) -> pb.EntryNews:
        """Return what another entry has not been told of the history.

        Args:
            since: Number of the change that the entry was told last; -1 for none.
        """
        if since == self.change:
            return pb.EntryNews()
        history = [
            pb.ServiceVersions(service=service, several=True)
            if version is None
            else pb.ServiceVersions(service=service, versions=[version])
            for service, version in self.versions.items()
            if self.changed_at[service] > since
        ]
        return pb.EntryNews(history=history, history_complete=self.is_complete)

    def merge(
        self, history: Iterable[pb.ServiceVersions], source: str, *, is_complete: bool
    ) -> None:
        """Add the history of another entry.

        Args:
            history: Versions of each service.
            source: Name of the other entry, for logs.
            is_complete: Whether its history is complete.
        """
        before = dict(self.versions)
        for service in history:
            for version in service.versions:
                self.add(service.service, version)
            if service.several:
                self.add(service.service, None)
        if is_complete and not self.covers_past:
            self.covers_past = True
            self.log.event(
                _events.VERSION_HISTORY_TAKEN, peer=source, services=len(self.versions)
            )
        self.notify(before)
