"""Sends messages on the open streams to entries."""

from collections.abc import Callable

from skylarkdoor.wire import pb

Sender = Callable[[pb.SidecarMessage], None]


class EntryStreams:
    """The senders of the open streams to entries."""

    def __init__(self) -> None:
        self.senders: dict[str, Sender] = {}

    def open(self, peer: str, sender: Sender) -> None:
        """Register the sender of a stream that has opened."""
        self.senders[peer] = sender

    def close(self, peer: str) -> None:
        """Remove the sender of a stream that has ended."""
        self.senders.pop(peer, None)

    def send(self, peer: str, message: pb.SidecarMessage) -> None:
        """Send a message on a stream; it is dropped if the stream has ended."""
        sender = self.senders.get(peer)
        if sender is not None:
            sender(message)

    def send_all(self, message: pb.SidecarMessage) -> None:
        """Send a message on every open stream."""
        for peer in list(self.senders):
            self.send(peer, message)
