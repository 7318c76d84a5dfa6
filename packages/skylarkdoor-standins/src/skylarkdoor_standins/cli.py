"""Command line that runs a stand-in as a process."""

import asyncio

import click

from skylarkdoor_standins import engine, platform, service
from skylarkdoor_standins._serve import serve


@click.group()
def main() -> None:
    """Run a stand-in on loopback until SIGTERM or SIGINT."""


@main.command("platform")
@click.option("--port", type=int, default=0)
@click.option("--lag", "lag_s", type=float, default=0.5, help="Instance list lag (s).")
@click.option("--weight-rate", type=float, default=2.0, help="Fetches per second.")
def run_platform(port: int, lag_s: float, weight_rate: float) -> None:
    """Run the platform: table, object store, instance list and weight store."""

    async def run() -> None:
        app = platform.create_app(list_lag_s=lag_s, weight_rate=weight_rate)
        await serve(app, port=port)

    asyncio.run(run())


@main.command("engine")
@click.option("--port", type=int, default=0)
@click.option("--model", required=True)
@click.option("--prefill-tps", type=float, default=4000.0)
@click.option("--decode-tps", type=float, default=40.0)
@click.option("--max-batch", type=int, default=16)
@click.option("--cache-tokens", type=int, default=65536)
@click.option("--fencing", type=click.Choice(["check", "ignore"]), default="check")
@click.option("--load-lag", "load_lag_s", type=float, default=1.0)
@click.option("--seed", type=int, default=1)
@click.option("--time-scale", type=float, default=1.0)
@click.option("--crash-on", default="", help="Exit on a prompt with this text.")
def run_engine(
    port: int,
    model: str,
    prefill_tps: float,
    decode_tps: float,
    max_batch: int,
    cache_tokens: int,
    fencing: str,
    load_lag_s: float,
    seed: int,
    time_scale: float,
    crash_on: str,
) -> None:
    """Run a model engine with an OpenAI-compatible API."""
    settings = engine.EngineSettings(
        model=model,
        prefill_tps=prefill_tps,
        decode_tps=decode_tps,
        max_batch=max_batch,
        cache_tokens=cache_tokens,
        fencing=engine.Fencing(fencing),
        load_lag_s=load_lag_s,
        seed=seed,
        time_scale=time_scale,
        crash_on=crash_on,
    )

    async def run() -> None:
        app = engine.create_app(settings)
        await serve(app, port=port, handler_cancellation=True)

    asyncio.run(run())


@main.command("service")
@click.option("--port", type=int, default=0)
@click.option("--latency-s", type=float, default=0.01)
@click.option("--concurrency", type=int, default=32)
@click.option("--crash-on", default="", help="Exit on a body with this text.")
def run_service(port: int, latency_s: float, concurrency: int, crash_on: str) -> None:
    """Run an HTTP service that echoes the metadata of each request."""

    async def run() -> None:
        app = service.create_app(
            latency_s=latency_s, concurrency=concurrency, crash_on=crash_on
        )
        await serve(app, port=port)

    asyncio.run(run())
