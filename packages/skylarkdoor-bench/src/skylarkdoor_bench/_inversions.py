"""Finds tier inversions in the replies that the callers received.

A tier inversion is a refusal of a request while a request of a lower tier waits.
"""

import bisect
from collections.abc import Sequence

from skylarkdoor_bench._deployments import Deployment, EngineSpec
from skylarkdoor_bench._load import Result
from skylarkdoor_bench._replies import Outcome
from skylarkdoor_bench._tiers import tier_ranks

CAPACITY_REFUSAL_CODE = "overloaded"
# Allowances for the slowdown of a straggler and for the delay of messages.
MAX_SLOWDOWN_FACTOR = 4.0
MAX_MESSAGE_DELAY_S = 0.5


def count_inversions(deployment: Deployment, results: Sequence[Result]) -> int:
    """Return how many requests were refused in violation of the tier order.

    A refusal counts if a model request is refused for lack of capacity while a
    streamed request of a lower tier that was sent earlier still waits and later
    runs. A stream counts as waiting until the time of its first token minus the
    maximum prefill time of its prompt, so that there are no false positives.
    """
    ranks = tier_ranks(deployment)
    model_results = [item for item in results if item.arrival.kind != "service"]
    refused = [
        item for item in model_results if item.reply.code == CAPACITY_REFUSAL_CODE
    ]
    waits = sorted(
        (item.sent_s, _waiting_until_s(deployment, item), ranks[item.arrival.customer])
        for item in model_results
        if item.reply.outcome is Outcome.ANSWERED and item.first_token_s is not None
    )
    sent = [wait[0] for wait in waits]
    count = 0
    for item in refused:
        rank = ranks[item.arrival.customer]
        earlier = waits[: bisect.bisect_left(sent, item.sent_s)]
        count += any(
            until_s > item.ended_s and waiting_rank > rank
            for _, until_s, waiting_rank in earlier
        )
    return count


def _waiting_until_s(deployment: Deployment, item: Result) -> float:
    engines = [spec for spec in deployment.upstreams if isinstance(spec, EngineSpec)]
    slowest_tps = min(engine.prefill_tps for engine in engines)
    prompt_s = item.arrival.words / (slowest_tps * deployment.time_scale)
    assert item.first_token_s is not None
    return (
        item.sent_s
        + item.first_token_s
        - prompt_s * MAX_SLOWDOWN_FACTOR
        - MAX_MESSAGE_DELAY_S
    )
