"""Estimates of the upstream's speed, learned from its responses."""

import statistics
import time
from collections.abc import Sequence
from typing import NamedTuple

from skylarkdoor.wire import pb

SAMPLE_DECAY = 0.97
# A sample is capped at `OUTLIER_FACTOR` times the estimate plus `OUTLIER_S`.
OUTLIER_FACTOR = 8.0
OUTLIER_S = 1.0
# Weights of the newest sample in moving averages.
FAST_EWMA_WEIGHT = 0.2
STRETCH_EWMA_WEIGHT = 0.05
MIN_GAP_S = 1e-6
MAX_SLOWDOWN = 20.0
MIN_EWMA_WEIGHT = 0.01
# Samples above this ratio don't change the typical time between tokens.
MAX_NORMAL_SLOWDOWN = 1.5
# Lower bound of the fitted slope relative to the plain ratio of seconds to tokens.
MIN_SLOPE_SHARE = 0.25
# Estimates younger than this have full confidence.
FULL_CONFIDENCE_S = 2.0
CONFIDENCE_HALF_LIFE_S = 2.0


class Reservation(NamedTuple):
    """Resources that a grant reserves.

    Attributes:
        offer: The granted offer.
        cached: Estimated number of prompt tokens in the upstream's prefix cache.
        prefill_s: Estimated time to compute the other prompt tokens, in seconds.
    """

    offer: pb.Offer
    cached: int
    prefill_s: float


class PrefillEstimate:
    """Time to first token as a linear function of the prompt tokens to compute.

    The line is fitted by least squares with exponentially decaying weights. Its
    slope is the prefill time of one token; its intercept is the overhead due to
    other work in the batch.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self.tokens = 0.0
        self.seconds = 0.0
        self.tokens_squared = 0.0
        self.products = 0.0

    def learn(self, tokens: int, seconds: float) -> None:
        """Add a measured time to first token, in seconds."""
        if self.weight:
            seconds = min(seconds, OUTLIER_FACTOR * self.total_s(tokens) + OUTLIER_S)
        self.weight = SAMPLE_DECAY * self.weight + 1
        self.tokens = SAMPLE_DECAY * self.tokens + tokens
        self.seconds = SAMPLE_DECAY * self.seconds + seconds
        self.tokens_squared = SAMPLE_DECAY * self.tokens_squared + tokens * tokens
        self.products = SAMPLE_DECAY * self.products + tokens * seconds

    def token_s(self) -> float:
        """Return the prefill time of one token, in seconds; 0 without samples."""
        if not self.tokens:
            return 0.0
        ratio = self.seconds / self.tokens
        scaled_variance = self.weight * self.tokens_squared - self.tokens**2
        if scaled_variance <= self.tokens_squared:
            return ratio
        scaled_covariance = self.weight * self.products - self.tokens * self.seconds
        return min(
            ratio, max(MIN_SLOPE_SHARE * ratio, scaled_covariance / scaled_variance)
        )

    def overhead_s(self) -> float:
        """Return the time to first token without the own prefill, in seconds."""
        if not self.weight:
            return 0.0
        own_s = self.tokens * self.token_s()
        return max(0.0, (self.seconds - own_s) / self.weight)

    def total_s(self, tokens: int) -> float:
        """Return the estimated time to first token, in seconds."""
        return self.overhead_s() + tokens * self.token_s()


def interquartile_mean(values: Sequence[float]) -> float:
    """Return the interquartile mean, that is the mean of the middle half."""
    ordered = sorted(values)
    quarter = len(ordered) // 4
    return statistics.fmean(ordered[quarter : len(ordered) - quarter])


class TypicalGap(NamedTuple):
    """Typical time between tokens for one range of batch sizes.

    Attributes:
        gap_s: Time between tokens, in seconds.
        samples: Number of samples that it is based on.
    """

    gap_s: float
    samples: int


class DecodeEstimate:
    """Time between tokens by the number of requests in the batch.

    Batch sizes are grouped by powers of two. The typical time of a group is
    based on the interquartile mean of the gaps, because tokens that arrive in
    one read make some gaps too short and others too long. The ratio of recent
    times to the typical time is the slowdown; it distinguishes a slow upstream
    from a full batch. Prefill of other requests affects only the plain mean and
    is learned separately as the stretch factor.
    """

    def __init__(self) -> None:
        self.typical: dict[int, TypicalGap] = {}
        self.slowdown = 1.0
        self.stretch = 1.0

    def learn(self, gaps_s: Sequence[float], running: int) -> None:
        """Add times between tokens, in seconds, measured in one interval."""
        middle_s = max(MIN_GAP_S, interquartile_mean(gaps_s))
        mean_s = statistics.fmean(gaps_s)
        size = running.bit_length()
        typical = self.typical.get(size, TypicalGap(middle_s / self.slowdown, 0))
        ratio = min(middle_s / typical.gap_s, MAX_SLOWDOWN)
        self.slowdown += FAST_EWMA_WEIGHT * (ratio - self.slowdown)
        stretch = min(mean_s / middle_s, MAX_SLOWDOWN)
        self.stretch += STRETCH_EWMA_WEIGHT * (stretch - self.stretch)
        self.typical[size] = typical
        if ratio < MAX_NORMAL_SLOWDOWN:
            share = max(MIN_EWMA_WEIGHT, 1 / (typical.samples + 1))
            gap_s = typical.gap_s + share * (middle_s - typical.gap_s)
            self.typical[size] = TypicalGap(gap_s, typical.samples + 1)

    def token_s(self, running: int) -> float:
        """Return the estimated time between tokens, in seconds; 0 without samples."""
        if not self.typical:
            return 0.0
        size = running.bit_length()
        nearest = min(self.typical, key=lambda bits: abs(bits - size))
        return self.typical[nearest].gap_s * self.slowdown * self.stretch

    def min_token_s(self) -> float:
        """Return the current time between tokens at the fastest batch size, in seconds.

        It is 0 without samples.
        """
        if not self.typical:
            return 0.0
        return min(typical.gap_s for typical in self.typical.values()) * self.slowdown


class Estimates:
    """Estimates of the upstream's speed by model."""

    def __init__(self) -> None:
        self.prefill: dict[str, PrefillEstimate] = {}
        self.decode: dict[str, DecodeEstimate] = {}
        self.response_s: dict[str, float] = {}
        self.length_share: dict[str, float] = {}
        self.learned_at = 0.0

    def touch(self) -> None:
        """Record the time of the newest measurement."""
        self.learned_at = time.monotonic()

    def confidence(self) -> float:
        """Return the weight of the estimates, from 1 when recent down to 0.

        Without the decay, an upstream that receives no work because it was slow
        would be considered slow forever.
        """
        age_s = time.monotonic() - self.learned_at
        return float(
            0.5 ** (max(0.0, age_s - FULL_CONFIDENCE_S) / CONFIDENCE_HALF_LIFE_S)
        )

    def of_prefill(self, model: str) -> PrefillEstimate:
        """Return the prefill estimate of a model."""
        return self.prefill.setdefault(model, PrefillEstimate())

    def of_decode(self, model: str) -> DecodeEstimate:
        """Return the decode estimate of a model."""
        return self.decode.setdefault(model, DecodeEstimate())

    def learn_first_token(self, model: str, tokens: int, seconds: float) -> None:
        """Add the time to first token of a prompt, in seconds.

        The prefill estimate is for an upstream at its typical speed, so the time
        is divided by the current slowdown. The slowdown comes from the time
        between tokens, which shows a slow period at once.
        """
        self.touch()
        typical_s = seconds / self.of_decode(model).slowdown
        self.of_prefill(model).learn(tokens, typical_s)

    def learn_unstreamed(
        self, reserved: Reservation, seconds: float, running: int
    ) -> None:
        """Add the total time of a response that was not streamed, in seconds.

        Its number of tokens is not known, so the average response length is
        assumed.
        """
        self.touch()
        offer = reserved.offer
        if offer.model:
            decode_s = seconds - self.prefill_s(offer, cached=reserved.cached)
            tokens = offer.max_tokens * self.length_share.get(offer.model, 1.0)
            if tokens >= 1 and decode_s > 0:
                self.of_decode(offer.model).learn([decode_s / tokens], running)
            return
        average_s = self.response_s.setdefault(offer.model, seconds)
        bounded_s = min(seconds, OUTLIER_FACTOR * average_s + OUTLIER_S)
        self.response_s[offer.model] = average_s + FAST_EWMA_WEIGHT * (
            bounded_s - average_s
        )

    def learn_length(self, model: str, share: float) -> None:
        """Add the length of a response as a fraction of its `max_tokens`."""
        average = self.length_share.setdefault(model, share)
        self.length_share[model] = average + FAST_EWMA_WEIGHT * (
            min(1.0, share) - average
        )

    def prefill_s(self, offer: pb.Offer, *, cached: int = 0) -> float:
        """Return the estimated time to compute an offer's prompt, in seconds."""
        tokens = max(0, offer.prompt_tokens - cached)
        typical_s = tokens * self.of_prefill(offer.model).token_s()
        return typical_s * self.of_decode(offer.model).slowdown

    def service_s(self, offer: pb.Offer, running: int, *, cached: int = 0) -> float:
        """Return the estimated time from dispatch to the end, in seconds.

        Args:
            offer: The offer.
            running: Number of requests in the batch.
            cached: Prompt tokens in the upstream's prefix cache.
        """
        if not offer.model:
            return self.response_s.get("", 0.0)
        tokens = offer.max_tokens * self.length_share.get(offer.model, 1.0)
        gap_s = self.of_decode(offer.model).token_s(running)
        return self.prefill_s(offer, cached=cached) + tokens * gap_s

    def speeds(self, running: int) -> tuple[float, float]:
        """Return the prefill and the per-request decode speed, in tokens per second.

        They are the speeds of the slowest model; 0 means not known yet.
        """
        prefill = [
            estimate.token_s() * self.of_decode(model).slowdown
            for model, estimate in self.prefill.items()
        ]
        decode = [estimate.token_s(running) for estimate in self.decode.values()]
        return _per_s(max(prefill, default=0.0)), _per_s(max(decode, default=0.0))

    def slowdown(self) -> float:
        """Return the ratio of the current to the typical time between tokens.

        It is the ratio of the slowest model, reduced by `confidence`.
        """
        worst = max((item.slowdown for item in self.decode.values()), default=1.0)
        return 1 + (worst - 1) * self.confidence()


def _per_s(seconds: float) -> float:
    return 1 / seconds if seconds else 0.0
