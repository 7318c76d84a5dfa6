"""Run the client with `python -m skylarkdoor_client`."""

from skylarkdoor_client.cli import main

main()
