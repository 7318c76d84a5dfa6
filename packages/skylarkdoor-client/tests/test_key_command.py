"""Tests of `skylarkdoor key`."""

import json

from click.testing import CliRunner

from skylarkdoor.hashing import key_hash
from skylarkdoor_client.cli import main


class TestKey:
    """`key`."""

    def test_generated(self):
        """A generated key is printed with its hash, and no two keys are equal."""
        first, second = (
            json.loads(CliRunner().invoke(main, ["--json", "key"]).output)
            for _ in range(2)
        )
        assert first["hash"] == key_hash(first["key"])
        assert first["key"] != second["key"]

    def test_given(self):
        """A key from standard input is hashed without its newline and not printed."""
        result = CliRunner().invoke(main, ["key", "--stdin"], input="sk-1\n")
        assert result.output == f"hash: {key_hash('sk-1')}\n"
