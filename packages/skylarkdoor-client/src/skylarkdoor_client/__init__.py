"""The operators' client of skylarkdoor."""
