"""Command line of `skylarkdoord`.

A role's modules are imported only when the role runs, so that a guard, which is a
small process, does not load the modules of an entry.
"""

import importlib
import sys
from collections.abc import Callable, Iterable
from typing import NoReturn

import click

from skylarkdoor import events, unhandled
from skylarkdoor.exceptions import SettingsError
from skylarkdoord import _events
from skylarkdoord._exit import EXIT_OK, EXIT_SETTINGS

# Invalid settings in one log line; those that are left out show with `--check`.
MAX_PROBLEMS = 3

Command = Callable[..., None]


@click.group()
@click.version_option(package_name="skylarkdoord", prog_name="skylarkdoord")
def main() -> None:
    """Run one process of the skylarkdoor request scheduler."""


def common_options(command: Command) -> Command:
    """Add the options that all roles have."""
    settings = click.option(
        "--settings",
        "path",
        required=True,
        type=click.Path(dir_okay=False),
        help="File of process settings, JSON with comments.",
    )
    check = click.option(
        "--check",
        is_flag=True,
        help="Check the settings and exit, with status 78 if invalid.",
    )
    return settings(check(command))


@main.command("entry")
@common_options
def run_entry(path: str, check: bool) -> None:
    """Accept requests from callers and dispatch them through sidecars."""
    _run_role("entry", path, check_only=check)


@main.command("sidecar")
@common_options
def run_sidecar(path: str, check: bool) -> None:
    """Admit and relay requests to the upstream beside this process."""
    _run_role("sidecar", path, check_only=check)


@main.command("direct-entry")
@common_options
def run_direct_entry(path: str, check: bool) -> None:
    """Accept requests from callers and call the upstreams directly."""
    _run_direct("skylarkdoord.direct.entry", path, check_only=check)


@main.command("guard")
@common_options
def run_guard(path: str, check: bool) -> None:
    """Grant slots of the upstream beside this process."""
    _run_direct("skylarkdoord.direct.guard", path, check_only=check)


def _run_direct(module: str, path: str, *, check_only: bool) -> None:
    from skylarkdoord.direct import load_direct
    from skylarkdoord.direct.process import run

    build = importlib.import_module(module).build
    try:
        settings = load_direct(path)
    except SettingsError as error:
        _exit_with_problems(error.problems, check_only=check_only)
    if check_only:
        click.echo(f"{path}: ok for direct dispatch")
        sys.exit(EXIT_OK)
    sys.exit(run(path, settings, build))


def _exit_with_problems(problems: Iterable[object], *, check_only: bool) -> NoReturn:
    """Print the problems if the settings were only to be checked, else log them."""
    texts = [str(problem) for problem in problems]
    if check_only:
        for text in texts:
            click.echo(f"skylarkdoord: {text}", err=True)
    else:
        events.get_logger("process").event(
            _events.PROCESS_NOT_STARTED,
            problems=[unhandled.shorten(text) for text in texts[:MAX_PROBLEMS]],
        )
    sys.exit(EXIT_SETTINGS)


def _run_role(name: str, path: str, *, check_only: bool) -> None:
    from skylarkdoor.settings import load_process
    from skylarkdoord._process import run
    from skylarkdoord._roles import ROLES, check_role
    from skylarkdoord.exceptions import TlsError

    role = ROLES[name]
    try:
        settings = load_process(path)
        check_role(role, settings, source=path)
    except SettingsError as error:
        _exit_with_problems(error.problems, check_only=check_only)
    except TlsError as error:
        _exit_with_problems([f"{path}: {error}"], check_only=check_only)
    if check_only:
        click.echo(f"{path}: ok for the role {role.name}")
        sys.exit(EXIT_OK)
    sys.exit(run(settings, role.build))
