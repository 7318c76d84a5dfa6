"""`skylarkdoor status`, `drain` and `explain`."""

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
    """Show the instances, their queues, limits and troubles."""
    found = context.run(lambda client: client.instances())
    context.show(found, status_text(found))


@click.command()
@click.argument("instance")
@pass_context
def drain(context: Context, instance: str) -> None:
    """Tell INSTANCE to take no new work and finish what runs."""
    said = context.run(lambda client: client.drain(instance))
    context.show(said, f"{instance} takes no new work")


@click.command()
@click.option("--team", required=True)
@click.option("--customer", required=True)
@click.option("--model", help="Model asked for; else give --pool.")
@click.option("--pool", help="Pool of a plain service.")
@click.option("--prompt-tokens", type=COUNT, default=0, show_default=True)
@click.option("--max-tokens", type=COUNT, default=0, show_default=True)
@pass_context
def explain(context: Context, **question: Any) -> None:
    """Show where a request would go, and why."""
    if bool(question["model"]) == bool(question["pool"]):
        raise click.UsageError("expected one of --model and --pool")
    asked = {name: value for name, value in question.items() if value is not None}
    said = context.run(lambda client: client.explain(asked))
    context.show(said, explain_text(said))
