"""The commands `skylarkdoor status`, `drain` and `explain`."""

from typing import Any

import click

from skylarkdoor_client._context import Context
from skylarkdoor_client._explain import explain_text
from skylarkdoor_client._status import status_text

pass_context = click.make_pass_decorator(Context)
COUNT = click.IntRange(min=0)


@click.command()
@pass_context
def status(context: Context) -> None:
    """Show the instances, their queues, limits and problems."""
    found = context.run(lambda client: client.instances())
    context.show(found, status_text(found))


@click.command()
@click.argument("instance")
@pass_context
def drain(context: Context, instance: str) -> None:
    """Drain INSTANCE: it accepts no new requests and finishes those in progress."""
    response = context.run(lambda client: client.drain(instance))
    context.show(response, f"{instance} takes no new work")


@click.command()
@click.option("--team", required=True)
@click.option("--customer", required=True)
@click.option(
    "--model", help="Requested model; for a plain service, give --pool instead."
)
@click.option("--pool", help="Pool of a plain service.")
@click.option("--prompt-tokens", type=COUNT, default=0, show_default=True)
@click.option("--max-tokens", type=COUNT, default=0, show_default=True)
@pass_context
def explain(context: Context, **query: Any) -> None:
    """Show to which sidecars a request would be offered, and why."""
    if bool(query["model"]) == bool(query["pool"]):
        raise click.UsageError("expected one of --model and --pool")
    given = {name: value for name, value in query.items() if value is not None}
    response = context.run(lambda client: client.explain(given))
    context.show(response, explain_text(response))
