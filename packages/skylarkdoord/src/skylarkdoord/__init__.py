"""The skylarkdoor daemon: entry and sidecar roles."""
