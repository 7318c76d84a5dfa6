"""Launcher, demo, load and measurement tools for skylarkdoor."""
