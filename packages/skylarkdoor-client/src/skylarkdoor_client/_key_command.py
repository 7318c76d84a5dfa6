"""`skylarkdoor key`."""

import secrets
import sys

import click

from skylarkdoor.hashing import key_hash
from skylarkdoor_client._context import Context

KEY_BYTES = 32


@click.command()
@click.option("--stdin", is_flag=True, help="Hash the key on standard input.")
@click.make_pass_decorator(Context)
def key(context: Context, stdin: bool) -> None:
    """Make an API key or token and show its hash for the settings."""
    if stdin:
        hashed = key_hash(sys.stdin.read().strip())
        context.show({"hash": hashed}, f"hash: {hashed}")
        return
    made = secrets.token_urlsafe(KEY_BYTES)
    hashed = key_hash(made)
    context.show({"key": made, "hash": hashed}, f"key: {made}\nhash: {hashed}")
