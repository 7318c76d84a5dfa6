"""Shared library of the skylarkdoor request scheduler."""
