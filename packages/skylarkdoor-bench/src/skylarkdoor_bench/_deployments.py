"""Predefined deployments that the launcher can start."""

from typing import NamedTuple

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Customer, Fleet, Pool, Route, Team, Tier

OPERATOR_TOKEN = "operator-token"


class EntrySpec(NamedTuple):
    """An entry instance."""

    name: str
    data_centre: str


class EngineSpec(NamedTuple):
    """A model engine with its sidecar.

    Attributes:
        name: Name of the engine.
        data_centre: Data centre of the engine.
        pool: Pool that the engine serves.
        model: Model that the engine serves.
        prefill_tps: Prefill speed, in tokens per second.
        decode_tps: Decode speed of a single sequence, in tokens per second.
        max_batch: Maximum number of sequences in the batch.
        cache_tokens: Size of the prefix cache, in tokens.
        fencing: ``check`` if the engine rejects orders whose fencing number is
            older than one that it has seen, ``ignore`` if it accepts them.
    """

    name: str
    data_centre: str
    pool: str
    model: str
    prefill_tps: float
    decode_tps: float
    max_batch: int
    cache_tokens: int = 65536
    fencing: str = "check"


class ServiceSpec(NamedTuple):
    """A plain service with its sidecar.

    Attributes:
        name: Name of the service.
        data_centre: Data centre of the service.
        pool: Pool that the service serves.
        latency_s: Time that a request takes.
        concurrency: Maximum number of concurrent requests.
    """

    name: str
    data_centre: str
    pool: str
    latency_s: float = 0.01
    concurrency: int = 16


class Deployment(NamedTuple):
    """Entries, upstreams and shared settings of a deployment.

    Attributes:
        name: Name of the deployment.
        entries: Entry instances.
        upstreams: Engines and plain services; each has a sidecar.
        fleet: Settings of the fleet.
        teams: Settings of each team, by name.
        time_scale: Factor by which the engines run faster than specified.
        list_lag_s: Delay with which the platform's instance list shows changes.
        crash_on: Text that crashes each upstream that runs a request with it.
    """

    name: str
    entries: tuple[EntrySpec, ...]
    upstreams: tuple[EngineSpec | ServiceSpec, ...]
    fleet: Fleet
    teams: dict[str, Team]
    time_scale: float = 1.0
    list_lag_s: float = 0.5
    crash_on: str = ""


def api_key(customer: str) -> str:
    """Return the API key of a customer of these deployments."""
    return f"{customer}-key"


def small_demo() -> Deployment:
    """Return two entries, two engines of different speed and a registry service."""
    return Deployment(
        name="small-demo",
        entries=(EntrySpec("entry-1", "teika"), EntrySpec("entry-2", "teika")),
        upstreams=(
            EngineSpec("engine-1", "teika", "assistant", "garden-7b", 2000, 40, 8),
            EngineSpec("engine-2", "teika", "assistant", "garden-7b", 6000, 120, 16),
            ServiceSpec("registry-1", "teika", "registry"),
        ),
        fleet=_seed_exchange_fleet(),
        teams={
            "gardens": Team(
                {"teika-garden": _customer("teika-garden", "swap", _SEED_POOLS)}
            )
        },
    )


def seed_exchange() -> Deployment:
    """Return the seed exchange: three data centres, six engines, three registries."""
    pool, model = "assistant", "garden-7b"
    return Deployment(
        name="seed-exchange",
        entries=_entries(_RIGA),
        upstreams=(
            EngineSpec("engine-1", "agenskalns", pool, model, 1500, 40, 8),
            EngineSpec("engine-2", "teika", pool, model, 2000, 45, 8),
            EngineSpec("engine-3", "purvciems", pool, model, 3000, 60, 12),
            EngineSpec("engine-4", "agenskalns", pool, model, 4000, 80, 16),
            EngineSpec("engine-5", "teika", pool, model, 5000, 100, 16),
            EngineSpec("engine-6", "purvciems", pool, model, 6000, 120, 24),
            *_services("registry", _RIGA),
        ),
        fleet=_seed_exchange_fleet(),
        teams=_seed_exchange_teams(),
    )


def lime_trust() -> Deployment:
    """Return the lime trust: four data centres, five engines, four booking servers."""
    pool, model = "planner", "soil-8b"
    return Deployment(
        name="lime-trust",
        entries=_entries(_DELTA),
        upstreams=(
            EngineSpec("engine-1", "greenville-hall", pool, model, 1500, 40, 8),
            EngineSpec("engine-2", "selma-hall", pool, model, 2500, 50, 8),
            EngineSpec("engine-3", "yazoo-hall", pool, model, 3500, 70, 12),
            EngineSpec("engine-4", "clarksdale-hall", pool, model, 5000, 100, 16),
            EngineSpec("engine-5", "greenville-hall", pool, model, 6000, 120, 24),
            *_services("booking", _DELTA),
        ),
        fleet=_lime_trust_fleet(),
        teams=_lime_trust_teams(),
    )


_RIGA = ("agenskalns", "teika", "purvciems")
_DELTA = ("greenville-hall", "selma-hall", "yazoo-hall", "clarksdale-hall")
_SEED_POOLS = ("assistant", "registry")
_LIME_POOLS = ("planner", "booking")


def _entries(data_centres: tuple[str, ...]) -> tuple[EntrySpec, ...]:
    return tuple(
        EntrySpec(f"entry-{number}", data_centre)
        for number, data_centre in enumerate(data_centres, start=1)
    )


def _services(pool: str, data_centres: tuple[str, ...]) -> tuple[ServiceSpec, ...]:
    return tuple(
        ServiceSpec(f"{pool}-{number}", data_centre, pool)
        for number, data_centre in enumerate(data_centres, start=1)
    )


def _customer(
    name: str, tier: str, pools: tuple[str, ...], *, weight: float = 1.0
) -> Customer:
    hashes = (key_hash(api_key(name)),)
    return Customer(key_hashes=hashes, tier=tier, pools=pools, weight=weight)


def _seed_exchange_fleet() -> Fleet:
    routes = (
        Route(path="/packets/*", methods=("GET",), idempotent=True),
        Route(path="/handovers", methods=("POST",), idempotent=False),
    )
    return Fleet(
        tiers={
            "lookup": Tier(rank=0, deadline_s=5.0),
            "swap": Tier(rank=1, deadline_s=15.0),
            "notes": Tier(rank=2, deadline_s=30.0),
            "reply": Tier(rank=3, deadline_s=60.0),
        },
        pools={
            "assistant": Pool(kind="model", models=("garden-7b",), fencing="check"),
            "registry": Pool(kind="service", routes=routes),
        },
    )


def _seed_exchange_teams() -> dict[str, Team]:
    def customer(name: str, tier: str, weight: float = 1.0) -> Customer:
        return _customer(name, tier, _SEED_POOLS, weight=weight)

    return {
        "registry-office": Team({"packet-desk": customer("packet-desk", "lookup")}),
        "gardens": Team(
            {
                "agenskalns-garden": customer("agenskalns-garden", "swap", 3.0),
                "teika-garden": customer("teika-garden", "swap"),
                "purvciems-garden": customer("purvciems-garden", "notes", 2.0),
            }
        ),
        "volunteers": Team({"reply-desk": customer("reply-desk", "reply")}),
    }


def _lime_trust_fleet() -> Fleet:
    routes = (
        Route(path="/slots/*", methods=("GET",), idempotent=True),
        Route(path="/trucks", methods=("POST",), idempotent=False),
    )
    return Fleet(
        tiers={
            "slot": Tier(rank=0, deadline_s=5.0),
            "plan": Tier(rank=1, deadline_s=30.0),
            "report": Tier(rank=2, deadline_s=60.0),
            "chat": Tier(rank=3, deadline_s=60.0),
        },
        pools={
            "planner": Pool(kind="model", models=("soil-8b",), fencing="check"),
            "booking": Pool(kind="service", routes=routes),
        },
    )


def _lime_trust_teams() -> dict[str, Team]:
    def customer(name: str, tier: str, weight: float = 1.0) -> Customer:
        return _customer(name, tier, _LIME_POOLS, weight=weight)

    return {
        "dispatch": Team({"truck-desk": customer("truck-desk", "slot")}),
        "farms": Team(
            {
                "delta-farms": customer("delta-farms", "plan", 3.0),
                "black-belt-farms": customer("black-belt-farms", "plan"),
                "text-line": customer("text-line", "chat"),
            }
        ),
        "lab": Team({"soil-lab": customer("soil-lab", "report", 2.0)}),
    }
