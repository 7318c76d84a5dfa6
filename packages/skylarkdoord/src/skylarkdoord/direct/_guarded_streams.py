"""Records of streams at guards, which survive the loss of all entries."""

from collections.abc import Iterable

from skylarkdoor.hashing import rendezvous
from skylarkdoor.wire import pb
from skylarkdoord.direct._guard_link import GuardLink
from skylarkdoord.direct._guards import Guards
from skylarkdoord.direct.streams import StreamVersions

# Guards that keep a stream; two, so that one may be lost with its engine.
GUARDS_KEEPING_A_STREAM = 2
# Most guards that are asked for a stream.
MAX_GUARDS_ASKED = 64


class GuardedStreams:
    """Lets guards keep the streams that began, and asks them.

    Args:
        guards: Streams to the guards.
        streams: Versions of streams.
    """

    def __init__(self, guards: Guards, streams: StreamVersions) -> None:
        self.guards = guards
        self.streams = streams
        guards.on_streams = streams.merge
        guards.on_connected = self.on_connected
        streams.share_with_guards = self.share
        streams.ask.append(self.ask)
        streams.is_opening.append(self.is_opening)

    def links(self, service: str) -> dict[str, GuardLink]:
        """Return the streams to the guards of a service, by name of the upstream."""
        return self.guards.by_service.get(service, {})

    def share(self, stream: pb.BegunStream, upstream: str) -> None:
        """Send a stream to the guard of its upstream and to a further one.

        Without that guard, it is sent to two others.
        """
        connected = {
            name: link
            for name, link in self.links(stream.service).items()
            if link.is_connected
        }
        own = connected.pop(upstream, None)
        keeping = [own] if own is not None else []
        names = rendezvous(
            stream.request_id, connected, count=GUARDS_KEEPING_A_STREAM - len(keeping)
        )
        keeping += [connected[name] for name in names]
        for link in keeping:
            link.link.outbox.put(pb.EntryMessage(begun=stream))

    def ask(self, stream: pb.BegunStream) -> None:
        """Ask the guards that may know a stream."""
        for link in self.asked_links(stream):
            if link.is_connected:
                self.ask_guard(link, [stream])

    def asked_links(self, stream: pb.BegunStream) -> list[GuardLink]:
        """Return the streams to the guards that are asked, connected or not.

        They include the one that `share` chose by hashing, if the guards have not
        changed.
        """
        links = self.links(stream.service)
        names = rendezvous(stream.request_id, links, count=MAX_GUARDS_ASKED)
        return [links[name] for name in names]

    def on_connected(self, link: GuardLink) -> None:
        """Ask a guard that has just connected for the streams that are looked up."""
        wanted = [
            stream
            for stream in self.streams.wanted()
            if link in self.asked_links(stream)
        ]
        if wanted:
            self.ask_guard(link, wanted)

    def ask_guard(self, link: GuardLink, streams: Iterable[pb.BegunStream]) -> None:
        """Ask one guard for streams."""
        wanted = pb.StreamsWanted(streams=streams)
        link.link.outbox.put(pb.EntryMessage(streams_wanted=wanted))

    def is_opening(self, service: str) -> bool:
        """Return whether a stream to a guard of a service is being opened."""
        return any(link.is_opening for link in self.links(service).values())
