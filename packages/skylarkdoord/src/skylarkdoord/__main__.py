"""Run the daemon with `python -m skylarkdoord`."""

from skylarkdoord._start import main

main()
