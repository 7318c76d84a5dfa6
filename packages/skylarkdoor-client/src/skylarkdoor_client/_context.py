"""What every command is given, and how it ends."""

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
    """Options that stand before the command.

    Attributes:
        entry: Base URL of an entry's internal address, empty if not given.
        token: The operator's token, empty for none.
        authority: File of the authority that signed the entry's certificate.
        as_json: Whether answers are printed as JSON.
    """

    entry: str
    token: str
    authority: str
    as_json: bool

    def run(self, work: Callable[[AdminClient], Awaitable[T]]) -> T:
        """Call the entry; an error ends the process with its exit status."""
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

    def show(self, answer: Any, text: str) -> None:
        """Print an answer: as JSON for programs, else the text."""
        click.echo(json.dumps(answer, indent=2) if self.as_json else text)

    def fail(self, error: ClientError) -> NoReturn:
        """Print an error and end the process with its exit status."""
        if self.as_json:
            click.echo(json.dumps({"error": error.fields()}), err=True)
        else:
            for line in _lines(error):
                click.echo(f"skylarkdoor: {line}", err=True)
        sys.exit(error.exit_code)


def _lines(error: ClientError) -> list[str]:
    lines = str(error).splitlines()
    if isinstance(error, ConflictError):
        lines.append("nothing was changed by this command")
        lines.extend(f"changed meanwhile: {path}" for path in error.changed)
        lines.append(
            "look at the difference with `settings diff`, then repeat with "
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
    """End the process with a status."""
    sys.exit(code)
