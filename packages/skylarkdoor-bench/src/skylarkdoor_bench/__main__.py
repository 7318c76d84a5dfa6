"""Runs the development tools with ``python -m skylarkdoor_bench``."""

from skylarkdoor_bench.cli import main

if __name__ == "__main__":
    main()
