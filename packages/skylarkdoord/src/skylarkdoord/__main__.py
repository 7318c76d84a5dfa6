"""Run the daemon with `python -m skylarkdoord`."""

from skylarkdoord.cli import main

main()
