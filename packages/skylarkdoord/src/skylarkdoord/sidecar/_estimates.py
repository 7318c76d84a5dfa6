"""Speeds of the upstream, learned from its answers."""

import statistics
import time
from collections.abc import Sequence
from typing import NamedTuple

from skylarkdoor.wire import pb

SAMPLE_DECAY = 0.97
OUTLIER_FACTOR = 8.0
OUTLIER_S = 1.0
FAST_SHARE = 0.2
STRETCH_SHARE = 0.05
LEAST_GAP_S = 1e-6
MOST_SLOWDOWN = 20.0
SLOW_SHARE = 0.01
NORMAL_SLOWDOWN = 1.5
LEAST_SLOPE_SHARE = 0.25
FRESH_S = 2.0
HALF_LIFE_S = 2.0


class PrefillEstimate:
    """Time to the first token as a line over the tokens to compute.

    A least-squares line through samples of fading weight: the slope is the
    time of a token, the rest is what other work in the batch costs.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self.tokens = 0.0
        self.seconds = 0.0
        self.tokens_squared = 0.0
        self.products = 0.0

    def learn(self, tokens: int, seconds: float) -> None:
        """Take in one measured first token."""
        if self.weight:
            seconds = min(seconds, OUTLIER_FACTOR * self.total_s(tokens) + OUTLIER_S)
        self.weight = SAMPLE_DECAY * self.weight + 1
        self.tokens = SAMPLE_DECAY * self.tokens + tokens
        self.seconds = SAMPLE_DECAY * self.seconds + seconds
        self.tokens_squared = SAMPLE_DECAY * self.tokens_squared + tokens * tokens
        self.products = SAMPLE_DECAY * self.products + tokens * seconds

    def token_s(self) -> float:
        """Return the time of one token, in seconds; 0 if it is not known yet."""
        if not self.tokens:
            return 0.0
        ratio = self.seconds / self.tokens
        spread = self.weight * self.tokens_squared - self.tokens**2
        if spread <= self.tokens_squared:
            return ratio
        joint = self.weight * self.products - self.tokens * self.seconds
        return min(ratio, max(LEAST_SLOPE_SHARE * ratio, joint / spread))

    def overhead_s(self) -> float:
        """Return what a first token takes besides its own prompt, in seconds."""
        if not self.weight:
            return 0.0
        own = self.tokens * self.token_s()
        return max(0.0, (self.seconds - own) / self.weight)

    def total_s(self, tokens: int) -> float:
        """Return the expected time to the first token, in seconds."""
        return self.overhead_s() + tokens * self.token_s()


def middle_mean(values: Sequence[float]) -> float:
    """Return the mean of the middle half of some values."""
    ordered = sorted(values)
    quarter = len(ordered) // 4
    return statistics.fmean(ordered[quarter : len(ordered) - quarter])


class Usual(NamedTuple):
    """What is usual for one size of batch.

    Attributes:
        gap_s: Time between tokens, in seconds.
        samples: Samples behind it.
    """

    gap_s: float
    samples: int


class DecodeEstimate:
    """Time between tokens by the number of requests in the batch.

    Each size of batch has a usual time, the mean of the middle half of the
    gaps: tokens that were read together make some gaps too short and others
    too long. Recent times in proportion to it tell a slow spell from a full
    batch. What other requests' prompts add shows in the mean alone and is
    learned apart.
    """

    def __init__(self) -> None:
        self.usual: dict[int, Usual] = {}
        self.slowdown = 1.0
        self.stretch = 1.0

    def learn(self, gaps_s: Sequence[float], running: int) -> None:
        """Take in times between tokens that were measured together."""
        middle_s = max(LEAST_GAP_S, middle_mean(gaps_s))
        mean_s = statistics.fmean(gaps_s)
        size = running.bit_length()
        usual = self.usual.get(size, Usual(middle_s / self.slowdown, 0))
        ratio = min(middle_s / usual.gap_s, MOST_SLOWDOWN)
        self.slowdown += FAST_SHARE * (ratio - self.slowdown)
        stretch = min(mean_s / middle_s, MOST_SLOWDOWN)
        self.stretch += STRETCH_SHARE * (stretch - self.stretch)
        self.usual[size] = usual
        if ratio < NORMAL_SLOWDOWN:
            share = max(SLOW_SHARE, 1 / (usual.samples + 1))
            gap_s = usual.gap_s + share * (middle_s - usual.gap_s)
            self.usual[size] = Usual(gap_s, usual.samples + 1)

    def token_s(self, running: int) -> float:
        """Return the expected time between tokens, in seconds; 0 if not known yet."""
        if not self.usual:
            return 0.0
        size = running.bit_length()
        nearest = min(self.usual, key=lambda known: abs(known - size))
        return self.usual[nearest].gap_s * self.slowdown * self.stretch

    def least_s(self) -> float:
        """Return the time between tokens of the fastest batch, as it is now."""
        if not self.usual:
            return 0.0
        return min(usual.gap_s for usual in self.usual.values()) * self.slowdown


class Estimates:
    """What the sidecar knows of its upstream's speed, for each model."""

    def __init__(self) -> None:
        self.prefill: dict[str, PrefillEstimate] = {}
        self.decode: dict[str, DecodeEstimate] = {}
        self.whole_s: dict[str, float] = {}
        self.length_share: dict[str, float] = {}
        self.learned_at = 0.0

    def touch(self) -> None:
        """Note that something was measured."""
        self.learned_at = time.monotonic()

    def confidence(self) -> float:
        """Return how far the estimates count, from 1 when fresh down to 0.

        An upstream that gets no work because it was slow would otherwise be
        taken for slow forever.
        """
        age_s = time.monotonic() - self.learned_at
        return float(0.5 ** (max(0.0, age_s - FRESH_S) / HALF_LIFE_S))

    def of_prefill(self, model: str) -> PrefillEstimate:
        """Return the estimate of a model's prefill."""
        return self.prefill.setdefault(model, PrefillEstimate())

    def of_decode(self, model: str) -> DecodeEstimate:
        """Return the estimate of a model's decoding."""
        return self.decode.setdefault(model, DecodeEstimate())

    def learn_first(self, model: str, tokens: int, seconds: float) -> None:
        """Take in the time to the first token of a prompt.

        A slow spell shows at once in the time between tokens, so prefill is
        learned in proportion to it.
        """
        self.touch()
        usual_s = seconds / self.of_decode(model).slowdown
        self.of_prefill(model).learn(tokens, usual_s)

    def learn_whole(self, model: str, seconds: float) -> None:
        """Take in the time of an answer that came in one piece."""
        self.touch()
        known = self.whole_s.setdefault(model, seconds)
        bounded = min(seconds, OUTLIER_FACTOR * known + OUTLIER_S)
        self.whole_s[model] = known + FAST_SHARE * (bounded - known)

    def learn_length(self, model: str, share: float) -> None:
        """Take in the length of an answer as a share of the most allowed."""
        known = self.length_share.setdefault(model, share)
        self.length_share[model] = known + FAST_SHARE * (min(1.0, share) - known)

    def prefill_s(self, offer: pb.Offer, *, cached: int = 0) -> float:
        """Return the time to compute an offer's prompt, in seconds."""
        tokens = max(0, offer.prompt_tokens - cached)
        usual_s = tokens * self.of_prefill(offer.model).token_s()
        return usual_s * self.of_decode(offer.model).slowdown

    def service_s(self, offer: pb.Offer, running: int, *, cached: int = 0) -> float:
        """Return the time that an offer takes once it is dispatched, in seconds."""
        if not offer.model:
            return self.whole_s.get("", 0.0)
        tokens = offer.max_tokens * self.length_share.get(offer.model, 1.0)
        gap_s = self.of_decode(offer.model).token_s(running)
        return self.prefill_s(offer, cached=cached) + tokens * gap_s

    def speeds(self, running: int) -> tuple[float, float]:
        """Return the tokens a second of prefill and of one request's decoding.

        The slowest model counts; 0 stands for speeds that are not known yet.
        """
        prefill = [
            known.token_s() * self.of_decode(model).slowdown
            for model, known in self.prefill.items()
        ]
        decode = [known.token_s(running) for known in self.decode.values()]
        return _per_s(max(prefill, default=0.0)), _per_s(max(decode, default=0.0))

    def slowdown(self) -> float:
        """Return how much slower than usual the upstream decodes at present."""
        worst = max((known.slowdown for known in self.decode.values()), default=1.0)
        return 1 + (worst - 1) * self.confidence()


def _per_s(seconds: float) -> float:
    return 1 / seconds if seconds else 0.0
