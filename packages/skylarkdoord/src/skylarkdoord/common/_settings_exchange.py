"""Synchronization of settings with the peers over control streams.

Peers send each other the revisions of their subtrees ("heads") and request the
subtrees that they lack.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol, TypeAlias

from skylarkdoor.wire import pb
from skylarkdoord.common._compressed_rows import CompressedRows

FETCH_TIMEOUT_S = 1.0
MAX_FETCHES = 64

Message: TypeAlias = pb.EntryMessage | pb.SidecarMessage


class LocalSettings(Protocol):
    """The settings of this process, as used by the exchanges."""

    rows: CompressedRows

    def highest_revision(self, path: str) -> int:
        """Return the highest revision received for a path, valid or not."""

    def lacks(self, path: str, revision: int) -> bool:
        """Return whether a revision is newer than the active one and not rejected."""

    def apply_encoded_row(self, path: str, value: bytes) -> None:
        """Apply an encoded settings row if it is valid and newer."""


class Exchange:
    """Synchronizes settings with the peer at the other end of one stream.

    Args:
        exchanges: The exchanges of this process.
        envelope: Type of the messages that this end sends.
        send: Sends a message to the peer.
    """

    def __init__(
        self,
        exchanges: "SettingsExchanges",
        envelope: type[pb.EntryMessage] | type[pb.SidecarMessage],
        send: Callable[[Any], None],
    ) -> None:
        self.exchanges = exchanges
        self.envelope = envelope
        self.send = send
        self.peer_revisions: dict[str, int] = {}
        self.has_reported = False

    def send_updates(self, heads: Mapping[str, int]) -> None:
        """Send the revisions that are newer than those known to be at the peer."""
        updates = {
            path: revision
            for path, revision in heads.items()
            if self.peer_revisions.get(path, 0) < revision
        }
        if updates:
            self.send(self.envelope(settings_heads=_heads(updates)))

    def send_all(self, heads: Mapping[str, int]) -> None:
        """Send all revisions, even if there are none."""
        self.send(self.envelope(settings_heads=_heads(heads)))

    def request(self, paths: Sequence[str]) -> None:
        """Request subtrees from the peer."""
        wanted = pb.SettingsWanted(paths=paths)
        self.send(self.envelope(settings_wanted=wanted))

    def handle(self, message: Message) -> bool:
        """Handle a message if it concerns settings; return whether it does."""
        match message.WhichOneof("kind"):
            case "settings_heads":
                self.on_heads(message.settings_heads)
            case "settings_wanted":
                self.on_wanted(message.settings_wanted)
            case "settings_document":
                self.on_document(message.settings_document)
            case _:
                return False
        return True

    def on_heads(self, heads: pb.SettingsHeads) -> None:
        """Record the peer's revisions and fetch subtrees that are newer there."""
        self.has_reported = self.has_reported or bool(heads.heads)
        for head in heads.heads:
            self.peer_revisions[head.path] = max(
                head.revision, self.peer_revisions.get(head.path, 0)
            )
            self.exchanges.on_head(head.path, head.revision)
        self.exchanges.fetch()

    def on_wanted(self, wanted: pb.SettingsWanted) -> None:
        """Send the subtrees that the peer requests."""
        for path in wanted.paths:
            local_rows = self.exchanges.local.rows
            if path not in local_rows:
                continue
            revision = local_rows.compressed[path].revision
            self.peer_revisions[path] = max(revision, self.peer_revisions.get(path, 0))
            document = pb.SettingsDocument(path=path, row=local_rows.value(path))
            self.send(self.envelope(settings_document=document))

    def on_document(self, document: pb.SettingsDocument) -> None:
        """Apply a subtree received from the peer.

        One that is still missing, as the row is malformed, is requested again after the
        timeout only.
        """
        local = self.exchanges.local
        before = local.highest_revision(document.path)
        local.apply_encoded_row(document.path, document.row)
        is_news = local.highest_revision(document.path) > before
        missing = self.exchanges.missing.get(document.path, 0)
        if is_news or not local.lacks(document.path, missing):
            self.exchanges.on_fetch_ended(document.path)

    def close(self) -> None:
        """End the exchange when its stream ends."""
        self.exchanges.remove(self)


class _Fetch(NamedTuple):
    exchange: Exchange
    timer: asyncio.TimerHandle


class SettingsExchanges:
    """The exchanges of this process with all peers.

    Sends new revisions to the peers and fetches missing subtrees from them.

    Args:
        local: The settings of this process.
    """

    def __init__(self, local: LocalSettings) -> None:
        self.local = local
        self.open_exchanges: list[Exchange] = []
        self.missing: dict[str, int] = {}
        self.fetches: dict[str, _Fetch] = {}

    @property
    def is_synchronized(self) -> bool:
        """Whether a peer has reported its revisions and none is missing here."""
        any_reported = any(exchange.has_reported for exchange in self.open_exchanges)
        return any_reported and not self.missing

    def open(
        self,
        envelope: type[pb.EntryMessage] | type[pb.SidecarMessage],
        send: Callable[[Any], None],
    ) -> Exchange:
        """Start an exchange on a newly opened stream."""
        exchange = Exchange(self, envelope, send)
        self.open_exchanges.append(exchange)
        exchange.send_all(self._heads())
        return exchange

    def remove(self, exchange: Exchange) -> None:
        """End an exchange and request its outstanding subtrees from other peers."""
        if exchange in self.open_exchanges:
            self.open_exchanges.remove(exchange)
        lost = [p for p, fetch in self.fetches.items() if fetch.exchange is exchange]
        for path in lost:
            self._end_fetch(path)
        self.fetch()

    def close(self) -> None:
        """Cancel all fetches and end all exchanges."""
        for path in list(self.fetches):
            self._end_fetch(path)
        self.open_exchanges.clear()

    def on_applied(self, path: str, revision: int) -> None:
        """Send the peers a revision that became active in this process."""
        for exchange in self.open_exchanges:
            exchange.send_updates({path: revision})

    def on_head(self, path: str, revision: int) -> None:
        """Record a peer's revision as missing if this process lacks it."""
        if revision > self.missing.get(path, 0) and self.local.lacks(path, revision):
            self.missing[path] = revision

    def on_fetch_ended(self, path: str) -> None:
        """End a fetch that was answered or timed out, and fetch what is missing."""
        self._end_fetch(path)
        self.fetch()

    def fetch(self) -> None:
        """Request missing subtrees from peers, at most `MAX_FETCHES` at a time."""
        requested: dict[Exchange, list[str]] = {}
        self._remove_obtained()
        for path, revision in self.missing.items():
            if path in self.fetches or len(self.fetches) >= MAX_FETCHES:
                continue
            exchange = self._choose_exchange(path, revision)
            if exchange is not None:
                self._begin_fetch(path, exchange)
                requested.setdefault(exchange, []).append(path)
        for exchange, paths in requested.items():
            exchange.request(paths)

    def _remove_obtained(self) -> None:
        """Remove what is active or rejected; a peer may have another revision."""
        for path, revision in list(self.missing.items()):
            if self.local.lacks(path, revision):
                continue
            self._end_fetch(path)
            del self.missing[path]
            for exchange in self.open_exchanges:
                self.on_head(path, exchange.peer_revisions.get(path, 0))

    def _choose_exchange(self, path: str, revision: int) -> Exchange | None:
        candidates = [e for e in self.open_exchanges if self._helps(e, path, revision)]
        return random.choice(candidates) if candidates else None

    def _helps(self, exchange: Exchange, path: str, revision: int) -> bool:
        stated = exchange.peer_revisions.get(path, 0)
        return stated >= revision and self.local.lacks(path, stated)

    def _begin_fetch(self, path: str, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(FETCH_TIMEOUT_S, self.on_fetch_ended, path)
        self.fetches[path] = _Fetch(exchange, timer)

    def _end_fetch(self, path: str) -> None:
        fetch = self.fetches.pop(path, None)
        if fetch is not None:
            fetch.timer.cancel()

    def _heads(self) -> dict[str, int]:
        return self.local.rows.revisions()


def _heads(revisions: Mapping[str, int]) -> pb.SettingsHeads:
    heads = [
        pb.SettingsHead(path=path, revision=revision)
        for path, revision in revisions.items()
    ]
    return pb.SettingsHeads(heads=heads)
