"""Stand-in for an HTTP service that is not a model engine."""

from skylarkdoor_standins.service._app import create_app

__all__ = ["create_app"]
