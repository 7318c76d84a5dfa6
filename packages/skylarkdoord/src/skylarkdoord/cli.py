"""Command line of `skylarkdoord`."""

import sys

import click

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import ProcessSettings, load_process
from skylarkdoord import entry, sidecar
from skylarkdoord._process import Builder, run

EXIT_SETTINGS = 78  # EX_CONFIG

settings_option = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="Process settings, JSON with comments.",
)


@click.group()
def main() -> None:
    """Run one process of the skylarkdoor request scheduler."""


@main.command("entry")
@settings_option
def run_entry(path: str) -> None:
    """Take requests from callers."""
    _run(path, entry.build)


@main.command("sidecar")
@settings_option
def run_sidecar(path: str) -> None:
    """Guard the upstream beside this process."""
    _run(path, sidecar.build)


def _run(path: str, build: Builder) -> None:
    try:
        settings: ProcessSettings = load_process(path)
    except SettingsError as error:
        click.echo(f"skylarkdoord: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    sys.exit(run(settings, build))
