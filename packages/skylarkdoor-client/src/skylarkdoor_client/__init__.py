"""Command-line client of skylarkdoor for operators."""
