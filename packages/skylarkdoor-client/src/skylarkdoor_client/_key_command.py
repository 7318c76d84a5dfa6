"""The command `skylarkdoor key`."""

import secrets
import sys

import click

from skylarkdoor.hashing import key_hash
from skylarkdoor_client._context import Context

KEY_BYTES = 32


@click.command()
@click.option(
    "--stdin",
    is_flag=True,
    help="Read a key from standard input and print only its hash.",
)
@click.make_pass_decorator(Context)
def key(context: Context, stdin: bool) -> None:
    """Generate an API key or token and print it with its hash for the settings."""
    if stdin:
        hashed = key_hash(sys.stdin.read().strip())
        context.show({"hash": hashed}, f"hash: {hashed}")
        return
    generated = secrets.token_urlsafe(KEY_BYTES)
    hashed = key_hash(generated)
    context.show(
        {"key": generated, "hash": hashed}, f"key: {generated}\nhash: {hashed}"
    )
