"""`skylarkdoor story`: what happened to one request."""

import itertools
import json
import sys
from collections.abc import Iterable
from typing import TextIO

import click

from skylarkdoor_client._context import Context
from skylarkdoor_client._story import read_story, story_text
from skylarkdoor_client.exceptions import ExitCode


@click.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@click.pass_obj
def story(context: Context, request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Print what the logs of all processes say of a request, in order of time.

    LOGS are files with log lines; standard input is read without any.
    """
    sources: Iterable[TextIO] = logs or (sys.stdin,)
    entries = read_story(itertools.chain.from_iterable(sources), request_id)
    if not entries:
        click.echo(f"no line about request {request_id}", err=True)
        raise click.exceptions.Exit(ExitCode.ABSENT)
    if context.as_json:
        click.echo(json.dumps([entry._asdict() for entry in entries]))
    else:
        click.echo(story_text(entries))
