"""Stand-in for a plain service."""

from skylarkdoor_standins.service._app import create_app

__all__ = ["create_app"]
