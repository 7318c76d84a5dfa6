"""Options, output and error handling common to all commands."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, NoReturn, TypeVar

import click

from skylarkdoor_client._admin import AdminClient
from skylarkdoor_client.exceptions import ClientError, ConflictError, ExitCode

T = TypeVar("T")


class Context(NamedTuple):
    """The global options, which precede the command.

    Attributes:
        entry: Base URL of an entry's internal address, empty if not given.
        token: The operator's token, empty for none.
        authority: PEM file of the certificate authority that signed the entry's
            certificate; empty for the system's authorities.
        as_json: Whether results and errors are printed as JSON.
    """

    entry: str
    token: str
    authority: str
    as_json: bool

    def run(self, work: Callable[[AdminClient], Awaitable[T]]) -> T:
        """Run an operation against the entry.

        An error is printed and ends the process with the error's exit status.
        """
        if not self.entry:
            raise click.UsageError("expected --entry URL or SKYLARKDOOR_ENTRY")
        try:
            return asyncio.run(self._with_client(work))
        except ClientError as error:
            self.fail(error)

    async def _with_client(self, work: Callable[[AdminClient], Awaitable[T]]) -> T:
        async with AdminClient(
            self.entry, token=self.token, authority=self.authority
        ) as client:
            return await work(client)

    def show(self, result: Any, text: str) -> None:
        """Print a result: as JSON if `as_json` is set, otherwise as the text."""
        click.echo(json.dumps(result, indent=2) if self.as_json else text)

    def fail(self, error: ClientError) -> NoReturn:
        """Print an error and end the process with its exit status."""
        if self.as_json:
            click.echo(json.dumps({"error": error.fields()}), err=True)
        else:
            for line in _error_lines(error):
                click.echo(f"skylarkdoor: {line}", err=True)
        sys.exit(error.exit_code)


def _error_lines(error: ClientError) -> list[str]:
    lines = str(error).splitlines()
    if isinstance(error, ConflictError):
        lines.append("nothing was changed by this command")
        lines.extend(f"changed meanwhile: {path}" for path in error.changed)
        lines.append(
            "inspect the difference with `settings diff`, then retry with "
            f"--expect-revision {error.revision}"
        )
    return lines


def read_token(path: str) -> str:
    """Return the token in a file.

    Raises:
        UsageError: The file cannot be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise click.UsageError(f"token file cannot be read: {error}") from None


def exit_with(code: ExitCode) -> NoReturn:
    """End the process with an exit status."""
    sys.exit(code)
