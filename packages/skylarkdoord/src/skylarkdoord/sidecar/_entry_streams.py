"""Open streams to entries."""

from collections.abc import Callable

from skylarkdoor.wire import pb

Sender = Callable[[pb.SidecarMessage], None]


class EntryStreams:
    """Sends messages to entries whose stream is open."""

    def __init__(self) -> None:
        self.senders: dict[str, Sender] = {}

    def open(self, peer: str, sender: Sender) -> None:
        """Take messages for a stream that opened."""
        self.senders[peer] = sender

    def close(self, peer: str) -> None:
        """Take no more messages for a stream that ended."""
        self.senders.pop(peer, None)

    def send(self, peer: str, message: pb.SidecarMessage) -> None:
        """Send a message if the stream is still open."""
        sender = self.senders.get(peer)
        if sender is not None:
            sender(message)

    def send_all(self, message: pb.SidecarMessage) -> None:
        """Send a message to every entry."""
        for peer in list(self.senders):
            self.send(peer, message)
