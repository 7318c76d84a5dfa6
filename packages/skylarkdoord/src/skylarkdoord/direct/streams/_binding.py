"""The version of the software to which one request's stream is bound."""

from collections.abc import Callable

from skylarkdoord.direct._model import Admitted, UpstreamRecord
from skylarkdoord.direct.streams._versions import StreamVersions


class StreamBinding:
    """Binds a stream to the version of the upstream that writes its events.

    The registry lags: an upstream that starts again under its name is listed with its
    former start for a while, and its software may be another one.

    Args:
        admitted: The request.
        streams: Versions of the streams that began.
        find: Returns the record of an upstream; None if none is listed.

    Attributes:
        version: Version of the upstreams that may go on with the stream; None before
            its first event.
        writer: Upstream that wrote the latest event, as it was listed then.
        is_uncertain: Whether another start than the listed one may have written it.
    """

    def __init__(
        self,
        admitted: Admitted,
        streams: StreamVersions,
        find: Callable[[str], UpstreamRecord | None],
    ) -> None:
        self.admitted = admitted
        self.streams = streams
        self.find = find
        self.version: str | None = None
        self.writer: UpstreamRecord | None = None
        self.is_uncertain = False

    def on_event(
        self,
        upstream: UpstreamRecord,
        *,
        is_first: bool,
        is_restarting: bool,
        has_restarted: bool,
    ) -> None:
        """Bind the stream to an upstream's version before an event is passed on.

        Args:
            upstream: The upstream, as it is listed.
            is_first: Whether the event is the first of the answer.
            is_restarting: Whether the upstream may have started again since its record
                was written.
            has_restarted: Whether it is known to have started again. Its former start
                writes no event any more, so another one wrote this event.
        """
        was_uncertain = self.is_uncertain
        if has_restarted or (is_restarting and self.writer is not upstream):
            self.is_uncertain = True
        self.writer = upstream
        if self.version is None:
            self.version = upstream.version
        is_due = is_first or self.is_uncertain != was_uncertain
        if self.admitted.route.is_resumable and is_due:
            version = None if self.is_uncertain else upstream.version
            self.streams.on_begun(self.admitted, version, upstream.instance)

    def may_go_on(self) -> bool:
        """Return whether another upstream of the version may go on with the stream.

        It may not if the upstream that wrote the latest event is listed with a later
        start and another version by now. Then nobody goes on with it, at this entry or
        another one.
        """
        if self.writer is None:
            return True
        listed = self.find(self.writer.instance)
        if listed is not None and is_other_software(listed, self.writer):
            self.is_uncertain = True
            if self.admitted.route.is_resumable:
                self.streams.on_begun(self.admitted, None, listed.instance)
        return not self.is_uncertain


def is_other_software(listed: UpstreamRecord, writer: UpstreamRecord) -> bool:
    """Return whether an upstream has started again with another version."""
    has_restarted = listed.incarnation != writer.incarnation
    return has_restarted and listed.version != writer.version
