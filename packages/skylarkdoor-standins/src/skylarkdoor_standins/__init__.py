"""Stand-ins for the systems around skylarkdoor, for tests and demos."""
