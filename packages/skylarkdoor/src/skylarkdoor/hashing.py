"""Hash functions that give the same result in every process."""

import hashlib
from collections.abc import Iterable, Sequence

import xxhash

__all__ = [
    "fingerprint",
    "key_hash",
    "prefix_hashes",
    "rendezvous",
    "sampled_prefix_hashes",
]

# Words in one block of a prompt, and the most blocks that are hashed.
PREFIX_BLOCK_WORDS = 64
MAX_PREFIX_BLOCKS = 64


def key_hash(key: str) -> str:
    """Return the hex SHA-256 hash under which an API key or token is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def fingerprint(customer: str, call: bytes) -> int:
    """Return the 64-bit fingerprint of a customer's request.

    Args:
        customer: Name of the customer.
        call: Serialised call, including its body.
    """
    return xxhash.xxh3_64_intdigest(customer.encode() + b"\0" + call)


def prefix_hashes(words: list[str]) -> tuple[int, ...]:
    """Return a running hash for each complete block of a prompt's words.

    Two prompts share their first n hashes exactly when they share the first
    n blocks of `PREFIX_BLOCK_WORDS` words.
    """
    running = xxhash.xxh3_64()
    hashes = []
    complete_blocks = min(len(words) // PREFIX_BLOCK_WORDS, MAX_PREFIX_BLOCKS)
    for block in range(complete_blocks):
        start = block * PREFIX_BLOCK_WORDS
        block_text = " ".join(words[start : start + PREFIX_BLOCK_WORDS])
        running.update(f"{block_text} ".encode())
        hashes.append(running.intdigest())
    return tuple(hashes)


def sampled_prefix_hashes(blocks: Sequence[int]) -> list[int]:
    """Return the running hashes after 1, 2, 4, 8 and so on blocks.

    Args:
        blocks: The running hash after each block.
    """
    return [blocks[(1 << power) - 1] for power in range(len(blocks).bit_length())]


def rendezvous(key: str, names: Iterable[str], *, count: int = 1) -> list[str]:
    """Return the `count` names that rank first for a key by rendezvous hashing.

    Adding or removing a name changes only the result for keys that rank it first.
    """

    def score(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())

    ranked = sorted(names, key=score, reverse=True)
    return ranked[:count]
