"""Generates random request arrivals for each deployment.

The workloads have customers of different sizes, a burst and long shared prefixes.
"""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from skylarkdoor_bench._trace import Arrival, Kind

# Requests drawn to estimate the average cost of a workload.
MIX_SAMPLE_SIZE = 4000
# Rate within the burst, relative to the rate outside it.
BURST_FACTOR = 2.5
# Start and end of the burst, as shares of the run.
BURST_START_SHARE = 0.30
BURST_END_SHARE = 0.40
# Share of model requests that carry an idempotency key.
KEYED_SHARE = 0.5


class Lengths(NamedTuple):
    """A log-normal distribution of text lengths, in words.

    Attributes:
        median: Median length.
        sigma: Standard deviation of the logarithm of the length.
        least: Lower bound; shorter lengths are raised to it.
        most: Upper bound; longer lengths are reduced to it.
    """

    median: float
    sigma: float = 0.6
    least: int = 4
    most: int = 6000

    def draw(self, source: random.Random) -> int:
        """Draw a random length."""
        length = source.lognormvariate(math.log(self.median), self.sigma)
        return min(self.most, max(self.least, round(length)))


class RequestClass(NamedTuple):
    """A class of requests with similar properties.

    Attributes:
        share: Share of the customer's requests.
        kind: Chat, completion or call of a plain service.
        prompt: Length of the prompt without the shared prefix.
        answer: Length of the answer.
        streamed: Share of requests with a streamed answer.
        prefixes: Number of different shared prefixes; 0 for none.
        prefix_words: Length of each shared prefix, in words.
        method: HTTP method of a call of a plain service.
        path: Path of that call; `*` is replaced by a random number.
        deadline_s: Time limit set by the caller, before time scaling.
    """

    share: float
    kind: Kind
    prompt: Lengths = Lengths(20)
    answer: Lengths = Lengths(20, most=600)
    streamed: float = 0.0
    prefixes: int = 0
    prefix_words: int = 0
    method: str = "GET"
    path: str = ""
    deadline_s: float = 8.0


class CustomerWorkload(NamedTuple):
    """The requests of one customer.

    Attributes:
        customer: Name of the customer.
        share: Share of all requests.
        request_classes: Classes of requests that the customer sends.
    """

    customer: str
    share: float
    request_classes: tuple[RequestClass, ...]


Workload = tuple[CustomerWorkload, ...]

SHORT_PROMPT = Lengths(14, 0.5, most=60)
BRIEF_ANSWER = Lengths(8, 0.4, most=24)
ANSWER = Lengths(36, 0.6, most=200)
LONG_ANSWER = Lengths(90, 0.6, most=500)

SEED_EXCHANGE: Workload = (
    CustomerWorkload(
        "packet-desk",
        0.34,
        (
            RequestClass(0.45, "service", path="/packets/*", deadline_s=3.0),
            RequestClass(
                0.15, "service", method="POST", path="/handovers", deadline_s=3.0
            ),
            RequestClass(0.40, "chat", SHORT_PROMPT, BRIEF_ANSWER, 0.5, deadline_s=3.0),
        ),
    ),
    CustomerWorkload(
        "agenskalns-garden",
        0.28,
        (
            RequestClass(
                0.70, "chat", Lengths(120, 0.9), ANSWER, 0.5, 6, 400, deadline_s=6
            ),
            RequestClass(
                0.30, "completion", Lengths(250, 1.0), ANSWER, 0.2, deadline_s=6.0
            ),
        ),
    ),
    CustomerWorkload(
        "teika-garden",
        0.06,
        (
            RequestClass(
                1.0, "chat", Lengths(120, 0.9), ANSWER, 0.5, 4, 400, deadline_s=6.0
            ),
        ),
    ),
    CustomerWorkload(
        "purvciems-garden",
        0.17,
        (
            RequestClass(
                0.6, "chat", Lengths(150, 0.8), ANSWER, 0.3, 14, 1800, deadline_s=10
            ),
            RequestClass(
                0.4, "completion", Lengths(700, 0.9), ANSWER, 0.3, deadline_s=10.0
            ),
        ),
    ),
    CustomerWorkload(
        "reply-desk",
        0.15,
        (
            RequestClass(
                1.0, "chat", Lengths(150, 0.8), LONG_ANSWER, 0.6, 3, 700, deadline_s=14
            ),
        ),
    ),
)

LIME_TRUST: Workload = (
    CustomerWorkload(
        "truck-desk",
        0.32,
        (
            RequestClass(0.40, "service", path="/slots/*", deadline_s=3.0),
            RequestClass(
                0.25, "service", method="POST", path="/trucks", deadline_s=3.0
            ),
            RequestClass(0.35, "chat", SHORT_PROMPT, BRIEF_ANSWER, 0.5, deadline_s=3.0),
        ),
    ),
    CustomerWorkload(
        "delta-farms",
        0.24,
        (
            RequestClass(
                0.7, "chat", Lengths(150, 0.9), ANSWER, 0.4, 10, 1500, deadline_s=8
            ),
            RequestClass(
                0.3, "completion", Lengths(300, 1.0), ANSWER, 0.2, deadline_s=8.0
            ),
        ),
    ),
    CustomerWorkload(
        "black-belt-farms",
        0.08,
        (
            RequestClass(
                1.0, "chat", Lengths(150, 0.9), ANSWER, 0.4, 6, 1500, deadline_s=8.0
            ),
        ),
    ),
    CustomerWorkload(
        "soil-lab",
        0.18,
        (
            RequestClass(
                0.8, "chat", Lengths(60, 0.8), ANSWER, 0.5, 16, 2600, deadline_s=12
            ),
            RequestClass(
                0.2, "completion", Lengths(1500, 0.7), ANSWER, 0.3, deadline_s=12.0
            ),
        ),
    ),
    CustomerWorkload(
        "text-line",
        0.18,
        (
            RequestClass(
                1.0, "chat", Lengths(60, 0.8), LONG_ANSWER, 0.5, 3, 500, deadline_s=12
            ),
        ),
    ),
)

WORKLOADS = {"seed-exchange": SEED_EXCHANGE, "lime-trust": LIME_TRUST}


def sample_mix(workload: Workload) -> list[Arrival]:
    """Return a sample of a workload's requests, the same at each call."""
    source = random.Random(0)
    return [
        _draw_arrival(workload, source, at_s=0.0, number=number, time_scale=1.0)
        for number in range(MIX_SAMPLE_SIZE)
    ]


def generate(
    workload: Workload,
    *,
    seed: int,
    rate: float,
    duration_s: float,
    time_scale: float = 1.0,
) -> list[Arrival]:
    """Return the arrivals of one run, the same for the same arguments.

    The rate is higher within the burst and lower outside it, such that the mean
    over the run equals `rate`.

    Args:
        workload: Requests of each customer.
        seed: Seed of the random number generator.
        rate: Mean number of requests per second.
        duration_s: Period in which requests arrive.
        time_scale: Factor by which the deadlines are divided.
    """
    source = random.Random(seed)
    times = _arrival_times(source, rate=rate, duration_s=duration_s)
    return [
        _draw_arrival(workload, source, at_s=at_s, number=number, time_scale=time_scale)
        for number, at_s in enumerate(times)
    ]


def _arrival_times(
    source: random.Random, *, rate: float, duration_s: float
) -> Iterator[float]:
    burst_share = BURST_END_SHARE - BURST_START_SHARE
    base_rate = rate / (1 + burst_share * (BURST_FACTOR - 1))
    at_s = 0.0
    while True:
        share = at_s / duration_s
        is_burst = BURST_START_SHARE <= share < BURST_END_SHARE
        current_rate = base_rate * BURST_FACTOR if is_burst else base_rate
        at_s += source.expovariate(current_rate)
        if at_s >= duration_s:
            return
        yield round(at_s, 4)


def _draw_arrival(
    workload: Workload,
    source: random.Random,
    *,
    at_s: float,
    number: int,
    time_scale: float,
) -> Arrival:
    shares = [customer.share for customer in workload]
    customer = source.choices(workload, shares)[0]
    request_class = source.choices(
        customer.request_classes,
        [request_class.share for request_class in customer.request_classes],
    )[0]
    arrival = Arrival(
        at_s=at_s,
        customer=customer.customer,
        kind=request_class.kind,
        deadline_s=round(request_class.deadline_s / time_scale, 3),
    )
    if request_class.kind == "service":
        return _draw_service(arrival, request_class, source, number)
    if source.random() < KEYED_SHARE:
        arrival = arrival._replace(key=f"prompt-{number}")
    return _draw_prompt(arrival, request_class, source)


def _draw_service(
    arrival: Arrival, request_class: RequestClass, source: random.Random, number: int
) -> Arrival:
    path = request_class.path.replace("*", str(source.randrange(10_000)))
    arrival = arrival._replace(method=request_class.method, path=path)
    if request_class.method == "GET":
        return arrival
    return arrival._replace(idempotent=False, key=f"record-{number}")


def _draw_prompt(
    arrival: Arrival, request_class: RequestClass, source: random.Random
) -> Arrival:
    arrival = arrival._replace(
        prompt_words=request_class.prompt.draw(source),
        max_tokens=request_class.answer.draw(source),
        stream=source.random() < request_class.streamed,
    )
    if not request_class.prefixes:
        return arrival
    # Squared, so that some prefixes are used far more often than others.
    index = int(source.random() ** 2 * request_class.prefixes)
    prefix = f"{arrival.customer}-{index}"
    return arrival._replace(prefix=prefix, prefix_words=request_class.prefix_words)
