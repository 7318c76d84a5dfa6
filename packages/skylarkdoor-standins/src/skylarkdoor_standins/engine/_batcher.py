"""Step loop of the engine: continuous batching in order of arrival."""

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
# A decode step takes a constant time up to this share of max_batch; beyond it, the
# time grows in proportion to the number of sequences.
KNEE_SHARE = 0.5
CRASH_EXIT_STATUS = 70


class Load(NamedTuple):
    """The engine's load: requests in the batch, requests queued and cache usage."""

    running: int = 0
    waiting: int = 0
    cache_usage: float = 0.0


class Batcher:
    """Runs sequences in steps.

    Each step prefills a limited number of prompt tokens and decodes one token of each
    sequence whose prompt is computed.
    """

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.faults = EngineFaults(crash_on=settings.crash_on)
        self.stats = EngineStats()
        self.events = CacheEvents(seed=settings.seed)
        self.cache = PrefixCache(settings.cache_tokens, self.events.publish)
        self.load = Lagged(Load(), lag_s=settings.load_lag_s)
        self._running: list[Sequence] = []
        self._waiting: deque[Sequence] = deque()
        self._work_available = asyncio.Event()

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence; it joins the batch when there is room."""
        self.stats.executions[sequence.request_id] += 1
        self._waiting.append(sequence)
        self._work_available.set()

    def cancel(self, sequence: Sequence) -> None:
        """Remove an unfinished sequence and count its computed prompt as wasted.

        A finished sequence is left unchanged.
        """
        if sequence in self._running:
            self._running.remove(sequence)
        elif sequence in self._waiting:
            self._waiting.remove(sequence)
        else:
            return
        self.stats.cancelled += 1
        self.stats.prefill_wasted += sequence.computed_tokens
        self._publish_load()

    async def run(self) -> None:
        """Run steps while there are sequences, and wait for more; never returns."""
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            while self._running or self._waiting:
                await self._step()

    def step_duration_s(self, prefilled: int, decoding: int) -> float:
        """Return the duration of a step in seconds.

        Args:
            prefilled: The number of prompt tokens computed in the step.
            decoding: The number of sequences that decode a token in the step.
        """
        settings = self.settings
        knee = max(1.0, settings.max_batch * KNEE_SHARE)
        prefill_s = prefilled / settings.prefill_tps
        decode_s = max(1.0, decoding / knee) / settings.decode_tps if decoding else 0.0
        return (prefill_s + decode_s) * self.faults.slow_factor / settings.time_scale

    async def _step(self) -> None:
        if self.faults.remaining_freeze_s:
            await asyncio.sleep(self.faults.remaining_freeze_s)
        started = time.monotonic()
        self._admit()
        prefilled = self._prefill()
        self._crash_if_triggered()
        decoding = [item for item in self._running if not item.remaining_prefill_tokens]
        step_s = self.step_duration_s(prefilled, len(decoding))
        self._publish_load()
        await asyncio.sleep(started + step_s - time.monotonic())
        for sequence in decoding:
            sequence.emit_token()
        self._remove_finished()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.settings.max_batch:
            sequence = self._waiting.popleft()
            # The block with the last prompt token is always computed, even if it is
            # cached, because the first decoded token results from that computation.
            reusable_blocks = (len(sequence.prompt_tokens) - 1) // BLOCK_TOKENS
            cached_blocks = self.cache.match(sequence.block_hashes[:reusable_blocks])
            sequence.cached_tokens = cached_blocks * BLOCK_TOKENS
            self.stats.prefill_cached += sequence.cached_tokens
            self._running.append(sequence)

    def _prefill(self) -> int:
        budget = PREFILL_CHUNK_TOKENS
        for sequence in self._running:
            tokens = min(budget, sequence.remaining_prefill_tokens)
            if tokens:
                self._compute_prompt(sequence, tokens)
                budget -= tokens
        computed = PREFILL_CHUNK_TOKENS - budget
        self.stats.prefill_computed += computed
        return computed

    def _compute_prompt(self, sequence: Sequence, tokens: int) -> None:
        first_block = (
            sequence.cached_tokens + sequence.computed_tokens
        ) // BLOCK_TOKENS
        sequence.computed_tokens += tokens
        end_block = (sequence.cached_tokens + sequence.computed_tokens) // BLOCK_TOKENS
        for block_hash in sequence.block_hashes[first_block:end_block]:
            self.cache.store(block_hash)

    def _remove_finished(self) -> None:
        finished = [item for item in self._running if item.is_finished]
        self.stats.completed += len(finished)
        self._running = [item for item in self._running if not item.is_finished]
        self._publish_load()

    def _publish_load(self) -> None:
        load = Load(len(self._running), len(self._waiting), self.cache.usage)
        self.load.set(load)

    def _crash_if_triggered(self) -> None:
        text = self.faults.crash_on
        if text and any(text in sequence.prompt for sequence in self._running):
            wasted = sum(sequence.computed_tokens for sequence in self._running)
            self.stats.prefill_wasted += wasted
            print(json.dumps({"crash": self.stats.as_dict()}), file=sys.stderr)
            sys.stderr.flush()
            os._exit(CRASH_EXIT_STATUS)
