"""The skylarkdoor daemon, which runs as entry, sidecar, direct entry or guard."""
