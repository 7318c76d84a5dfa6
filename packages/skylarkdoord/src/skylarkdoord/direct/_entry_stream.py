"""One entry's end of a stream to another entry."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from skylarkdoor.wire import Outbox, pb

if TYPE_CHECKING:
    from skylarkdoord.direct._exchange import EntryExchange

# Number of the change of the history that an entry was told, before any.
NO_HISTORY_SENT = -1


class UpdatePart(Protocol):
    """A part of updates that another component fills and receives."""

    def fill(self, update: pb.EntryNews, *, is_first: bool) -> None:
        """Add the part to an update; `is_first` tells the first of its stream."""

    def receive(self, update: pb.EntryNews) -> None:
        """Take over the part of another entry's update."""


class EntryStream:
    """This entry's end of a stream to another entry.

    Args:
        exchange: The exchange that the stream belongs to.
        outbox: Returns the queue of outgoing messages.
        peer: Name of the other entry if this one opened the stream.

    Attributes:
        instance: Name of the other entry; empty until its first update.
        wants_config: Whether the next update requests a newer configuration.
        has_sent_totals: Whether the first update of the connection was sent.
        suspicions_sent: Revision of the suspicions that were sent last.
        limits_sent: Number of the change of the limits that was sent last.
        history_sent: Number of the change of the history that was sent last.
    """

    def __init__(
        self,
        exchange: "EntryExchange",
        outbox: Callable[[], Outbox[pb.EntryNews]],
        *,
        peer: str = "",
    ) -> None:
        self.exchange = exchange
        self.outbox = outbox
        self.peer = peer
        self.is_outbound = bool(peer)
        self.instance = ""
        self.wants_config = False
        self.has_sent_totals = False
        self.suspicions_sent = 0
        self.limits_sent = 0
        self.history_sent = NO_HISTORY_SENT

    def opening_messages(self) -> list[pb.EntryNews]:
        """Return no messages; the first update is sent at the first interval."""
        return []

    def batch(self, messages: list[pb.EntryNews]) -> pb.EntryNews:
        """Return the next update, with the messages that wait to be sent."""
        update = self.exchange.build_update(
            request_from=self.instance, wants_config=self.wants_config
        )
        self.wants_config = False
        is_first = not self.has_sent_totals
        if is_first:
            self.has_sent_totals = True
            members = self.exchange.members
            update.totals.update(members.quota.totals())
            update.included_incarnation = members.incarnation_of(self.instance)
        report = self.exchange.members.crashes.report(self.suspicions_sent)
        update.suspects.extend(report.suspects)
        self.suspicions_sent = report.revision
        limits = self.exchange.members.limits.report(self.limits_sent)
        update.limits.extend(limits.limits)
        self.limits_sent = limits.change
        history = self.exchange.members.streams.history
        update.MergeFrom(history.report(self.history_sent))
        self.history_sent = history.change
        for part in self.exchange.parts:
            part.fill(update, is_first=is_first)
        for message in messages:
            update.rows.extend(message.rows)
            update.streams.extend(message.streams)
            update.streams_wanted.extend(message.streams_wanted)
        return update

    def receive(self, batch: pb.EntryNews) -> None:
        """Apply an update of the other entry and answer what it asks for."""
        if not self.instance:
            self.instance = batch.instance
            self.exchange.on_stream(self, batch.address)
        self.exchange.members.receive(batch)
        for part in self.exchange.parts:
            part.receive(batch)
        self.exchange.members.rows.apply(list(batch.rows), batch.instance)
        self.exchange.config_requests.on_update(batch.instance)
        if batch.HasField("wanted"):
            rows = self.exchange.members.rows.newer(batch.wanted)
            self.outbox().put(pb.EntryNews(rows=rows))
        streams = self.exchange.members.streams.answer(batch.streams_wanted)
        if streams:
            self.outbox().put(pb.EntryNews(streams=streams))
        self.exchange.opening.discard(self.peer)

    def request_config(self) -> None:
        """Request a newer configuration with the next update, which is sent at once."""
        self.wants_config = True
        self.outbox().wake()

    def on_open(self) -> None:
        """Register the stream, and ask for the streams that callers came back with."""
        self.exchange.outboxes.add(self.outbox())
        wanted = self.exchange.members.streams.wanted()
        if wanted:
            self.outbox().put(pb.EntryNews(streams_wanted=wanted))

    def on_lost(self, *, is_silent: bool) -> None:
        """Forget what the other entry was sent on this connection."""
        self.exchange.outboxes.discard(self.outbox())
        self.wants_config = False
        self.has_sent_totals = False
        self.suspicions_sent = 0
        self.limits_sent = 0
        self.history_sent = NO_HISTORY_SENT
        self.exchange.opening.discard(self.peer)
        if self.instance:
            self.exchange.members.on_stream_end(self.instance, is_silent=is_silent)
            self.exchange.on_stream_lost(self)
            self.instance = ""
