"""The command line `skylarkdoor`."""

import os

import click

from skylarkdoor_client._context import Context, read_token
from skylarkdoor_client._fleet_commands import drain, explain, status
from skylarkdoor_client._key_command import key
from skylarkdoor_client._settings_commands import settings
from skylarkdoor_client._story_command import story


@click.group()
@click.option(
    "--entry",
    envvar="SKYLARKDOOR_ENTRY",
    default="",
    help="Base URL of an entry's internal address; also SKYLARKDOOR_ENTRY.",
)
@click.option(
    "--token-file",
    type=click.Path(dir_okay=False),
    help="File with the operator's token; by default SKYLARKDOOR_TOKEN is used.",
)
@click.option(
    "--authority",
    type=click.Path(dir_okay=False),
    envvar="SKYLARKDOOR_AUTHORITY",
    default="",
    help="PEM file of the authority that signed the entry's certificate; "
    "also SKYLARKDOOR_AUTHORITY.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
@click.version_option(package_name="skylarkdoor-client", prog_name="skylarkdoor")
@click.pass_context
def main(
    context: click.Context,
    entry: str,
    token_file: str | None,
    authority: str,
    as_json: bool,
) -> None:
    """Operate a skylarkdoor deployment.

    Exit statuses: 0 success, 1 differences found, 2 usage error, 3 settings
    invalid, 4 conflict, 5 not permitted, 6 absent, 7 unavailable, 8 outcome
    of a change unknown, 9 unexpected response.
    """
    token = read_token(token_file) if token_file else _token_from_environment()
    context.obj = Context(entry, token, authority, as_json)


def _token_from_environment() -> str:
    return os.environ.get("SKYLARKDOOR_TOKEN", "").strip()


main.add_command(settings)
main.add_command(status)
main.add_command(drain)
main.add_command(explain)
main.add_command(key)
main.add_command(story)
