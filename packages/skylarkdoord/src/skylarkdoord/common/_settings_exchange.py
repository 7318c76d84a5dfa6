"""Exchange of settings between the two ends of a control stream."""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol, TypeAlias

from skylarkdoor.wire import pb
from skylarkdoord.common._held_rows import HeldRows

FETCH_TIMEOUT_S = 1.0
MAX_FETCHES = 64

Message: TypeAlias = pb.EntryMessage | pb.SidecarMessage


class HeldSettings(Protocol):
    """The settings that a process holds and takes."""

    rows: HeldRows

    def seen_revision(self, path: str) -> int:
        """Return the highest revision met at a path."""

    def offer_value(self, path: str, value: bytes) -> None:
        """Apply an encoded settings row if it is valid and newer."""


class Exchange:
    """One stream's part: what its other end is known to hold.

    Args:
        exchanges: The exchanges of this process.
        envelope: The kind of message that this end sends.
        put: Sends a message.
    """

    def __init__(
        self,
        exchanges: "SettingsExchanges",
        envelope: type[pb.EntryMessage] | type[pb.SidecarMessage],
        put: Callable[[Any], None],
    ) -> None:
        self.exchanges = exchanges
        self.envelope = envelope
        self.put = put
        self.known: dict[str, int] = {}
        self.has_told = False

    def tell(self, heads: Mapping[str, int]) -> None:
        """Tell the other end of revisions that it is not known to hold."""
        news = {
            path: revision
            for path, revision in heads.items()
            if self.known.get(path, 0) < revision
        }
        if news:
            self.put(self.envelope(settings_heads=_heads(news)))

    def tell_all(self, heads: Mapping[str, int]) -> None:
        """Tell the other end of every revision, even of none."""
        self.put(self.envelope(settings_heads=_heads(heads)))

    def want(self, paths: Sequence[str]) -> None:
        """Ask the other end for subtrees."""
        wanted = pb.SettingsWanted(paths=paths)
        self.put(self.envelope(settings_wanted=wanted))

    def handle(self, message: Message) -> bool:
        """Handle a message if it is about settings; returns whether it was."""
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
        """Note what the other end holds and fetch what is missing here."""
        self.has_told = self.has_told or bool(heads.heads)
        for head in heads.heads:
            self.known[head.path] = max(head.revision, self.known.get(head.path, 0))
            self.exchanges.on_head(head.path, head.revision)
        self.exchanges.fetch()

    def on_wanted(self, wanted: pb.SettingsWanted) -> None:
        """Send the subtrees that the other end asks for."""
        for path in wanted.paths:
            held = self.exchanges.held.rows
            if path not in held:
                continue
            revision = held.packed[path].revision
            self.known[path] = max(revision, self.known.get(path, 0))
            document = pb.SettingsDocument(path=path, row=held.value(path))
            self.put(self.envelope(settings_document=document))

    def on_document(self, document: pb.SettingsDocument) -> None:
        """Take a subtree over."""
        self.exchanges.held.offer_value(document.path, document.row)
        self.exchanges.on_answered(document.path)

    def close(self) -> None:
        """End with the stream."""
        self.exchanges.remove(self)


class _Fetch(NamedTuple):
    exchange: Exchange
    timer: asyncio.TimerHandle


class SettingsExchanges:
    """The exchanges of a process: spreads what is new, fetches what is missing.

    Args:
        held: The settings of this process.
    """

    def __init__(self, held: HeldSettings) -> None:
        self.held = held
        self.open_exchanges: list[Exchange] = []
        self.missing: dict[str, int] = {}
        self.fetches: dict[str, _Fetch] = {}

    @property
    def is_settled(self) -> bool:
        """Whether a peer told what it holds and nothing of it is missing here."""
        has_heard = any(exchange.has_told for exchange in self.open_exchanges)
        return has_heard and not self.missing

    def open(
        self,
        envelope: type[pb.EntryMessage] | type[pb.SidecarMessage],
        put: Callable[[Any], None],
    ) -> Exchange:
        """Begin an exchange on a stream that opened."""
        exchange = Exchange(self, envelope, put)
        self.open_exchanges.append(exchange)
        exchange.tell_all(self._heads())
        return exchange

    def remove(self, exchange: Exchange) -> None:
        """End an exchange and fetch elsewhere what it was asked for."""
        if exchange in self.open_exchanges:
            self.open_exchanges.remove(exchange)
        lost = [p for p, fetch in self.fetches.items() if fetch.exchange is exchange]
        for path in lost:
            self._end_fetch(path)
        self.fetch()

    def close(self) -> None:
        """End every fetch."""
        for path in list(self.fetches):
            self._end_fetch(path)
        self.open_exchanges.clear()

    def on_applied(self, path: str, revision: int) -> None:
        """Tell the peers of a revision that came into force here."""
        for exchange in self.open_exchanges:
            exchange.tell({path: revision})

    def on_head(self, path: str, revision: int) -> None:
        """Note a revision that some peer holds."""
        if revision > max(self.held.seen_revision(path), self.missing.get(path, 0)):
            self.missing[path] = revision

    def on_answered(self, path: str) -> None:
        """Go on fetching after an answer."""
        self._end_fetch(path)
        self.fetch()

    def fetch(self) -> None:
        """Ask peers for what is missing, within the bound on open fetches."""
        asked: dict[Exchange, list[str]] = {}
        for path, revision in list(self.missing.items()):
            if self.held.seen_revision(path) >= revision:
                del self.missing[path]
                self._end_fetch(path)
                continue
            if path in self.fetches or len(self.fetches) >= MAX_FETCHES:
                continue
            exchange = self._choose(path, revision)
            if exchange is not None:
                self._begin_fetch(path, exchange)
                asked.setdefault(exchange, []).append(path)
        for exchange, paths in asked.items():
            exchange.want(paths)

    def _choose(self, path: str, revision: int) -> Exchange | None:
        able = [e for e in self.open_exchanges if e.known.get(path, 0) >= revision]
        return random.choice(able) if able else None

    def _begin_fetch(self, path: str, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(FETCH_TIMEOUT_S, self.on_answered, path)
        self.fetches[path] = _Fetch(exchange, timer)

    def _end_fetch(self, path: str) -> None:
        fetch = self.fetches.pop(path, None)
        if fetch is not None:
            fetch.timer.cancel()

    def _heads(self) -> dict[str, int]:
        return self.held.rows.revisions()


def _heads(revisions: Mapping[str, int]) -> pb.SettingsHeads:
    heads = [
        pb.SettingsHead(path=path, revision=revision)
        for path, revision in revisions.items()
    ]
    return pb.SettingsHeads(heads=heads)
