"""Strategies that draw what the operator may write as the configuration."""

import json
from typing import NamedTuple

from hypothesis import strategies as st

HOSTS = ("ficu95.example", "puxa.example", "Lohu.example")
# Nested, so that several of them begin one path.
PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "/lohu930/", "/lohu930/a/")
TYPES = ("idempotent", "non_idempotent", "streaming")
# Sent by all callers; no part of a prefix, so that only its beginning selects a route.
LEAF = "2f"


class Written(NamedTuple):
    """A number and one way to write it.

    Attributes:
        value: The number.
        json: How it is written.
    """

    value: float
    json: str


def encode(value):
    """Return a value as JSON, with numbers as they are to be written."""
    if isinstance(value, Written):
        return value.json
    if isinstance(value, dict):
        items = (f"{json.dumps(key)}: {encode(item)}" for key, item in value.items())
        return "{" + ", ".join(items) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(encode(item) for item in value) + "]"
    return json.dumps(value)


def plain(value, default=None):
    """Return a number that was drawn, or a default if it is absent or null."""
    return default if value is None else value.value


def _ways(value):
    """Return ways to write a number, such as 1500, 1500.0, 1.5e3 and 15E2."""
    ways = [repr(value)]
    if value == int(value):
        whole = int(value)
        digits = str(whole).rstrip("0") or "0"
        exponent = len(str(whole)) - len(digits)
        mantissa = f"{digits[0]}.{digits[1:] or '0'}"
        ways += [
            str(whole),
            f"{whole}.0",
            f"{mantissa}e{len(str(whole)) - 1}",
            f"{digits}E+{exponent}",
        ]
    return st.sampled_from(ways).map(lambda text: Written(value, text))


def whole(least=0, most=10_000_000):
    """Return a strategy for integers, written in any way."""
    round_ones = st.sampled_from([0, 1, 10, 1500, 20_000, 391_021])
    numbers = st.integers(least, most) | round_ones.filter(lambda n: n >= least)
    return numbers.flatmap(_ways)


def fraction(least=0.0):
    """Return a strategy for numbers, written in any way."""
    return whole(int(least)) | st.floats(least, 1e7).flatmap(_ways)


FLAGS = st.booleans()
WORDS = st.from_regex(r"[a-z]{2,6}[0-9]{0,3}", fullmatch=True)
KEYS = st.from_regex(r"[a-z0-9]{20}", fullmatch=True)
# Fields of which these pages don't know.
EXTRAS = st.dictionaries(
    st.from_regex(r"x[A-Za-z]{0,8}", fullmatch=True),
    st.recursive(
        st.none() | FLAGS | st.integers() | st.floats(0, 1e300) | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=4,
    ),
    max_size=2,
)


@st.composite
def fields(draw, required, optional):
    """Draw an object; an optional field may be absent or null."""
    drawn = dict(draw(EXTRAS))
    drawn |= {name: draw(values) for name, values in required.items()}
    for name, values in optional.items():
        state = draw(st.sampled_from(["absent", "null", "stated", "stated"]))
        if state != "absent":
            drawn[name] = None if state == "null" else draw(values)
    return drawn


@st.composite
def _splits(draw, services):
    """Draw the services of a split route, at least one of them with a weight."""
    split = [
        draw(fields({"service": st.just(name), "weight": fraction()}, {}))
        for name in draw(st.lists(st.sampled_from(services), min_size=1, unique=True))
    ]
    one = draw(st.sampled_from(split))
    one["weight"] = draw(whole(least=1, most=100))
    return split


@st.composite
def _routes(draw, services, names):
    """Draw routes of which no two have the same host and prefix."""
    places = st.tuples(st.sampled_from(HOSTS), st.sampled_from(PREFIXES))
    routes = []
    for number, (host, prefix) in enumerate(
        draw(st.lists(places, max_size=8, unique=True))
    ):
        route = draw(
            fields(
                {
                    "hostname": st.just(host),
                    "prefix": st.just(prefix),
                    "routeType": st.sampled_from(TYPES),
                },
                {
                    "name": st.just(f"{draw(names)}-{number}"),
                    "timeoutMs": fraction(),
                    "targetLatencyMs": fraction(),
                    "itlTargetMs": fraction(),
                    "priority": whole(),
                    "maxAttempts": whole(),
                    "anonymous": FLAGS,
                    "sessionAffinity": FLAGS,
                    "streamResume": FLAGS,
                },
            )
        )
        if draw(FLAGS):
            route["weightedServices"] = draw(_splits(services))
            if draw(FLAGS):
                route["service"] = draw(st.none() | st.sampled_from(services))
        else:
            route["service"] = draw(st.sampled_from(services))
            if draw(FLAGS):
                route["weightedServices"] = draw(st.none() | st.just([]))
        routes.append(route)
    return routes


def _services(name):
    """Return a strategy for a service."""
    engine = fields(
        {},
        {
            "slots": whole(),
            "kvCapacity": whole(),
            "linkMbps": fraction(),
            "modelList": st.just([{"name": "m"}]),
        },
    )
    return fields(
        {"name": st.just(name)},
        {
            "healthPath": st.just("/healthz"),
            "maxConnections": whole(),
            "protocol": st.just("h1"),
            "tlsEnabled": FLAGS,
            "runtime": engine,
        },
    )


@st.composite
def _tenants(draw):
    """Draw tenants, none of which has a key of another."""
    names = draw(st.lists(WORDS, max_size=4, unique=True))
    keys = iter(draw(st.lists(KEYS, min_size=12, max_size=12, unique=True)))
    return [
        draw(
            fields(
                {"name": st.just(name)},
                {
                    "apiKeys": st.just(
                        [next(keys) for _ in range(draw(st.integers(0, 3)))]
                    ),
                    "priority": whole(),
                    "unit": st.sampled_from(["token_based", "request_based", ""]),
                    "uncachedTokens": whole(),
                    "ratePerS": fraction(),
                    "burstSize": fraction(),
                },
            )
        )
        for name in names
    ]


@st.composite
def configs(draw):
    """Draw a configuration that the pages allow."""
    services = draw(st.lists(WORDS, min_size=1, max_size=4, unique=True))
    limits = fields(
        {},
        dict.fromkeys(
            ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"),
            whole(),
        ),
    )
    large = st.integers(2**53, 2**63 - 1).map(lambda n: Written(n, str(n)))
    return draw(
        fields(
            {
                "version": whole(least=1, most=2**53) | large,
                "routes": _routes(services, WORDS),
            },
            {
                "services": st.tuples(*map(_services, services)).map(list),
                "limits": limits,
                "tenants": _tenants(),
            },
        )
    )
