"""Run a stand-in: ``python -m skylarkdoor_standins``."""

from skylarkdoor_standins.cli import main

if __name__ == "__main__":
    main()
