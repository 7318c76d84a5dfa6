"""The engine's step loop: continuous batching without priorities."""

import asyncio
import json
import os
import sys
import time
from collections import deque
from typing import NamedTuple

from skylarkdoor_standins._lagged import Lagged
from skylarkdoor_standins.engine._cache_events import CacheEvents
from skylarkdoor_standins.engine._faults import EngineFaults
from skylarkdoor_standins.engine._prefix_cache import BLOCK_TOKENS, PrefixCache
from skylarkdoor_standins.engine._sequence import Sequence
from skylarkdoor_standins.engine._settings import EngineSettings
from skylarkdoor_standins.engine._stats import EngineStats

PREFILL_CHUNK_TOKENS = 512
# Up to this share of the largest batch, a step costs the same.
KNEE_SHARE = 0.5
CRASH_STATUS = 70


class Load(NamedTuple):
    """How busy the engine is."""

    running: int = 0
    waiting: int = 0
    cache_usage: float = 0.0


class Batcher:
    """Runs sequences in steps; each step computes prompts and decodes a token."""

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.faults = EngineFaults(crash_on=settings.crash_on)
        self.stats = EngineStats()
        self.events = CacheEvents(seed=settings.seed)
        self.cache = PrefixCache(settings.cache_tokens, self.events.publish)
        self.load = Lagged(Load(), lag_s=settings.load_lag_s)
        self._running: list[Sequence] = []
        self._waiting: deque[Sequence] = deque()
        self._work = asyncio.Event()

    def submit(self, sequence: Sequence) -> None:
        """Take a sequence in; it waits while the batch is full."""
        self.stats.executions[sequence.request_id] += 1
        self._waiting.append(sequence)
        self._work.set()

    def cancel(self, sequence: Sequence) -> None:
        """Drop a sequence that is not finished; its computed prompt is wasted."""
        if sequence in self._running:
            self._running.remove(sequence)
        elif sequence in self._waiting:
            self._waiting.remove(sequence)
        else:
            return
        self.stats.cancelled += 1
        self.stats.prefill_wasted += sequence.computed
        self._report()

    async def run(self) -> None:
        """Run steps for as long as there is work, forever."""
        while True:
            await self._work.wait()
            self._work.clear()
            while self._running or self._waiting:
                await self._step()

    def step_s(self, prefilled: int, decoding: int) -> float:
        """Return the seconds that a step takes.

        Args:
            prefilled: Prompt tokens computed in it.
            decoding: Sequences that decode a token in it.
        """
        settings = self.settings
        knee = max(1.0, settings.max_batch * KNEE_SHARE)
        prefill_s = prefilled / settings.prefill_tps
        decode_s = max(1.0, decoding / knee) / settings.decode_tps if decoding else 0.0
        return (prefill_s + decode_s) * self.faults.slow_factor / settings.time_scale

    async def _step(self) -> None:
        if self.faults.freeze_s:
            await asyncio.sleep(self.faults.freeze_s)
        started = time.monotonic()
        self._admit()
        prefilled = self._prefill()
        self._crash_if_asked()
        decoding = [item for item in self._running if not item.prefill_left]
        step_s = self.step_s(prefilled, len(decoding))
        self._report()
        await asyncio.sleep(started + step_s - time.monotonic())
        for sequence in decoding:
            sequence.emit()
        self._retire()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.settings.max_batch:
            sequence = self._waiting.popleft()
            # The last token is always computed: it yields the first one decoded.
            usable = (len(sequence.words) - 1) // BLOCK_TOKENS
            held = self.cache.match(sequence.blocks[:usable])
            sequence.cached = held * BLOCK_TOKENS
            self.stats.prefill_cached += sequence.cached
            self._running.append(sequence)

    def _prefill(self) -> int:
        budget = PREFILL_CHUNK_TOKENS
        for sequence in self._running:
            tokens = min(budget, sequence.prefill_left)
            if tokens:
                self._compute(sequence, tokens)
                budget -= tokens
        computed = PREFILL_CHUNK_TOKENS - budget
        self.stats.prefill_computed += computed
        return computed

    def _compute(self, sequence: Sequence, tokens: int) -> None:
        first = (sequence.cached + sequence.computed) // BLOCK_TOKENS
        sequence.computed += tokens
        last = (sequence.cached + sequence.computed) // BLOCK_TOKENS
        for block in sequence.blocks[first:last]:
            self.cache.store(block)

    def _retire(self) -> None:
        finished = [item for item in self._running if item.is_finished]
        self.stats.completed += len(finished)
        self._running = [item for item in self._running if not item.is_finished]
        self._report()

    def _report(self) -> None:
        load = Load(len(self._running), len(self._waiting), self.cache.usage)
        self.load.set(load)

    def _crash_if_asked(self) -> None:
        text = self.faults.crash_on
        if text and any(text in sequence.prompt for sequence in self._running):
            wasted = sum(sequence.computed for sequence in self._running)
            self.stats.prefill_wasted += wasted
            print(json.dumps({"crash": self.stats.as_dict()}), file=sys.stderr)
            sys.stderr.flush()
            os._exit(CRASH_STATUS)
