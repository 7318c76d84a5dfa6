"""The command `skylarkdoor story`."""

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
    """Print the log lines of a request from all processes, in order of time.

    LOGS are log files; without any, standard input is read.
    """
    sources: Iterable[TextIO] = logs or (sys.stdin,)
    log_lines = read_story(itertools.chain.from_iterable(sources), request_id)
    if not log_lines:
        click.echo(f"no log line found for request {request_id}", err=True)
        raise click.exceptions.Exit(ExitCode.ABSENT)
    if context.as_json:
        click.echo(json.dumps([log_line._asdict() for log_line in log_lines]))
    else:
        click.echo(story_text(log_lines))
